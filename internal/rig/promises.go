package rig

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/platform/standin"
)

// verdict checks the play. All of its processes must have ended.
func (p *play) verdict() *Verdict {
	t, v := newTrace(p.lines), &Verdict{Jobs: len(p.jobs), Calls: len(p.calls), UnexpectedExits: p.exits, Faults: p.faults.kinds}
	v.Checked += len(p.boxes)
	v.judgeRuns(t)
	for _, j := range p.jobs {
		v.judgeRefused(t, j)
		v.judgeEnd(p, t, j)
		v.judgeOrder(t, j)
	}
	for _, run := range t.runs {
		v.judgeMember(p, run)
		v.judgeCancelled(p, run)
	}
	states := map[*submittedJob]string{}
	for i := range p.calls {
		v.judgeState(p, t, &p.calls[i], states)
		v.judgeCut(p, &p.calls[i])
		for k := range p.calls[i].brokenTries {
			v.judgeCut(p, &p.calls[i].brokenTries[k])
		}
	}
	v.judgeKeys(p)
	return v
}

// runsOf returns the runs of a job.
func (t *trace) runsOf(id job.ID) (list []*taskRun) {
	for _, run := range t.runs {
		if strings.HasPrefix(run.task, string(id)+".") {
			list = append(list, run)
		}
	}
	return list
}

// judgeRefused checks that no run of a job began before its client sent a submission that was not refused. A job whose
// submissions were all refused must never run.
func (v *Verdict) judgeRefused(t *trace, j *submittedJob) {
	if !j.refused {
		return
	}
	v.Checked++
	for _, run := range t.runsOf(j.id) {
		if j.submittedAt.IsZero() || run.began.Before(j.submittedAt) {
			v.RanRefused = append(v.RanRefused, fmt.Sprintf("job %s, %s", j.id, run))
			return
		}
	}
}

// judgeEnd checks that a job reached an expected final state, unless its client gave up after a refusal.
func (v *Verdict) judgeEnd(p *play, t *trace, j *submittedJob) {
	v.Checked++
	if j.once && j.refused && !j.undecided && !j.accepted {
		return
	}
	mayFail := p.MayFail != 0 || mayFailCrashLooping(t.runsOf(j.id), time.Now())
	ok := j.state == standin.Completed || j.state == "cancelled" && j.cancelSent || j.state == "failed" && mayFail
	if !ok {
		v.Unfinished = append(v.Unfinished, fmt.Sprintf("job %s is %q, accepted: %t", j.id, j.state, j.accepted))
	}
}

// judgeOrder checks that no task of the second step started before every task of the first step was done.
func (v *Verdict) judgeOrder(t *trace, j *submittedJob) {
	if !j.Ordered {
		return
	}
	runs, second := t.runsOf(j.id), fmt.Sprintf("%s.0.1.", j.id)
	for _, run := range runs {
		if !strings.HasPrefix(run.task, second) {
			continue
		}
		v.Checked++
		if n := countDone(runs, fmt.Sprintf("%s.0.0.", j.id), run.began, j.Gang); n < j.Tasks {
			v.OutOfOrder = append(v.OutOfOrder, fmt.Sprintf("%s, with %d of %d tasks of the first step done", run, n, j.Tasks))
		}
	}
}

// countDone counts the tasks of a step that had succeeded by a time. The success of one member counts for its whole
// gang.
func countDone(runs []*taskRun, step string, by time.Time, gang bool) int {
	tasks := map[string]bool{}
	for _, run := range runs {
		if strings.HasPrefix(run.task, step) && run.outcome == job.Succeeded.String() && run.ended.Before(by) {
			if gang {
				return run.members
			}
			tasks[run.task] = true
		}
	}
	return len(tasks)
}

// judgeMember checks that a gang member does not wait without success for the other members while no fault is
// active.
func (v *Verdict) judgeMember(p *play, run *taskRun) {
	if !run.gang || !p.faults.undisturbed(run.began, run.ended, nil) {
		return
	}
	v.Checked++
	if j := p.jobOf(run); run.outcome == job.GangTimedOut.String() && !(j.cancelSent && j.cancelledAt.Before(run.ended)) {
		v.IncompleteGangs = append(v.IncompleteGangs, run.String())
	}
}

// judgeCancelled checks that no run of a cancelled job starts or continues after the limit while no fault is active.
func (v *Verdict) judgeCancelled(p *play, run *taskRun) {
	j := p.jobOf(run)
	if j.cancelledAt.IsZero() {
		return
	}
	by := j.cancelledAt.Add(cancelWithin)
	if !p.faults.undisturbed(j.cancelledAt, by.Add(stopWithin), func(x *faultPeriod) bool { return slices.Contains(leavingVerbs, x.verb) }) {
		return
	}
	v.Checked++
	if run.began.After(by) || run.began.Before(by) && run.ended.After(by.Add(stopWithin)) {
		v.RanCancelled = append(v.RanCancelled, fmt.Sprintf("%s, cancelled at %s", run, j.cancelledAt.Format(timeFormat)))
	}
}

// jobOf returns the job of a run, or an empty one if no client submitted it.
func (p *play) jobOf(run *taskRun) *submittedJob {
	for _, j := range p.jobs {
		if strings.HasPrefix(run.task, string(j.id)+".") {
			return j
		}
	}
	return &submittedJob{}
}

