// Package upstream sends small requests to executors. It routes them, limits the calls in flight and budgets retries.
package upstream

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/pkg/contract"
	"github.com/pulleyring/pulleyring/pkg/request"
)

// Call is a request as sent to an executor.
type Call struct {
	Attempt  string           `json:"attempt"` // Unique for each time that the request is sent.
	Identity request.Identity `json:"identity"`
	Kind     string           `json:"kind"`
	Payload  json.RawMessage  `json:"payload,omitempty"`
}

// Answer is an executor's answer. Attempt and Identity name the call to which it belongs.
type Answer struct {
	Attempt  string           `json:"attempt"`
	Identity request.Identity `json:"identity"`
	Body     json.RawMessage  `json:"body"`
}

// Fate is the state of an attempt as reported by an executor.
type Fate string

// The fates that Service.Fence returns.
const (
	Ran     Fate = "ran"     // The attempt has run and its answer is known.
	Running Fate = "running" // The attempt is running.
	Never   Fate = "never"   // The attempt has not run and, because of the fence, never will.

	// Lost means that the executor has lost its state since the call was sent, so that the attempt may have run. The
	// fence keeps it from starting afterwards.
	Lost Fate = "lost"
)

// ErrNotRun means that the executor certainly did not run the call: it refused it or could not be reached.
var ErrNotRun = errors.New("upstream: surely not run")

// ErrFailed means that the executor ran the call and the call failed.
var ErrFailed = errors.New("upstream: ran and failed")

// Service is the interface to executors. Client implements it over HTTP, package standin in memory.
type Service interface {
	// Run sends a call once. An error other than ErrNotRun and ErrFailed means that the call may have run.
	Run(ctx context.Context, u contract.Upstream, call Call) (Answer, error)
	// Fence returns the fate of an attempt and keeps it from starting from then on. The attempt was sent at most age ago.
	Fence(ctx context.Context, u contract.Upstream, attempt string, age time.Duration) (Fate, Answer, error)
}
