// Package standin implements the platform in memory for tests, the demo and small trials: table service, object
// store, list of live boxes, workers and executors. Each part implements the interface that the boxes use; server.go
// serves the same parts over HTTP.
package standin

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pulleyring/pulleyring/internal/interval"
)

// Faults selects the faults to inject; the zero value injects none. Shares are from 0 to 1.
type Faults struct {
	TableDown        bool     `json:"table_down"`         // The table refuses all calls.
	TableSlowMS      int64    `json:"table_slow_ms"`      // Delay added to each call, in milliseconds.
	TableLoseAnswers float64  `json:"table_lose_answers"` // Share of applied commits whose answer is lost.
	TableDrop        float64  `json:"table_drop"`         // Share of commits lost before they are applied.
	ObjectsDown      bool     `json:"objects_down"`
	FailWorkers      []string `json:"fail_workers"`    // Fail every task that they start.
	LostWorkers      []string `json:"lost_workers"`    // Are unreachable and run nothing.
	FailUpstreams    []string `json:"fail_upstreams"`  // Refuse all calls without running them.
	BreakUpstreams   []string `json:"break_upstreams"` // Run calls, but lose the answers.
	SlowUpstreams    []string `json:"slow_upstreams"`  // Run each call SlowUpstreamMS longer.
	SlowUpstreamMS   int64    `json:"slow_upstream_ms"`
}

// FaultInjector stores the current faults and the random source that selects the calls that they affect.
type FaultInjector struct {
	mu     sync.Mutex
	faults Faults
	random *rand.Rand
}

// NewFaultInjector returns a FaultInjector without faults; seed seeds its random source.
func NewFaultInjector(seed uint64) *FaultInjector {
	return &FaultInjector{random: rand.New(rand.NewPCG(seed, 7))}
}

// Get returns the current faults.
func (f *FaultInjector) Get() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults
}

// Set replaces the faults.
func (f *FaultInjector) Set(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

// affects reports whether a fault that affects a share (0 to 1) of the calls affects this one.
func (f *FaultInjector) affects(share float64) bool {
	if share <= 0 {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Float64() < share
}

func pause(ctx context.Context, d time.Duration) error {
	if d > 0 {
		interval.Sleep(ctx, d)
	}
	return ctx.Err()
}
