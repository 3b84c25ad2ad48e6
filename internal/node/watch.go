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
	// retryPause is the pause after a call to the store failed.
	retryPause = 150 * time.Millisecond
)

// feed is rows whose changes can be waited for.
type feed struct {
	// Wait returns after a change past a version, or after feedWait, with the version to go on from.
	Wait func(ctx context.Context, since int64) (int64, error)
	// Newest returns the version to go on from once the history before is gone.
	Newest func(ctx context.Context) (int64, error)
}

// watch signals each change of a feed past a version until ctx ends.
func (f *feed) watch(ctx context.Context, version int64, changed chan<- struct{}) {
	for ctx.Err() == nil {
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
