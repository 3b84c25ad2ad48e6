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
	"go.uber.org/zap"
)

// uncommitted is what the next batches are collected from.
type uncommitted struct {
	dirty    map[job.ID]bool          // Jobs whose progress is to be committed.
	underWay map[job.ID]*job.Progress // What is being committed.
	launches []*run                   // Placed runs to be ordered once they are committed.
	dropped  []ledger.Forgotten       // Jobs whose requests are deleted and whose progress is to be.
	pending  map[string]int           // Jobs by queue of which nothing was started, as last committed.
}

// commitLoop decides and commits until the tenure is over.
func (h *shard) commitLoop(ctx context.Context) error {
	lastCommit := time.Time{}
	pause := retryPause
	for ctx.Err() == nil {
		if h.isReplaced() {
			return ledger.ErrReplaced
		}
		f := h.prepare(time.Since(lastCommit) >= beatEvery)
		if f == nil {
			interval.SleepOrWoken(ctx, h.nextWake(lastCommit), h.wake)
			continue
		}
		lastCommit = time.Now()
		err := h.commit(ctx, f)
		if errors.Is(err, ledger.ErrReplaced) {
			h.Log.Warn("scheduler: replaced by another box", zap.Int64("epoch", h.tenure.Epoch()))
			return err
		}
		if err != nil {
			interval.Sleep(ctx, pause)
			pause = min(2*pause, retryMost)
			continue
		}
		pause = retryPause
		interval.Sleep(ctx, commitSpacing-time.Since(lastCommit))
	}
	return h.giveBack()
}

func (h *shard) isReplaced() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.replaced
}

func (h *shard) nextWake(lastCommit time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	wait := beatEvery - time.Since(lastCommit)
	if h.anyWaiting() {
		wait = min(wait, passEvery-time.Since(h.lastPass))
	}
	return max(wait, time.Millisecond)
}

// flight is a batch with what is to happen once it is committed.
type flight struct {
	batch    ledger.Batch
	launches []*run
	applied  map[*listedEnds]applied // Ends that the batch takes note of.
}

// applied is up to which of a worker's ends all are taken in.
type applied struct {
	worker *workerState
	upTo   int64
}

// prepare decides and collects what is to be committed; nil where there is nothing.
func (h *shard) prepare(beat bool) *flight {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.watchWorkers(time.Now())
	if h.changed || h.anyWaiting() && time.Since(h.lastPass) >= passEvery {
		h.pass()
	}
	pending := h.countPending()
	if len(h.dirty) == 0 && len(h.dropped) == 0 && !beat && !h.addresses.left && maps.Equal(pending, h.pending) {
		return nil
	}
	f := &flight{batch: ledger.Batch{Progress: map[job.ID]*job.Progress{}}, applied: map[*listedEnds]applied{}}
	rows, tasks := 0, 0
	for id := range h.dirty {
		j := h.jobs[id]
		if rows >= ledger.MaxBatchRows || tasks > 0 && tasks+len(j.Progress.Tasks) > ledger.MaxBatchTasks {
			break
		}
		rows += ledger.Rows(&j.Progress)
		tasks += len(j.Progress.Tasks)
		f.batch.Progress[id] = copyProgress(&j.Progress)
		delete(h.dirty, id)
	}
	h.underWay = f.batch.Progress
	h.collect(f)
	h.collectAddresses(&f.batch)
	f.batch.Forget = h.takeDropped()
	if !maps.Equal(pending, h.pending) {
		f.batch.Summary = &ledger.Summary{Pending: pending}
		h.pending = pending
	}
	return f
}

// collect adds the launches that the batch covers, and the ends that are taken note of once no progress is left over.
func (h *shard) collect(f *flight) {
	var later []*run
	for _, r := range h.launches {
		if f.batch.Progress[r.task.Job] == nil {
			later = append(later, r)
			continue
		}
		f.launches = append(f.launches, r)
	}
	h.launches = later
	if len(h.dirty) > 0 {
		return
	}
	for _, w := range h.workers {
		if w.applied > w.acknowledged {
			f.applied[w.listedEnds] = applied{w, w.listedEnds.applied}
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

// commit writes a batch and then sets off what had to wait for it.
func (h *shard) commit(ctx context.Context, f *flight) error {
	began, slept := time.Now(), h.sleptSoFar()
	timed, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	err := h.tenure.Commit(timed, &f.batch)
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		h.restore(f)
		h.storeOut = time.Now()
		if !errors.Is(err, ledger.ErrReplaced) {
			h.Log.Warn("scheduler: unable to commit", logsink.Error(err), zap.Int("rows", len(f.batch.Progress)))
		}
		return err
	}
	h.committed(f, began, slept)
	return nil
}

// committed sets off what had to wait for a batch.
func (h *shard) committed(f *flight, began time.Time, slept time.Duration) {
	h.held, h.heldSlept, h.underWay = began, slept, nil
	h.marks.add(h.tenure.Version(), began)
	for ends, a := range f.applied {
		ends.acknowledged = max(ends.acknowledged, a.upTo)
		a.worker.signal()
	}
	for _, r := range f.launches {
		h.launch(r)
	}
}

// restore puts back what a failed commit had taken.
func (h *shard) restore(f *flight) {
	h.underWay = nil
	for id := range f.batch.Progress {
		if h.jobs[id] != nil { // Else it was forgotten, and its rows are deleted.
			h.dirty[id] = true
		}
	}
	h.launches = append(f.launches, h.launches...)
	h.dropped = append(h.dropped, f.batch.Forget...)
	if f.batch.Summary != nil {
		h.pending = nil
	}
	for row := range f.batch.Addresses {
		h.addresses.touch(row)
	}
}

// releaseTimeout bounds the give-back of a lease at a planned stop; past it the others find out by its silence.
const releaseTimeout = 500 * time.Millisecond

// giveBack commits what is left and gives the lease back.
func (h *shard) giveBack() error {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	h.mu.Lock()
	f := &flight{batch: ledger.Batch{Progress: map[job.ID]*job.Progress{}, Release: true}}
	rows := 0
	for id := range h.dirty {
		if rows < ledger.MaxBatchRows {
			f.batch.Progress[id] = copyProgress(&h.jobs[id].Progress)
			rows += ledger.Rows(f.batch.Progress[id])
		}
	}
	h.mu.Unlock()
	err := h.tenure.Commit(ctx, &f.batch)
	h.Log.Info("scheduler: gave the lease back", zap.Int64("epoch", h.tenure.Epoch()), logsink.Error(err))
	return err
}

// countPending counts, by queue, the jobs of which nothing was started.
func (h *shard) countPending() map[string]int {
	pending := map[string]int{}
	for _, j := range h.jobs {
		if j.Progress.State == job.Queued {
			pending[j.Request.Terms.Queue]++
		}
	}
	return pending
}
