package decider

import (
	"slices"
	"time"
)

// Limits of the probation of workers.
const (
	failuresToProbation = 2                // Different jobs that fail on a worker without a success in between.
	firstProbation      = 30 * time.Second // Pause before the first probe of a worker.
	longestProbation    = time.Hour        // Upper bound of the pause.
)

// Health distinguishes failing workers from failing jobs. The zero value is ready to use. A failure counts against the
// worker unless the job also fails on other workers in good standing. It counts against the job unless the worker is on
// probation. A worker is in good standing while it is not on probation.
type Health struct {
	workers map[string]*workerHealth
	jobs    map[string]map[string]bool // Workers on which each unfinished job failed.
}

// workerHealth records the failures of a worker since its last success.
type workerHealth struct {
	failed     map[string]bool // Jobs that failed since the last success.
	probeAfter time.Time       // When the worker may be probed.
	pause      time.Duration   // Time without work before a probe; doubles when a probe fails.
	probation  bool
}

// RecordSuccess records that a member of a job ran to its end on a worker.
func (h *Health) RecordSuccess(worker, job string) {
	delete(h.workers, worker)
	delete(h.jobs, job)
}

// Forget deletes the failures of a job that is settled as cancelled or failed.
func (h *Health) Forget(job string) { delete(h.jobs, job) }

// RecordFailure records that a member of a job failed on a worker.
func (h *Health) RecordFailure(worker, job string, now time.Time) {
	if h.workers == nil {
		h.workers = map[string]*workerHealth{}
		h.jobs = map[string]map[string]bool{}
	}
	w := h.workers[worker]
	if w == nil {
		w = &workerHealth{failed: map[string]bool{}, pause: firstProbation}
		h.workers[worker] = w
	}
	w.failed[job] = true
	if h.jobs[job] == nil {
		h.jobs[job] = map[string]bool{}
	}
	h.jobs[job][worker] = true
	h.updateProbation(w, now)
}

// updateProbation puts a worker with too many failures on probation, and doubles the pause after a failed probe.
func (h *Health) updateProbation(w *workerHealth, now time.Time) {
	if w.probation && now.Before(w.probeAfter) {
		return // The job was already running when the pause began.
	}
	if !w.probation && h.blamedFailures(w) < failuresToProbation {
		return
	}
	if w.probation {
		w.pause = min(2*w.pause, longestProbation)
	}
	w.probation = true
	w.probeAfter = now.Add(w.pause)
}

// blamedFailures returns the number of jobs that failed on the worker and on no other worker in good standing.
func (h *Health) blamedFailures(w *workerHealth) int {
	count := 0
	for job := range w.failed {
		elsewhere := 0
		for other := range h.jobs[job] {
			if o := h.workers[other]; o != nil && o != w && !o.probation {
				elsewhere++
			}
		}
		if elsewhere == 0 {
			count++
		}
	}
	return count
}

// Standing reports whether a worker may be used now, and whether only for one gang as a probe.
func (h *Health) Standing(worker string, now time.Time) (usable, probe bool) {
	w := h.workers[worker]
	if w == nil || !w.probation {
		return true, false
	}
	return !now.Before(w.probeAfter), true
}

// FailedOn returns the workers in good standing on which a job failed, sorted by name.
func (h *Health) FailedOn(job string) []string {
	var list []string
	for name := range h.jobs[job] {
		if w := h.workers[name]; w == nil || !w.probation {
			list = append(list, name)
		}
	}
	slices.Sort(list)
	return list
}
