package node

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/interval"
	"github.com/pulleyring/pulleyring/internal/ledger"
	"github.com/pulleyring/pulleyring/internal/logsink"
	"github.com/pulleyring/pulleyring/internal/scheduler"
	"go.uber.org/zap"
)

const (
	// leasePollInterval is the time between two reads of the lease by a watcher, which sees from them whether the lease
	// is renewed. The holder renews it every 300 ms.
	leasePollInterval = 400 * time.Millisecond
	// leaseRenewalTimeout is how long the lease may stay unchanged before another box claims it: several missed
	// renewals.
	leaseRenewalTimeout = 1200 * time.Millisecond
	// leaseReadTimeout limits one read of the lease, so that a missing renewal is noticed soon. The store answers
	// after about 400 ms at its slowest.
	leaseReadTimeout = 700 * time.Millisecond
	// failedTakeoverWait is how much longer than usual a box lets others claim the lease after it could not read the
	// state in time, beside a crowd of clients for example. Others may have more time for it.
	failedTakeoverWait = 1500 * time.Millisecond
)

// schedule claims the lease whenever no box renews it, and schedules for as long as it holds the lease. It returns
// when ctx ends or a later start of this box is registered.
func (n *Node) schedule(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !n.register(ctx) {
		return
	}
	go func() {
		select {
		case <-n.superseded:
			cancel()
		case <-ctx.Done():
		}
	}()
	released := make(chan struct{}, 1)
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { n.releaseFeed().watch(ctx, 0, released) })
	var seen ledger.Lease
	var since time.Time
	var failed backoff
	notTakenOver := false
	for ctx.Err() == nil {
		lease, err := n.readLease(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			since = time.Now() // The lease could not be read: the wait for its renewal starts again.
			failed.sleep(ctx, n.watches())
			continue
		}
		failed.reset()
		if lease.Version != seen.Version || since.IsZero() {
			seen, since = lease, time.Now()
		}
		if number, own := startNumber(n.settings.Load().Box, lease.Holder); own && number > n.start.Number {
			n.checkStart(ctx)
			interval.Sleep(ctx, retryPause)
			continue
		}
		wait, pause := n.claimWait(), leasePollInterval
		switch {
		case notTakenOver && n.isFree(lease):
			wait += leaseRenewalTimeout + failedTakeoverWait
		case n.isFree(lease):
			pause = min(leasePollInterval, wait)
		case n.relay.Directory.IsWatcher():
			wait += leaseRenewalTimeout
		case !n.relay.Directory.CandidatesKnown(): // The ranking of the boxes is known soon.
			wait += leaseRenewalTimeout + standbyClaimWait
		default:
			wait += leaseRenewalTimeout + standbyClaimWait + n.relay.Directory.Phase(standbyClaimWait)
			pause = standbyPollInterval
		}
		if time.Since(since) >= wait {
			notTakenOver = errors.Is(n.claimAndSchedule(ctx, lease, since), scheduler.ErrNotTakenOver)
			since = time.Time{}
			continue
		}
		interval.SleepOrWoken(ctx, pause, released)
	}
}

// isFree reports whether no other process can be using the lease: it was released, or an earlier start of this box
// holds it.
func (n *Node) isFree(lease ledger.Lease) bool {
	_, own := startNumber(n.settings.Load().Box, lease.Holder)
	return lease.Holder == "" || own
}

// maxLeaseCopyAge is the maximum age of a copy of the lease that another box has read. Watchers read the lease every
// leasePollInterval.
const maxLeaseCopyAge = time.Second

// watchedLease reads the lease, either from the store (direct) or from a box of the hall that watches it (copies).
type watchedLease struct {
	direct ledger.Ledger
	copies ledger.Ledger
}

func newWatchedLease(n *Node) watchedLease {
	f := n.follower()
	f.MaxAge = maxLeaseCopyAge
	return watchedLease{direct: ledger.Ledger{Store: n.cache, Shard: Shard}, copies: ledger.Ledger{Store: f, Shard: Shard}}
}

func (n *Node) readLease(ctx context.Context) (ledger.Lease, error) {
	ctx, cancel := context.WithTimeout(ctx, leaseReadTimeout)
	defer cancel()
	if n.watches() {
		return n.lease.direct.Lease(ctx)
	}
	return n.lease.copies.Lease(ctx)
}

// releaseFeed returns a feed that reports when the lease is released.
func (n *Node) releaseFeed() *feed {
	return &feed{
		Needed: n.watches,
		Wait: func(ctx context.Context, since int64) (int64, error) {
			return n.ledger.WatchRelease(ctx, since, feedWait)
		},
		Newest: func(ctx context.Context) (int64, error) {
			lease, err := n.ledger.Lease(ctx)
			return lease.Version, err
		},
	}
}

// claimAndSchedule claims the lease and schedules until the lease is lost. It returns why the lease is over, or nil if it
// was not claimed.
func (n *Node) claimAndSchedule(ctx context.Context, lease ledger.Lease, since time.Time) error {
	suspended := n.platform.Suspended()
	n.Metrics.Count("leases_tried")
	term, err := n.ledger.Claim(ctx, n.holder, lease, since)
	if err != nil {
		if !errors.Is(err, ledger.ErrLeaseTaken) {
			n.log.Warn("node: unable to claim the lease; retrying", logsink.Error(err))
			interval.Sleep(ctx, retryPause)
		}
		return nil
	}
	n.Metrics.Count("leases_claimed")
	n.log.Info("node: lease claimed", zap.Int64("epoch", term.Epoch()), zap.String("from", lease.Holder))
	s := &scheduler.Scheduler{
		Ledger: n.ledger, Directory: n.platform.Directory(n.store, &n.Metrics), Commands: n.platform.Commands, Configuration: n.Configuration, Halls: n.Halls,
		Suspended: n.platform.Suspended, SuspendedBefore: suspended,
		Bounds: n.settings.Load().Bounds, Log: n.log, Figures: &n.Metrics,
	}
	n.scheduler.Store(s)
	err = s.Run(ctx, term)
	n.scheduler.Store(nil)
	n.log.Info("node: lease over", zap.Int64("epoch", term.Epoch()), logsink.Error(err))
	return err
}
