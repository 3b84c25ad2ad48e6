package trial

import (
	"slices"

	"github.com/pulleyring/pulleyring/internal/decider"
)

// Result contains the measurements of one trial.
type Result struct {
	Jobs         int
	Completed    int
	Cancelled    int
	Refused      int // Jobs that no rack could run even when empty.
	GivenUp      int
	LostOnce     int // At-most-once jobs that a fault ended; they are settled as failed.
	FailedStarts int
	Stops        int
	Unfinished   int

	CompletionMean float64 // Seconds from arrival to end.
	RunMean        float64 // Mean run time in seconds: the lower bound of CompletionMean.
	CompletionP95  float64
	LargeWaitP95   float64 // Seconds from arrival to end minus the run time, of gangs larger than a worker.
	// Fragmentation is the accelerator time free in racks where no waiting large gang fits, as a share of all until the
	// last arrival.
	Fragmentation     float64
	FreeUnusableShare float64 // The time as in Fragmentation, as a share of all that was free while a large gang waited.
	LostWorkShare     float64 // Accelerator time whose work was lost, as a share of the time worked.
	ReclaimP95        float64 // Seconds from a claim within the guarantee to its start.
	Utilization       float64 // Useful accelerator time, as a share of all until the last end.
	BrokenPromises    int
	Broken            []string // Descriptions of the first broken promises, at most maxBrokenTexts.

	completions, largeWaits, reclaims      []float64
	runs                                   []float64
	lostWork, useful                       float64
	unusable, freeWhileLargeWaits, lastEnd float64
}

// maxBrokenTexts is the maximum number of descriptions in Result.Broken.
const maxBrokenTexts = 5

func (r *Result) recordBroken(what string) {
	r.BrokenPromises++
	if len(r.Broken) < maxBrokenTexts {
		r.Broken = append(r.Broken, what)
	}
}

func (r *Result) complete(g *gang) {
	r.Completed++
	took := g.ends - g.arrives
	r.completions = append(r.completions, took)
	r.runs = append(r.runs, g.seconds)
	r.useful += g.seconds * float64(g.Accelerators())
	if g.Accelerators() > largestWorker {
		r.largeWaits = append(r.largeWaits, took-g.seconds)
	}
}

// largestWorker is the largest number of accelerators of a worker in the trials; gangs that need more are large.
const largestWorker = 8

// measureFragmentation adds this step to the fragmentation metrics, if a large gang waits.
func (h *hall) measureFragmentation() {
	var largeJobs []*job
	for _, j := range h.waiting {
		if j.Accelerators() > largestWorker && !slices.ContainsFunc(largeJobs, func(o *job) bool { return o.Gang == j.Gang && o.Shape == j.Shape }) {
			largeJobs = append(largeJobs, j)
		}
	}
	if len(largeJobs) == 0 {
		return
	}
	for _, r := range h.racks {
		free := 0
		for _, k := range r.Workers {
			if !h.lostWorkers[k] {
				free += h.freeCapacity[k].Accelerators
			}
		}
		h.result.freeWhileLargeWaits += float64(free) * stepSeconds
		if !slices.ContainsFunc(largeJobs, func(j *job) bool { return h.fits(r, j) }) {
			h.result.unusable += float64(free) * stepSeconds
		}
	}
}

// fits reports whether a rack has enough free capacity for a gang now.
func (h *hall) fits(r decider.Rack, j *job) bool {
	room := 0
	for _, k := range r.Workers {
		if !h.lostWorkers[k] {
			room += j.Shape.Copies(h.freeCapacity[k])
		}
	}
	return room >= j.Gang
}

// finish computes the metrics at the end of the trial.
func (r *Result) finish(h *hall) {
	total := 0
	for i := range h.workers {
		total += h.workers[i].Capacity.Accelerators
	}
	for _, claimedAt := range h.guaranteedSince {
		if h.now-claimedAt > float64(h.site.ReclaimSeconds) {
			r.recordBroken("a guarantee never came back")
		}
	}
	r.CompletionMean = mean(r.completions)
	r.RunMean = mean(r.runs)
	r.CompletionP95 = quantile(r.completions, 0.95)
	r.LargeWaitP95 = quantile(r.largeWaits, 0.95)
	r.ReclaimP95 = quantile(r.reclaims, 0.95)
	r.Fragmentation = ratio(r.unusable, float64(total)*h.burst.Minutes*60)
	r.FreeUnusableShare = ratio(r.unusable, r.freeWhileLargeWaits)
	r.LostWorkShare = ratio(r.lostWork, r.lostWork+r.useful)
	r.Utilization = ratio(r.useful, float64(total)*r.lastEnd)
}

func mean(list []float64) float64 {
	sum := 0.0
	for _, x := range list {
		sum += x
	}
	return ratio(sum, float64(len(list)))
}

func quantile(list []float64, q float64) float64 {
	if len(list) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(list))
	return sorted[int(q*float64(len(sorted)-1)+0.5)]
}

func ratio(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}
