package scheduler

import (
	"maps"
	"time"

	"github.com/pulleyring/pulleyring/internal/incarnation"
	"go.uber.org/zap"
)

// pastWorkers is the state kept of workers that have ended or were declared lost, in case they return.
type pastWorkers struct {
	endedIncarnations map[string]endedIncarnation      // The last ended incarnation of each worker, by its name.
	presumedLosses    map[incarnation.ID]*presumedLoss // Incarnations whose runs were presumed ended without a report.
	pendingStops      map[string]pendingStops          // Pending stops of workers that were declared lost, by their names.
}

// endedIncarnation is an incarnation of a worker that is known to have ended.
type endedIncarnation struct {
	incarnation incarnation.ID
	at          time.Time // When it was found to have ended.
}

// checkSilence presumes the runs of a silent worker ended once its leases have surely expired. A missing record,
// or a closed or refused connection, is no proof of the end, because workers that still run show these too.
func (h *shard) checkSilence(w *workerState) {
	if w.declaredLost || w.failures == 0 && w.listed {
		return
	}
	if len(w.runs) == 0 {
		if !w.listed {
			h.declareLost(w, recordGone)
		}
		return
	}
	if w.failures == 0 || time.Now().Before(w.leases.runsEndedBy) {
		return
	}
	if !w.listed {
		h.declareLost(w, leasesExpired)
		return
	}
	h.Log.Warn("scheduler: leases of a silent worker have expired; its runs are presumed ended", zap.Inline(w.incarnation), zap.Int("runs", len(w.runs)), h.observedStateField(w))
	w.silentSince = time.Now()
	h.loseRuns(w, leasesExpired)
}

// endedIncarnationRetention is how long an ended incarnation is kept, so that its record is ignored. The store
// drops the record long before that.
const endedIncarnationRetention = time.Minute

// hasEnded reports whether the incarnation l is known to have ended. Its record remains in the store for some
// seconds after that and must be ignored.
func (h *shard) hasEnded(l incarnation.ID) bool {
	e, known := h.endedIncarnations[l.Worker]
	return known && !l.IsLaterThan(e.incarnation) && time.Since(e.at) <= endedIncarnationRetention
}

// endIncarnation declares a worker lost, because another incarnation answers at its address.
func (h *shard) endIncarnation(w *workerState) {
	if w.declaredLost {
		return
	}
	maps.DeleteFunc(h.endedIncarnations, func(_ string, e endedIncarnation) bool { return time.Since(e.at) > endedIncarnationRetention })
	h.endedIncarnations[w.ID] = endedIncarnation{w.incarnation, time.Now()}
	h.declareLost(w, otherIncarnation)
	h.decisionDue = true
	h.signal()
}