// judgeState checks that a state reported to a client agrees with what the workers did, and that a final state never
// changes.
func (v *Verdict) judgeState(p *play, t *trace, c *call, states map[*submittedJob]string) {
	if c.verb != polling || c.Err != nil {
		return
	}
	v.Checked++
	wrong := func(why string) {
		v.WrongStates = append(v.WrongStates, fmt.Sprintf("job %s: %d %q by %s at %s: %s", c.job.id, c.Status, c.State, c.box, c.ended.Format(timeFormat), why))
	}
	j, before := c.job, states[c.job]
	runs := t.runsOf(j.id)
	switch {
	case c.Status == http.StatusGone && c.sent.Sub(j.acceptedAt) > visibleWithin && p.faults.undisturbed(c.sent.Add(-visibleWithin), c.ended, nil):
		wrong("it was accepted")
	case c.State == "":
		return
	case standin.Final(before) && c.State != before:
		wrong("it was " + before)
	case c.State == standin.Completed && !allTasksDone(runs, j, c.ended):
		wrong("not all of its tasks are done")
	case c.State == "failed" && !attemptsUsedUp(runs, c.ended) && !mayFailCrashLooping(runs, c.ended):
		wrong("no task has used its attempts up or lost three workers")
	case c.State == "cancelled" && !j.cancelSent:
		wrong("nobody cancelled it")
	}
	states[j] = c.State
}

// allTasksDone reports whether all tasks of a job were done by a time.
func allTasksDone(runs []*taskRun, j *submittedJob, by time.Time) bool {
	steps := 1
	if j.Ordered {
		steps = 2
	}
	for i := range steps {
		if countDone(runs, fmt.Sprintf("%s.0.%d.", j.id, i), by, j.Gang) < j.Tasks {
			return false
		}
	}
	return true
}

// attemptsUsedUp reports whether a task or gang of a job had used up its attempts by a time.
func attemptsUsedUp(runs []*taskRun, by time.Time) bool {
	failed := map[string]map[int]bool{}
	for _, run := range runs {
		if run.outcome != job.FailedRun.String() || run.ended.After(by) {
			continue
		}
		if failed[run.attemptUnit()] == nil {
			failed[run.attemptUnit()] = map[int]bool{}
		}
		if failed[run.attemptUnit()][run.run] = true; len(failed[run.attemptUnit()]) >= standin.Attempts {
			return true
		}
	}
	return false
}

// killsBeforeFailure is the number of workers that must have been killed under one task before its job may be failed as
// crash-looping. The users allow it from the second one on.
const killsBeforeFailure = 3

// mayFailCrashLooping reports whether at least killsBeforeFailure workers had been killed under one task by a time.
// Such a task can't be distinguished from one that crashes its workers.
func mayFailCrashLooping(runs []*taskRun, by time.Time) bool {
	killed := map[string]int{}
	for _, run := range runs {
		if !run.killed || run.ended.After(by) {
			continue
		}
		if killed[run.task]++; killed[run.task] >= killsBeforeFailure {
			return true
		}
	}
	return false
}

// judgeCut checks that the planned shutdown of a box cuts off no call whose request the box has read. A slow store
// is no excuse.
func (v *Verdict) judgeCut(p *play, c *call) {
	for _, period := range p.faults.list {
		near := period.target == c.box && period.verb == "terminate" && c.ended.After(period.from) && c.ended.Before(period.from.Add(shutdownWithin+shutdownSlack))
		if !near || !p.faults.undisturbed(c.sent, c.ended, func(y *faultPeriod) bool {
			return y.verb == "terminate" || strings.HasPrefix(y.target, "w") || y.target == "store" && strings.HasPrefix(y.verb, "slow")
		}) {
			continue
		}
		v.Checked++
		if c.Err != nil && !errors.Is(c.Err, context.DeadlineExceeded) && !c.written.IsZero() && c.ended.Sub(c.written) > requestReadWithin {
			v.CutCalls = append(v.CutCalls, fmt.Sprintf("%s, told to end at %s, call from %s to %s: %v", c.box, period.from.Format(timeFormat), c.sent.Format(timeFormat), c.ended.Format(timeFormat), c.Err))
		}
	}
}

// judgeKeys checks that each version of the configuration comes into force in time and stays in force until the next
// one.
func (v *Verdict) judgeKeys(p *play) {
	for _, probe := range p.probes {
		if probe.version < 1 || !p.faults.undisturbed(probe.sent, probe.sent, func(y *faultPeriod) bool { return strings.HasPrefix(y.target, "w") }) {
			continue
		}
		// inForce: the key's version must be in force. nextInForce: the version after it must be in force as well.
		inForce, nextInForce := p.faults.mustBeInForce(probe.version, probe.sent), p.faults.mustBeInForce(probe.version+1, probe.sent)
		if !inForce && !nextInForce {
			continue
		}
		v.Checked++
		if nextInForce && probe.accepted || inForce && !nextInForce && !probe.accepted && !p.faults.mayBeInForce(probe.version+1, probe.sent) {
			v.WrongKeys = append(v.WrongKeys, fmt.Sprintf("%s, key of version %d, taken: %t, at %s", probe.box, probe.version, probe.accepted, probe.sent.Format(timeFormat)))
		}
	}
}

// mayBeInForce reports whether a version was put in force by a time, or may be put in force while a call sent at that
// time is answered.
func (h *faultHistory) mayBeInForce(version int, at time.Time) bool {
	return version-2 < len(h.configured) && version >= 2 && at.Add(probeInterval).After(h.configured[version-2])
}

// mustBeInForce reports whether a version must be in force at a time. The first version is in force from the start.
func (h *faultHistory) mustBeInForce(version int, at time.Time) bool {
	if version < 2 {
		return true
	}
	return version-2 < len(h.configured) && at.After(h.configured[version-2].Add(configWithin))
}
