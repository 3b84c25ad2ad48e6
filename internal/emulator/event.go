package emulator

import (
	"time"

	"github.com/pulleyring/pulleyring/internal/job"
)

// EventKind is what an event tells of.
type EventKind int

// Kinds of events.
const (
	Began        EventKind = iota // A run has begun.
	Ended                         // A run has ended; one whose lease was over has ended with the lease.
	Acknowledged                  // The ends of a worker up to a number were acknowledged.
	Leased                        // Everything on a worker may run until a later time.
)

// Event is what has become of a run, or of all runs of a worker.
type Event struct {
	Kind    EventKind
	At      time.Time
	Task    job.Task
	Run     int
	Outcome job.Outcome // Of an end.
	Number  int64       // Of an end, or of the last end that was acknowledged.
	Until   time.Time   // Of a lease.
	Gang    int         // Members of the gang that the run is one of; 0 for a single task.
}

// Tell takes in what has become of a member of a gang on a worker of another fleet: that it has begun or ended.
func (f *Fleet) Tell(e Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.gangOf(&activity{task: e.Task, number: e.Run, gang: e.Gang})
	if e.Kind == Began {
		g.present[e.Task.Index] = true
		return
	}
	g.end(e.Outcome)
}

// tell tells the observer, if there is one, of something that has just happened. It is called with locks held.
func (f *Fleet) tell(e Event) {
	if f.Observe == nil {
		return
	}
	if e.At.IsZero() {
		e.At = time.Now()
	}
	f.Observe(e)
}

// endedAt is when a run really ended: with the lease, however late the worker looked at it.
func (w *worker) endedAt(outcome job.Outcome) time.Time {
	now := time.Now()
	if outcome == job.Lapsed && now.After(w.lease) {
		return w.lease
	}
	return now
}

// lapse ends everything on a worker whose lease is over. A worker whose process stood still looks at its lease before it takes an order.
func (w *worker) lapse() {
	if w.dead || len(w.runs) == 0 || !time.Now().After(w.lease) {
		return
	}
	for _, a := range w.sorted() {
		w.end(a, job.Lapsed)
	}
}
