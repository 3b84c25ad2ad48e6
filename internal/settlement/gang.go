package settlement

import (
	"encoding/json"

	"github.com/pulleyring/pulleyring/internal/worker"
	"github.com/pulleyring/pulleyring/pkg/request"
)

// Sight is what is known of one seat of an attempt.
type Sight struct {
	Task    worker.Task
	Known   bool // The worker reported in time.
	Lost    bool // The worker is silent, or has no trace of it; it may run on until its lease is over.
	Expired bool // The same, and its lease is surely over.
	// Traceless says that the worker has no trace of it, so that it won't list an end.
	Traceless bool
}

// Step is what an attempt needs next.
type Step string

// The steps that Judge returns.
const (
	Keep    Step = "keep"    // Nothing; it runs, or too little is known yet.
	Push    Step = "push"    // All members are live and some have not been told to go.
	End     Step = "end"     // A member is lost or failed: stop the others.
	Finish  Step = "finish"  // Every member finished: settle with the answers.
	Again   Step = "again"   // Nothing runs any more, and the job may run again.
	Fail    Step = "fail"    // Nothing runs any more, it ran or may have run, and it does not run again.
	Cancel  Step = "cancel"  // Nothing ran at all, and the job was cancelled.
	Unknown Step = "unknown" // Whether it ran can't be found out, and it may not run again.
)

// ReasonUnknowable is told where a lost worker took with it whether an at-most-once gang ran.
const ReasonUnknowable = "a worker that may have run it was lost and can't be asked"

// ReasonForgotten is told where the upstream of an at-most-once request lost what it knew of it.
const ReasonForgotten = "the upstream that may have run it has lost what it knew"

// Judge returns the next step of an attempt from what is known of its seats.
func Judge(j *Job, sights []Sight) Step {
	c := count(sights)
	switch {
	case c.finished == len(sights):
		return Finish
	case c.unknown > 0:
		if c.dead > 0 && j.State == Starting {
			return End
		}
		return Keep
	case c.live == 0:
		return afterwards(j, c)
	case c.dead > 0 && j.State == Starting:
		return End
	case c.running+c.finished < len(sights) && j.State == Starting:
		return Push
	}
	return Keep
}

// afterwards returns what follows once no member can run any more.
func afterwards(j *Job, c tally) Step {
	cancelled := j.Halt != nil && j.Halt.Cancel
	switch {
	case cancelled && c.ran == 0 && c.expired == 0:
		return Cancel
	case cancelled && c.ran == 0 && j.Submission.AtMostOnce:
		return Unknown
	case cancelled:
		return Fail
	case !j.Submission.AtMostOnce:
		return Again
	case c.ran > 0 && resumes(j, c):
		return Again
	case c.ran > 0:
		return Fail
	case c.expired > 0:
		return Unknown
	}
	return Again
}

// resumes reports whether an at-most-once job goes on from a checkpoint: it was stopped for others and every member
// was checkpointed, so that going on repeats nothing.
func resumes(j *Job, c tally) bool {
	return j.Submission.Checkpoints && j.Halt != nil && !j.Halt.Lost && c.saved == c.ran && c.expired == 0 && c.failed == 0
}

// tally counts seats by what is known of them.
type tally struct{ live, running, finished, failed, dead, ran, saved, expired, unknown int }

func count(sights []Sight) tally {
	var c tally
	for _, s := range sights {
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
		if state == worker.Unknown { // The worker lost its memory, so nothing can be told from it.
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
			c.saved++
		}
	}
	return c
}

// Saved returns the seconds of work that the checkpoints of all seats hold, 0 unless every seat has one.
func Saved(sights []Sight) float64 {
	least := -1.0
	for _, s := range sights {
		if !s.Known || s.Task.Checkpointed <= 0 {
			return 0
		}
		if least < 0 || s.Task.Checkpointed < least {
			least = s.Task.Checkpointed
		}
	}
	return max(least, 0)
}

// Answers puts the answers of all seats together in the order of the seats.
func Answers(sights []Sight) json.RawMessage {
	parts := make([]json.RawMessage, len(sights))
	for i, s := range sights {
		parts[i] = s.Task.Answer
	}
	raw, _ := json.Marshal(parts) // Raw JSON from workers that was decoded before always encodes.
	return raw
}

// Outcome returns what a step that settles tells the caller.
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
