package trial

import (
	"slices"

	"github.com/pulleyring/pulleyring/internal/decider"
)

// Result is what one trial measured.
type Result struct {
	Jobs         int
	Completed    int
	Cancelled    int
	Refused      int // No rack could ever hold them.
	GivenUp      int
	LostOnce     int // At-most-once jobs that a fault ended; they are settled as failed.
	FailedStarts int
	Stops        int
	Unfinished   int

	CompletionMean    float64 // Seconds from arrival to end.
	RunMean           float64 // Seconds; the mean run time, which no policy's mean completion can be below.
	CompletionP95     float64
	LargeWaitP95      float64 // Seconds from arrival to end less the run time, of gangs larger than a worker.
	Fragmentation     float64 // Accelerator-time that was free but of no use to a waiting large gang, as a share of all until the last arrival.
	FreeUnusableShare float64 // The same as a share of the free accelerator-time while a large gang waited.
	LostWorkShare     float64 // Accelerator-time whose work was lost, as a share of the time worked.
	ReclaimP95        float64 // Seconds from a claim within the guarantee to its start.
	Utilization       float64 // Useful accelerator-time as a share of all until the last end.
	BrokenPromises    int
	Broken            []string // The first few broken promises in words.

	completions, largeWaits, reclaims []float64
	runs                              []float64
	lostWork, useful                  float64
	unusable, freeWhile, lastEnd      float64
}

// brokenKept is the number of broken promises that are kept in words.
const brokenKept = 5

func (r *Result) broke(what string) {
	r.BrokenPromises++
	if len(r.Broken) < brokenKept {
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

// largestWorker is the number of accelerators of a worker in the trials; gangs that need more are large.
const largestWorker = 8

// measure adds this step to the measure of fragmentation.
func (h *hall) measure() {
	var forms []*job
	for _, j := range h.waiting {
		if j.Accelerators() > largestWorker && !slices.ContainsFunc(forms, func(o *job) bool { return o.Gang == j.Gang && o.Shape == j.Shape }) {
			forms = append(forms, j)
		}
	}
	if len(forms) == 0 {
		return
	}
	for _, r := range h.racks {
		free := 0
		for _, k := range r.Workers {
			if !h.lost[k] {
				free += h.free[k].Accelerators
			}
		}
		h.result.freeWhile += float64(free) * step
		if !slices.ContainsFunc(forms, func(j *job) bool { return h.serves(r, j) }) {
			h.result.unusable += float64(free) * step
		}
	}
}

// serves reports whether a rack has room for a gang now.
func (h *hall) serves(r decider.Rack, j *job) bool {
	room := 0
	for _, k := range r.Workers {
		if !h.lost[k] {
			room += j.Shape.Copies(h.free[k])
		}
	}
	return room >= j.Gang
}

// finish works out the measures.
func (r *Result) finish(h *hall) {
	total := 0
	for i := range h.workers {
		total += h.workers[i].Capacity.Accelerators
	}
	for _, claimed := range h.due {
		if h.now-claimed > float64(h.site.ReclaimSeconds) {
			r.broke("a guarantee never came back")
		}
	}
	r.CompletionMean = mean(r.completions)
	r.RunMean = mean(r.runs)
	r.CompletionP95 = quantile(r.completions, 0.95)
	r.LargeWaitP95 = quantile(r.largeWaits, 0.95)
	r.ReclaimP95 = quantile(r.reclaims, 0.95)
	r.Fragmentation = ratio(r.unusable, float64(total)*h.burst.Minutes*60)
	r.FreeUnusableShare = ratio(r.unusable, r.freeWhile)
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
