package node

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/admission"
	"github.com/pulleyring/pulleyring/internal/interval"
	"github.com/pulleyring/pulleyring/internal/ledger"
	"github.com/pulleyring/pulleyring/internal/logsink"
	"github.com/pulleyring/pulleyring/internal/store"
	"go.uber.org/zap"
)

const (
	// loadPoll is the time between two reads of the load by a watcher while its feed reports no change. A summary that
	// the feed misses leads to no refusal, so it need not be found soon.
	loadPoll = 10 * time.Second
	// maxLoadCopyAge is the maximum age of a copy of the load that a watcher has read. A box that has stopped watching
	// serves its last copy for that long.
	maxLoadCopyAge = loadPoll + 2*time.Second
	// loadCopyWait is how long a watcher may delay its answer while the load is unchanged. It is also how long a box
	// waits for a watcher that does not answer, during which its last summary becomes too old to be used.
	loadCopyWait = admission.MaxAge
	// loadRetryPause is the pause after a failed read. Until the next one, the box admits everything once its last
	// summary is too old.
	loadRetryPause = 2 * time.Second
)

// watchedLoad reads the summary of the load, either from the store (direct) or from a box of the hall that watches it
// (copies).
type watchedLoad struct {
	direct ledger.Ledger
	copies ledger.Ledger
	readAt time.Time // Time of the last successful read.
}

func newWatchedLoad(n *Node) watchedLoad {
	f := n.follower()
	f.Store, f.Wait, f.MaxAge = noReads{}, loadCopyWait, maxLoadCopyAge
	return watchedLoad{direct: ledger.Ledger{Store: n.cache, Shard: Shard}, copies: ledger.Ledger{Store: f, Shard: Shard}}
}

// noReads is a store whose reads are refused; it serves no other calls. With it, a box that gets no answer from the
// watchers of its hall goes without the load instead of reading from the store.
type noReads struct{ store.Store }

// Read implements store.Store.
func (noReads) Read(context.Context, store.Range) (store.Page, error) {
	return store.Page{}, store.ErrUnreachable
}

// watchesLoad reports whether this box reads the load from the store: because it watches for its hall, because it
// schedules, or because it has no other boxes to ask. A box that does not know yet which boxes watch does not.
func (n *Node) watchesLoad() bool {
	return n.platform.Network == nil || n.scheduler.Load() != nil || n.relay.Directory.IsWatcher()
}

// refusalsDisabled reports whether the settings in force turn off refusals for load.
func (n *Node) refusalsDisabled() bool { return n.settings.Load().Bounds.DisableRefusals }

// needsLoad reports whether the summary of the load is used: to refuse jobs for load or for the memory that they take.
func (n *Node) needsLoad() bool { return !n.refusalsDisabled() || n.Entry.JobMemory > 0 }

// followLoad keeps the summary of the load up to date while the box may refuse jobs for load. A box that stops watching
// gets no news for up to loadPoll; it then admits everything.
func (n *Node) followLoad(ctx context.Context) {
	changed := make(chan struct{}, 1)
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { n.loadFeed().watch(ctx, 0, changed) })
	for ctx.Err() == nil {
		interval.SleepOrWoken(ctx, n.readLoad(ctx), changed)
	}
}

// readLoad reads the summary of the load, and returns the pause before the next read.
func (n *Node) readLoad(ctx context.Context) time.Duration {
	from, pause := &n.watchedLoad.copies, minCopyInterval
	switch {
	case !n.needsLoad():
		return roleCheckInterval
	case n.watchesLoad():
		from, pause = &n.watchedLoad.direct, loadPoll
	case !n.relay.Directory.CandidatesKnown():
		return roleCheckInterval
	}
	load, _, err := from.Load(ctx)
	switch {
	case errors.Is(err, ledger.ErrUnreadable):
		n.log.Warn("node: unable to decode the load; admitting all jobs", logsink.Error(err))
		n.applyLoad(nil)
		return max(pause, loadRetryPause)
	case err != nil:
		return loadRetryPause
	}
	n.applyLoad(load)
	return pause
}

// applyLoad records the summary of the load as last read; nil if there is none that can be read. A summary that is read
// after a start or a long gap may be of any age, as the clock of the box that wrote it may be ahead. It is not used.
func (n *Node) applyLoad(load *admission.Load) {
	old, seen := n.Load(), time.Now()
	afterGap := seen.Sub(n.watchedLoad.readAt) > maxLoadCopyAge
	n.watchedLoad.readAt = seen
	if load != nil && old.Load != nil && load.Made == old.Made {
		return // It was seen before.
	}
	if afterGap {
		seen = time.Time{}
	}
	n.load.Store(&admission.Summary{Load: load, Seen: seen})
	if load != nil && len(load.Queues) > 0 && (old.Load == nil || len(old.Queues) == 0) {
		n.log.Info("node: new jobs of some queues may be refused", zap.Int("queues", len(load.Queues)), zap.Int64("made", load.Made))
	}
}

// Load returns the summary of the load as last read.
func (n *Node) Load() *admission.Summary {
	if s := n.load.Load(); s != nil {
		return s
	}
	return &admission.Summary{}
}

// loadFeed returns a feed that reports changes of the load.
func (n *Node) loadFeed() *feed {
	needed := func() bool { return n.needsLoad() && n.watchesLoad() }
	return &feed{
		Needed: needed,
		Wait: func(ctx context.Context, since int64) (int64, error) {
			for {
				version, changed, err := n.ledger.WatchLoad(ctx, since, feedWait)
				if err != nil || changed || !needed() {
					return version, err
				}
				since = version // Changes of other tables only.
			}
		},
		Newest: func(ctx context.Context) (int64, error) {
			_, version, err := n.ledger.Load(ctx)
			if errors.Is(err, ledger.ErrUnreadable) {
				err = nil
			}
			return version, err
		},
	}
}
