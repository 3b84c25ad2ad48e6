package node

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/interval"
	"github.com/pulleyring/pulleyring/internal/store"
)

const (
	// feedWait is how long a feed waits for a change.
	feedWait = 10 * time.Second
	// retryPause is the pause after a call to the store failed; for boxes that only follow others it doubles up to retryMost.
	retryPause = 150 * time.Millisecond
	retryMost  = 1200 * time.Millisecond
	// roleCheck is how often a box that does not watch the store for others checks whether it is to.
	roleCheck = 500 * time.Millisecond
)

// backoff is the pause after failed calls in a row. The zero value is that before the first.
type backoff struct {
	pause time.Duration
}

// sleep waits after a failed call: longer each time, except on a box that watches the store for others.
func (b *backoff) sleep(ctx context.Context, watches bool) {
	b.pause = min(max(2*b.pause, retryPause), retryMost)
	if watches {
		b.pause = retryPause
	}
	interval.Sleep(ctx, b.pause)
}

// succeeded begins anew.
func (b *backoff) succeeded() { b.pause = 0 }

// feed is rows whose changes can be waited for.
type feed struct {
	// Needed reports whether anybody needs to know of changes now.
	Needed func() bool
	// Wait returns after a change past a version, or after feedWait, with the version to go on from.
	Wait func(ctx context.Context, since int64) (int64, error)
	// Newest returns the version to go on from once the history before is gone.
	Newest func(ctx context.Context) (int64, error)
}

// watch signals each change of a feed past a version until ctx ends.
func (f *feed) watch(ctx context.Context, version int64, changed chan<- struct{}) {
	for ctx.Err() == nil {
		if !f.Needed() {
			interval.Sleep(ctx, roleCheck)
			continue
		}
		next, err := f.Wait(ctx, version)
		if errors.Is(err, store.ErrHistoryGone) {
			next, err = f.Newest(ctx)
		}
		if err != nil {
			interval.Sleep(ctx, retryPause)
			continue
		}
		if next == version {
			continue
		}
		version = next
		select {
		case changed <- struct{}{}:
		default:
		}
	}
}
