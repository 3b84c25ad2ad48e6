// Package interval provides sleeps and periodic calls that end with a context.
//
// It uses no timers with channels and none with a duration of zero. In a synctest bubble, Go 1.26 runs a timer that is
// due on the goroutine that starts it or selects on it (runtime.(*timer).modify and maybeRunChan). It does so with the
// race detector's context of the bubble, which two threads can then use simultaneously, and the race detector crashes.
package interval

import (
	"context"
	"time"
)

// Every calls f immediately and then at each interval d until ctx ends.
func Every(ctx context.Context, d time.Duration, f func(ctx context.Context)) {
	EveryOrWoken(ctx, d, nil, f)
}

// EveryOrWoken calls f immediately and then at each interval d, or earlier when wake receives a value, until ctx
// ends.
func EveryOrWoken(ctx context.Context, d time.Duration, wake <-chan struct{}, f func(ctx context.Context)) {
	for ctx.Err() == nil {
		f(ctx)
		SleepOrWoken(ctx, d, wake)
	}
}

// Sleep waits for d and reports whether it did; false if ctx ended earlier.
func Sleep(ctx context.Context, d time.Duration) bool {
	SleepOrWoken(ctx, d, nil)
	return ctx.Err() == nil
}

// SleepOrWoken waits for d, until wake receives a value, or until ctx ends.
func SleepOrWoken(ctx context.Context, d time.Duration, wake <-chan struct{}) {
	elapsed, stop := After(d)
	defer stop()
	select {
	case <-ctx.Done():
	case <-elapsed:
	case <-wake:
	}
}

// After returns a channel that receives a value once after d, and a function that stops the timer.
func After(d time.Duration) (elapsed <-chan struct{}, stop func()) {
	c := make(chan struct{}, 1)
	if d <= 0 {
		c <- struct{}{}
		return c, func() {}
	}
	t := time.AfterFunc(d, func() { c <- struct{}{} })
	return c, func() { t.Stop() }
}
