package scheduler

import (
	"slices"
	"time"

	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/internal/ledger"
	"go.uber.org/zap"
)

const (
	// narrowedFor is how long after a batch that the store refused for its size further batches hold progress only.
	narrowedFor = 5 * time.Second
	// refusedJobPause is how long a job whose progress the store refuses by itself is left out of batches.
	refusedJobPause = 10 * time.Second
)

// refusedBatch limits batches after the store has refused one as invalid, so that what it refuses does not stop the
// commits of other jobs. The zero value limits nothing.
type refusedBatch struct {
	until   time.Time            // Until then, batches hold only progress.
	maxJobs int                  // Maximum number of jobs in such a batch.
	paused  map[job.ID]time.Time // Jobs whose progress is refused by itself, and until when they are left out.
}

// narrowed reports whether batches are limited.
func (b *refusedBatch) narrowed(now time.Time) bool { return now.Before(b.until) }

// leavesOut reports whether a job is left out of batches.
func (b *refusedBatch) leavesOut(id job.ID, now time.Time) bool { return now.Before(b.paused[id]) }

// recordRefusedBatch records that the store refused a batch for its size. The next one holds only progress, and each
// further one half of the jobs of the one before. A job that is refused alone is left out.
func (h *shard) recordRefusedBatch(f *pendingCommit, now time.Time) {
	b, jobs := &h.refusedBatch, len(f.batch.Progress)
	h.Figures.Count("batches_refused")
	switch {
	case !f.narrowed:
		b.maxJobs = max(jobs, 1)
	case jobs > 1:
		b.maxJobs = jobs / 2
	default:
		for id := range f.batch.Progress {
			h.Log.Error("scheduler: the store refuses the progress of a job; committing other jobs without it", zap.String("job", string(id)), zap.Int("tasks", len(f.batch.Progress[id].Tasks)))
			if b.paused == nil {
				b.paused = map[job.ID]time.Time{}
			}
			b.paused[id] = now.Add(refusedJobPause)
		}
	}
	b.until = now.Add(narrowedFor)
}

// recordAcceptedBatch lets the next batches of progress be larger again.
func (h *shard) recordAcceptedBatch(f *pendingCommit) {
	if f.narrowed {
		h.refusedBatch.maxJobs = min(2*h.refusedBatch.maxJobs, ledger.MaxBatchRows)
	}
	for id := range f.batch.Progress {
		delete(h.refusedBatch.paused, id)
	}
}

// jobsToCommit returns those of the changed jobs from which a batch is filled. For a narrowed batch it returns the
// first of them in order, so that halving their number finds those that are refused.
func (h *shard) jobsToCommit(changed map[job.ID]bool, narrowed bool) []job.ID {
	now, ids := time.Now(), make([]job.ID, 0, len(changed))
	for id := range changed {
		if !h.refusedBatch.leavesOut(id, now) {
			ids = append(ids, id)
		}
	}
	if narrowed {
		slices.Sort(ids)
		ids = ids[:min(len(ids), h.refusedBatch.maxJobs)]
	}
	return ids
}

// countCommittable returns the number of changed jobs that batches do not leave out.
func (h *shard) countCommittable(changed map[job.ID]bool, now time.Time) int {
	if len(h.refusedBatch.paused) == 0 {
		return len(changed)
	}
	n := 0
	for id := range changed {
		if !h.refusedBatch.leavesOut(id, now) {
			n++
		}
	}
	return n
}
