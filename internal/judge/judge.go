// Package judge compares what callers were told with what workers and executors recorded, and counts broken promises.
package judge

import (
	"encoding/json"
	"slices"

	"github.com/pulleyring/pulleyring/internal/settlement"
	"github.com/pulleyring/pulleyring/internal/standin"
	"github.com/pulleyring/pulleyring/pkg/request"
)

// Told is a request with everything its caller was told about it, in order.
type Told struct {
	request.Identity
	Submission request.Submission
	Replies    []request.Reply
	Refused    bool // It was refused as malformed, before it became a request.
}

// Last returns the latest reply, an empty one where there is none.
func (t *Told) Last() request.Reply {
	if len(t.Replies) == 0 {
		return request.Reply{}
	}
	return t.Replies[len(t.Replies)-1]
}

// Settled reports whether the caller knows the final outcome.
func (t *Told) Settled() bool { return t.Last().Outcome.Final() }

// Unknowable reports whether the caller was told that nobody can find out any more whether its at-most-once request ran.
func (t *Told) Unknowable() bool {
	last := t.Last()
	if !t.Submission.AtMostOnce || last.Outcome != request.Unresolved {
		return false
	}
	if t.Submission.Gang > 0 {
		return last.Reason == settlement.ReasonUnknowable
	}
	return last.Reason == settlement.ReasonForgotten
}

// Judgement is what the callers and the stand-ins counted.
type Judgement struct {
	Requests            int `json:"requests"`
	Settled             int `json:"settled"`
	Lost                int `json:"lost"`          // Told something and without a final outcome at the end.
	PartialGangs        int `json:"partial_gangs"` // Attempts of which some members ran and others never did.
	Repeated            int `json:"repeated"`      // At-most-once requests that ran more than once.
	Misdelivered        int `json:"misdelivered"`  // Answers that were not the whole answer to their request.
	CutInFlight         int `json:"cut_in_flight"` // Calls that a planned stop broke off.
	GuaranteesReclaimed int `json:"guarantees_reclaimed"`
	GuaranteesRefused   int `json:"guarantees_refused"`
	NotRunButRan        int `json:"not_run_but_ran"` // Callers were told not_run, and the records say that it ran.
	Contradicted        int `json:"contradicted"`    // A final outcome was followed by another one.
	Done                int `json:"done"`
	Failed              int `json:"failed"`
	NotRun              int `json:"not_run"`
	Doubled             int `json:"doubled"`    // Requests of which two attempts ran at the same time.
	Unknowable          int `json:"unknowable"` // At-most-once requests whose worker or executor was lost with what it knew.
}

// Broken returns the number of broken promises.
func (j *Judgement) Broken() int {
	return j.Lost + j.PartialGangs + j.Repeated + j.Misdelivered + j.CutInFlight + j.GuaranteesRefused + j.NotRunButRan + j.Contradicted + j.Doubled
}

// Line returns the judgement as one line of JSON.
func (j *Judgement) Line() string {
	raw, _ := json.Marshal(j) // A struct of numbers always encodes.
	return string(raw)
}

// Judge counts.
func Judge(told []*Told, records standin.Records) *Judgement {
	ran := RanTimes(records)
	j := &Judgement{PartialGangs: PartialGangs(records), Doubled: Doubled(records.Runs), Requests: len(told)}
	for _, t := range told {
		j.add(t, ran[t.Identity])
	}
	return j
}

func (j *Judgement) add(t *Told, ran int) {
	if t.Settled() {
		j.Settled++
	}
	switch {
	case t.Unknowable():
		j.Unknowable++
	case len(t.Replies) > 0 && !t.Settled():
		j.Lost++
	}
	if t.Submission.AtMostOnce && ran > 1 {
		j.Repeated++
	}
	if contradicted(t.Replies) {
		j.Contradicted++
	}
	for _, r := range t.Replies {
		if r.Outcome == request.Done && !OwnAnswer(t, r) {
			j.Misdelivered++
		}
	}
	switch t.Last().Outcome {
	case request.Done:
		j.Done++
	case request.Failed:
		j.Failed++
	case request.NotRun:
		j.NotRun++
		if ran > 0 {
			j.NotRunButRan++
		}
	}
}

// contradicted reports whether a final outcome was followed by a different one.
func contradicted(replies []request.Reply) bool {
	for i, r := range replies {
		if i > 0 && replies[i-1].Outcome.Final() && r.Outcome != replies[i-1].Outcome {
			return true
		}
	}
	return false
}

// OwnAnswer reports whether an answer is the whole answer of the stand-ins to the request.
func OwnAnswer(t *Told, r request.Reply) bool {
	var parts []standin.Answer
	if t.Submission.Gang == 0 {
		parts = make([]standin.Answer, 1)
		if json.Unmarshal(r.Answer, &parts[0]) != nil {
			return false
		}
	} else if json.Unmarshal(r.Answer, &parts) != nil {
		return false
	}
	members := 0
	for _, p := range parts {
		if p.Caller != t.Caller || p.ID != t.ID || p.Sum != standin.Sum(t.Submission.Payload) {
			return false
		}
		members += len(p.Members)
	}
	return members == t.Submission.Gang
}

// RanTimes counts how often each request ran from its beginning: attempts at workers that did not go on from a
// checkpoint, and calls at executors.
func RanTimes(r standin.Records) map[request.Identity]int {
	ran := map[request.Identity]int{}
	attempts := map[string]bool{}
	for _, run := range r.Runs {
		if run.From == 0 && !attempts[run.Attempt] {
			attempts[run.Attempt] = true
			ran[run.Identity]++
		}
	}
	for _, s := range r.Served {
		ran[s.Identity]++
	}
	return ran
}

// Doubled counts the requests of which two attempts ran at the same time.
func Doubled(runs []standin.Run) int {
	doubled := map[request.Identity]bool{}
	for i, a := range runs { // In the order in which they began.
		for _, b := range runs[i+1:] {
			over := a.Ended.IsZero() || b.Began.Before(a.Ended)
			if a.Identity == b.Identity && a.Attempt != b.Attempt && over {
				doubled[a.Identity] = true
			}
		}
	}
	return len(doubled)
}

// PartialGangs counts attempts of which some members ran and others never did, except for those that lost a worker after it was told to go.
func PartialGangs(records standin.Records) int {
	members := map[string]int{}
	gangs := map[string]int{}
	for _, r := range records.Runs {
		members[r.Attempt] += len(r.Members)
		gangs[r.Attempt] = r.Gang
	}
	partial := 0
	for attempt, n := range members {
		if n < gangs[attempt] && !slices.Contains(records.Broken, attempt) {
			partial++
		}
	}
	return partial
}
