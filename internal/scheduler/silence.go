package scheduler

import (
	"maps"
	"time"

	"go.uber.org/zap"
)

// pastWorkers is what is remembered of workers whose runs were given up, by their names.
type pastWorkers struct {
	lives   map[string]time.Time     // Those that another life has followed, by when that was found.
	givenUp map[string]*givenUp      // Those whose runs were taken for over without their word.
	owed    map[string]map[*run]bool // Stops that are owed to those that are gone.
}

// judgeSilence gives up what runs on a worker that does not answer once its leases are surely over, and not before: no record, a closed
// connection or a refused one show of workers that live too.
func (h *shard) judgeSilence(w *workerState) {
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
	h.Log.Warn("scheduler: leases of a silent worker are over", zap.String("worker", w.ID), zap.Int("runs", len(w.runs)), h.beliefOf(w))
	w.silentSince = time.Now()
	h.loseRuns(w, leasesOver)
}

// endedLifeKept is how long the name of a life that has ended is kept: its record is gone long before.
const endedLifeKept = time.Minute

// endLife gives up a worker at whose address another life answers.
func (h *shard) endLife(w *workerState) {
	if w.gone {
		return
	}
	maps.DeleteFunc(h.lives, func(_ string, ended time.Time) bool { return time.Since(ended) > endedLifeKept })
	h.lives[w.ID] = time.Now()
	h.loseWorker(w, otherLife)
	h.changed = true
	h.signal()
}
