package scheduler

import (
	"maps"
	"time"
)

// pendingStopRetention is how long a pending stop is kept for a worker that was declared lost, in case it returns.
// It is far longer than a start command is in flight.
const pendingStopRetention = time.Minute

// pendingStops holds the runs that may still start on a worker that was declared lost.
type pendingStops struct {
	stops            map[*run]bool            // Set of runs. No lease is renewed until their stops are accepted.
	unansweredStarts map[*run]unansweredStart // Runs whose stops a later incarnation must accept.
}

// addPendingStop records a pending stop for a run that was presumed ended when its worker's lease expired, if its
// start may still be executed. Renewing the lease would let it start, so no lease is renewed until the worker
// has accepted the stop.
func (h *shard) addPendingStop(w *workerState, r *run) {
	if r.startSent.IsZero() || !r.confirmed.IsZero() || !r.stopAccepted.IsZero() {
		return
	}
	if w.pendingStops == nil {
		w.pendingStops = map[*run]bool{}
	}
	w.pendingStops[r] = true
	if !r.stopping {
		h.background.Go(func() { h.sendStop(w, r) })
	}
}

// keepPendingStops keeps the pending stops of a worker that is declared lost, because it may return. It drops
// those of other workers that are too old.
func (h *shard) keepPendingStops(w *workerState, cause lossCause) {
	maps.DeleteFunc(h.pendingStops, func(_ string, o pendingStops) bool {
		maps.DeleteFunc(o.stops, func(r *run, _ bool) bool { return time.Since(r.startSent) > pendingStopRetention })
		maps.DeleteFunc(o.unansweredStarts, func(_ *run, o unansweredStart) bool { return time.Since(o.sent) > unansweredStartRetention })
		return len(o.stops)+len(o.unansweredStarts) == 0
	})
	if len(w.pendingStops)+len(w.unansweredStarts) > 0 && !cause.proves() {
		h.pendingStops[w.ID] = pendingStops{w.pendingStops, w.unansweredStarts}
	}
}

// restorePendingStops restores the pending stops of a worker that has returned, and sends them again.
func (h *shard) restorePendingStops(w *workerState) {
	w.pendingStops, w.unansweredStarts = h.pendingStops[w.ID].stops, h.pendingStops[w.ID].unansweredStarts
	delete(h.pendingStops, w.ID)
	for r := range w.pendingStops {
		h.background.Go(func() { h.sendStop(w, r) })
	}
}

// isStopWanted reports whether the stop of a run still has to be sent to the worker.
func (w *workerState) isStopWanted(r *run) bool {
	return !w.declaredLost && (w.runs[r.task] == r || w.pendingStops[r])
}
