package demo

import (
	"github.com/pulleyring/pulleyring/internal/standin"
	"github.com/pulleyring/pulleyring/pkg/request"
)

// Judgement is what the callers and the stand-ins counted.
type Judgement struct {
	Requests            int `json:"requests"`
	Settled             int `json:"settled"`
	Lost                int `json:"lost"`          // Accepted and without an outcome at the end.
	PartialGangs        int `json:"partial_gangs"` // Attempts of which some members ran and others never did.
	Repeated            int `json:"repeated"`      // At-most-once requests that ran more than once.
	Misdelivered        int `json:"misdelivered"`  // Answers that were not the whole answer to their request.
	CutInFlight         int `json:"cut_in_flight"` // Calls that a planned stop broke off.
	GuaranteesReclaimed int `json:"guarantees_reclaimed"`
	GuaranteesRefused   int `json:"guarantees_refused"`
	NotRunButRan        int `json:"not_run_but_ran"` // Callers were told not_run, and the records say that it ran.
	Done                int `json:"done"`
	Failed              int `json:"failed"`
	NotRun              int `json:"not_run"`
}

// Good reports whether every promise held and everything was settled.
func (j *Judgement) Good() bool {
	broken := j.Lost + j.PartialGangs + j.Repeated + j.Misdelivered + j.CutInFlight + j.GuaranteesRefused + j.NotRunButRan
	return broken == 0 && j.Settled == j.Requests && j.Requests > 0 && j.GuaranteesReclaimed > 0
}

// judge compares what callers were told with what the workers and executors recorded.
func (d *demo) judge() *Judgement {
	records := d.platform.Records()
	ran := ranTimes(records)
	j := &Judgement{PartialGangs: partialGangs(records.Runs), CutInFlight: d.balancer.Cut()}
	l := d.load
	l.mu.Lock()
	defer l.mu.Unlock()
	j.Requests, j.GuaranteesReclaimed, j.GuaranteesRefused = len(l.told), l.reclaimed, l.refused
	for _, t := range l.told {
		j.add(t, ran[t.Identity])
		if !t.settled {
			d.say("open: %s gang %d: %s %s %v", t.Identity, t.submission.Gang, t.reply.Outcome, t.reply.Reason, t.err)
		}
	}
	return j
}

func (j *Judgement) add(t *told, ran int) {
	if t.settled {
		j.Settled++
	}
	if t.accepted && !t.settled {
		j.Lost++
	}
	if t.submission.AtMostOnce && ran > 1 {
		j.Repeated++
	}
	if t.wrong {
		j.Misdelivered++
	}
	switch t.reply.Outcome {
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

// ranTimes counts how often each request ran from its beginning: attempts at workers that did not go on from a
// checkpoint, and calls at executors.
func ranTimes(r standin.Records) map[request.Identity]int {
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

// partialGangs counts attempts of which some members ran and others never did.
func partialGangs(runs []standin.Run) int {
	members := map[string]int{}
	gangs := map[string]int{}
	for _, r := range runs {
		members[r.Attempt] += len(r.Members)
		gangs[r.Attempt] = r.Gang
	}
	partial := 0
	for attempt, n := range members {
		if n < gangs[attempt] {
			partial++
		}
	}
	return partial
}
