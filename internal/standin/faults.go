// Package standin plays the platform for tests, the demo and small trials: table service, object store, list of live
// boxes, guarded workers and executors. Each part implements the interface that the boxes use, in memory; server.go
// puts the same parts behind HTTP.
package standin

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pulleyring/pulleyring/internal/interval"
)

// Faults are what can be made to go wrong; the zero value lets everything work.
type Faults struct {
	TableDown        bool     `json:"table_down"`         // The table refuses everything.
	TableSlowMS      int64    `json:"table_slow_ms"`      // Added to each call.
	TableLoseAnswers float64  `json:"table_lose_answers"` // Share of commits whose answer is lost after they took effect.
	TableDrop        float64  `json:"table_drop"`         // Share of commits that are lost before they take effect.
	ObjectsDown      bool     `json:"objects_down"`
	FailWorkers      []string `json:"fail_workers"`    // Fail all that they start.
	LostWorkers      []string `json:"lost_workers"`    // Can't be reached and run nothing.
	FailUpstreams    []string `json:"fail_upstreams"`  // Refuse all without running it.
	BreakUpstreams   []string `json:"break_upstreams"` // Run it and lose the answer.
	SlowUpstreams    []string `json:"slow_upstreams"`  // Take SlowUpstreamMS longer.
	SlowUpstreamMS   int64    `json:"slow_upstream_ms"`
}

// FaultBox holds the present faults and the random numbers that pick what they hit.
type FaultBox struct {
	mu     sync.Mutex
	faults Faults
	random *rand.Rand
}

// NewFaultBox returns faults that are picked by a seed.
func NewFaultBox(seed uint64) *FaultBox {
	return &FaultBox{random: rand.New(rand.NewPCG(seed, 7))}
}

// Get returns the present faults.
func (f *FaultBox) Get() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults
}

// Set replaces the faults.
func (f *FaultBox) Set(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

// hits reports whether a fault of a share hits this time.
func (f *FaultBox) hits(share float64) bool {
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
