package scheduler

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/interval"
	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/internal/ledger"
	"go.uber.org/zap"
)

// takeoverTimeout limits a takeover. When it has passed, the lease term ends and the lease may be claimed again. On
// a link of 2 Mbit/s, reading the rows of 700 jobs takes about 4 s.
const takeoverTimeout = 8 * time.Second

// maxRecordAge is the assumed age of the workers' records at the start of a lease term. Each worker rewrites its record
// about every 1.5 s. Without an assumed age, all runs on departing workers were stopped at once: 717 runs in one day
// with 1,100 workers, 63 of which had 5 s left.
const maxRecordAge = 2 * time.Second

// takeOver reads the state that the lease term begins with, and renews the lease in the meantime. Without the
// renewals, other boxes took the lease from a box with a slow link before it had read everything. After a power outage
// of 41 boxes, 35 of them on 10 Mbit/s, ten lease terms in a row failed within 13 s.
func (h *shard) takeOver(ctx context.Context) (jobsVersion, workersVersion int64, err error) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, takeoverTimeout)
	defer cancel()
	loaded := make(chan struct{})
	go func() {
		defer close(loaded)
		jobsVersion, workersVersion, err = h.load(ctx)
	}()
	if replaced := h.renewUntil(ctx, loaded); replaced != nil {
		cancel()
		<-loaded
		return 0, 0, replaced
	}
	if err != nil {
		return 0, 0, err
	}
	h.Figures.ObserveDuration("scheduler_takeover", time.Since(began))
	h.Log.Info("scheduler: took over", zap.Int64("epoch", h.leaseTerm.Epoch()), zap.Int("jobs", len(h.jobs)),
		zap.Int("workers", len(h.workers)), zap.Duration("took", time.Since(began)))
	return jobsVersion, workersVersion, nil
}

// renewUntil renews the lease until done is closed. It returns ledger.ErrReplaced if another box has taken the lease.
func (h *shard) renewUntil(ctx context.Context, done <-chan struct{}) error {
	for {
		interval.SleepOrWoken(ctx, heartbeatInterval, done)
		if ctx.Err() != nil {
			<-done // The reads use ctx too, so they end now.
		}
		select {
		case <-done:
			return nil
		default:
		}
		began, suspended := time.Now(), h.totalSuspended()
		err := h.leaseTerm.Commit(ctx, &ledger.Batch{})
		if errors.Is(err, ledger.ErrLeaseTaken) {
			return err
		}
		if err == nil {
			h.mu.Lock()
			h.lastCommit, h.lastCommitSuspended = began, suspended
			h.recentCommits.add(h.leaseTerm.LastCommitVersion(), began)
			h.mu.Unlock()
		}
	}
}

// load reads the shard's rows and the workers' records one after the other, so that renewals of the lease don't wait
// behind all of them on a slow link. The learned speeds of workers are small and read in parallel; nothing waits for
// them.
func (h *shard) load(ctx context.Context) (jobsVersion, workersVersion int64, err error) {
	var (
		changes  ledger.Changes
		progress map[job.ID]*job.Progress
		unbegun  []job.ID
		reached  ledger.Addresses
		listing  Listing
	)
	reads := []func() error{
		func() (err error) { changes, err = h.Ledger.Jobs(ctx); return err },
		func() (err error) { progress, err = h.Ledger.Progress(ctx); return err },
		func() (err error) { unbegun, err = h.readUnbegun(ctx); return err },
		func() (err error) { reached, err = h.Ledger.Addresses(ctx); return err },
		func() (err error) {
			began := time.Now()
			listing, err = h.Directory.Workers(ctx)
			listing.AsOf = began.Add(-maxRecordAge)
			return err
		},
	}
	if !h.Bounds.DisableSpeeds {
		h.background.Go(h.readSpeeds)
	}
	for _, read := range reads {
		if err := h.retryRead(ctx, read); err != nil {
			return 0, 0, err
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.addresses.begin(reached)
	h.applyListing(listing, true)
	h.applyChanges(changes.List, progress)
	h.requeueInherited(unbegun)
	h.dropLeftProgress(progress)
	h.updateSpeeds(time.Now())
	return changes.Version, listing.Version, nil
}

// retryRead retries a read until it succeeds or ctx ends.
func (h *shard) retryRead(ctx context.Context, read func() error) error {
	for {
		err := read()
		if err == nil {
			return nil
		}
		h.recordStoreFailure(err, "take over")
		if !interval.Sleep(ctx, retryDelay) {
			return err
		}
	}
}
