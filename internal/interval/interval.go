// Package interval waits and repeats until a context ends.
//
// It has no timer channels: go1.26 can crash (runtime.(*timer).maybeRunChan) when a timer channel of a synctest bubble
// stands in a select under the race detector. An ordinary channel that time.AfterFunc fills does not.
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
	for ctx.Err() == nil {
		f(ctx)
		SleepOrWoken(ctx, d, wake)
	}
}

// Sleep waits and reports whether it waited to the end.
func Sleep(ctx context.Context, d time.Duration) bool {
	SleepOrWoken(ctx, d, nil)
	return ctx.Err() == nil
}

// SleepOrWoken waits for d, until something arrives on wake, or until ctx ends.
func SleepOrWoken(ctx context.Context, d time.Duration, wake <-chan struct{}) {
	over, stop := After(d)
	defer stop()
	select {
	case <-ctx.Done():
	case <-over:
	case <-wake:
	}
}

// After returns a channel that receives once after d, and a function that releases the timer.
func After(d time.Duration) (over <-chan struct{}, stop func()) {
	c := make(chan struct{}, 1)
	t := time.AfterFunc(d, func() { c <- struct{}{} })
	return c, func() { t.Stop() }
}
