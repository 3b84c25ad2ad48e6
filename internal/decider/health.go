package decider

import (
	"slices"
	"time"
)

// Limits of probation.
const (
	failuresToProbation = 2 // Different jobs that fail on a worker without a success between them.
	firstProbation      = 30 * time.Second
	longestProbation    = time.Hour
)

// Health tells bad workers from bad jobs; the zero value is ready to use. A failure counts against the worker
// unless the job fails on other workers too that are in good standing, and against the job unless the worker fails
// other jobs too.
type Health struct {
	workers map[string]*workerHealth
	jobs    map[string]map[string]bool // The workers that each unfinished job failed on.
}

type workerHealth struct {
	failed    map[string]bool // Jobs that failed since the last success.
	until     time.Time       // End of the pause.
	pause     time.Duration
	probation bool
}

// Succeeded notes that a member of a job ran to its end on a worker.
func (h *Health) Succeeded(worker, job string) {
	delete(h.workers, worker)
	delete(h.jobs, job)
}

// Forget drops what is known of a job that is settled as cancelled or given up.
func (h *Health) Forget(job string) { delete(h.jobs, job) }

// Failed notes that a member of a job failed on a worker.
func (h *Health) Failed(worker, job string, now time.Time) {
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
	h.judge(w, now)
}

// judge starts, or after a failed probe prolongs, a worker's pause.
func (h *Health) judge(w *workerHealth, now time.Time) {
	if w.probation && now.Before(w.until) {
		return // What was already under way when the pause began.
	}
	if !w.probation && h.blame(w) < failuresToProbation {
		return
	}
	if w.probation {
		w.pause = min(2*w.pause, longestProbation)
	}
	w.probation = true
	w.until = now.Add(w.pause)
}

// blame counts the jobs that failed on the worker and on no other worker in good standing.
func (h *Health) blame(w *workerHealth) int {
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

// Standing returns whether a worker may be used now, and whether only for one gang as a probe.
func (h *Health) Standing(worker string, now time.Time) (usable, probe bool) {
	w := h.workers[worker]
	if w == nil || !w.probation {
		return true, false
	}
	return !now.Before(w.until), true
}

// FailedOn returns the workers in good standing that a job failed on, sorted; those on probation don't count.
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
