package scheduler

import (
	"maps"
	"time"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/fleet"
	"go.uber.org/zap"
)

// judgeSilence gives up a worker that does not answer once everything on it has surely ended: its lease is over, or it
// said that it would leave and its record is gone.
func (h *shard) judgeSilence(w *workerState) {
	if w.gone || w.failures == 0 && w.listed {
		return
	}
	if !w.listed && w.Draining && w.failures > 0 {
		h.loseWorker(w, hasLeft)
		return
	}
	if !w.listed && w.failures > 1 && h.recordsCount(w) {
		h.loseWorker(w, recordGone)
		return
	}
	if !w.listed && len(w.runs) == 0 {
		h.loseWorker(w, recordGone)
		return
	}
	if w.failures == 0 || len(w.runs) == 0 {
		return
	}
	if time.Now().After(w.lastOrder.Add(h.leaseSurelyOver())) {
		h.Log.Warn("scheduler: leases of a silent worker are over", zap.String("worker", w.ID), zap.Int("runs", len(w.runs)), h.beliefOf(w))
		w.silentSince = time.Now()
		h.loseRuns(w, leasesOver)
	}
}

const (
	// recordGrace is how long a record must have been gone before a worker that does not answer counts as gone.
	recordGrace = 500 * time.Millisecond
	// recordReturn is how long after an outage of the store the records of workers that live may be missing (the pages:
	// about two seconds).
	recordReturn = 2500 * time.Millisecond
	// recordLapse is how long after the begin of an outage records may go because of it: three heartbeats and some.
	recordLapse = 10 * time.Second
)

// recordsCount reports whether the lack of a worker's record means that the worker is gone: it does unless the store was
// in trouble lately.
func (h *shard) recordsCount(w *workerState) bool {
	quiet := time.Since(h.storeTrouble)
	if quiet > recordLapse {
		return time.Since(w.unlisted) > recordGrace
	}
	return quiet > recordReturn && time.Since(w.unlisted) > recordReturn
}

// leaseSurelyOver is the time after the last order by which a silent worker has ended everything.
func (h *shard) leaseSurelyOver() time.Duration {
	return time.Duration(float64(h.Bounds.MaxLease)*(1+clockDrift)) + h.Bounds.StopTime + answerTimeout
}

// A worker that lives also closes connections, idle ones, and an order that crosses that on its way sees a hang-up too.
const (
	// hangUpAfter is the age from which a look is no such order: it would have found out within a round trip of a few ms.
	hangUpAfter = 50 * time.Millisecond
	// connectionFresh is how long after a look's answer the next look goes over the same connection before that can count as
	// idle; workers keep idle ones for 2 s.
	connectionFresh = 500 * time.Millisecond
)

// dueToLeave reports whether the time that a worker said it had left is over.
func (w *workerState) dueToLeave(now time.Time) bool {
	return w.Draining && !w.leavesAt.IsZero() && now.After(w.leavesAt)
}

// hasEnded reports whether an order without an answer shows that the worker's process is gone, with all that ran there: it closed
// the connection of a look in order, or of any order once it was due to leave, has not answered since, and nobody listens
// at its address. A worker that is cut off does not do both: its connections are reset or silent, and those that are open
// go on where new ones are refused. Its record shows it up to 4.5 s longer (three heartbeats), for which gangs with a
// member there waited.
func (w *workerState) hasEnded(err error) bool {
	return w.hungUp && errors.Is(err, fleet.ErrNotListening)
}

// endedLifeKept is how long the name of a life that has ended is kept: its record is gone long before.
const endedLifeKept = time.Minute

// endLife gives up a worker whose process has ended.
func (h *shard) endLife(w *workerState) {
	if w.gone {
		return
	}
	maps.DeleteFunc(h.lives, func(_ string, ended time.Time) bool { return time.Since(ended) > endedLifeKept })
	h.lives[w.ID] = time.Now()
	h.loseWorker(w, processEnded)
	h.changed = true
	h.signal()
}
