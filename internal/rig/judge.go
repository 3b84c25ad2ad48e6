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
	Starts, Ends int
	Jobs         int
	Refused      int      // Jobs that were never accepted.
	Twice        []string // Two runs of a task at a time, or one after it was done.
	Budget       []string // Starts after the attempts were used up.
	Unended      []string // Accepted jobs that have not ended.
	Failed       []string // Jobs that could be done and have failed.
}

// Good reports whether nothing happened that must not.
func (v *Verdict) Good() bool {
	return len(v.Twice)+len(v.Budget)+len(v.Unended)+len(v.Failed)+v.Refused == 0
}

// String is the verdict in one line.
func (v *Verdict) String() string {
	return fmt.Sprintf("starts %d, ends %d, twice %d, beyond attempts %d; jobs %d, not taken %d, not ended %d, failed %d",
		v.Starts, v.Ends, len(v.Twice), len(v.Budget), v.Jobs, v.Refused, len(v.Unended), len(v.Failed))
}

// listedFor is how long after a living worker has listed an end it counts as taken note of (the users' rules).
const listedFor = 100 * time.Millisecond

// span is a run on a worker.
type span struct {
	worker, task string
	run          int
	began, ended time.Time
	outcome      string
	number       int64
}

// trace is the lines of a play in order, with what follows from them.
type trace struct {
	lines []Line
	spans []*span
}

// Judge judges what the workers' lines tell.
func Judge(lines []Line) *Verdict {
	t := newTrace(lines)
	v := &Verdict{}
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
			if text := t.twice(before, s); text != "" {
				v.Twice = append(v.Twice, text)
			}
			if before.outcome == job.FailedRun.String() && t.noted(before, s.began) {
				failed++
			}
		}
		if failed >= standin.Attempts {
			v.Budget = append(v.Budget, fmt.Sprintf("%s run %d on %s after %d failed runs", s.task, s.run, s.worker, failed))
		}
	}
	return v
}

func newTrace(lines []Line) *trace {
	t := &trace{lines: slices.Clone(lines)}
	slices.SortStableFunc(t.lines, func(a, b Line) int { return a.At.Compare(b.At) })
	for i := range t.lines {
		switch l := &t.lines[i]; l.Event {
		case eventBegan:
			t.spans = append(t.spans, &span{worker: l.Worker, task: l.Task, run: l.Run, began: l.At})
		case eventEnded:
			if s := t.find(l); s != nil {
				s.ended, s.outcome, s.number = l.At, l.Outcome, l.Number
			}
		case eventKilled, eventLeft:
			for _, s := range t.spans {
				if s.worker == l.Worker && s.ended.IsZero() {
					s.ended = l.At
				}
			}
		}
	}
	for _, s := range t.spans {
		if s.ended.IsZero() {
			s.ended = t.leaseAt(s.worker, t.lines[len(t.lines)-1].At)
		}
	}
	return t
}

// find returns the run whose end a line tells.
func (t *trace) find(l *Line) *span {
	for _, s := range t.spans {
		if s.worker == l.Worker && s.task == l.Task && s.run == l.Run {
			return s
		}
	}
	return nil
}

// twice tells what is wrong with a run after another one of its task, empty for nothing.
func (t *trace) twice(before, s *span) string {
	where := fmt.Sprintf("%s run %d on %s at %s", s.task, s.run, s.worker, s.began.Format(timeFormat))
	switch {
	case s.began.Before(before.ended):
		return fmt.Sprintf("%s while run %d on %s, which began at %s, went on to %s", where, before.run, before.worker, before.began.Format(timeFormat), before.ended.Format(timeFormat))
	case before.outcome == job.Succeeded.String() && t.noted(before, s.began):
		return fmt.Sprintf("%s after run %d on %s was done at %s", where, before.run, before.worker, before.ended.Format(timeFormat))
	}
	return ""
}

const timeFormat = "15:04:05.000"

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
		if l := &t.lines[i]; l.Worker == s.worker && l.Event == event && l.Number >= s.number && !l.At.Before(s.ended) {
			return l.At
		}
	}
	return time.Time{}
}

// leaseAt is until when a worker's lease runs, as of a time.
func (t *trace) leaseAt(worker string, at time.Time) time.Time {
	var until time.Time
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
		if most == "" || n > counts[most] || n == counts[most] && worker < most {
			most = worker
		}
	}
	return most
}
