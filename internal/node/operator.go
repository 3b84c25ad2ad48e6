package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pulleyring/pulleyring/internal/interval"
	"github.com/pulleyring/pulleyring/internal/queue"
	"github.com/pulleyring/pulleyring/internal/relay"
	"go.uber.org/zap"
)

const (
	// minOperatorPoll and maxOperatorPoll limit the pause between two reads of the operator's instructions. Within the
	// limits, the pause is half of the time in which a configuration must be in force. A change that the feed misses is
	// noticed after this pause, and the information on emptied halls is usually this old. At 0.8 s these reads were a
	// quarter of all calls to the store (4,950 of 20,249 on a day of 83 s with 45 boxes).
	minOperatorPoll = 800 * time.Millisecond
	maxOperatorPoll = 1500 * time.Millisecond
)

// operatorPoll returns the pause between two reads of the operator's instructions while the feed reports no change.
func (n *Node) operatorPoll() time.Duration {
	poll := min(max(n.settings.Load().ConfigurationWithin/2, minOperatorPoll), maxOperatorPoll)
	if deadline := n.operatorReadDeadline(); deadline > 0 {
		poll = min(poll, deadline)
	}
	return poll
}

const (
	// operatorReadReserve is the part of ConfigurationWithin that is kept for a read from the store. The store at its
	// slowest answers after about 400 ms.
	operatorReadReserve = 400 * time.Millisecond
	// indirectReadReserve is kept in addition while the direct path to the store is down, for other boxes that don't
	// answer.
	indirectReadReserve = 500 * time.Millisecond
	// watcherDelay is how much longer than operatorPoll a box waits for news of its watcher. Answers usually come once per
	// operatorPoll, so an earlier read from the store would be wasted.
	watcherDelay = 600 * time.Millisecond
)

// operatorReadDeadline returns the age of the instructions at which this box must begin to read them from the store, so
// that the result comes within ConfigurationWithin; 0 if that is not limited.
func (n *Node) operatorReadDeadline() time.Duration {
	within, reserve := n.settings.Load().ConfigurationWithin, operatorReadReserve
	if !n.relay.Direct.Healthy() {
		reserve += indirectReadReserve
	}
	return max(within-reserve, within/4)
}

// maxOperatorStale returns how old the instructions may become before this box reads them from the store, whatever the
// boxes that it asks do; 0 for no limit.
func (n *Node) maxOperatorStale() time.Duration {
	return min(n.operatorReadDeadline(), n.operatorPoll()+watcherDelay)
}

// maxOperatorCopyAge is the maximum age of the copy of the instructions that another box has read. Watchers read them
// at least once per operatorPoll.
const maxOperatorCopyAge = 2 * time.Second

// watchedOperator reads the operator's instructions, either from the store (direct) or from a box of the hall that
// watches them (copies).
type watchedOperator struct {
	direct Configurations
	copies Configurations
	source *relay.Follower // Where copies come from.
}

func newWatchedOperator(n *Node) watchedOperator {
	f := n.follower()
	f.Store, f.MaxAge = &relay.QuickReads{Store: n.store}, maxOperatorCopyAge
	return watchedOperator{direct: n.platform.Configurations(&relay.QuickReads{Store: n.cache}), copies: n.platform.Configurations(f), source: f}
}

// follower returns a store whose reads are answered by boxes of the hall that watch the store.
func (n *Node) follower() *relay.Follower {
	return &relay.Follower{Store: n.store, Directory: &n.relay.Directory, Network: n.platform.Network, Log: n.log, Figures: &n.Metrics}
}

// read returns the operator's instructions, the time up to which they include every change, and the pause before the
// next read. It reads from the store if direct is set, and otherwise asks a box of the hall that watches the store.
func (o *watchedOperator) read(ctx context.Context, direct bool, poll, maxStale time.Duration) (in queue.Instructions, asOf time.Time, pause time.Duration, err error) {
	if direct {
		asOf = time.Now()
		in, err = o.direct.Read(ctx)
		return in, asOf, poll, err
	}
	o.source.Wait, o.source.MaxStale = poll, maxStale
	in, err = o.copies.Read(ctx)
	if o.source.AsksWatcher() {
		poll = minCopyInterval // No longer pause is needed: the other box delays its answer until the rows change.
	}
	return in, o.source.AsOf(), poll, err
}

// minCopyInterval is the minimum time between two queries to a box of the hall.
const minCopyInterval = 50 * time.Millisecond

// followOperator keeps the configuration and the emptied halls up to date. A box that watches the store has a feed
// that reports changes at once; it also reads the rows periodically in case the feed misses changes.
func (n *Node) followOperator(ctx context.Context) {
	changed := make(chan struct{}, 1)
	var group sync.WaitGroup
	defer group.Wait()
	var failed backoff
	watched := false
	for ctx.Err() == nil {
		suspended := n.platform.Suspended()
		in, asOf, pause, err := n.operator.read(ctx, n.watches(), n.operatorPoll(), n.maxOperatorStale())
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			failed.sleep(ctx, n.watches())
			continue
		}
		failed.reset()
		n.applyConfiguration(in.Configuration)
		n.applyHalls(&knownHalls{queue.Halls{Emptied: in.Emptied, AsOf: asOf}, suspended})
		if !watched {
			watched = true
			group.Go(func() { n.operatorFeed().watch(ctx, in.Version, changed) })
		}
		interval.SleepOrWoken(ctx, pause, changed)
	}
}

// applyConfiguration puts a configuration in force unless one that is at least as new is already in force.
func (n *Node) applyConfiguration(config *queue.Configuration) {
	old := n.config.Load()
	if config == nil || old != nil && config.Version <= old.Version {
		return
	}
	n.config.Store(config)
	n.log.Info("node: configuration in force", zap.Int64("version", config.Version), zap.Int("queues", len(config.Queues)),
		zap.Int("workspaces", len(config.Workspaces)))
}

// applyHalls records which halls are emptied. It needs no check that halls is newer than the recorded value, because
// the reads are made one after the other.
func (n *Node) applyHalls(halls *knownHalls) {
	old := n.Halls()
	n.halls.Store(halls)
	n.Metrics.Set("halls_emptied", int64(len(halls.Emptied)))
	if !slices.Equal(old.Emptied, halls.Emptied) {
		n.log.Info("node: emptied halls changed", zap.Strings("halls", halls.Emptied), zap.Strings("before", old.Emptied),
			zap.Duration("took", time.Since(halls.AsOf)))
	}
}

// operatorFeed returns a feed of changes of the operator's instructions.
func (n *Node) operatorFeed() *feed {
	return &feed{
		Needed: n.watches,
		Wait: func(ctx context.Context, since int64) (int64, error) {
			return n.operator.direct.Wait(ctx, since, feedWait)
		},
		Newest: func(ctx context.Context) (int64, error) {
			in, err := n.operator.direct.Read(ctx)
			return in.Version, err
		},
	}
}
