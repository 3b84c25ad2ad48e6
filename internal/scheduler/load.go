package scheduler

import (
	"time"

	"github.com/pulleyring/pulleyring/internal/admission"
	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/internal/ledger"
	"github.com/pulleyring/pulleyring/internal/placement"
	"go.uber.org/zap"
)

const (
	// loadInterval is the shortest time between two summaries of the load. Each is a row of a paid commit, and every
	// watcher reads it.
	loadInterval = time.Second
	// minObservedWait is how long work of a queue and class must have waited before a wait is expected for new jobs.
	// Without it, a summary could follow from a view that is older than the last placements.
	minObservedWait = time.Second
	// minHopelessShare is the share of the longest wait with which a waiting job is still of value above which an
	// expected wait is published. Shorter waits lead to no refusal.
	minHopelessShare = 0.5
)

// publishedLoad tracks the summary of the load that boxes read. The zero value has published none.
type publishedLoad struct {
	measured  time.Time      // When the load was last measured.
	current   admission.Load // As last put into a batch.
	uncertain bool           // The batch with current may not have been written.
}

// collectLoad adds a summary of the load to a batch if the last one is outdated. A summary alone triggers no batch.
func (h *shard) collectLoad(b *ledger.Batch, now time.Time) {
	p := &h.publishedLoad
	h.holdings.cancellations = len(h.earlyCancellations)
	full := h.holdings.full(h.Bounds.JobMemory)
	h.Figures.Set("jobs_bytes", h.holdings.total)
	becameFull := len(full.Workspaces) > len(p.current.Full.Workspaces) || full.Cancellations && !p.current.Full.Cancellations
	if now.Sub(p.measured) < loadInterval && !p.uncertain && !becameFull {
		return
	}
	p.measured = now
	load := admission.Load{Made: now.UnixMilli()}
	if !h.Bounds.DisableRefusals {
		load = h.measureLoad(now)
	}
	load.Full, load.Full.Made = full, load.Made
	if !p.uncertain && !p.current.Outdated(&load) {
		return
	}
	for name, q := range load.Queues {
		h.Log.Info("scheduler: new jobs may have to wait for too long", zap.String("queue", name),
			zap.Int64("single_ms", q.Waits[0].Ms), zap.Int64("small_gang_ms", q.Waits[1].Ms),
			zap.Int64("large_gang_ms", q.Waits[2].Ms))
	}
	if becameFull {
		h.Log.Warn("scheduler: the jobs take too much memory; boxes refuse further ones", zap.Strings("workspaces", full.Workspaces),
			zap.Bool("cancellations", full.Cancellations), zap.Int64("bytes", h.holdings.total), zap.Int64("limit", h.Bounds.JobMemory), zap.Int("jobs", len(h.jobs)))
	}
	p.current, p.uncertain = load, false
	b.Load = &load
}

// queueClass is a class of work of a queue.
type queueClass struct {
	queue string
	class int
}

// measureLoad returns a summary of the load. It is based on the view of the last decision, from which demands that were
// placed since are left out. While work waits, that view is at most maxDecisionInterval old.
func (h *shard) measureLoad(now time.Time) admission.Load {
	load := admission.Load{Made: now.UnixMilli()}
	for key, w := range h.longWaits(now) {
		wait := admission.ExpectedWait(key.class, h.workAhead(w.request, now), h.capacityOf(w.request.Terms.Service))
		if wait.Ms == 0 || float64(wait.Ms) <= minHopelessShare*float64(w.hopeless.Milliseconds()) {
			continue
		}
		if load.Queues == nil {
			load.Queues = map[string]admission.Queue{}
		}
		q := load.Queues[key.queue]
		q.Waits[key.class], q.RunTimeRatio = wait, int64(1000*h.estimates.ofQueue(key.queue).runTimeRatio)
		load.Queues[key.queue] = q
	}
	return load
}

// longWait is work of a queue and class that has waited for at least minObservedWait.
type longWait struct {
	request  *job.Request  // Of one of the jobs.
	hopeless time.Duration // Shortest wait of the jobs after which they earn nothing.
}

// longWaits returns the queues and classes in which work has waited for at least minObservedWait and still waits.
func (h *shard) longWaits(now time.Time) map[queueClass]longWait {
	waits := map[queueClass]longWait{}
	for i := range h.view.Demands {
		d := &h.view.Demands[i]
		if now.Sub(d.ReadySince) < minObservedWait || !isOrdinary(d) || h.countWaiting(d) == 0 {
			continue
		}
		r := h.jobs[d.Job].Request
		key := queueClass{r.Terms.Queue, admission.ClassOf(d.Step)}
		hopeless := lateFactor*h.allowedTime(r) - h.estimates.jobTime(r)
		if w, known := waits[key]; !known || hopeless < w.hopeless {
			waits[key] = longWait{r, hopeless}
		}
	}
	return waits
}

// isOrdinary reports whether a demand waits only for capacity that any job of its service can use.
func isOrdinary(d *placement.Demand) bool {
	return d.Step.Label == "" && !d.Exclusive && !d.Suspect && d.LastAttempts == nil
}

// countWaiting returns how many tasks of a demand of the last view still wait.
func (h *shard) countWaiting(d *placement.Demand) int {
	j := h.jobs[d.Job]
	if j == nil || j.Progress.State.Final() {
		return 0
	}
	n, tasks := 0, j.Tasks(d.Group)
	for _, i := range d.Waiting {
		if tasks[i].State == job.Waiting {
			n++
		}
	}
	return n
}

// workAhead returns the work of a service that is surely served before a new job with the terms and steps of r: urgent
// work before all other work, and guaranteed work. Work of the same class is served by its value for the capacity that it
// takes, so a small new job comes before large ones that wait. Urgent work that runs is not stopped.
func (h *shard) workAhead(r *job.Request, now time.Time) []admission.Work {
	var ahead []admission.Work
	for i := range h.view.Demands {
		d := &h.view.Demands[i]
		if d.Service != r.Terms.Service || !isOrdinary(d) {
			continue
		}
		first := d.Priority <= 0 && r.Terms.Priority > 0 || d.Guaranteed
		if tasks := h.countWaiting(d); first && tasks > 0 {
			ahead = append(ahead, admission.Work{
				Class: admission.ClassOf(d.Step), Tasks: tasks, Each: d.Step.Each, Time: d.TaskTime,
			})
		}
	}
	for _, x := range h.allocations.list {
		run := x.runs[0]
		if terms := &run.job.Request.Terms; terms.Priority > 0 || terms.Service != r.Terms.Service {
			continue
		}
		remaining := h.allocationView(x, now).Remaining
		ahead = append(ahead, admission.Work{Tasks: len(x.runs), Each: run.each, Time: remaining, Runs: true})
	}
	return ahead
}

// capacityOf returns the capacity of all workers of a service, including those that accept no runs at present.
func (h *shard) capacityOf(service string) job.Resources {
	var sum job.Resources
	for _, w := range h.workers {
		if w.Service == service {
			sum = sum.Add(w.Capacity)
		}
	}
	return sum
}
