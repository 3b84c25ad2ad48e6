package rig

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/platform/standin"
)

// Verdict counts what happened in a play and lists each violation of a safety or liveness promise that was found.
type Verdict struct {
	Starts, Ends, Jobs, Calls int
	Faults                    map[string]int // Number of injected faults, by kind.
	Checked                   int            // Number of checks made, passed or not.
	// Runs that started while another run of the task was active, or after the task had succeeded.
	DuplicateRuns  []string
	ExcessAttempts []string // Runs that started after all attempts of the task were used up.
	OutOfOrder     []string // Runs that started before the earlier step of the job was done.
	// Gang members that waited without success for the other members, although no fault was active.
	IncompleteGangs []string
	Unfinished      []string // Jobs that were not accepted, or did not reach an expected final state.
	RanRefused      []string // Jobs that ran although they were refused.
	WrongStates     []string // Job states reported to clients that contradict what the workers did.
	RanCancelled    []string // Runs of cancelled jobs that started or continued after the limit.
	CutCalls        []string // Calls that were cut off by the planned shutdown of a box.
	UnexpectedExits []string // Boxes that ended unexpectedly, or did not end where they had to.
	WrongKeys       []string // API keys that were accepted or rejected contrary to the configuration in force.
}

// violationKind is one kind of violation, with the violations found.
type violationKind struct {
	name       string
	violations []string
}

func (v *Verdict) violationKinds() []violationKind {
	return []violationKind{
		{"twice", v.DuplicateRuns},
		{"beyond attempts", v.ExcessAttempts},
		{"before its step", v.OutOfOrder},
		{"gangs not whole", v.IncompleteGangs},
		{"not ended", v.Unfinished},
		{"ran though refused", v.RanRefused},
		{"wrong states", v.WrongStates},
		{"ran though cancelled", v.RanCancelled},
		{"cut by a planned end", v.CutCalls},
		{"ended by itself", v.UnexpectedExits},
		{"configuration", v.WrongKeys},
	}
}

// Broken lists all violations, each prefixed with its kind.
func (v *Verdict) Broken() []string {
	var all []string
	for _, k := range v.violationKinds() {
		for _, text := range k.violations {
			all = append(all, k.name+": "+text)
		}
	}
	return all
}

// String returns a summary of the verdict in one line.
func (v *Verdict) String() string {
	text := fmt.Sprintf("starts %d, ends %d, jobs %d, calls %d, checked %d, broken %d", v.Starts, v.Ends, v.Jobs, v.Calls, v.Checked, len(v.Broken()))
	for _, k := range v.violationKinds() {
		if len(k.violations) > 0 {
			text += fmt.Sprintf(", %s %d", k.name, len(k.violations))
		}
	}
	return text
}

// timeFormat is the format of times in messages.
const timeFormat = "15:04:05.000"

// listedDelay is the time after which an end counts as known to the scheduler once its worker has listed it. It is a
// rule from the users' pages.
const listedDelay = 100 * time.Millisecond

// taskRun is one run of a task on a worker.
type taskRun struct {
	worker, task string
	run          int
	began, ended time.Time
	outcome      string // Empty if the worker ended before it reported an outcome.
	number       int64
	gang         bool
	members      int  // Number of members of the gang.
	killed       bool // The worker was killed while the run was active.
}

// attemptUnit returns what an end of the run counts for: its task, or its gang with all members.
func (r *taskRun) attemptUnit() string {
	if r.gang {
		return r.task[:strings.LastIndex(r.task, ".")]
	}
	return r.task
}

// trace holds the lines of a play in the order of time, and the runs that they report.
type trace struct {
	lines []Line
	runs  []*taskRun
}

// Judge checks the runs reported in the workers' lines: no task runs twice, and none starts after its attempts are
// used up.
func Judge(lines []Line) *Verdict {
	v := &Verdict{}
	v.judgeRuns(newTrace(lines))
	return v
}

