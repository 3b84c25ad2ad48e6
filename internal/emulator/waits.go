package emulator

import (
	"fmt"
	"time"

	"github.com/pulleyring/pulleyring/internal/interval"
	"github.com/pulleyring/pulleyring/internal/job"
)

// waits records which jobs have nothing running although there is free capacity. The zero value has no jobs.
type waits struct {
	accepted  map[job.ID]bool
	since     map[job.ID]time.Time // Time since which a job has nothing running, though it could run.
	told      map[job.ID]bool      // The job was already reported as waiting for too long.
	disturbed time.Time            // Time of the last change of a worker.
}

const (
	// waitsMost is how long a job may have nothing running while there is free capacity for it twice over (the users'
	// rules).
	waitsMost = 3 * time.Second
	// waitsTick is the interval between checks.
	waitsTick = 100 * time.Millisecond
	// settledAfter is how long nothing must have changed before a check. It exceeds the longest time that a successor
	// waits for leases of an unresponsive worker, 15 s here.
	settledAfter = 20 * time.Second
)

// Accept records that a job was accepted.
func (f *Fleet) Accept(id job.ID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.judge.accepted == nil {
		f.judge.accepted, f.judge.since, f.judge.told = map[job.ID]bool{}, map[job.ID]time.Time{}, map[job.ID]bool{}
	}
	f.judge.accepted[id] = true
}

// Withdraw records that a job may have been cancelled by its caller.
func (f *Fleet) Withdraw(id job.ID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.judge.accepted, id)
}

// disturb records a change of a worker.
func (f *Fleet) disturb() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.judge.disturbed = time.Now()
}

// WatchWaits checks for jobs that wait for too long until the fleet's context ends.
func (f *Fleet) WatchWaits() {
	for interval.Sleep(f.ctx, waitsTick) {
		f.judgeWaits()
	}
}

// judgeWaits finds jobs that have nothing running for too long without faults, although there is free capacity for
// them.
func (f *Fleet) judgeWaits() {
	var waiting []job.ID
	if rooms := f.rooms(); rooms != nil {
		waiting = f.waiting(rooms)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.judge.since
	f.judge.since = map[job.ID]time.Time{}
	for _, id := range waiting {
		since, known := before[id]
		if !known {
			since = time.Now()
		}
		f.judge.since[id] = since
		if !f.judge.told[id] && time.Since(since) > waitsMost {
			f.judge.told[id] = true
			f.judge.counts.Waits = append(f.judge.counts.Waits, fmt.Sprintf("%s has nothing running for %s, though it could", id, time.Since(since)))
		}
	}
}

// rooms returns the capacity of each worker that accepts work, as its record gives it; nil while there is a fault, or
// shortly after one.
func (f *Fleet) rooms() []room {
	f.mu.Lock()
	if !f.judge.calm(time.Now()) || time.Since(f.judge.impaired) < settledAfter || time.Since(f.judge.disturbed) < settledAfter {
		f.mu.Unlock()
		return nil
	}
	var list []*worker
	for id, w := range f.workers {
		if r := f.records[id]; !r.gone && !r.worker.Draining && f.judge.emptied[r.worker.Hall].IsZero() {
			list = append(list, w)
		}
	}
	f.mu.Unlock()
	var rooms []room
	for _, w := range list {
		if r, takes := w.room(); takes {
			rooms = append(rooms, r)
		}
	}
	return rooms
}

// room is a worker's total and free capacity.
type room struct {
	all, free job.Resources
}

// room returns the worker's capacity, and reports whether the worker is healthy.
func (w *worker) room() (room, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := room{w.record.Capacity, w.record.Capacity}
	for _, a := range w.runs {
		r.free = r.free.Sub(a.each)
	}
	return r, !w.dead && !w.over && !w.hardToReach() && !w.refuse && !w.stuck && !w.fails && !w.spoils
}

// waiting lists the accepted jobs that have nothing running, though a step of theirs could run now.
func (f *Fleet) waiting(rooms []room) []job.ID {
	f.mu.Lock()
	defer f.mu.Unlock()
	runs := map[job.ID]bool{}
	for t := range f.judge.running {
		runs[t.Job] = true
	}
	for t := range f.crashes {
		runs[t.Job] = true // A poisoned task never finishes, so the job counts as running.
	}
	var waiting []job.ID
	for id := range f.judge.accepted {
		if r := f.jobs[id]; !runs[id] && !f.usedUp(id) && !f.mayBeGivenUp(id) && f.couldRun(r, rooms) {
			waiting = append(waiting, id)
		}
	}
	return waiting
}

// couldRun reports whether a step of a job could run now. The caller holds the lock.
func (f *Fleet) couldRun(r *job.Request, rooms []room) bool {
	could := false
	for s := range r.Steps {
		done, known := f.stepDone(r, s)
		if !known {
			return false
		}
		turn := !done
		for _, a := range r.Steps[s].After {
			before, _ := f.stepDone(r, a)
			turn = turn && before
		}
		could = could || turn && hasRoomTwice(&r.Steps[s], rooms)
	}
	return could
}

// stepDone reports whether all tasks of a step are done. This is not known if a worker listed an end and ended before
// a box surely received it. The caller holds the lock.
func (f *Fleet) stepDone(r *job.Request, step int) (done, known bool) {
	done, known = true, true
	for i := range r.Steps[step].Count {
		list := f.judge.done[job.Task{Job: r.ID, Step: step, Index: i}]
		done = done && len(list) > 0
		known = known && (len(list) == 0 || f.judge.counted(list) > 0)
	}
	return done, known
}

// hasRoomTwice reports whether a task of a step, or its whole gang, fits twice while less than half of all capacity
// is in use.
func hasRoomTwice(s *job.Step, rooms []room) bool {
	need := 2
	if s.Gang {
		need = 2 * s.Count
	}
	fit, free, all := 0, 0.0, 0.0
	for _, r := range rooms {
		free += r.free.Cores()
		all += r.all.Cores()
		for left := r.free; left.Fits(s.Each) && fit < need; left = left.Sub(s.Each) {
			fit++
		}
	}
	return fit >= need && free > all/2
}
