// Package interval waits and repeats until a context ends.
package interval

import (
	"context"
	"time"
)

// Every calls f at once and then at each interval until ctx ends.
func Every(ctx context.Context, d time.Duration, f func(ctx context.Context)) {
	EveryOrWoken(ctx, d, nil, f)
}

// EveryOrWoken calls f at once and then at each interval, and sooner when something arrives on wake, until ctx ends.
func EveryOrWoken(ctx context.Context, d time.Duration, wake <-chan struct{}, f func(ctx context.Context)) {
	t := time.NewTicker(d)
	defer t.Stop()
	for ctx.Err() == nil {
		f(ctx)
		select {
		case <-ctx.Done():
		case <-t.C:
		case <-wake:
		}
	}
}

// Sleep waits and reports whether it waited to the end.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
