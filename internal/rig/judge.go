package rig

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/platform/standin"
)

// Verdict is what the workers did and clients were told, and what of that must never happen.
type Verdict struct {
	Starts, Ends, Jobs, Calls int
	Faults                    map[string]int // That struck, by kind.
	Checked                   int            // How often a promise was held against what was seen.
	Twice                     []string       // Two runs of a task at a time, or one after it was done.
	Budget                    []string       // Starts after the attempts were used up.
	Order                     []string       // Starts before an earlier step was done.
	Gangs                     []string       // Members of gangs that waited for the others in vain, with nothing wrong nearby.
	Unended                   []string       // Jobs that were not accepted, or have not ended as they should.
	Refused                   []string       // Jobs that were refused and ran.
	States                    []string       // States that were not so.
	Cancels                   []string       // Tasks of cancelled jobs that were started or ran on.
	Cuts                      []string       // Calls that a planned end of a box broke off.
	Exits                     []string       // Boxes that ended by themselves, or did not where they should.
	Config                    []string       // Keys that were taken or refused against the configuration in force.
}

// kind is one kind of what must never happen, with what was found.
type kind struct {
	name  string
	found []string
}

func (v *Verdict) kinds() []kind {
	return []kind{
		{"twice", v.Twice},
		{"beyond attempts", v.Budget},
		{"before its step", v.Order},
		{"gangs not whole", v.Gangs},
		{"not ended", v.Unended},
		{"ran though refused", v.Refused},
		{"wrong states", v.States},
		{"ran though cancelled", v.Cancels},
		{"cut by a planned end", v.Cuts},
		{"ended by itself", v.Exits},
		{"configuration", v.Config},
	}
}

// Broken lists what must never happen.
func (v *Verdict) Broken() []string {
	var all []string
	for _, k := range v.kinds() {
		for _, text := range k.found {
			all = append(all, k.name+": "+text)
		}
	}
	return all
}

// String is the verdict in one line.
func (v *Verdict) String() string {
	text := fmt.Sprintf("starts %d, ends %d, jobs %d, calls %d, checked %d, broken %d", v.Starts, v.Ends, v.Jobs, v.Calls, v.Checked, len(v.Broken()))
	for _, k := range v.kinds() {
		if len(k.found) > 0 {
			text += fmt.Sprintf(", %s %d", k.name, len(k.found))
		}
	}
	return text
}

// clock is how times are written for people.
const clock = "15:04:05.000"

// listedFor is how long after a worker has listed an end it counts as taken note of (the users' rules).
const listedFor = 100 * time.Millisecond

// span is a run on a worker.
type span struct {
	worker, task string
	run          int
	began, ended time.Time
	outcome      string // Empty where the worker did not live to tell it.
	number       int64
	gang         bool
	members      int  // Of the gang.
	killed       bool // Its worker was killed under it.
}

// whole is what an end counts for: a task, or all members of a gang.
func (s *span) whole() string {
	if s.gang {
		return s.task[:strings.LastIndex(s.task, ".")]
	}
	return s.task
}

// trace is the lines of a play in order, with the runs that they tell.
type trace struct {
	lines []Line
	spans []*span
}

// Judge judges what the workers' lines tell.
func Judge(lines []Line) *Verdict {
	v := &Verdict{}
	v.judgeRuns(newTrace(lines))
	return v
}

// judgeRuns judges which runs were started, and when.
func (v *Verdict) judgeRuns(t *trace) {
	for i, s := range t.spans {
		v.Starts++
		v.Checked += 2 // Twice, beyond attempts.
		if s.outcome != "" {
			v.Ends++
		}
		failed := map[int]bool{}
		for _, before := range t.spans[:i] {
			if before.whole() != s.whole() {
				continue
			}
			noted := !before.ended.After(s.began) && t.noted(before, s.began)
			if before.task == s.task && s.began.Before(before.ended) || noted && before.outcome == job.Succeeded.String() {
				v.Twice = append(v.Twice, fmt.Sprintf("%s, started though %s", s, before))
			}
			if noted && before.outcome == job.FailedRun.String() {
				failed[before.run] = true
			}
		}
		if len(failed) >= standin.Attempts {
			v.Budget = append(v.Budget, fmt.Sprintf("%s, started after %d failed runs", s, len(failed)))
		}
	}
}

