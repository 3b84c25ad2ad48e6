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
	// operatorPollLeast and operatorPollMost bound the time in which a deaf feed of what the operator wants stays unnoticed, which is also
	// the usual age of what is known of emptied halls. Within them it is half of the time in which a configuration must be in force. At 0.8 s
	// these reads were a quarter of all calls to the store (4,950 of 20,249 on a day of 83 s with 45 boxes).
	operatorPollLeast = 800 * time.Millisecond
	operatorPollMost  = 1500 * time.Millisecond
)

// operatorPoll is the pause between two reads of what the operator wants while its feed tells of nothing.
func (n *Node) operatorPoll() time.Duration {
	return min(max(n.settings.Load().ConfigurationWithin/2, operatorPollLeast), operatorPollMost)
}

// copyAge is how old what other boxes have read may be for a box that follows them. Those read it anew once per operatorPoll at least.
const copyAge = 2 * time.Second

// watchedOperator reads what the operator wants: from the store, or from a box of the hall that does.
type watchedOperator struct {
	own    Configurations
	copies Configurations
	source *relay.Follower // Behind the copies.
}

func newWatchedOperator(n *Node) watchedOperator {
	f := n.follower()
	f.Wait, f.MaxAge = n.operatorPoll(), copyAge
	return watchedOperator{own: n.platform.Configurations(n.cache), copies: n.platform.Configurations(f), source: f}
}

// follower returns a store whose reads are answered by the boxes of the hall that watch it.
func (n *Node) follower() *relay.Follower {
	return &relay.Follower{Store: n.store, Book: &n.relay.Book, Network: n.platform.Network, Figures: &n.Figures}
}

// read returns what the operator wants, since when nothing newer was missed, and how long to wait until the next reading.
func (o *watchedOperator) read(ctx context.Context, own bool, poll time.Duration) (in queue.Instructions, asOf time.Time, pause time.Duration, err error) {
	if own {
		asOf = time.Now()
		in, err = o.own.Read(ctx)
		return in, asOf, poll, err
	}
	in, err = o.copies.Read(ctx)
	if o.source.Copied() {
		poll = copyPause // The answer was held back for as long as there was nothing new.
	}
	return in, o.source.AsOf(), poll, err
}

// copyPause is the least time between two queries to a box of the hall.
const copyPause = 50 * time.Millisecond

// followOperator keeps the newest configuration and the emptied halls. A box that watches the store has a feed that tells of changes at once, and reads the
// rows every now and then in case the feed is deaf.
func (n *Node) followOperator(ctx context.Context) {
	changed := make(chan struct{}, 1)
	var group sync.WaitGroup
	defer group.Wait()
	var failed backoff
	watched := false
	for ctx.Err() == nil {
		slept := n.platform.Slept()
		in, asOf, pause, err := n.operator.read(ctx, n.watches(), n.operatorPoll())
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			failed.sleep(ctx, n.watches())
			continue
		}
		failed.succeeded()
		n.takeConfiguration(in.Configuration)
		n.takeHalls(&knownHalls{queue.Halls{Emptied: in.Emptied, AsOf: asOf}, slept})
		if !watched {
			watched = true
			group.Go(func() { n.operatorFeed().watch(ctx, in.Version, changed) })
		}
		interval.SleepOrWoken(ctx, pause, changed)
	}
}

// takeConfiguration puts a configuration in force unless it is older than the one that is.
func (n *Node) takeConfiguration(config *queue.Configuration) {
	old := n.config.Load()
	if config == nil || old != nil && config.Version <= old.Version {
		return
	}
	n.config.Store(config)
	n.log.Info("node: configuration in force", zap.Int64("version", config.Version), zap.Int("queues", len(config.Queues)),
		zap.Int("workspaces", len(config.Workspaces)))
}

// takeHalls takes in which halls are emptied. Reads follow each other, and each is of its own moment, so that none is older
// than the one before.
func (n *Node) takeHalls(halls *knownHalls) {
	old := n.Halls()
	n.halls.Store(halls)
	n.Figures.Set("halls_emptied", int64(len(halls.Emptied)))
	if !slices.Equal(old.Emptied, halls.Emptied) {
		n.log.Info("node: emptied halls", zap.Strings("halls", halls.Emptied), zap.Strings("before", old.Emptied),
			zap.Duration("took", time.Since(halls.AsOf)))
	}
}

// operatorFeed tells of changes of what the operator wants.
func (n *Node) operatorFeed() *feed {
	return &feed{
		Needed: n.watches,
		Wait: func(ctx context.Context, since int64) (int64, error) {
			return n.operator.own.Wait(ctx, since, feedWait)
		},
		Newest: func(ctx context.Context) (int64, error) {
			in, err := n.operator.own.Read(ctx)
			return in.Version, err
		},
	}
}
