package emulator

import (
	"context"
	"time"

	"github.com/pulleyring/pulleyring/internal/fleet"
	"github.com/pulleyring/pulleyring/internal/interval"
	"github.com/pulleyring/pulleyring/internal/job"
)

// reachability holds the faults that make a live worker look gone, and how its process ends. The zero value is a
// worker that all boxes reach.
type reachability struct {
	cutFrom         map[string]bool // Boxes that get no answer, though others do.
	closedTo        map[string]bool // Boxes whose connections are closed and refused; everyBox for all.
	nextPollDelay   time.Duration   // Extra delay of the next answer to a poll.
	answerDelay     time.Duration   // Extra delay of all answers.
	lastReportedEnd int64           // Number of the last end that a box has received.
	exiting         bool            // The process is about to end, and its remaining answers are lost.
	// leaseKept says that the last listed ends count until the lease would have expired, though the process has
	// ended.
	leaseKept   bool
	disturbedAt time.Time // Time of the last change of the worker's faults.
	// leftAsAnnounced says that the process ended only after the time for which it had announced to stay. For a
	// worker that leaves unannounced, it is the usual time.
	leftAsAnnounced bool
}

// everyBox is the box name that stands for all boxes.
const everyBox = ""

// Cut makes a worker stop answering while it continues to run, or answer again.
func (f *Fleet) Cut(id string, cut bool) error {
	return f.update(id, func(w *worker) {
		w.cut = cut
		if !cut {
			clear(w.cutFrom)
		}
	})
}

// CutFrom makes a worker stop answering one box while it continues to run, or answer it again.
func (f *Fleet) CutFrom(id, box string, cut bool) error {
	return f.update(id, func(w *worker) {
		if w.cutFrom == nil {
			w.cutFrom = map[string]bool{}
		}
		w.cutFrom[box] = cut
	})
}

// CloseConnections closes the worker's connections to one box and refuses new ones, or accepts them again if shut is
// false. An empty box name stands for all boxes. The worker continues to run.
func (f *Fleet) CloseConnections(id, box string, shut bool) error {
	return f.update(id, func(w *worker) {
		if w.closedTo == nil {
			w.closedTo = map[string]bool{}
		}
		if !shut && box == everyBox {
			clear(w.closedTo)
		}
		w.closedTo[box] = shut
		w.notify()
	})
}

// DelayNextPollAnswer delays the next answer to a poll, so that newer answers may overtake it.
func (f *Fleet) DelayNextPollAnswer(id string, d time.Duration) error {
	return f.update(id, func(w *worker) { w.nextPollDelay = d })
}

// DelayAnswers delays all answers of a worker, as when it or its machine is busy.
func (f *Fleet) DelayAnswers(id string, d time.Duration) error {
	return f.update(id, func(w *worker) { w.answerDelay = d })
}

// takeAnswerDelay returns the delay of an answer to a poll, and ends the delay that was set for one answer only.
func (w *worker) takeAnswerDelay() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	d := max(w.nextPollDelay, w.answerDelay)
	w.nextPollDelay = 0
	return d
}

// recordReportedEnds records that a box has received ends.
func (w *worker) recordReportedEnds(ends []fleet.End) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range ends {
		w.lastReportedEnd = max(w.lastReportedEnd, ends[i].Number)
	}
}

// errorFor returns the error of a command from a box to a worker that has ended or is out of its reach; nil if the
// box reaches it.
func (w *worker) errorFor(box string) error {
	switch {
	case w.replaced:
		return fleet.OtherIncarnation
	case w.cut || w.cutFrom[box]:
		return fleet.ErrNoAnswer
	case w.closedTo[everyBox] || w.closedTo[box] || w.processEnded:
		return fleet.ErrConnectionRefused
	}
	return nil
}

// isHardToReach reports whether a box may miss an answer of the worker, or get it late.
func (w *worker) isHardToReach() bool {
	for _, boxes := range []map[string]bool{w.cutFrom, w.closedTo} {
		for _, blocked := range boxes {
			if blocked {
				return true
			}
		}
	}
	return w.cut || w.delayedCommands > 0 || w.delayedPolls > 0 || w.droppedAnswers > 0 || w.nextPollDelay > 0 || w.answerDelay > 0
}

// waitForClose waits until the process of an exiting worker ends, or until ctx ends, and returns the error that the
// box sees.
func waitForClose(ctx context.Context, changed <-chan struct{}) error {
	select {
	case <-ctx.Done():
		return fleet.ErrNoAnswer
	case <-changed:
		return fleet.ErrConnectionClosed
	}
}

// ExitMode says how a worker's process ends just after a run there.
type ExitMode struct {
	LosesAnswers bool // Answers are lost between the end of the run and that of the process.
	AtDeparture  bool // Applies only once the time has passed for which the worker stays.
	// The process crashes in the way that SetCrash has set; otherwise the worker leaves as announced.
	Crash bool
}

const (
	// exitDelay is the time from the end of a run to that of the process.
	exitDelay = 5 * time.Millisecond
	// recordRemovalDelay is the time from the end of a departing worker's process to the removal of its record; 2 to
	// 35 ms were seen.
	recordRemovalDelay = 20 * time.Millisecond
)

// ExitAfterRun ends a worker's process a few ms after it has listed the next successful run of a job.
func (f *Fleet) ExitAfterRun(id job.ID, mode ExitMode) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.exits[id] = mode
}

// isDepartureDue reports whether the time has passed for which a departing worker stays. The caller holds the lock.
func (f *Fleet) isDepartureDue(id string) bool {
	due, departing := f.departsAt[id]
	return departing && !time.Now().Before(due)
}

// SetStopDuration sets how long a stop takes. Until then a run that is being stopped makes no progress but uses its
// resources.
func (f *Fleet) SetStopDuration(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopDuration = d
}

// stopTime returns how long a stop takes.
func (f *Fleet) stopTime() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stopDuration
}

// scheduleExit schedules the end of the worker's process if one was requested for this job. The caller holds
// the worker's lock.
func (w *worker) scheduleExit(id job.ID) {
	f := w.fleet
	f.mu.Lock()
	mode, ok := f.exits[id]
	ok = ok && (!mode.AtDeparture || f.isDepartureDue(w.record.ID))
	if ok {
		delete(f.exits, id)
	}
	f.mu.Unlock()
	if !ok {
		return
	}
	w.exiting, w.leaseKept = mode.LosesAnswers, true
	time.AfterFunc(exitDelay, func() { w.endProcess(mode) })
}

// endProcess ends a worker's process in the requested way.
func (w *worker) endProcess(mode ExitMode) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead {
		return
	}
	if mode.Crash {
		w.crash()
		return
	}
	w.terminate(true)
	f := w.fleet
	go func() {
		if interval.Sleep(f.ctx, recordRemovalDelay) {
			f.forgetIncarnation(w.incarnation)
		}
	}()
}
