package scheduler

import (
	"maps"
	"time"

	"github.com/pulleyring/pulleyring/internal/life"
	"go.uber.org/zap"
)

// pastWorkers is what is remembered of workers that have ended or were declared lost.
type pastWorkers struct {
	lives   map[string]endedLife // The last ended incarnation of each worker, by its name.
	givenUp map[life.ID]*givenUp // Those whose runs were presumed ended without a report.
	owed    map[string]owedStops // Pending stops of workers that were declared lost, by their names.
}

// endedLife is an incarnation that has ended, and when that was found.
type endedLife struct {
	incarnation life.ID
	at          time.Time
}

// checkSilence presumes the runs of a silent worker ended once its leases have surely expired. A missing
// record, a closed connection or a refused one is not enough, as workers that still live show these too.
func (h *shard) checkSilence(w *workerState) {
	if w.gone || w.failures == 0 && w.listed {
		return
	}
	if len(w.runs) == 0 {
		if !w.listed {
			h.loseWorker(w, recordGone)
		}
		return
	}
	if w.failures == 0 || time.Now().Before(w.leases.over) {
		return
	}
	if !w.listed {
		h.loseWorker(w, leasesOver)
		return
	}
	h.Log.Warn("scheduler: leases of a silent worker have expired; its runs are presumed ended", zap.Inline(w.life), zap.Int("runs", len(w.runs)), h.beliefOf(w))
	w.silentSince = time.Now()
	h.loseRuns(w, leasesOver)
}

// endedIncarnationRetention is how long an ended incarnation is remembered: its record is gone long before.
const endedIncarnationRetention = time.Minute

// hasEnded reports whether a record is of an ended incarnation, as records remain for some seconds.
func (h *shard) hasEnded(l life.ID) bool {
	e, known := h.lives[l.Worker]
	return known && !l.Follows(e.incarnation) && time.Since(e.at) <= endedIncarnationRetention
}

// endIncarnation declares a worker lost, because another incarnation answers at its address.
func (h *shard) endIncarnation(w *workerState) {
	if w.gone {
		return
	}
	maps.DeleteFunc(h.lives, func(_ string, e endedLife) bool { return time.Since(e.at) > endedIncarnationRetention })
	h.lives[w.ID] = endedLife{w.life, time.Now()}
	h.loseWorker(w, otherIncarnation)
	h.changed = true
	h.signal()
}
