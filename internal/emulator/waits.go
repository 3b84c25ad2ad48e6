package emulator

import (
	"fmt"
	"time"

	"github.com/pulleyring/pulleyring/internal/interval"
	"github.com/pulleyring/pulleyring/internal/job"
)

// waitChecks records which jobs have nothing running although there is free capacity. The zero value has no jobs.
type waitChecks struct {
	accepted    map[job.ID]bool
	idleSince   map[waiter]time.Time   // Time since which a job has nothing running, though it could run.
	reported    map[waiter]bool        // The job was already reported as waiting for too long.
	disturbedAt time.Time              // Time of the last change of a worker.
	lastBegan   map[job.Task]time.Time // When a task that lasts was last started.
}

// waiter is a job that could run: all of it, or one of its tasks that last.
type waiter struct {
	id   job.ID
	task job.Task // The zero value for all tasks.
}

const (
	// maxWait is how long a job may have nothing running while there is free capacity for it twice over (the users'
	// rules).
	maxWait = 3 * time.Second
	// maxLastingWait is the same for each task that lasts, from the end of its last run.
	maxLastingWait = 9 * time.Second
	// waitCheckInterval is the interval between checks.
	waitCheckInterval = 100 * time.Millisecond
	// quietPeriod is how long nothing must have changed before a check. It exceeds the longest time that a successor
	// waits for leases of an unresponsive worker, 15 s here.
	quietPeriod = 20 * time.Second
)

// RecordAccepted records that a job was accepted.
func (f *Fleet) RecordAccepted(id job.ID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.checker.accepted == nil {
		f.checker.accepted, f.checker.idleSince, f.checker.reported, f.checker.lastBegan = map[job.ID]bool{}, map[waiter]time.Time{}, map[waiter]bool{}, map[job.Task]time.Time{}
	}
	f.checker.accepted[id] = true
}

// RecordWithdrawn records that a job may have been cancelled by its caller.
func (f *Fleet) RecordWithdrawn(id job.ID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.checker.accepted, id)
}

// recordDisturbance records a change of a worker.
func (f *Fleet) recordDisturbance() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.checker.disturbedAt = time.Now()
}

// WatchWaits checks for jobs that wait for too long until the fleet's context ends.
func (f *Fleet) WatchWaits() {
	for interval.Sleep(f.ctx, waitCheckInterval) {
		f.checkWaits()
	}
}

