package scheduler

import (
	"context"
	"maps"
	"time"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/interval"
	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/internal/ledger"
	"github.com/pulleyring/pulleyring/internal/logsink"
	"github.com/pulleyring/pulleyring/internal/store"
	"go.uber.org/zap"
)

// uncommitted holds the changes from which the next batches are built.
type uncommitted struct {
	dirtyJobs      map[job.ID]bool          // Jobs whose progress has changed since it was last committed.
	stateChanges   map[job.ID]bool          // Other jobs that are running and stored as queued, or the reverse.
	committing     map[job.ID]*job.Progress // Progress in the batch that is being committed.
	pendingStarts  []*run                   // Placed runs that are started once the placement is committed.
	droppedJobs    []ledger.JobDeletion     // Jobs of which only the progress rows remain to be deleted.
	pendingByQueue map[string]int           // Number of jobs of which no run has begun, by queue, as last committed.
	unbegun        unbegunRow
	refusedBatch   refusedBatch
}

// commitLoop makes decisions and commits until the lease is lost or ctx ends. If ctx ends, it releases the lease.
func (h *shard) commitLoop(ctx context.Context) error {
	lastCommit := time.Time{}
	pause := retryDelay
	for ctx.Err() == nil {
		if h.isReplaced() {
			return ledger.ErrLeaseTaken
		}
		f := h.prepare(time.Since(lastCommit) >= heartbeatInterval)
		if f == nil {
			interval.SleepOrWoken(ctx, h.untilNextCommit(lastCommit), h.wake)
			continue
		}
		lastCommit = time.Now()
		err := h.commit(ctx, f)
		if errors.Is(err, ledger.ErrLeaseTaken) {
			h.Log.Warn("scheduler: another box has taken the lease; ending the lease term", zap.Int64("epoch", h.leaseTerm.Epoch()))
			return err
		}
		if errors.Is(err, store.ErrInvalid) {
			interval.Sleep(ctx, minCommitInterval)
			continue
		}
		if err != nil {
			interval.Sleep(ctx, pause)
			pause = min(2*pause, maxRetryDelay)
			continue
		}
		pause = retryDelay
		interval.Sleep(ctx, minCommitInterval-time.Since(lastCommit))
	}
	return h.releaseLease()
}

func (h *shard) isReplaced() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.replaced
}

// untilNextCommit returns how long to wait until the next commit or decision is due.
func (h *shard) untilNextCommit(lastCommit time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	wait := heartbeatInterval - time.Since(lastCommit)
	if h.anyWaiting() {
		wait = min(wait, maxDecisionInterval-time.Since(h.lastDecision))
	}
	return max(wait, time.Millisecond)
}

// pendingCommit is a batch and the actions to take once it is committed.
type pendingCommit struct {
	batch       ledger.Batch
	narrowed    bool                       // It holds only progress, because the store refused another batch.
	starts      []*run                     // Runs to start.
	appliedEnds map[*endCursor]appliedEnds // Reported ends of runs whose effects are committed with the batch.
}

// appliedEnds holds the number up to which all ends of runs that a worker has reported are applied. Workers number
// the ends that they report.
type appliedEnds struct {
	worker *workerState
	upTo   int64
}

// prepare makes a decision if one is due and builds the next batch. It returns nil if there is nothing to commit and
// no heartbeat is due.
func (h *shard) prepare(heartbeatDue bool) *pendingCommit {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sampleWorkers(time.Now())
	h.updateSpeeds(time.Now())
	if h.decisionDue || h.anyWaiting() && time.Since(h.lastDecision) >= maxDecisionInterval {
		h.decideOrPostpone()
	}
	h.keepReturned()
	unbegun := h.requeueUnbegun(time.Now())
	pending := h.countPending()
	f := &pendingCommit{batch: ledger.Batch{Progress: map[job.ID]*job.Progress{}}, appliedEnds: map[*endCursor]appliedEnds{}, narrowed: h.refusedBatch.narrowed(time.Now())}
	others := len(h.droppedJobs) > 0 || h.countCommittable(h.stateChanges, time.Now()) > 0 || h.addresses.rowsLeftOver || !maps.Equal(pending, h.pendingByQueue)
	if h.countCommittable(h.dirtyJobs, time.Now()) == 0 && !heartbeatDue && (f.narrowed || !others) {
		return nil
	}
	if !f.narrowed {
		h.collectLoad(&f.batch, time.Now())
	}
	h.collectProgress(f)
	for id := range f.batch.Progress {
		delete(h.dirtyJobs, id)
		delete(h.stateChanges, id)
	}
	h.committing = f.batch.Progress
	h.collectFollowUps(f)
	if f.narrowed {
		return f
	}
	h.collectUnbegun(&f.batch, unbegun)
	h.collectAddresses(&f.batch)
	h.collectSpeeds(&f.batch, time.Now())
	f.batch.Delete = h.takeDropped()
	if !maps.Equal(pending, h.pendingByQueue) {
		f.batch.Summary = &ledger.Summary{Pending: pending}
		h.pendingByQueue = pending
	}
	return f
}

// stateRows is the number of rows of a full batch that are kept for jobs that have only begun or are queued again. In a flood
// of jobs that begin late, more of them would delay placements and ends.
const stateRows = 10

// collectProgress adds changed progress to a batch, up to its limits. The first job may exceed them.
func (h *shard) collectProgress(f *pendingCommit) {
	room := batchRoom{rows: ledger.MaxBatchRows, bytes: ledger.MaxBatchBytes}
	if f.batch.Load != nil {
		room.rows -= loadRows
	}
	if f.narrowed {
		h.fillBatch(f, &room, h.jobsToCommit(h.dirtyJobs, true))
		return
	}
	changed := h.jobsToCommit(h.stateChanges, false)
	kept := min(stateRows, len(changed))
	room.rows -= kept
	h.fillBatch(f, &room, h.jobsToCommit(h.dirtyJobs, false))
	room.rows += kept
	h.fillBatch(f, &room, changed)
}

