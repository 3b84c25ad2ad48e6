package scheduler

import (
	"maps"
	"time"

	"github.com/pulleyring/pulleyring/internal/incarnation"
	"go.uber.org/zap"
)

// pastWorkers is what is remembered of workers that have ended or were declared lost.
type pastWorkers struct {
	endedIncarnations map[string]endedIncarnation      // The last ended incarnation of each worker, by its name.
	presumedLosses    map[incarnation.ID]*presumedLoss // Those whose runs were presumed ended without a report.
	pendingStops      map[string]pendingStops          // Pending stops of workers that were declared lost, by their names.
}

// endedIncarnation is an incarnation that has ended, and when that was found.
type endedIncarnation struct {
	incarnation incarnation.ID
	at          time.Time
}

// checkSilence presumes the runs of a silent worker ended once its leases have surely expired. A missing
// record, a closed connection or a refused one is not enough, as workers that still live show these too.
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
	if w.failures == 0 || time.Now().Before(w.leases.endedBy) {
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

// endedIncarnationRetention is how long an ended incarnation is remembered: its record is gone long before.
const endedIncarnationRetention = time.Minute

// hasEnded reports whether a record is of an ended incarnation, as records remain for some seconds.
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
