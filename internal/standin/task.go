package standin

import (
	"encoding/json"
	"time"

	"github.com/pulleyring/pulleyring/internal/worker"
)

type task struct {
	worker.Order
	state             worker.State
	leaseEnd          time.Time
	began             time.Time
	runTime           time.Duration // Run time, counted from began.
	willFail          bool
	willCrash         bool
	paused            bool // Set by a checkpoint: the task doesn't finish, but waits for its stop.
	checkpointSeconds float64
	run               *Run
	answer            json.RawMessage
}

// begin sets a task running and adds a record of the run.
func (ws *workerState) begin(t *task) {
	t.state = worker.Running
	t.run = &Run{Identity: t.Identity, Attempt: t.Attempt, Number: t.Number, Worker: ws.name, Members: t.Members, Gang: t.Gang, Began: t.began, State: worker.Running, From: t.From}
	ws.runs = append(ws.runs, t.run)
}

func (t *task) end(state worker.State, at time.Time) {
	t.state = state
	t.run.State = state
	t.run.Ended = at
	if state == worker.Finished {
		t.answer, _ = json.Marshal(Answer{Caller: t.Identity.Caller, ID: t.Identity.ID, Members: t.Members, Sum: Sum(t.Payload)})
	}
}

func (t *task) report(now time.Time) worker.Task {
	r := worker.Task{Attempt: t.Attempt, State: t.state, Answer: t.answer, Checkpointed: t.checkpointSeconds}
	if t.run != nil {
		end := t.run.Ended
		if end.IsZero() {
			end = now
		}
		r.RanSeconds = end.Sub(t.began).Seconds()
	}
	if t.state == worker.Failed {
		r.Problem = "the task ended with an error"
	}
	return r
}

// advance updates all tasks to now: it applies their beginnings, ends, expired leases and a crash of the worker.
func (ws *workerState) advance(now time.Time) {
	if at, crashed := ws.crashed(now); crashed {
		ws.advanceTo(at)
		ws.crash(at)
	}
	ws.advanceTo(now)
}

func (ws *workerState) advanceTo(now time.Time) {
	for _, t := range ws.tasks {
		ws.advanceTask(t, now)
	}
	for _, t := range ws.unrecorded {
		ws.advanceTask(t, now)
	}
}

// crashed returns the time at which a task first crashed the worker, and whether that has happened by now.
func (ws *workerState) crashed(now time.Time) (at time.Time, crashed bool) {
	for _, t := range ws.tasks {
		end := t.began.Add(t.runTime)
		began := t.state == worker.Going || t.state == worker.Running
		if !t.willCrash || !began || end.After(now) || end.After(t.leaseEnd) {
			continue
		}
		if !crashed || end.Before(at) {
			at, crashed = end, true
		}
	}
	return at, crashed
}

// crash stops all running tasks and removes the records of all tasks. The worker restarts at once, with a new clock.
func (ws *workerState) crash(at time.Time) {
	for attempt, t := range ws.tasks {
		switch t.state {
		case worker.Running:
			t.end(worker.Stopped, at)
		case worker.Going:
			ws.lostBeforeBegin = append(ws.lostBeforeBegin, attempt)
		}
		if t.willCrash && t.run != nil {
			t.run.State = worker.Stopped
		}
	}
	clear(ws.tasks)
	ws.startedAt = at
}

func (ws *workerState) advanceTask(t *task, now time.Time) {
	switch t.state {
	case worker.Held, worker.Armed:
		if !t.leaseEnd.After(now) {
			t.state = worker.Refused
		}
	case worker.Going:
		if !t.began.After(now) {
			ws.begin(t)
			t.advance(now)
		}
	case worker.Running:
		t.advance(now)
	}
}

func (t *task) advance(now time.Time) {
	done := t.began.Add(t.runTime)
	switch {
	case !t.paused && !done.After(now) && !done.After(t.leaseEnd):
		state := worker.Finished
		if t.willFail {
			state = worker.Failed
		}
		t.end(state, done)
	case !t.leaseEnd.After(now):
		t.end(worker.Stopped, t.leaseEnd)
	}
}

// clock returns the reading of the worker's clock in milliseconds; it starts at 1.
func (ws *workerState) clock(now time.Time) int64 { return 1 + now.Sub(ws.startedAt).Milliseconds() }

// timeOfReading returns the time at which the worker's clock had a reading. It returns the zero time for a missing
// reading (0), and for one that is ahead of the clock because it comes from an earlier incarnation.
func (ws *workerState) timeOfReading(clock int64, now time.Time) time.Time {
	if clock == 0 || clock > ws.clock(now) {
		return time.Time{}
	}
	return ws.startedAt.Add(time.Duration(clock-1) * time.Millisecond)
}

// extend extends a lease to ms milliseconds after from; it never shortens the lease.
func (t *task) extend(from time.Time, ms int64) {
	if end := from.Add(time.Duration(ms) * time.Millisecond); end.After(t.leaseEnd) {
		t.leaseEnd = end
	}
}
