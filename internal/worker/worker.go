// Package worker is the interface to the platform's workers, which run members of gangs under leases.
package worker

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/pkg/contract"
	"github.com/pulleyring/pulleyring/pkg/request"
)

// State is the state of a task at its worker.
type State string

// The states of a task in the order in which it passes through them.
const (
	Unknown  State = "unknown"  // The worker has no record of the task.
	Held     State = "held"     // Devices are held under a short lease; nothing runs.
	Armed    State = "armed"    // Loaded and waiting for Go.
	Going    State = "going"    // Received Go; begins within BeginDelay unless it is stopped.
	Running  State = "running"  // Runs under a lease.
	Finished State = "finished" // Completed with an answer.
	Failed   State = "failed"   // Ended with an error.
	Stopped  State = "stopped"  // Ended by Stop or an expired lease after it had started to run.
	Refused  State = "refused"  // Stopped before it ran; it never will.
)

// BeginDelay is the time from the arrival of Go at a worker to the start of the work. A stop that is sent while the Go
// commands of a gang are under way finds no member running, unless these commands arrive further apart than this.
const BeginDelay = 50 * time.Millisecond

// Live reports whether a task runs or may still start to run.
func (s State) Live() bool { return s == Held || s == Armed || s == Going || s == Running }

// Ran reports whether a task has started to run.
func (s State) Ran() bool { return s == Running || s == Finished || s == Failed || s == Stopped }

// Order is the command to hold devices for the worker's part of a gang: one or more members of one attempt.
type Order struct {
	Attempt  string           `json:"attempt"` // Unique over all attempts of all boxes.
	Identity request.Identity `json:"identity"`
	Members  []int            `json:"members"` // Indices of the members within the gang, from 0.
	Gang     int              `json:"gang"`
	Number   int              `json:"number"` // Attempt number of the job, from 1.
	Shape    contract.Shape   `json:"shape"`  // Resources of each member.
	Devices  []int            `json:"devices"`
	LeaseMS  int64            `json:"lease_ms"`
	Kind     string           `json:"kind"`
	Payload  json.RawMessage  `json:"payload,omitempty"`
	From     float64          `json:"from"` // Seconds of work in the checkpoint to resume from; 0 for a new start.
}

// Task is a worker's part of an attempt, as reported by the worker.
type Task struct {
	Attempt      string          `json:"attempt"`
	State        State           `json:"state"`
	Answer       json.RawMessage `json:"answer,omitempty"`
	Problem      string          `json:"problem,omitempty"`
	Checkpointed float64         `json:"checkpointed,omitempty"` // Seconds of work in the last checkpoint.
	RanSeconds   float64         `json:"ran_seconds,omitempty"`
}

// Report is a worker's answer to a renewal: all its tasks and its resource usage, which lags by UsageLagMS.
type Report struct {
	// Clock is the worker's clock at the time of the answer, in ms from 1. It restarts with the worker's process and
	// is never set back otherwise.
	Clock      int64          `json:"clock_ms"`
	Tasks      []Task         `json:"tasks"`
	Usage      contract.Shape `json:"usage"`
	UsageLagMS int64          `json:"usage_lag_ms"`
}

// Renewal is the message that renews the leases of a worker's attempts.
type Renewal struct {
	// Clock is the clock of the worker's last report, in ms. 0 extends nothing. Neither does a time that the worker's
	// clock has not reached: it was reported by an earlier incarnation of the worker.
	Clock    int64    `json:"clock_ms"`
	Attempts []string `json:"attempts"` // Attempts whose leases are extended.
	Forget   []string `json:"forget"`   // Ended and settled attempts, whose records the worker can delete.
	LeaseMS  int64    `json:"lease_ms"` // Lease length counted from Clock, so that a delayed renewal extends nothing.
}

// ErrRefused means that the worker certainly did not carry out the command.
var ErrRefused = errors.New("worker: refused")

// Verb names a step that a worker takes for an attempt.
type Verb string

// The verbs of Service.Step.
const (
	Arm        Verb = "arm"
	Go         Verb = "go"
	Stop       Verb = "stop"       // The attempt never runs afterwards. Returns Unknown for an attempt not on record.
	Checkpoint Verb = "checkpoint" // Saves the work and pauses until Stop.
	Throttle   Verb = "throttle"
)

// Service is the interface to workers. Client implements it over HTTP, package standin in memory.
type Service interface {
	// Hold holds devices for an attempt. After ErrRefused no device is held.
	Hold(ctx context.Context, w contract.Worker, order Order) error
	// Step performs a step of an attempt and returns the task. Steps may be repeated.
	Step(ctx context.Context, w contract.Worker, verb Verb, attempt string, lease time.Duration) (Task, error)
	// Renew extends leases and returns the worker's tasks and usage.
	Renew(ctx context.Context, w contract.Worker, renewal Renewal) (Report, error)
}
