package emulator

import (
	"context"
	"time"

	"github.com/pulleyring/pulleyring/internal/fleet"
	"github.com/pulleyring/pulleyring/internal/interval"
	"github.com/pulleyring/pulleyring/internal/job"
)

// signs holds the faults that make a live worker look gone, and how its process ends. The zero value is a worker that
// all boxes reach.
type signs struct {
	cutFrom  map[string]bool // Boxes that get no answer, though others do.
	shutFrom map[string]bool // Boxes whose connections are closed and refused; everyBox for all.
	holdBack time.Duration   // Extra delay of the next answer to a poll.
	answers  time.Duration   // Extra delay of all answers.
	told     int64           // Number of the last end that a box has received.
	parting  bool            // The process is about to end, and its remaining answers are lost.
	// leaseKept says that the last listed ends count until the lease would have expired, though the process has
	// ended.
	leaseKept bool
	disturbed time.Time // Time of the last change of the worker's faults.
	// leftAsSaid says that the process ended only after the time for which it had announced to stay. For a worker
	// that leaves unannounced, it is the usual time.
	leftAsSaid bool
}

// everyBox stands for all boxes.
const everyBox = ""

// Cut makes a worker stop answering while it continues to run, or answer again.
func (f *Fleet) Cut(id string, cut bool) error {
	return f.change(id, func(w *worker) {
		w.cut = cut
		if !cut {
			clear(w.cutFrom)
		}
	})
}

// CutFrom makes a worker stop answering one box while it continues to run, or answer it again.
func (f *Fleet) CutFrom(id, box string, cut bool) error {
	return f.change(id, func(w *worker) {
		if w.cutFrom == nil {
			w.cutFrom = map[string]bool{}
		}
		w.cutFrom[box] = cut
	})
}

// Shut closes the worker's connections to one box, or to all boxes with everyBox, and refuses new ones; shut false
// accepts them again. With everyBox that covers all boxes. The worker continues to run.
func (f *Fleet) Shut(id, box string, shut bool) error {
	return f.change(id, func(w *worker) {
		if w.shutFrom == nil {
			w.shutFrom = map[string]bool{}
		}
		if !shut && box == everyBox {
			clear(w.shutFrom)
		}
		w.shutFrom[box] = shut
		w.notify()
	})
}

// HoldBack delays the next answer to a poll, so that newer answers may overtake it.
func (f *Fleet) HoldBack(id string, d time.Duration) error {
	return f.change(id, func(w *worker) { w.holdBack = d })
}

// AnswerLate delays all answers of a worker, as when it or its machine is busy.
func (f *Fleet) AnswerLate(id string, d time.Duration) error {
	return f.change(id, func(w *worker) { w.answers = d })
}

// heldBack returns the delay of an answer to a poll, and ends the delay that was set for one answer only.
func (w *worker) heldBack() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	d := max(w.holdBack, w.answers)
	w.holdBack = 0
	return d
}

// tell records that a box has received ends.
func (w *worker) tell(ends []fleet.End) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range ends {
		w.told = max(w.told, ends[i].Number)
	}
}

// outcomeFor returns the error of a command from a box to a worker that has ended or is out of its reach; nil if the
// box reaches it.
func (w *worker) outcomeFor(box string) error {
	switch {
	case w.replaced:
		return fleet.OtherLife
	case w.cut || w.cutFrom[box]:
		return fleet.ErrNoAnswer
	case w.shutFrom[everyBox] || w.shutFrom[box] || w.over:
		return fleet.ErrNotListening
	}
	return nil
}

// hardToReach reports whether a box may miss an answer of the worker, or get it late.
func (w *worker) hardToReach() bool {
	for _, from := range []map[string]bool{w.cutFrom, w.shutFrom} {
		for _, away := range from {
			if away {
				return true
			}
		}
	}
	return w.cut || w.late > 0 || w.lateLooks > 0 || w.mute > 0 || w.holdBack > 0 || w.answers > 0
}

// untilHangUp waits until the process of a worker that answers no more ends, or ctx does, and returns the error that
// the box sees.
func untilHangUp(ctx context.Context, changed <-chan struct{}) error {
	select {
	case <-ctx.Done():
		return fleet.ErrNoAnswer
	case <-changed:
		return fleet.ErrHungUp
	}
}

// LastMoments says how a worker's process ends just after a run there.
type LastMoments struct {
	Lost bool // Answers are lost between the end of the run and that of the process.
	Due  bool // Applies only once the time has passed for which the worker stays.
	// The process crashes in the way that SetCrash has set; otherwise the worker leaves as announced.
	Crash bool
}

const (
	// lastMoments is the time from the end of a run to that of the process.
	lastMoments = 5 * time.Millisecond
	// recordAfter is the time from the end of a departing worker's process to the removal of its record; 2 to 35 ms
	// were seen.
	recordAfter = 20 * time.Millisecond
)

// EndWith ends a worker's process a few ms after it has listed the next successful run of a job.
func (f *Fleet) EndWith(id job.ID, how LastMoments) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lasts[id] = how
}

// isDue reports whether the time has passed for which a departing worker stays. The caller holds the lock.
func (f *Fleet) isDue(id string) bool {
	due, said := f.dueAt[id]
	return said && !time.Now().Before(due)
}

// SetStops sets how long a stop takes. Until then a run that is being stopped makes no progress but uses its
// resources.
func (f *Fleet) SetStops(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stops = d
}

// stopTime returns how long a stop takes.
func (f *Fleet) stopTime() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stops
}

// beginLastMoments schedules the end of the worker's process if EndWith asked for it with this job. The caller holds
// the worker's lock.
func (w *worker) beginLastMoments(id job.ID) {
	f := w.fleet
	f.mu.Lock()
	how, ok := f.lasts[id]
	ok = ok && (!how.Due || f.isDue(w.record.ID))
	if ok {
		delete(f.lasts, id)
	}
	f.mu.Unlock()
	if !ok {
		return
	}
	w.parting, w.leaseKept = how.Lost, true
	time.AfterFunc(lastMoments, func() { w.endProcess(how) })
}

// endProcess ends a worker's process as EndWith asked.
func (w *worker) endProcess(how LastMoments) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead {
		return
	}
	if how.Crash {
		w.crash()
		return
	}
	w.die(true)
	f := w.fleet
	go func() {
		if interval.Sleep(f.ctx, recordAfter) {
			f.forgetLife(w.life)
		}
	}()
}
