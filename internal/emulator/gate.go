// Package emulator stands in for the platform: a store of rows, workers and their records, with the faults that the real
// ones have. Everything is in memory and runs on the clock of the runtime, so that tests can pause and advance it.
package emulator

import (
	"context"
	"sync"
	"time"

	"github.com/pulleyring/pulleyring/internal/interval"
)

// Gate stands between one box and everything it calls. Its zero value lets calls through.
type Gate struct {
	Box string // Its name, for conditions that hold for one box only.

	mu     sync.Mutex
	frozen time.Time // Calls wait until then.
	killed bool      // Calls never happen and never return.
}

// Freeze holds back the box's calls for a time, as when its process stands still.
func (g *Gate) Freeze(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.frozen = time.Now().Add(d)
}

// Kill lets no call of the box through any more.
func (g *Gate) Kill() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.killed = true
}

// pass waits while the box is frozen and reports whether the call may go on; a killed box's call waits for its end.
func (g *Gate) pass(ctx context.Context) bool {
	for {
		g.mu.Lock()
		killed, wait := g.killed, time.Until(g.frozen)
		g.mu.Unlock()
		if killed {
			<-ctx.Done()
			return false
		}
		if wait <= 0 {
			return ctx.Err() == nil
		}
		if !interval.Sleep(context.WithoutCancel(ctx), wait) {
			return false
		}
	}
}
