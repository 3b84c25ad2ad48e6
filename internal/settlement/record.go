// Package settlement defines the table rows of requests and gangs, their states, and the transitions between the
// states. It does no input or output.
package settlement

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/table"
	"github.com/pulleyring/pulleyring/pkg/request"
)

// Record is the row of a request: the submission and its outcome.
type Record struct {
	request.Identity
	Submission   request.Submission `json:"submission"`
	Round        int                `json:"round"` // Number of the submission, from 1; a higher one replaces not_run.
	Received     time.Time          `json:"received"`
	Outcome      request.Outcome    `json:"outcome"`
	Reason       string             `json:"reason,omitempty"`
	Answer       json.RawMessage    `json:"answer,omitempty"`
	AnswerObject string             `json:"answer_object,omitempty"` // Key in the object store, used instead of Answer.
	Attempt      int                `json:"attempt,omitempty"`
	Hall         string             `json:"hall,omitempty"`    // Hall of a gang that is not settled.
	Sending      *Sending           `json:"sending,omitempty"` // Set for an at-most-once request that is not settled.
}

// Sending records where an at-most-once request is sent. It is written before the request is sent.
type Sending struct {
	Box      string `json:"box"` // The box that sends it.
	Upstream string `json:"upstream"`
	Attempt  string `json:"attempt"` // Unique name of the attempt.
}

// RequestKey returns the key of a request's row.
func RequestKey(id request.Identity) string { return "request/" + id.String() }

// Reply returns the reply to the caller that the row contains.
func (r *Record) Reply() request.Reply {
	return request.Reply{ID: r.ID, Outcome: r.Outcome, Answer: r.Answer, Reason: r.Reason, Attempt: r.Attempt}
}

// ErrTransition is returned for a transition that the state of the row does not allow.
var ErrTransition = errors.New("settlement: the state of the row does not allow this transition")

// Settle returns the record with an outcome, or ErrTransition if it has a final one, which is never replaced. An
// unresolved record may still get a final outcome.
func (r Record) Settle(outcome request.Outcome, answer json.RawMessage, reason string) (Record, error) {
	if r.Outcome.Final() {
		return r, errors.Wrapf(ErrTransition, "%s is final", r.Outcome)
	}
	r.Outcome = outcome
	r.Answer = answer
	r.Reason = reason
	if outcome.Final() {
		r.Sending = nil
		r.Hall = ""
		r.Submission.Payload = nil
	}
	return r, nil
}

// Replaces reports whether a submission with the given round may replace the row. It may only if the outcome of the
// row is not_run and the round is higher than that of the row.
func (r *Record) Replaces(round int) bool { return r.Outcome == request.NotRun && round > r.Round }

// State is the state of a gang.
type State string

// The states of a gang; a settled one has no job row.
const (
	Waiting  State = "waiting"
	Starting State = "starting" // An attempt is committed and runs, or may run, on its workers.
	Stopping State = "stopping" // The attempt must stop; this row is the command to do so.
)

// Placement is the part of an attempt that one worker runs.
type Placement struct {
	Worker  string `json:"worker"`
	Members []int  `json:"members"` // Indexes of the gang's members.
	Devices []int  `json:"devices"` // Indexes of the worker's devices.
}

// Halt records why an attempt is stopped, how, and what follows.
type Halt struct {
	Reason string `json:"reason"`
	AtOnce bool   `json:"at_once"` // Stop without writing a checkpoint.
	Cancel bool   `json:"cancel"`  // Settle the job afterwards; otherwise it waits to run again.
	Lost   bool   `json:"lost"`    // A member was lost or failed.
}

// Job is the job row of a gang that is not settled.
type Job struct {
	request.Identity
	Submission request.Submission `json:"submission"`
	Round      int                `json:"round"`
	Received   time.Time          `json:"received"`
	Box        string             `json:"box"` // The box at which the caller waits.
	State      State              `json:"state"`
	Number     int                `json:"number"`            // Number of the latest attempt, from 1.
	Attempt    string             `json:"attempt,omitempty"` // Unique name of the attempt.
	Rack       string             `json:"rack,omitempty"`
	Placements []Placement        `json:"seats,omitempty"`
	Started    time.Time          `json:"started,omitzero"`
	Done       float64            `json:"done,omitempty"`        // Seconds of work in the checkpoint.
	Stops      int                `json:"stops,omitempty"`       // Stops without a lost member, as by preemption.
	Moves      int                `json:"moves,omitempty"`       // Number of times that it moved to another hall.
	Failures   []string           `json:"failures,omitempty"`    // Workers on which an attempt failed.
	Losses     int                `json:"losses,omitempty"`      // Attempts that lost a worker and probably caused it.
	LateLosses int                `json:"late_losses,omitempty"` // Of Losses, the attempts that had run for some time.
	Ran        bool               `json:"ran,omitempty"`         // A member of an earlier attempt has run.
	Halt       *Halt              `json:"halt,omitempty"`
	// Unsettled means that the caller was told that it cannot be known whether the gang ran. The row is kept, because
	// a worker may still report the end.
	Unsettled bool `json:"unsettled,omitempty"`
}

