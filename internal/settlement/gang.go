package settlement

import (
	"encoding/json"

	"github.com/pulleyring/pulleyring/internal/worker"
	"github.com/pulleyring/pulleyring/pkg/request"
)

// WorkerState is the last known state of one placement of an attempt.
type WorkerState struct {
	Task    worker.Task
	Known   bool // The worker reported in time.
	Lost    bool // The worker is silent or has no record of the task, which may run until its lease expires.
	Expired bool // Like Lost, and its lease has certainly expired.
	// NoTrace means that the worker has no record of the task, so it will not report its end.
	NoTrace bool
}

// Step is the next action for an attempt.
type Step string

// Steps of an attempt.
const (
	NoAction     Step = "keep"    // Do nothing: it runs, or too little is known yet.
	StartMembers Step = "push"    // All members are live and some have not been commanded to start running.
	StopMembers  Step = "end"     // A member was lost or failed: stop the others.
	Finish       Step = "finish"  // All members finished: settle with their answers.
	RunAgain     Step = "again"   // No member runs any more, and the job may run again.
	Fail         Step = "fail"    // No member runs any more; the job ran or may have run, and does not run again.
	Cancel       Step = "cancel"  // No member ran, and the job was cancelled.
	Unknown      Step = "unknown" // It cannot be known whether it ran, and it must not run again.
)

// ReasonWorkerLost is the reason that a caller gets if only a lost worker knew whether an at-most-once gang ran.
const ReasonWorkerLost = "a worker that may have run it was lost and can't be asked"

// ReasonUpstreamLostRecords is the reason that a caller gets if the upstream lost its records of an at-most-once
// request.
const ReasonUpstreamLostRecords = "the upstream that may have run it has lost what it knew"

// NextStep returns the next step of an attempt, given the state of each of its placements.
func NextStep(j *Job, states []WorkerState) Step {
	c := countStates(states)
	switch {
	case c.finished == len(states):
		return Finish
	case c.unknown > 0:
		if c.dead > 0 && j.State == Starting {
			return StopMembers
		}
		return NoAction
	case c.live == 0:
		return stepAfterEnd(j, c)
	case c.dead > 0 && j.State == Starting:
		return StopMembers
	case c.running+c.finished < len(states) && j.State == Starting:
		return StartMembers
	}
	return NoAction
}

// stepAfterEnd returns the next step of an attempt that no longer has a live member.
func stepAfterEnd(j *Job, c stateCounts) Step {
	cancelled := j.Halt != nil && j.Halt.Cancel
	switch {
	case cancelled && c.ran == 0 && c.expired == 0:
		return Cancel
	case cancelled && c.ran == 0 && j.Submission.AtMostOnce:
		return Unknown
	case cancelled:
		return Fail
	case !j.Submission.AtMostOnce:
		return RunAgain
	case c.ran > 0 && resumesFromCheckpoint(j, c):
		return RunAgain
	case c.ran > 0:
		return Fail
	case c.expired > 0:
		return Unknown
	}
	return RunAgain
}

// resumesFromCheckpoint reports whether an at-most-once job may continue from its checkpoint. It may if it was
// stopped without the loss of a member and every member that ran was checkpointed: then no work is repeated.
func resumesFromCheckpoint(j *Job, c stateCounts) bool {
	return j.Submission.Checkpoints && j.Halt != nil && !j.Halt.Lost && c.checkpointed == c.ran && c.expired == 0 && c.failed == 0
}

// stateCounts counts the placements of an attempt by state.
type stateCounts struct{ live, running, finished, failed, dead, ran, checkpointed, expired, unknown int }

func countStates(states []WorkerState) stateCounts {
	var c stateCounts
	for _, s := range states {
		if !s.Known {
			switch {
			case s.Expired:
				c.expired++
				c.dead++
			case s.Lost:
				c.unknown++
				c.dead++
			default:
				c.unknown++
			}
			continue
		}
		state := s.Task.State
		if state == worker.Unknown { // The worker lost its records, so the task may have run.
			c.expired++
			c.dead++
			continue
		}
		if state.Live() {
			c.live++
		} else if state != worker.Finished {
			c.dead++
		}
		if state.Ran() {
			c.ran++
		}
		switch state {
		case worker.Going, worker.Running:
			c.running++
		case worker.Finished:
			c.finished++
		case worker.Failed:
			c.failed++
		}
		if s.Task.Checkpointed > 0 {
			c.checkpointed++
		}
	}
	return c
}

// CheckpointedWork returns the seconds of work that every placement has in its checkpoint: the least of them, or 0 if a
// placement has no checkpoint.
func CheckpointedWork(states []WorkerState) float64 {
	least := -1.0
	for _, s := range states {
		if !s.Known || s.Task.Checkpointed <= 0 {
			return 0
		}
		if least < 0 || s.Task.Checkpointed < least {
			least = s.Task.Checkpointed
		}
	}
	return max(least, 0)
}

// Answers returns a JSON array with the answer of each placement, in the order of the placements.
func Answers(states []WorkerState) json.RawMessage {
	parts := make([]json.RawMessage, len(states))
	for i, s := range states {
		parts[i] = s.Task.Answer
	}
	raw, _ := json.Marshal(parts) // Cannot fail: the answers are JSON that was decoded before.
	return raw
}

// Outcome returns the outcome that a step gives the request, and false if the step does not settle it.
func (s Step) Outcome() (request.Outcome, bool) {
	switch s {
	case Finish:
		return request.Done, true
	case Fail:
		return request.Failed, true
	case Cancel:
		return request.NotRun, true
	case Unknown:
		return request.Unresolved, true
	}
	return "", false
}
