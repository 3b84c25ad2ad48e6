// Package interval waits and repeats until a context ends.
//
// Its timers neither have channels nor are due at once. In a synctest bubble, go1.26 runs a timer that is due on the
// goroutine that arms it or selects on it (runtime.(*timer).modify and maybeRunChan), with the race detector's context of
// the bubble, which two threads then use at a time: the race detector crashes.
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
	if d <= 0 {
		c <- struct{}{}
		return c, func() {}
	}
	t := time.AfterFunc(d, func() { c <- struct{}{} })
	return c, func() { t.Stop() }
}
