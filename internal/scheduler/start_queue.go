package scheduler

import (
	"sync"
	"time"
)

const (
	// maxStartSlots limits the starts that are being sent. If a box sends many more at once than it has time for, most are
	// not sent before their timeout, and begin anew.
	maxStartSlots = 64
	// startSlotTime is how long a start without an answer occupies a slot. Workers that don't answer must not hold up the
	// starts on others.
	startSlotTime = 200 * time.Millisecond
	// maxStartsPerDecision limits the tasks that one decision starts. Each workspace gets an equal share, so that its work
	// does not wait for the tasks of others, and what is more urgent by the time of the next decision goes first.
	maxStartsPerDecision = 1024
	// maxQueuedStarts is the number of queued starts above which decisions wait.
	maxQueuedStarts = 256
)

// startQueue holds the runs whose placement is committed until their start is sent.
type startQueue struct {
	queued    []*run
	slots     int  // Slots that are occupied.
	postponed bool // A decision waits until fewer starts are queued.
}

// isFull reports whether decisions wait.
func (q *startQueue) isFull() bool { return len(q.queued) > maxQueuedStarts }

// sendStarts sends queued starts while slots are free.
func (h *shard) sendStarts() {
	q := &h.startQueue
	for len(q.queued) > 0 && q.slots < maxStartSlots && h.ctx.Err() == nil {
		r := q.queued[0]
		q.queued[0], q.queued = nil, q.queued[1:]
		if r.worker.runs[r.task] != r || r.stopping {
			r.starting = false
			continue
		}
		q.slots++
		h.background.Go(func() { h.startInSlot(r) })
	}
	if q.postponed && !q.isFull() {
		q.postponed = false
		h.signal()
	}
}

// startInSlot starts a run, and frees its slot once the start is answered or startSlotTime is over.
func (h *shard) startInSlot(r *run) {
	release := sync.OnceFunc(func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.startQueue.slots--
		h.sendStarts()
	})
	defer release()
	timer := time.AfterFunc(startSlotTime, release)
	defer timer.Stop()
	h.start(r.worker, r)
}
