// Package judge compares what callers were told with what workers and executors recorded, and counts violated
// guarantees.
package judge

import (
	"encoding/json"
	"slices"

	"github.com/pulleyring/pulleyring/internal/settlement"
	"github.com/pulleyring/pulleyring/internal/standin"
	"github.com/pulleyring/pulleyring/pkg/request"
)

// RequestHistory is a request with all replies to its caller, in order.
type RequestHistory struct {
	request.Identity
	Submission request.Submission
	Replies    []request.Reply
	Refused    bool // Rejected as malformed, before it became a request.
}

// LastReply returns the latest reply, or an empty one if there is none.
func (t *RequestHistory) LastReply() request.Reply {
	if len(t.Replies) == 0 {
		return request.Reply{}
	}
	return t.Replies[len(t.Replies)-1]
}

// Settled reports whether the caller knows the final outcome.
func (t *RequestHistory) Settled() bool { return t.LastReply().Outcome.Final() }

// Unknowable reports whether the caller was told that it can't be found out any more whether its at-most-once
// request ran.
func (t *RequestHistory) Unknowable() bool {
	last := t.LastReply()
	if !t.Submission.AtMostOnce || last.Outcome != request.Unresolved {
		return false
	}
	if t.Submission.Gang > 0 {
		return last.Reason == settlement.ReasonWorkerLost
	}
	return last.Reason == settlement.ReasonUpstreamLostRecords
}

// Report counts requests, their outcomes and violated guarantees.
type Report struct {
	Requests            int `json:"requests"`
	Settled             int `json:"settled"`
	Lost                int `json:"lost"`          // Requests with replies, but without a final outcome at the end.
	PartialGangs        int `json:"partial_gangs"` // Attempts of which some members ran and others never did.
	Repeated            int `json:"repeated"`      // At-most-once requests that ran more than once.
	WrongAnswers        int `json:"misdelivered"`  // Answers that were not the complete answer to their request.
	InterruptedCalls    int `json:"cut_in_flight"` // Calls that a planned stop interrupted.
	GuaranteesReclaimed int `json:"guarantees_reclaimed"`
	GuaranteesRefused   int `json:"guarantees_refused"`
	// Callers were told not_run, but the records show that the request ran.
	NotRunButRan int `json:"not_run_but_ran"`
	Contradicted int `json:"contradicted"` // A final outcome was followed by a different one.
	Done         int `json:"done"`
	Failed       int `json:"failed"`
	NotRun       int `json:"not_run"`
	Overlapping  int `json:"doubled"` // Requests of which two attempts ran at the same time.
	// At-most-once requests whose worker or executor was lost with its records.
	Unknowable int `json:"unknowable"`
}

// Violations returns the number of violated guarantees.
func (j *Report) Violations() int {
	return j.Lost + j.PartialGangs + j.Repeated + j.WrongAnswers + j.InterruptedCalls + j.GuaranteesRefused + j.NotRunButRan + j.Contradicted + j.Overlapping
}

// JSON returns the counts as one line of JSON.
func (j *Report) JSON() string {
	raw, _ := json.Marshal(j) // A struct of numbers always encodes.
	return string(raw)
}

// Evaluate compares the replies to callers with the records and returns the counts.
func Evaluate(histories []*RequestHistory, records standin.Records) *Report {
	ran := RunCounts(records)
	j := &Report{PartialGangs: CountPartialGangs(records), Overlapping: CountOverlapping(records.Runs), Requests: len(histories)}
	for _, t := range histories {
		j.add(t, ran[t.Identity])
	}
	return j
}

func (j *Report) add(t *RequestHistory, ran int) {
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
		if r.Outcome == request.Done && !AnswerMatches(t, r) {
			j.WrongAnswers++
		}
	}
	switch t.LastReply().Outcome {
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

// AnswerMatches reports whether a reply holds the complete answer to the request.
func AnswerMatches(t *RequestHistory, r request.Reply) bool {
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

// RunCounts returns how often each request ran from its beginning: attempts at workers that did not continue from a
// checkpoint, and calls at executors.
func RunCounts(r standin.Records) map[request.Identity]int {
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

// CountOverlapping returns the number of requests of which two attempts ran at the same time.
func CountOverlapping(runs []standin.Run) int {
	doubled := map[request.Identity]bool{}
	for i, a := range runs { // In the order in which they began.
		for _, b := range runs[i+1:] {
			overlap := a.Ended.IsZero() || b.Began.Before(a.Ended)
			if a.Identity == b.Identity && a.Attempt != b.Attempt && overlap {
				doubled[a.Identity] = true
			}
		}
	}
	return len(doubled)
}

// CountPartialGangs returns the number of attempts of which some members ran and others never did. It leaves out
// attempts that lost a worker after its start command.
func CountPartialGangs(records standin.Records) int {
	members := map[string]int{}
	gangs := map[string]int{}
	for _, r := range records.Runs {
		members[r.Attempt] += len(r.Members)
		gangs[r.Attempt] = r.Gang
	}
	partial := 0
	for attempt, n := range members {
		if n < gangs[attempt] && !slices.Contains(records.LostBeforeBegin, attempt) {
			partial++
		}
	}
	return partial
}