// JobKey returns the key of a gang's job row in a hall.
func JobKey(hall string, id request.Identity) string { return HallPrefix(hall) + "job/" + id.String() }

// HallPrefix returns the prefix of all rows of a hall.
func HallPrefix(hall string) string { return "hall/" + hall + "/" }

// RackKey returns the key of a rack's row. Every transaction that places an attempt in the rack writes this row, so
// that two of them conflict.
func RackKey(hall, rack string) string { return HallPrefix(hall) + "rack/" + rack }

// Rack is the row of a rack.
type Rack struct {
	Attempts []string `json:"attempts"` // The attempts that hold devices in the rack.
}

// Place returns the job in state Starting with a new attempt, or ErrTransition if the job is not waiting.
func (j Job) Place(attempt, rack string, placements []Placement, now time.Time) (Job, error) {
	if j.State != Waiting {
		return j, errors.Wrapf(ErrTransition, "%s is not waiting", j.State)
	}
	j.State = Starting
	j.Number++
	j.Attempt = attempt
	j.Rack = rack
	j.Placements = placements
	j.Started = now
	return j, nil
}

// Stop returns the job in state Stopping, or ErrTransition if it has no attempt or already stops. A job that already
// stops may still be cancelled.
func (j Job) Stop(halt Halt) (Job, error) {
	switch j.State {
	case Starting:
	case Stopping:
		if !halt.Cancel || j.Halt.Cancel {
			return j, errors.Wrap(ErrTransition, "it already stops")
		}
	default:
		return j, errors.Wrapf(ErrTransition, "%s has no attempt", j.State)
	}
	j.State = Stopping
	j.Halt = &halt
	return j, nil
}

// Requeue returns the job in state Waiting after its attempt has certainly ended, or ErrTransition if it already waits.
// done is the work in the checkpoint in seconds; ran reports whether any member of the attempt ran.
func (j Job) Requeue(done float64, ran bool) (Job, error) {
	if j.State == Waiting {
		return j, errors.Wrap(ErrTransition, "it already waits")
	}
	if j.Halt != nil && !j.Halt.Lost {
		j.Stops++
	}
	j.State = Waiting
	j.Ran = j.Ran || ran
	j.Done = max(j.Done, done)
	j.Attempt, j.Rack, j.Placements, j.Halt = "", "", nil, nil
	j.Started = time.Time{}
	j.Unsettled = false
	return j, nil
}

// OutcomeWhileWaiting returns the outcome of a job that is settled while it waits: not_run if no attempt ever ran,
// otherwise failed.
func (j *Job) OutcomeWhileWaiting() request.Outcome {
	if j.Ran {
		return request.Failed
	}
	return request.NotRun
}

// Record returns the request row of the job, with outcome accepted.
func (j *Job) Record(hall string) Record {
	s := j.Submission
	s.Payload = nil
	return Record{
		Identity: j.Identity, Submission: s, Round: j.Round, Received: j.Received,
		Outcome: request.Accepted, Hall: hall, Attempt: j.Number,
	}
}

// PendingRequestKey returns the key of the pending request row of an at-most-once request.
func PendingRequestKey(id request.Identity) string { return PendingRequestPrefix + id.String() }

// PendingRequestPrefix is the prefix of the keys of all pending request rows.
const PendingRequestPrefix = "open/"

// PendingRequest is a pending request row. It exists while an at-most-once request is not settled, so that other
// boxes find it.
type PendingRequest struct {
	request.Identity
	Box     string    `json:"box"`
	Expires time.Time `json:"expires"` // Time from which any box may ask for the outcome and settle the request.
}

// Decode decodes the JSON value of a row into a struct of this package.
func Decode(row table.Row, into any) error {
	return errors.Wrapf(json.Unmarshal(row.Value, into), "settlement: unable to decode %s", row.Key)
}