// checkWaits finds jobs that have nothing running for too long without faults, although there is free capacity for
// them.
func (f *Fleet) checkWaits() {
	var waiting []waiter
	capacities := f.capacities()
	if capacities != nil {
		waiting = f.waiting(capacities)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if capacities != nil {
		f.checkCancelledRuns()
	}
	before := f.checker.idleSince
	f.checker.idleSince = map[waiter]time.Time{}
	for _, x := range waiting {
		since, known := before[x]
		if began := f.checker.lastBegan[x.task]; !known || began.After(since) {
			since = time.Now()
		}
		f.checker.idleSince[x] = since
		if !f.checker.reported[x] && time.Since(since) > x.longestWait() {
			f.checker.reported[x] = true
			f.checker.verdict.LongWaits = append(f.checker.verdict.LongWaits, fmt.Sprintf("%s has nothing running for %s, though it could", x, time.Since(since)))
		}
	}
}

// String returns the name of the job or task.
func (x waiter) String() string {
	if x.task != (job.Task{}) {
		return x.task.String()
	}
	return string(x.id)
}

// longestWait returns how long a job, or a task that lasts, may have nothing running.
func (x *waiter) longestWait() time.Duration {
	if x.task != (job.Task{}) {
		return maxLastingWait
	}
	return maxWait
}

// lastingTasks lists the tasks of a job that last, of the first occurrence and without those that wait for other steps.
// The caller holds the lock.
func (f *Fleet) lastingTasks(id job.ID) (tasks []job.Task) {
	r := f.jobs[id]
	for s := range r.Steps {
		if !r.Steps[s].Lasting || len(r.Steps[s].After) > 0 {
			continue
		}
		for i := range r.Steps[s].Count {
			tasks = append(tasks, job.Task{Job: id, Step: s, Index: i})
		}
	}
	return tasks
}

// capacities returns the capacity of each worker that accepts work, as its record gives it; nil while there is a
// fault, or shortly after one.
func (f *Fleet) capacities() []workerCapacity {
	f.mu.Lock()
	if !f.checker.isStableBefore(time.Now()) || time.Since(f.checker.impairedUntil) < quietPeriod || time.Since(f.checker.disturbedAt) < quietPeriod {
		f.mu.Unlock()
		return nil
	}
	var list []*worker
	for id, w := range f.workers {
		if r := f.records[id]; !r.gone && !r.worker.Draining && f.checker.emptiedAt[r.worker.Hall].IsZero() {
			list = append(list, w)
		}
	}
	f.mu.Unlock()
	var capacities []workerCapacity
	for _, w := range list {
		if r, healthy := w.capacity(); healthy {
			capacities = append(capacities, r)
		}
	}
	return capacities
}

// workerCapacity is a worker's total and free capacity.
type workerCapacity struct {
	total, free job.Resources
}

// capacity returns the worker's capacity, and reports whether the worker is healthy.
func (w *worker) capacity() (workerCapacity, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := workerCapacity{w.record.Capacity, w.record.Capacity}
	for _, a := range w.runs {
		r.free = r.free.Sub(a.resources)
	}
	return r, !w.dead && !w.processEnded && !w.isHardToReach() && !w.refusesStarts && !w.stalled && !w.failsRuns && !w.failsNewRuns
}

// waiting lists the accepted jobs that have nothing running, though a step of theirs could run now, and the tasks that
// last and don't run.
func (f *Fleet) waiting(capacities []workerCapacity) []waiter {
	f.mu.Lock()
	defer f.mu.Unlock()
	runs := map[job.ID]bool{}
	for t := range f.checker.running {
		runs[t.Job] = true
	}
	for t := range f.crashAfter {
		runs[t.Job] = true // A poisoned task never finishes, so the job counts as running.
	}
	var waiting []waiter
	for id := range f.checker.accepted {
		r := f.jobs[id]
		if f.attemptsExhausted(id) || f.crashLoopLimitReached(id) || !f.couldRun(r, capacities) {
			continue
		}
		lasting := f.lastingTasks(id)
		if !runs[id] && lasting == nil {
			waiting = append(waiting, waiter{id: id})
		}
		for _, t := range lasting {
			if _, running := f.checker.running[t]; !running {
				waiting = append(waiting, waiter{id, t})
			}
		}
	}
	return waiting
}

// couldRun reports whether a step of a job could run now. The caller holds the lock.
func (f *Fleet) couldRun(r *job.Request, capacities []workerCapacity) bool {
	runnable := false
	for s := range r.Steps {
		done, known := f.stepDone(r, s)
		if !known {
			return false
		}
		ready := !done
		for _, a := range r.Steps[s].After {
			before, _ := f.stepDone(r, a)
			ready = ready && before
		}
		runnable = runnable || ready && fitsTwice(&r.Steps[s], capacities)
	}
	return runnable
}

// stepDone reports whether all tasks of a step are done. This is not known if a worker listed an end and ended before
// a box surely received it. The caller holds the lock.
func (f *Fleet) stepDone(r *job.Request, step int) (done, known bool) {
	done, known = true, true
	for i := range r.Steps[step].Count {
		list := f.checker.done[job.Task{Job: r.ID, Step: step, Index: i}]
		done = done && len(list) > 0
		known = known && (len(list) == 0 || f.checker.countDeliverable(list) > 0)
	}
	return done, known
}

// fitsTwice reports whether a task of a step, or its whole gang, fits twice while less than half of all capacity
// is in use.
func fitsTwice(s *job.Step, capacities []workerCapacity) bool {
	need := 2
	if s.Gang {
		need = 2 * s.Count
	}
	fitting, free, total := 0, 0.0, 0.0
	for _, r := range capacities {
		free += r.free.Cores()
		total += r.total.Cores()
		for rest := r.free; rest.Fits(s.Each) && fitting < need; rest = rest.Sub(s.Each) {
			fitting++
		}
	}
	return fitting >= need && free > total/2
}
