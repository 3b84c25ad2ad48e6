package scheduler

import (
	"time"

	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/internal/ledger"
	"go.uber.org/zap"
)

// earlyCancellation is a cancellation that arrived before the request of its job. The request may be in another part of
// the store, where no condition excludes it: each of the two is written to a fallback part if the primary one is
// unavailable at that moment.
type earlyCancellation struct {
	version int64     // Version of its row.
	at      time.Time // Time of arrival.
}

// addEarlyCancellation keeps a cancellation until the request of its job arrives, or for as long as jobs are shown.
// Reads of all rows return the same cancellation again; only a newer one extends that time.
func (h *shard) addEarlyCancellation(c *ledger.Change) {
	if e, found := h.earlyCancellations[c.ID]; found && c.Version <= e.version {
		return
	}
	h.earlyCancellations[c.ID] = earlyCancellation{c.Version, time.Now()}
	h.Log.Info("scheduler: keeping a cancellation until its request arrives", zap.String("job", string(c.ID)),
		zap.Int64("version", c.Version), zap.String("fallback_part", c.FallbackPart))
}

// applyEarlyCancellation cancels a new job whose cancellation arrived before its request.
func (h *shard) applyEarlyCancellation(id job.ID) {
	e, found := h.earlyCancellations[id]
	if !found {
		return
	}
	delete(h.earlyCancellations, id)
	h.Log.Info("scheduler: a request arrived after its cancellation", zap.String("job", string(id)),
		zap.Int64("cancellation_version", e.version), zap.Duration("after", time.Since(e.at)))
	h.jobs[id].recordVersion(e.version)
	h.cancelJob(id)
}

// cancelJob cancels a job and stops its runs.
func (h *shard) cancelJob(id job.ID) {
	if !h.jobs[id].Cancel(time.Now().UnixMilli()) {
		return
	}
	h.Log.Info("scheduler: job cancelled", zap.String("job", string(id)))
	h.markDirty(id)
	h.stopJob(id, "cancelled")
}

// stopJob stops every run of a job.
func (h *shard) stopJob(id job.ID, why string) {
	for _, w := range h.workers {
		for task, r := range w.runs {
			if task.Job == id {
				h.stop(w, r, why)
			}
		}
	}
}
