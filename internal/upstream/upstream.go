// Package upstream sends small requests to executors: routing, limits and retries.
package upstream

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/pkg/contract"
	"github.com/pulleyring/pulleyring/pkg/request"
)

// Call is one request as an executor gets it.
type Call struct {
	Attempt  string           `json:"attempt"` // Unique for each sending.
	Identity request.Identity `json:"identity"`
	Kind     string           `json:"kind"`
	Payload  json.RawMessage  `json:"payload,omitempty"`
}

// Answer is an executor's answer; it names the call that it belongs to.
type Answer struct {
	Attempt  string           `json:"attempt"`
	Identity request.Identity `json:"identity"`
	Body     json.RawMessage  `json:"body"`
}

// Fate is what an executor knows of an attempt.
type Fate string

// The fates that Service.Fence returns.
const (
	Ran     Fate = "ran"     // It ran and its answer is known.
	Running Fate = "running" // It runs now.
	Never   Fate = "never"   // It has not run and, after the fence, never will.
	Lost    Fate = "lost"    // The executor has lost what it knew since the call was sent. After the fence it does not begin any more.
)

// ErrNotRun says that the executor surely did not run the call: it refused it or could not be reached.
var ErrNotRun = errors.New("upstream: surely not run")

// ErrFailed says that the executor ran the call and it failed.
var ErrFailed = errors.New("upstream: ran and failed")

// Service is an executor's interface; implementations are the HTTP client and the stand-in.
type Service interface {
	// Run sends a call once. The error is ErrNotRun, ErrFailed, or anything else where it may have run.
	Run(ctx context.Context, u contract.Upstream, call Call) (Answer, error)
	// Fence asks for the fate of an attempt, sent so long ago at the most, and forbids it to start from then on.
	Fence(ctx context.Context, u contract.Upstream, attempt string, age time.Duration) (Fate, Answer, error)
}
