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
	// leasePoll is how often a box looks whether the lease is being renewed (every 300 ms).
	leasePoll = 400 * time.Millisecond
	// leaseSilence is how long the lease may stand unchanged before another box takes it: several missed renewals.
	leaseSilence = 1200 * time.Millisecond
	// leaseTimeout bounds one such look, so that the end of a silence is found soon; the store at its slowest answers
	// after about 400 ms.
	leaseTimeout = 700 * time.Millisecond
)

// schedule takes the lease whenever nobody renews it, and schedules for as long as it is held. It ends once a later start of the box has come.
func (n *Node) schedule(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !n.register(ctx) {
		return
	}
	go func() {
		select {
		case <-n.outranked:
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
	for ctx.Err() == nil {
		lease, err := n.readLease(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			since = time.Now() // Only silence that was watched counts.
			failed.sleep(ctx, n.watches())
			continue
		}
		failed.succeeded()
		if lease.Version != seen.Version || since.IsZero() {
			seen, since = lease, time.Now()
		}
		if number, own := startNumber(n.settings.Load().Box, lease.Holder); own && number > n.start.Number {
			n.checkStart(ctx)
			interval.Sleep(ctx, retryPause)
			continue
		}
		patience, pause := n.claimWait(), leasePoll
		switch {
		case n.isFree(lease):
			pause = min(leasePoll, patience)
		case n.relay.Book.IsWatcher():
			patience += leaseSilence
		case !n.relay.Book.Ranked(): // Whether it is to go first is known soon.
			patience += leaseSilence + standbyWait
		default:
			patience += leaseSilence + standbyWait + n.relay.Book.Phase(standbyWait)
			pause = standbyPoll
		}
		if time.Since(since) >= patience {
			n.hold(ctx, lease, since)
			since = time.Time{}
			continue
		}
		interval.SleepOrWoken(ctx, pause, released)
	}
}

// isFree reports whether nobody can be using a lease: it was given back, or an earlier start of this box holds it.
func (n *Node) isFree(lease ledger.Lease) bool {
	_, own := startNumber(n.settings.Load().Box, lease.Holder)
	return lease.Holder == "" || own
}

// leaseCopyAge is how old the lease may be as another box has read it: those that watch it read it every leasePoll.
const leaseCopyAge = time.Second

// watchedLease reads the lease: from the store, or from a box of the hall that watches it.
type watchedLease struct {
	own    ledger.Ledger
	copies ledger.Ledger
}

func newWatchedLease(n *Node) watchedLease {
	f := n.follower()
	f.MaxAge = leaseCopyAge
	return watchedLease{own: ledger.Ledger{Store: n.cache, Shard: Shard}, copies: ledger.Ledger{Store: f, Shard: Shard}}
}

func (n *Node) readLease(ctx context.Context) (ledger.Lease, error) {
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	if n.watches() {
		return n.lease.own.Lease(ctx)
	}
	return n.lease.copies.Lease(ctx)
}

// releaseFeed tells of leases that are given back.
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

// hold claims the lease and schedules until it is lost.
func (n *Node) hold(ctx context.Context, lease ledger.Lease, since time.Time) {
	slept := n.platform.Slept()
	n.Figures.Count("leases_tried")
	tenure, err := n.ledger.Claim(ctx, n.holder, lease, since)
	if err != nil {
		if !errors.Is(err, ledger.ErrReplaced) {
			n.log.Warn("node: unable to claim the lease", logsink.Error(err))
			interval.Sleep(ctx, retryPause)
		}
		return
	}
	n.Figures.Count("leases_claimed")
	n.log.Info("node: lease claimed", zap.Int64("epoch", tenure.Epoch()), zap.String("from", lease.Holder))
	s := &scheduler.Scheduler{
		Ledger: n.ledger, Directory: n.platform.Directory(n.store, &n.Figures), Orders: n.platform.Orders, Configuration: n.Configuration, Halls: n.Halls,
		Slept: n.platform.Slept, SleptBefore: slept,
		Bounds: n.settings.Load().Bounds, Log: n.log, Figures: &n.Figures,
	}
	n.scheduler.Store(s)
	err = s.Run(ctx, tenure)
	n.scheduler.Store(nil)
	n.log.Info("node: lease over", zap.Int64("epoch", tenure.Epoch()), logsink.Error(err))
}
