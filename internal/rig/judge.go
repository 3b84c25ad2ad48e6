package rig

import (
	"fmt"
	"slices"
	"time"

	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/platform/standin"
)

// Verdict is what the workers did, and what of that must never happen.
type Verdict struct {
	Starts, Ends, Jobs int
	Twice              []string // Two runs of a task at a time, or one after it was done.
	Budget             []string // Starts after the attempts were used up.
	Unended            []string // Jobs that were not accepted, or have not ended as completed.
}

// Broken lists what must never happen.
func (v *Verdict) Broken() []string { return slices.Concat(v.Twice, v.Budget, v.Unended) }

// String is the verdict in one line.
func (v *Verdict) String() string {
	return fmt.Sprintf("starts %d, ends %d, twice %d, beyond attempts %d; jobs %d, not completed %d",
		v.Starts, v.Ends, len(v.Twice), len(v.Budget), v.Jobs, len(v.Unended))
}

// verdict judges the play, when all processes have ended.
func (p *play) verdict() *Verdict {
	v := Judge(p.lines)
	v.Jobs = len(p.jobs)
	for _, j := range p.jobs {
		if j.state != standin.Completed {
			v.Unended = append(v.Unended, fmt.Sprintf("job %s is %q, accepted: %t", j.id, j.state, j.accepted))
		}
	}
	return v
}

// listedFor is how long after a worker has listed an end it counts as taken note of (the users' rules).
const listedFor = 100 * time.Millisecond

// span is a run on a worker.
type span struct {
	worker, task string
	run          int
	began, ended time.Time
	outcome      string // Empty where the worker did not live to tell it.
	number       int64
}

// trace is the lines of a play in order, with the runs that they tell.
type trace struct {
	lines []Line
	spans []*span
}

// Judge judges what the workers' lines tell.
func Judge(lines []Line) *Verdict {
	t, v := newTrace(lines), &Verdict{}
	for i, s := range t.spans {
		v.Starts++
		if s.outcome != "" {
			v.Ends++
		}
		failed := 0
		for _, before := range t.spans[:i] {
			if before.task != s.task {
				continue
			}
			noted := t.noted(before, s.began)
			if s.began.Before(before.ended) || noted && before.outcome == job.Succeeded.String() {
				v.Twice = append(v.Twice, fmt.Sprintf("%s, started though %s", s, before))
			}
			if noted && before.outcome == job.FailedRun.String() {
				failed++
			}
		}
		if failed >= standin.Attempts {
			v.Budget = append(v.Budget, fmt.Sprintf("%s, started after %d failed runs", s, failed))
		}
	}
	return v
}

// String tells a run for a verdict.
func (s *span) String() string {
	const format = "15:04:05.000"
	return fmt.Sprintf("%s run %d on %s from %s to %s %s", s.task, s.run, s.worker, s.began.Format(format), s.ended.Format(format), s.outcome)
}

func newTrace(lines []Line) *trace {
	t := &trace{lines: slices.Clone(lines)}
	slices.SortStableFunc(t.lines, func(a, b Line) int { return a.At.Compare(b.At) })
	for i := range t.lines {
		l := &t.lines[i]
		if l.Event == eventBegan {
			t.spans = append(t.spans, &span{worker: l.Worker, task: l.Task, run: l.Run, began: l.At})
			continue
		}
		for _, s := range t.spans {
			switch {
			case s.worker != l.Worker || !s.ended.IsZero():
			case l.Event == eventEnded && s.task == l.Task && s.run == l.Run:
				s.ended, s.outcome, s.number = l.At, l.Outcome, l.Number
			case l.Event == eventKilled || l.Event == eventLeft:
				s.ended = l.At
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
