// Package request holds what callers send and what they are told.
package request

import (
	"encoding/json"
	"time"

	"github.com/pulleyring/pulleyring/pkg/contract"
	"github.com/pulleyring/pulleyring/pkg/finding"
)

// Outcome is what a caller is told about a request.
type Outcome string

// The outcomes; Accepted and Unresolved may still change, the others are final.
const (
	Accepted   Outcome = "accepted"   // Its row is committed; it will be settled.
	Done       Outcome = "done"       // It ran and this is its answer.
	Failed     Outcome = "failed"     // It ran, wholly or in part, and has no answer.
	NotRun     Outcome = "not_run"    // It was not run and will not be.
	Unresolved Outcome = "unresolved" // Whether it ran is not known; ask again.
)

// Final reports whether an outcome can never change.
func (o Outcome) Final() bool { return o == Done || o == Failed || o == NotRun }

// MaxGang is the most members that a gang may have.
const MaxGang = 64

// Submission is one request as its caller sends it.
type Submission struct {
	Kind            string          `json:"kind"`                // The caller's word for the work, such as tower_dump.
	Workspace       string          `json:"workspace"`           // Who answers for it.
	Gang            int             `json:"gang,omitempty"`      // Members that run together; 0 sends it to an executor.
	Shape           contract.Shape  `json:"shape,omitzero"`      // What each member needs.
	DeclaredSeconds float64         `json:"declared_seconds"`    // Run time as the caller expects it.
	DeadlineSeconds float64         `json:"deadline_seconds"`    // Time after receipt from which an answer is of no use; 0 means none.
	Urgent          bool            `json:"urgent,omitempty"`    // Starts at once where the guarantee covers it.
	AtMostOnce      bool            `json:"at_most_once"`        // Never run twice.
	Checkpoints     bool            `json:"checkpoints"`         // Its members can be checkpointed.
	OnOutage        string          `json:"on_outage,omitempty"` // "wait" or "refuse" while the table is out.
	Payload         json.RawMessage `json:"payload,omitempty"`   // Handed to the back end unread.
}

// Identity names one request; the same id from two callers is two requests.
type Identity struct {
	Caller string `json:"caller"`
	ID     string `json:"id"`
}

// String returns caller/id.
func (i Identity) String() string { return i.Caller + "/" + i.ID }

// Reply is what a caller is told.
type Reply struct {
	ID                string          `json:"id"`
	Outcome           Outcome         `json:"outcome"`
	Answer            json.RawMessage `json:"answer,omitempty"`
	Reason            string          `json:"reason,omitempty"`
	Attempt           int             `json:"attempt,omitempty"`
	RetryAfterSeconds int             `json:"retry_after_seconds,omitempty"`
}

// Problem is a refusal with every finding, sent as application/problem+json.
type Problem struct {
	Type     string            `json:"type"`
	Title    string            `json:"title"`
	Status   int               `json:"status"`
	Findings []finding.Finding `json:"findings,omitempty"`
}

// Error returns the title and every finding.
func (p *Problem) Error() string {
	if len(p.Findings) == 0 {
		return p.Title
	}
	return p.Title + "\n" + finding.List(p.Findings).Error()
}

// Deadline returns the instant from which an answer is of no use, or the zero time.
func (s Submission) Deadline(received time.Time) time.Time {
	if s.DeadlineSeconds <= 0 {
		return time.Time{}
	}
	return received.Add(time.Duration(s.DeadlineSeconds * float64(time.Second)))
}
