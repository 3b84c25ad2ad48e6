// Package settlement is the life of a request as rows of the table: which states there are, which steps lead from one
// to the next, and what each step writes. It does no input or output.
package settlement

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/table"
	"github.com/pulleyring/pulleyring/pkg/request"
)

// Record is the row of a request: what was accepted and what its caller may be told.
type Record struct {
	request.Identity
	Submission   request.Submission `json:"submission"`
	Round        int                `json:"round"` // Number of the submission, from 1; a higher one may replace not_run.
	Received     time.Time          `json:"received"`
	Outcome      request.Outcome    `json:"outcome"`
	Reason       string             `json:"reason,omitempty"`
	Answer       json.RawMessage    `json:"answer,omitempty"`
	AnswerObject string             `json:"answer_object,omitempty"` // Key in the object store, in place of Answer.
	Attempt      int                `json:"attempt,omitempty"`
	Hall         string             `json:"hall,omitempty"`    // Of a gang that is not settled.
	Sending      *Sending           `json:"sending,omitempty"` // Of an at-most-once request that is not settled.
}

// Sending says where an at-most-once request is sent, written before it is.
type Sending struct {
	Box      string `json:"box"`
	Upstream string `json:"upstream"`
	Attempt  string `json:"attempt"`
}

// RequestKey returns the key of a request's row.
func RequestKey(id request.Identity) string { return "request/" + id.String() }

// Reply returns what a caller is told from the row.
func (r *Record) Reply() request.Reply {
	return request.Reply{ID: r.ID, Outcome: r.Outcome, Answer: r.Answer, Reason: r.Reason, Attempt: r.Attempt}
}

// ErrStep says that a step does not lead on from the state of the row.
var ErrStep = errors.New("settlement: the row is past this step")