// judgeRuns checks that no task runs twice and that none starts after its attempts are used up.
func (v *Verdict) judgeRuns(t *trace) {
	for i, run := range t.runs {
		v.Starts++
		v.Checked += 2 // One check for duplicate runs, one for runs beyond the attempts.
		if run.outcome != "" {
			v.Ends++
		}
		failed := map[int]bool{}
		for _, earlierRun := range t.runs[:i] {
			if earlierRun.attemptUnit() != run.attemptUnit() {
				continue
			}
			known := !earlierRun.ended.After(run.began) && t.endKnown(earlierRun, run.began)
			if earlierRun.task == run.task && run.began.Before(earlierRun.ended) || known && earlierRun.outcome == job.Succeeded.String() {
				v.DuplicateRuns = append(v.DuplicateRuns, fmt.Sprintf("%s, started though %s", run, earlierRun))
			}
			if known && earlierRun.outcome == job.FailedRun.String() {
				failed[earlierRun.run] = true
			}
		}
		if len(failed) >= standin.Attempts {
			v.ExcessAttempts = append(v.ExcessAttempts, fmt.Sprintf("%s, started after %d failed runs", run, len(failed)))
		}
	}
}

// String returns a description of the run for messages.
func (r *taskRun) String() string {
	return fmt.Sprintf("%s run %d on %s from %s to %s %s", r.task, r.run, r.worker, r.began.Format(timeFormat), r.ended.Format(timeFormat), r.outcome)
}

func newTrace(lines []Line) *trace {
	t := &trace{lines: slices.Clone(lines)}
	slices.SortStableFunc(t.lines, func(a, b Line) int { return a.At.Compare(b.At) })
	for i := range t.lines {
		l := &t.lines[i]
		if l.Event == eventBegan {
			t.runs = append(t.runs, &taskRun{worker: l.Worker, task: l.Task, run: l.Run, began: l.At, gang: l.Gang > 0, members: l.Gang})
			continue
		}
		for _, run := range t.runs {
			switch {
			case run.worker != l.Worker || !run.ended.IsZero():
			case l.Event == eventEnded && run.task == l.Task && run.run == l.Run:
				run.ended, run.outcome, run.number = l.At, l.Outcome, l.Number
			// A worker stops its runs when its lease expires, which may have been before its process ended.
			case l.Event == eventKilled || l.Event == eventLeft:
				run.ended = earlier(l.At, t.leaseExpiry(run.worker, l.At))
				run.killed = l.Event == eventKilled && run.ended.Equal(l.At)
			}
		}
	}
	for _, run := range t.runs {
		if run.ended.IsZero() { // Without a reported end the run continues until the lease expires.
			run.ended = t.leaseExpiry(run.worker, t.lines[len(t.lines)-1].At)
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

// endKnown reports whether the scheduler had to know the end of a run when a run started at the given time. It had to
// if the end was acknowledged, before or after that time, without the lease expiring between the end and the
// acknowledgement. It also had to if the worker had listed the end at least listedDelay before, its lease did not
// expire in between and it was not killed.
func (t *trace) endKnown(run *taskRun, start time.Time) bool {
	if at := t.firstReport(run, eventAcknowledged); !at.IsZero() && !t.leaseExpired(run.worker, run.ended, at) {
		return true
	}
	listed := t.firstReport(run, eventListed)
	if listed.IsZero() || start.Before(listed.Add(listedDelay)) || t.leaseExpired(run.worker, run.ended, start) {
		return false
	}
	return !slices.ContainsFunc(t.lines, func(l Line) bool { return l.Worker == run.worker && l.Event == eventKilled && l.At.Before(start) })
}

// firstReport returns the time at which the end of a run was first listed or acknowledged, or zero if it never was.
func (t *trace) firstReport(run *taskRun, event string) time.Time {
	for i := range t.lines {
		if l := &t.lines[i]; run.number > 0 && l.Worker == run.worker && l.Event == event && l.Number >= run.number && !l.At.Before(run.ended) {
			return l.At
		}
	}
	return time.Time{}
}

// leaseExpiry returns the expiry of a worker's lease as known at a time.
func (t *trace) leaseExpiry(worker string, at time.Time) (until time.Time) {
	for i := range t.lines {
		if l := &t.lines[i]; l.Worker == worker && l.Event == eventLeased && !l.At.After(at) {
			until = l.Until
		}
	}
	return until
}

// leaseExpired reports whether a worker's lease was expired at any time in an interval.
func (t *trace) leaseExpired(worker string, from, to time.Time) bool {
	until := t.leaseExpiry(worker, from)
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

// mostLoadedWorker returns the worker with the most active runs, or "" if none has any.
func mostLoadedWorker(lines []Line) string {
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