// String tells a run for a verdict.
func (s *span) String() string {
	return fmt.Sprintf("%s run %d on %s from %s to %s %s", s.task, s.run, s.worker, s.began.Format(clock), s.ended.Format(clock), s.outcome)
}

func newTrace(lines []Line) *trace {
	t := &trace{lines: slices.Clone(lines)}
	slices.SortStableFunc(t.lines, func(a, b Line) int { return a.At.Compare(b.At) })
	for i := range t.lines {
		l := &t.lines[i]
		if l.Event == eventBegan {
			t.spans = append(t.spans, &span{worker: l.Worker, task: l.Task, run: l.Run, began: l.At, gang: l.Gang > 0, members: l.Gang})
			continue
		}
		for _, s := range t.spans {
			switch {
			case s.worker != l.Worker || !s.ended.IsZero():
			case l.Event == eventEnded && s.task == l.Task && s.run == l.Run:
				s.ended, s.outcome, s.number = l.At, l.Outcome, l.Number
			case l.Event == eventKilled || l.Event == eventLeft: // It stood still where its lease was over before.
				s.ended = earlier(l.At, t.leaseAt(s.worker, l.At))
				s.killed = l.Event == eventKilled && s.ended.Equal(l.At)
			}
		}
	}
	for _, s := range t.spans {
		if s.ended.IsZero() { // It runs on until its lease is over.
			s.ended = t.leaseAt(s.worker, t.lines[len(t.lines)-1].At)
		}
	}
	return t
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// noted reports whether an end counts for what starts at a time: it was acknowledged, then or later, while the lease ran on since the
// end; or it had been listed by a worker whose lease ran on until then, and which was not killed.
func (t *trace) noted(s *span, start time.Time) bool {
	if at := t.first(s, eventAcknowledged); !at.IsZero() && !t.lapsed(s.worker, s.ended, at) {
		return true
	}
	listed := t.first(s, eventListed)
	if listed.IsZero() || start.Before(listed.Add(listedFor)) || t.lapsed(s.worker, s.ended, start) {
		return false
	}
	return !slices.ContainsFunc(t.lines, func(l Line) bool { return l.Worker == s.worker && l.Event == eventKilled && l.At.Before(start) })
}

// first is when an end was first listed or acknowledged, zero for never.
func (t *trace) first(s *span, event string) time.Time {
	for i := range t.lines {
		if l := &t.lines[i]; s.number > 0 && l.Worker == s.worker && l.Event == event && l.Number >= s.number && !l.At.Before(s.ended) {
			return l.At
		}
	}
	return time.Time{}
}

// leaseAt is until when a worker's lease runs, as of a time.
func (t *trace) leaseAt(worker string, at time.Time) (until time.Time) {
	for i := range t.lines {
		if l := &t.lines[i]; l.Worker == worker && l.Event == eventLeased && !l.At.After(at) {
			until = l.Until
		}
	}
	return until
}

// lapsed reports whether a worker's lease was over at any time between two.
func (t *trace) lapsed(worker string, from, to time.Time) bool {
	until := t.leaseAt(worker, from)
	for i := range t.lines {
		l := &t.lines[i]
		if l.Worker != worker || l.Event != eventLeased || !l.At.After(from) || l.At.After(to) {
			continue
		}
		if l.At.After(until) {
			return true
		}
		until = l.Until
	}
	return to.After(until)
}

// mostLoaded is the worker with the most runs that have not ended.
func mostLoaded(lines []Line) string {
	counts, most := map[string]int{}, ""
	for i := range lines {
		switch l := &lines[i]; l.Event {
		case eventBegan:
			counts[l.Worker]++
		case eventEnded:
			counts[l.Worker]--
		}
	}
	for worker, n := range counts {
		if n > counts[most] || n == counts[most] && worker < most {
			most = worker
		}
	}
	return most
}
