package scheduler

import (
	"time"

	"github.com/pulleyring/pulleyring/internal/job"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// lossCause is by what it is known that everything is over that ran on a worker.
type lossCause int

const (
	processEnded lossCause = iota // It closed a connection as a process does that ends, and nobody listens at its address.
	otherLife                     // Another life answers at its address.
	recordGone                    // Its record is gone, and it does not answer or nothing ran there.
	hasLeft                       // It said that it would leave, and its record is gone.
	leasesOver                    // It is silent, and its leases are over.
)

// String returns the cause for logs.
func (c lossCause) String() string {
	return [...]string{"its process has ended", "another life answers at its address", "its record is gone", "it has left", "its leases are over"}[c]
}

// name is the cause as a part of a counter's name.
func (c lossCause) name() string {
	return [...]string{"process_ended", "other_life", "record_gone", "has_left", "leases_over"}[c]
}

// lossWindow is how far apart workers may be lost that are counted as lost together: those with nothing to do are known to be lost only
// by their records, about 5 s (three heartbeats of 1.5 s, and the feed) after those that were being looked at.
const lossWindow = 8 * time.Second

// recentLosses are the workers that were lost lately without having said that they would leave. The zero value is none.
type recentLosses struct {
	list []lostWorker
}

type lostWorker struct {
	hall string
	at   time.Time
}

// add takes in a worker's loss and drops those that are older than the window.
func (l *recentLosses) add(w lostWorker) {
	old := 0
	for old < len(l.list) && w.at.Sub(l.list[old].at) > lossWindow {
		old++
	}
	l.list = append(l.list[old:], w)
}

// inHall counts the workers of a hall that were lost within the window.
func (l *recentLosses) inHall(hall string) int {
	n := 0
	for i := range l.list {
		if l.list[i].hall == hall {
			n++
		}
	}
	return n
}

// runLoss is what is known of a run that was lost with its worker.
type runLoss struct {
	Cause   lossCause
	Ordered bool          // An order to start it has left.
	Seen    time.Duration // How long after that order the worker answered last.
	Newest  bool          // No run was ordered there after it.
	Beside  int           // Other runs that were lost with it.
	InHall  int           // Workers of the same hall lost within the window, this one included.
}

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (l *runLoss) MarshalLogObject(e zapcore.ObjectEncoder) error {
	e.AddString("cause", l.Cause.String())
	e.AddBool("ordered", l.Ordered)
	e.AddDuration("seen", l.Seen)
	e.AddBool("newest", l.Newest)
	e.AddInt("beside", l.Beside)
	e.AddInt("in_hall", l.InHall)
	return nil
}

// announced reports whether a worker's loss was to be expected.
func (w *workerState) announced() bool { return w.Draining }

// loseWorker gives up a worker, with everything that ran there.
func (h *shard) loseWorker(w *workerState, cause lossCause) {
	h.Figures.Count("workers_lost_" + cause.name())
	w.gone = true
	if !w.announced() {
		h.losses.add(lostWorker{w.Hall, time.Now()})
	}
	h.Log.Warn("scheduler: worker is gone", zap.String("worker", w.ID), zap.Stringer("why", cause), zap.Int("runs", len(w.runs)),
		zap.String("hall", w.Hall), zap.Int("in_hall", h.losses.inHall(w.Hall)), zap.Duration("known_for", time.Since(w.since)))
	h.loseRuns(w, cause)
	delete(h.workers, w.ID)
	h.addresses.changed(w.ID)
	h.roster = nil
}

// loseRuns ends everything that ran on a worker.
func (h *shard) loseRuns(w *workerState, cause lossCause) {
	newest, inHall, beside := w.newestOrder(), h.losses.inHall(w.Hall), len(w.runs)-1
	for _, r := range w.runs {
		r.lost = &runLoss{
			Cause: cause, Ordered: !r.ordered.IsZero(), Newest: !r.ordered.Before(newest), Beside: beside, InHall: inHall,
			Seen: max(w.clockAt.Sub(r.ordered), 0),
		}
		h.endRun(w, r, job.Lapsed, "")
	}
}

// newestOrder is when the last of a worker's runs was ordered.
func (w *workerState) newestOrder() time.Time {
	var newest time.Time
	for _, r := range w.runs {
		if r.ordered.After(newest) {
			newest = r.ordered
		}
	}
	return newest
}
