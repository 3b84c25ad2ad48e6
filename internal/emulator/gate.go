// Package emulator emulates the platform: a store of rows, workers and their records, with the faults of the real
// ones. Everything is in memory and runs on the clock of the runtime, so that tests can pause and advance it.
package emulator

import (
	"context"
	"sync"
	"time"

	"github.com/pulleyring/pulleyring/internal/interval"
)

// Gate controls all calls that one box makes. Its zero value lets them pass.
type Gate struct {
	Box string // Name of the box, for faults that affect only one box.

	mu     sync.Mutex
	frozen time.Time // Calls wait until this time.
	killed bool      // Calls have no effect and return only when their context ends.
}

// Freeze delays the box's calls for a time, as when its process is suspended.
func (g *Gate) Freeze(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.frozen = time.Now().Add(d)
}

// Kill blocks all further calls of the box.
func (g *Gate) Kill() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.killed = true
}

// pass waits while the box is frozen and reports whether a call of the box may proceed. The box itself is frozen, so the
// wait goes on when ctx ends. A call of a killed box waits until its context ends.
func (g *Gate) pass(ctx context.Context) bool { return g.wait(ctx, context.WithoutCancel(ctx)) }

// await is pass for a call of another box, which waits until ctx ends at most.
func (g *Gate) await(ctx context.Context) bool { return g.wait(ctx, ctx) }

// wait implements pass and await; the wait while the box is frozen ends with sleep.
func (g *Gate) wait(ctx, sleep context.Context) bool {
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
		if !interval.Sleep(sleep, wait) {
			return false
		}
	}
}
