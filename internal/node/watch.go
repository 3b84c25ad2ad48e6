package node

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/interval"
	"github.com/pulleyring/pulleyring/internal/store"
)

const (
	// feedWait is how long one call of a feed waits for a change.
	feedWait = 10 * time.Second
	// retryPause is the pause after a failed call to the store. On boxes that do not watch the store it doubles after
	// each failure, up to maxRetryPause.
	retryPause    = 150 * time.Millisecond
	maxRetryPause = 1200 * time.Millisecond
	// roleCheckInterval is how often a box that does not watch the store checks whether it should.
	roleCheckInterval = 500 * time.Millisecond
)

// backoff pauses after failed calls. The zero value is ready to use.
type backoff struct {
	pause time.Duration
}

// sleep waits after a failed call. The pause doubles each time, except on a box that watches the store for others.
func (b *backoff) sleep(ctx context.Context, watches bool) {
	b.pause = min(max(2*b.pause, retryPause), maxRetryPause)
	if watches {
		b.pause = retryPause
	}
	interval.Sleep(ctx, b.pause)
}

// reset restores the first pause after a successful call.
func (b *backoff) reset() { b.pause = 0 }

// feed waits for changes of some rows.
type feed struct {
	// Needed reports whether changes are currently of interest.
	Needed func() bool
	// Wait returns when something has changed since a version, or after feedWait, and returns the version to wait
	// from next.
	Wait func(ctx context.Context, since int64) (int64, error)
	// Newest returns the version to wait from if the store has discarded the changes since the last one.
	Newest func(ctx context.Context) (int64, error)
}

// watch signals each change after a version until ctx ends.
func (f *feed) watch(ctx context.Context, version int64, changed chan<- struct{}) {
	for ctx.Err() == nil {
		if !f.Needed() {
			interval.Sleep(ctx, roleCheckInterval)
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
