package emulator

import (
	"time"

	"github.com/pulleyring/pulleyring/internal/job"
)

// EventKind is the kind of an event.
type EventKind int

// Kinds of events.
const (
	Began        EventKind = iota // A run has begun.
	Ended                         // A run has ended; if its lease expired first, it ended at that time.
	Acknowledged                  // A worker's ends up to a number were acknowledged.
	LeaseChanged                  // A worker's lease has changed.
)

// Event describes a change of a run, or of a worker and all its runs.
type Event struct {
	Kind    EventKind
	At      time.Time
	Task    job.Task
	Run     int
	Outcome job.Outcome // Of the run that ended.
	Number  int64       // Number of the end, or of the last end that was acknowledged.
	Until   time.Time   // End of the lease.
	Gang    int         // Size of the run's gang; 0 for a single task.
}

// ApplyRemoteEvent records that a gang member on a worker of another fleet has begun or ended.
func (f *Fleet) ApplyRemoteEvent(e Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.gangOf(&taskRun{task: e.Task, number: e.Run, gang: e.Gang})
	if e.Kind == Began {
		g.present[e.Task.Index] = true
		return
	}
	g.recordEnd(e.Outcome)
}

// emit passes an event to the observer, if there is one. It is called with locks held.
func (f *Fleet) emit(e Event) {
	if f.Observe == nil {
		return
	}
	if e.At.IsZero() {
		e.At = time.Now()
	}
	f.Observe(e)
}

// endedAt returns the time at which a run really ended: if the lease expired, that time, however late the worker
// checked it.
func (w *worker) endedAt(outcome job.Outcome) time.Time {
	now := time.Now()
	if outcome == job.Expired && now.After(w.lease) {
		return w.lease
	}
	return now
}

// endExpiredRuns ends all runs of a worker whose lease has expired. A worker whose process was suspended calls it
// before it takes a command.
func (w *worker) endExpiredRuns() {
	if w.dead || len(w.runs) == 0 || !time.Now().After(w.lease) {
		return
	}
	for _, a := range w.sortedRuns() {
		w.end(a, job.Expired)
	}
}
