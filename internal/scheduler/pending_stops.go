package scheduler

import (
	"maps"
	"time"
)

// pendingStopRetention is how long the stop of a run on a lost worker is remembered: far longer than a command
// is in flight.
const pendingStopRetention = time.Minute

// pendingStops is what may still start on a worker that was declared lost.
type pendingStops struct {
	stops      map[*run]bool      // Runs whose stops the worker must accept before its leases are renewed.
	openStarts map[*run]openStart // Runs whose stops a later incarnation must accept.
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

// keepPendingStops keeps the pending stops of a worker that is declared lost, as it may return.
func (h *shard) keepPendingStops(w *workerState, cause lossCause) {
	maps.DeleteFunc(h.pendingStops, func(_ string, o pendingStops) bool {
		maps.DeleteFunc(o.stops, func(r *run, _ bool) bool { return time.Since(r.startSent) > pendingStopRetention })
		maps.DeleteFunc(o.openStarts, func(_ *run, o openStart) bool { return time.Since(o.sent) > openStartRetention })
		return len(o.stops)+len(o.openStarts) == 0
	})
	if len(w.pendingStops)+len(w.openStarts) > 0 && !cause.proves() {
		h.pendingStops[w.ID] = pendingStops{w.pendingStops, w.openStarts}
	}
}

// restorePendingStops restores the pending stops of a worker that has returned.
func (h *shard) restorePendingStops(w *workerState) {
	w.pendingStops, w.openStarts = h.pendingStops[w.ID].stops, h.pendingStops[w.ID].openStarts
	delete(h.pendingStops, w.ID)
	for r := range w.pendingStops {
		h.background.Go(func() { h.sendStop(w, r) })
	}
}

// isStopWanted reports whether a run's stop still has to be sent to the worker.
func (w *workerState) isStopWanted(r *run) bool {
	return !w.declaredLost && (w.runs[r.task] == r || w.pendingStops[r])
}