// batchRoom is how many rows and bytes of progress a batch still takes.
type batchRoom struct{ rows, bytes int }

// fillBatch adds the progress of jobs to a batch until one does not fit.
func (h *shard) fillBatch(f *pendingCommit, room *batchRoom, ids []job.ID) {
	for _, id := range ids {
		p := &h.jobs[id].Progress
		bytes, rows, overflow := h.Ledger.Measure(p)
		if len(f.batch.Progress) > 0 && (rows > room.rows || bytes > room.bytes) {
			return
		}
		room.rows, room.bytes = room.rows-rows, room.bytes-bytes
		p.OverflowRows = max(p.OverflowRows, overflow)
		f.batch.Progress[id] = copyProgress(p)
	}
}

// loadRows is the number of rows that a summary of the load takes. It has its place in each batch: beside a flood of new
// jobs, all batches are full.
const loadRows = 2

// collectFollowUps adds the runs whose placement is in the batch to its follow-up actions. If the batch contains all
// changed progress, it also adds the ends of runs that can then be acknowledged to the workers.
func (h *shard) collectFollowUps(f *pendingCommit) {
	var later []*run
	for _, r := range h.pendingStarts {
		if f.batch.Progress[r.task.Job] == nil {
			later = append(later, r)
			continue
		}
		f.starts = append(f.starts, r)
	}
	h.pendingStarts = later
	if h.countCommittable(h.dirtyJobs, time.Now()) > 0 {
		return
	}
	for _, w := range h.workers {
		if w.applied > w.acknowledged {
			f.appliedEnds[w.endCursor] = appliedEnds{w, w.endCursor.applied}
		}
	}
}

func copyProgress(p *job.Progress) *job.Progress {
	c := *p
	c.Tasks = append([]job.TaskProgress(nil), p.Tasks...)
	c.GangRuns = append([]int(nil), p.GangRuns...)
	c.Losses, c.FailedRuns = maps.Clone(p.Losses), maps.Clone(p.FailedRuns)
	return &c
}

// commit writes a batch to the store and runs its follow-up actions. If that fails, it puts the changes back for the
// next batch.
func (h *shard) commit(ctx context.Context, f *pendingCommit) error {
	began, suspended := time.Now(), h.totalSuspended()
	timed, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	err := h.leaseTerm.Commit(timed, &f.batch)
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		h.restoreChanges(f)
		if errors.Is(err, store.ErrInvalid) {
			h.recordRefusedBatch(f, time.Now())
		} else {
			h.storeFailedAt = time.Now()
		}
		if !errors.Is(err, ledger.ErrLeaseTaken) {
			h.Log.Warn("scheduler: commit failed; retrying", logsink.Error(err), zap.Int("rows", len(f.batch.Progress)))
		}
		return err
	}
	h.recordAcceptedBatch(f)
	h.afterCommit(f, began, suspended)
	return nil
}

// afterCommit starts the follow-up actions of a committed batch: it acknowledges ends and starts runs.
func (h *shard) afterCommit(f *pendingCommit, began time.Time, suspended time.Duration) {
	h.lastCommit, h.lastCommitSuspended, h.committing = began, suspended, nil
	h.recentCommits.add(h.leaseTerm.LastCommitVersion(), began)
	h.Figures.Add("speeds_written", int64(len(f.batch.Speeds)))
	for ends, a := range f.appliedEnds {
		ends.acknowledged = max(ends.acknowledged, a.upTo)
		a.worker.signal()
	}
	for _, r := range f.starts {
		h.launch(r)
	}
	h.sendStarts()
}

// restoreChanges puts the changes of a failed batch back, so that the next batch contains them.
func (h *shard) restoreChanges(f *pendingCommit) {
	h.committing = nil
	for id := range f.batch.Progress {
		if h.jobs[id] != nil { // Otherwise the job was dropped and its rows are deleted.
			h.setDirty(id)
		}
	}
	h.pendingStarts = append(f.starts, h.pendingStarts...)
	h.droppedJobs = append(h.droppedJobs, f.batch.Delete...)
	if f.batch.Summary != nil {
		h.pendingByQueue = nil
	}
	if f.batch.Unbegun != nil {
		h.unbegun.uncertain = true
	}
	if f.batch.Load != nil {
		h.publishedLoad.uncertain = true
	}
	for row := range f.batch.Addresses {
		h.addresses.touch(row)
	}
	for row := range f.batch.Speeds {
		h.speeds.rows.touch(row)
	}
}

// releaseTimeout limits the release of the lease at a planned stop. If the release fails, the other boxes take the
// lease after a few missed heartbeats.
const releaseTimeout = 500 * time.Millisecond

// releaseLease commits the remaining changes, up to the limits of a batch, and releases the lease.
func (h *shard) releaseLease() error {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	h.mu.Lock()
	f := &pendingCommit{batch: ledger.Batch{Progress: map[job.ID]*job.Progress{}, Release: true}}
	h.collectProgress(f)
	h.mu.Unlock()
	err := h.leaseTerm.Commit(ctx, &f.batch)
	h.Log.Info("scheduler: gave the lease back", zap.Int64("epoch", h.leaseTerm.Epoch()), logsink.Error(err))
	return err
}

// countPending returns the number of jobs by queue of which no run has begun.
func (h *shard) countPending() map[string]int {
	pending := map[string]int{}
	for _, j := range h.jobs {
		if j.Progress.State == job.Queued {
			pending[j.Request.Terms.Queue]++
		}
	}
	return pending
}