// Settle returns the record with an outcome. A final outcome is never replaced; Unresolved may become final.
func (r Record) Settle(outcome request.Outcome, answer json.RawMessage, reason string) (Record, error) {
	if r.Outcome.Final() {
		return r, errors.Wrapf(ErrStep, "%s is final", r.Outcome)
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

// Replaces reports whether a submission of a round may take the place of the row: only where the row says that nothing
// was run and the caller counted up.
func (r *Record) Replaces(round int) bool { return r.Outcome == request.NotRun && round > r.Round }

// State is where a gang stands.
type State string

// The states of a gang; a settled one has no job row.
const (
	Waiting  State = "waiting"
	Starting State = "starting" // An attempt is committed; it runs, or may run, at its seats.
	Stopping State = "stopping" // The attempt was told to stop, by this row.
)

// Seat is a worker's part of an attempt.
type Seat struct {
	Worker  string `json:"worker"`
	Members []int  `json:"members"`
	Devices []int  `json:"devices"`
}

// Halt says why an attempt stops and what follows.
type Halt struct {
	Reason string `json:"reason"`
	AtOnce bool   `json:"at_once"` // Without a checkpoint.
	Cancel bool   `json:"cancel"`  // Settle it afterwards; otherwise it waits again.
	Lost   bool   `json:"lost"`    // A member was lost or failed.
}

// Job is the row of a gang that is not settled.
type Job struct {
	request.Identity
	Submission request.Submission `json:"submission"`
	Round      int                `json:"round"`
	Received   time.Time          `json:"received"`
	Box        string             `json:"box"` // Where the caller waits.
	State      State              `json:"state"`
	Number     int                `json:"number"`            // Of the latest attempt, from 1.
	Attempt    string             `json:"attempt,omitempty"` // Unique name of the attempt.
	Rack       string             `json:"rack,omitempty"`
	Seats      []Seat             `json:"seats,omitempty"`
	Started    time.Time          `json:"started,omitzero"`
	Done       float64            `json:"done,omitempty"`        // Seconds of work in its checkpoint.
	Stops      int                `json:"stops,omitempty"`       // Times it was stopped to make room.
	Moves      int                `json:"moves,omitempty"`       // Times it moved to another hall.
	Failures   []string           `json:"failures,omitempty"`    // Workers that an attempt failed on.
	Losses     int                `json:"losses,omitempty"`      // Attempts that lost a worker, probably by their own doing.
	LateLosses int                `json:"late_losses,omitempty"` // Of those: attempts that had run for a while.
	Ran        bool               `json:"ran,omitempty"`         // A member of an earlier attempt has run.
	Halt       *Halt              `json:"halt,omitempty"`
	// Unsettled says that its caller was told that nobody can find out whether it ran. The row stays for an end that a worker may list yet.
	Unsettled bool `json:"unsettled,omitempty"`
}

// JobKey returns the key of a gang's row in a hall.
func JobKey(hall string, id request.Identity) string { return HallPrefix(hall) + "job/" + id.String() }

// HallPrefix returns the prefix of all rows of a hall.
func HallPrefix(hall string) string { return "hall/" + hall + "/" }

// RackKey returns the key of a rack's row, which every placement in the rack writes.
func RackKey(hall, rack string) string { return HallPrefix(hall) + "rack/" + rack }

// Rack is the row of a rack: the attempts that hold devices there.
type Rack struct {
	Attempts []string `json:"attempts"`
}

// Place returns the job with a fresh attempt at its seats.
func (j Job) Place(attempt, rack string, seats []Seat, now time.Time) (Job, error) {
	if j.State != Waiting {
		return j, errors.Wrapf(ErrStep, "%s is not waiting", j.State)
	}
	j.State = Starting
	j.Number++
	j.Attempt = attempt
	j.Rack = rack
	j.Seats = seats
	j.Started = now
	return j, nil
}

// Stop returns the job told to stop.
func (j Job) Stop(halt Halt) (Job, error) {
	switch j.State {
	case Starting:
	case Stopping:
		if !halt.Cancel || j.Halt.Cancel {
			return j, errors.Wrap(ErrStep, "it stops already")
		}
	default:
		return j, errors.Wrapf(ErrStep, "%s has no attempt", j.State)
	}
	j.State = Stopping
	j.Halt = &halt
	return j, nil
}

// Requeue returns the job waiting again after its attempt surely ended; ran says whether any member of it ran.
func (j Job) Requeue(done float64, ran bool) (Job, error) {
	if j.State == Waiting {
		return j, errors.Wrap(ErrStep, "it waits already")
	}
	if j.Halt != nil && !j.Halt.Lost {
		j.Stops++
	}
	j.State = Waiting
	j.Ran = j.Ran || ran
	j.Done = max(j.Done, done)
	j.Attempt, j.Rack, j.Seats, j.Halt = "", "", nil, nil
	j.Started = time.Time{}
	j.Unsettled = false
	return j, nil
}

// Unrun returns the outcome of a job that is settled while it waits: not_run only where no attempt ever ran.
func (j *Job) Unrun() request.Outcome {
	if j.Ran {
		return request.Failed
	}
	return request.NotRun
}

// Record returns the request row that belongs to the job while it is not settled.
func (j *Job) Record(hall string) Record {
	s := j.Submission
	s.Payload = nil
	return Record{
		Identity: j.Identity, Submission: s, Round: j.Round, Received: j.Received,
		Outcome: request.Accepted, Hall: hall, Attempt: j.Number,
	}
}

// OpenKey returns the key of the row by which unfinished at-most-once requests are found.
func OpenKey(id request.Identity) string { return OpenPrefix + id.String() }

// OpenPrefix is the prefix of those rows.
const OpenPrefix = "open/"

// Open is such a row.
type Open struct {
	request.Identity
	Box     string    `json:"box"`
	Expires time.Time `json:"expires"` // Instant from which any box may find out what became of it.
}

// Decode reads a row's value into one of this package's structs.
func Decode(row table.Row, into any) error {
	return errors.Wrapf(json.Unmarshal(row.Value, into), "settlement: unable to decode %s", row.Key)
}
