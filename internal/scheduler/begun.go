package scheduler

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/internal/ledger"
	"github.com/pulleyring/pulleyring/internal/logsink"
	"go.uber.org/zap"
)

// beginTimeout is how long after its acceptance a job that is placed is shown as running although none of its runs is
// known to have begun. It covers all tries of a start and saves a write for each job that starts soon.
const beginTimeout = 2 * time.Second

// isPresumedBegun reports whether a placed job is shown as running without a run that is known to have begun.
func (j *trackedJob) isPresumedBegun(now time.Time) bool {
	accepted := time.UnixMilli(j.Request.Accepted) // By the clock of another box, which may be ahead.
	return now.Sub(accepted) < beginTimeout && now.Sub(j.placedSince) < beginTimeout
}

// unbegunRow is the state of the stored list of jobs that are shown as running although no run of them is known to have
// begun. A successor counts the other running jobs as begun.
type unbegunRow struct {
	ids       []job.ID // As last written.
	uncertain bool     // It is unknown whether that write took effect.
}

// recordBegun records that a run of a job has begun, by the answer or the report of its worker.
func (h *shard) recordBegun(j *trackedJob) {
	if j.RecordBegun() {
		h.markStateChanged(j.Request.ID)
	}
}

// recordReportedRun records that a run has begun that a worker reports as running or ended, whether it is tracked or not.
func (h *shard) recordReportedRun(t job.Task, number int) {
	j := h.jobs[t.Job]
	if j == nil || j.Begun() {
		return
	}
	if p, ok := j.Task(t); ok && number >= 1 && number <= p.Run {
		h.recordBegun(j)
	}
}

// requeueUnbegun makes jobs queued again of which no run is known to have begun in time, because the starts got no
// answer. It returns the jobs that are stored as running without any begun run.
func (h *shard) requeueUnbegun(now time.Time) (unbegun []job.ID) {
	for id, j := range h.jobs {
		if j.Begun() {
			continue
		}
		presumed := j.Progress.State == job.Running && j.isPresumedBegun(now)
		if !presumed {
			h.requeue(j, "the starts got no answer")
		}
		if presumed || h.stateChanges[id] {
			unbegun = append(unbegun, id)
		}
	}
	slices.Sort(unbegun)
	return unbegun
}

// readUnbegun reads the list that a predecessor has stored. A takeover does not depend on it, so that one in another
// format is left out.
func (h *shard) readUnbegun(ctx context.Context) ([]job.ID, error) {
	ids, err := h.Ledger.Unbegun(ctx)
	if errors.Is(err, ledger.ErrUnreadable) {
		h.Log.Warn("scheduler: unable to read which jobs have not begun; counting all running ones as begun", logsink.Error(err))
		return nil, nil
	}
	return ids, err
}

// requeueInherited makes jobs queued again that a predecessor had placed without knowing of a run that had begun. Those
// that have begun are shown as running as soon as a worker reports it.
func (h *shard) requeueInherited(ids []job.ID) {
	h.unbegun = unbegunRow{ids, false}
	for _, id := range ids {
		if j := h.jobs[id]; j != nil && j.Progress.State == job.Running {
			j.DoubtBegun()
			h.requeue(j, "placed by a predecessor")
		}
	}
}

func (h *shard) requeue(j *trackedJob, why string) {
	if !j.Requeue() {
		return
	}
	h.markStateChanged(j.Request.ID)
	h.Figures.Count("jobs_requeued")
	h.Log.Info("scheduler: job is queued again; none of its runs is known to have begun", zap.String("job", string(j.Request.ID)), zap.String("why", why))
}

// collectUnbegun adds the list of jobs without any begun run to a batch if the stored one differs.
func (h *shard) collectUnbegun(b *ledger.Batch, ids []job.ID) {
	if !h.unbegun.uncertain && slices.Equal(ids, h.unbegun.ids) {
		return
	}
	b.Unbegun = append([]job.ID{}, ids...) // An empty list is written, too.
	h.unbegun = unbegunRow{ids: ids}
}
