// Package request defines the requests that callers send and the replies that they receive.
package request

import (
	"encoding/json"
	"time"

	"github.com/pulleyring/pulleyring/pkg/contract"
	"github.com/pulleyring/pulleyring/pkg/finding"
)

// Outcome is the state of a request as reported to its caller.
type Outcome string

// The outcomes. Accepted and Unresolved may still change; the others are final.
const (
	Accepted   Outcome = "accepted"   // Its row is committed; a final outcome will follow.
	Done       Outcome = "done"       // It ran and has an answer.
	Failed     Outcome = "failed"     // It ran completely or partly and has no answer.
	NotRun     Outcome = "not_run"    // It did not run and never will.
	Unresolved Outcome = "unresolved" // It is unknown whether it ran; the caller should ask again.
)

// Final reports whether the outcome can no longer change.
func (o Outcome) Final() bool { return o == Done || o == Failed || o == NotRun }

// MaxGang is the maximum number of members of a gang.
const MaxGang = 64

// Submission is a request as its caller sends it.
type Submission struct {
	Kind            string          `json:"kind"`                // Type of work, named by the caller, such as tower_dump.
	Workspace       string          `json:"workspace"`           // Workspace that the request counts for.
	Gang            int             `json:"gang,omitempty"`      // Members that run together; 0: an upstream runs it.
	Shape           contract.Shape  `json:"shape,omitzero"`      // Resources that each member needs.
	DeclaredSeconds float64         `json:"declared_seconds"`    // Run time that the caller expects, in seconds.
	DeadlineSeconds float64         `json:"deadline_seconds"`    // Seconds from receipt to the deadline; 0: none.
	Urgent          bool            `json:"urgent,omitempty"`    // Start at once if the workspace's guarantee covers it.
	AtMostOnce      bool            `json:"at_most_once"`        // Never run the request twice.
	Checkpoints     bool            `json:"checkpoints"`         // The members can be checkpointed.
	OnOutage        string          `json:"on_outage,omitempty"` // While the table is unavailable: wait or refuse.
	Payload         json.RawMessage `json:"payload,omitempty"`   // Passed to the back end unchanged.
}

// Identity identifies a request. The same id from two callers names two requests.
type Identity struct {
	Caller string `json:"caller"`
	ID     string `json:"id"`
}

// String returns caller/id.
func (i Identity) String() string { return i.Caller + "/" + i.ID }

// Reply is the reply to a caller about a request.
type Reply struct {
	ID                string          `json:"id"`
	Outcome           Outcome         `json:"outcome"`
	Answer            json.RawMessage `json:"answer,omitempty"`
	Reason            string          `json:"reason,omitempty"`
	Attempt           int             `json:"attempt,omitempty"`
	RetryAfterSeconds int             `json:"retry_after_seconds,omitempty"`
}

// Problem is the body of a refusal with all findings, sent as application/problem+json.
type Problem struct {
	Type     string            `json:"type"`
	Title    string            `json:"title"`
	Status   int               `json:"status"`
	Findings []finding.Finding `json:"findings,omitempty"`
}

// Error returns the title, followed by one line for each finding.
func (p *Problem) Error() string {
	if len(p.Findings) == 0 {
		return p.Title
	}
	return p.Title + "\n" + finding.List(p.Findings).Error()
}

// Deadline returns the time from which an answer is useless, or the zero time if the request has no deadline.
func (s Submission) Deadline(received time.Time) time.Time {
	if s.DeadlineSeconds <= 0 {
		return time.Time{}
	}
	return received.Add(time.Duration(s.DeadlineSeconds * float64(time.Second)))
}
