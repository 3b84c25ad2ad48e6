package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pulleyring/pulleyring/internal/interval"
	"github.com/pulleyring/pulleyring/internal/queue"
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

// followOperator keeps the newest configuration and the emptied halls: a feed tells of changes at once, and the rows are
// read every now and then in case the feed is deaf.
func (n *Node) followOperator(ctx context.Context) {
	changed := make(chan struct{}, 1)
	var group sync.WaitGroup
	defer group.Wait()
	watched := false
	for ctx.Err() == nil {
		asked, slept := time.Now(), n.platform.Slept()
		in, err := n.configs.Read(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			interval.Sleep(ctx, retryPause)
			continue
		}
		n.takeConfiguration(in.Configuration)
		n.takeHalls(&knownHalls{queue.Halls{Emptied: in.Emptied, AsOf: asked}, slept})
		if !watched {
			watched = true
			group.Go(func() { n.operatorFeed().watch(ctx, in.Version, changed) })
		}
		interval.SleepOrWoken(ctx, n.operatorPoll(), changed)
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
		Wait: func(ctx context.Context, since int64) (int64, error) { return n.configs.Wait(ctx, since, feedWait) },
		Newest: func(ctx context.Context) (int64, error) {
			in, err := n.configs.Read(ctx)
			return in.Version, err
		},
	}
}
