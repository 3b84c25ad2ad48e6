package scheduler

import (
	"time"

	"github.com/pulleyring/pulleyring/internal/interval"
	"go.uber.org/zap"
)

const (
	// recordReturnTime is how long after the end of an outage of the store or of the worker an expired record is
	// seen again. A worker writes it within about 2 s; heartbeatDelay covers the interval of the feed.
	recordReturnTime = 2*time.Second + heartbeatDelay
	// unannouncedCheckInterval is the time between checks whether a worker without a record answers.
	// massExpiryCheckInterval is the time between checks whether most other records are missing too.
	unannouncedCheckInterval = 100 * time.Millisecond
	massExpiryCheckInterval  = 500 * time.Millisecond
)

// watchUnannounced starts to watch a worker, whose record went missing after asOf, for an unannounced departure.
// It does nothing for a worker without a known address, which can't be polled.
func (h *shard) watchUnannounced(w *workerState, asOf time.Time) {
	if w.Address == "" {
		return
	}
	gone := w.unlistedAt
	h.background.Go(func() { h.drainUnannounced(w, gone, asOf) })
}

// drainUnannounced drains a worker whose record is missing, as if it had announced its departure, once an
// unannounced departure is certain enough. The worker stays at least for Bounds.MinStay after asOf, the earliest
// time at which the record can have gone. A zero asOf means that only a predecessor saw the record, so that the
// worker may be gone at any moment. Gone is when the record was found missing.
func (h *shard) drainUnannounced(w *workerState, gone, asOf time.Time) {
	if h.ctx.Err() != nil {
		return
	}
	h.pollOnce(w, answerTimeout) // The last report came before the record went missing.
	for {
		h.mu.Lock()
		wait, missing := h.untilUnannounced(w, gone, time.Now())
		earliest := asOf.Add(h.Bounds.MinStay)
		if missing && wait <= 0 {
			w.leavesAt, w.staysUntil = earliest, earliest
			h.Figures.Count("workers_left_unsaid")
			h.Log.Info("scheduler: worker leaves unannounced; stopping its runs in time", zap.Inline(w.incarnation), zap.Int("runs", len(w.runs)),
				zap.Duration("left", time.Until(earliest)), h.observedStateField(w))
		}
		h.mu.Unlock()
		if !missing {
			return
		}
		if wait <= 0 {
			h.drainLeaving(w, earliest)
			return
		}
		if !interval.Sleep(h.ctx, wait) {
			return
		}
	}
}

// untilUnannounced returns how long to wait until a record missing since gone proves an unannounced departure,
// and whether it is still missing. A record also expires in an outage of the store or of the worker, and
// reappears soon after either answers again. If the store works and the worker has answered since the record
// went, the worker is leaving.
func (h *shard) untilUnannounced(w *workerState, gone, now time.Time) (wait time.Duration, missing bool) {
	if w.declaredLost || w.listed || w.Draining || !w.unlistedAt.Equal(gone) {
		return 0, false
	}
	well := w.knownSince // Earlier faults are unknown.
	for _, wrong := range []time.Time{w.backAt, h.storeFailedAt} {
		if wrong.After(well) {
			well = wrong
		}
	}
	if left := well.Add(recordReturnTime).Sub(now); left > 0 {
		return left, true
	}
	switch {
	case w.failures > 0 || !w.clockAt.After(gone):
		return unannouncedCheckInterval, true
	case h.haveMostExpired():
		return massExpiryCheckInterval, true
	}
	return 0, true
}

// haveMostExpired reports whether the records of so many workers are missing that these can't all have left. Then
// the store may be refusing workers' calls while it serves boxes. That is so if the workers with runs and without
// a record are at least as many as all workers with a record.
func (h *shard) haveMostExpired() bool {
	balance := 0
	for _, w := range h.workers {
		switch {
		case w.listed:
			balance++
		case len(w.runs) > 0:
			balance--
		}
	}
	return balance <= 0
}
