// Package loss judges what the loss of workers says of the tasks that ran there: a task may crash every worker that starts it, and is
// given up then, but workers are lost for many other reasons, and no task answers for those. It does no I/O and reads no clock.
//
// Load: it is asked once for each worker that is lost without notice, a few a minute on a calm site and some hundred within seconds when
// halls are lost; what it keeps is bounded by the losses within Resolved.
package loss

import (
	"slices"
	"time"

	"github.com/pulleyring/pulleyring/internal/job"
)

// Limits of what is counted against a task. The users' rule is that a task may be given up after two crashes and must not be started
// three times more after three, so that five starts are safe whatever they come to.
const (
	// MostAtOnce is how many workers that were lost alone, as soon as a task had begun there, show that it crashes them. Two would show it
	// a worker sooner; but with 30% of 350 workers crashing every 3 s, six times, 61 sound tasks lost two so and 5 lost three.
	MostAtOnce = 3
	// MostCounted is how many workers may be lost in all for which a task may be to blame. With a fifth of the workers crashing three times
	// within 8 s no sound task lost four.
	MostCounted = 4
	// AloneAfter is how many counted losses have a task run alone from then on: the next loss tells then whether it or its neighbours are to blame,
	// and takes nothing else with it.
	AloneAfter = 2
	// MostStarts is how many workers may be lost under a task, for whatever reason, once leastCounted of them count against it.
	MostStarts   = 5
	leastCounted = 2
)

const (
	// AtOnceWithin is how long a worker may be heard of after a task began there for its loss to count as at once: workers were seen to crash
	// 10 ms after the start, and work that runs well is heard of again within a look, 1.5 s.
	AtOnceWithin = 500 * time.Millisecond
	// ClearedAfter is how long a worker must be heard of after a task began there to show that the task does not crash it at once.
	ClearedAfter = 4 * AtOnceWithin
	// CountedWithin is how long a worker may be heard of after a task began there for its loss to count at all: long work loses workers now and then.
	CountedWithin = 30 * time.Second
	// Together is how much later than one worker another may be known to be lost that was lost at the same time: those with nothing to do are known to
	// be lost by their records only, about 5 s (three heartbeats of 1.5 s, and the feed) after those that were being looked at.
	Together = 8 * time.Second
	// Resolved is how long a silent worker may still turn out to run on; cuts of up to 16 s were seen.
	Resolved = 30 * time.Second
	// othersLost is how many other workers, on which no task is suspect, must be lost together with one for its loss to be no task's doing.
	othersLost = 3
	// groupShare is the share of a hall's or a rack's workers that must be lost together for the hall or rack to be lost.
	groupShare = 0.5
)

// Run is a run that was lost with its worker.
type Run struct {
	Task   job.Task
	Before job.Losses    // What was counted against its task before.
	Seen   time.Duration // How long after its start the worker was heard of last.
	// Adopted says that a predecessor started it, so that its age is not known.
	Adopted bool
}

func (r *Run) atOnce() bool { return !r.Adopted && r.Seen <= AtOnceWithin }

// Group is the workers that may be lost together: of a hall, or of a rack.
type Group struct {
	Name string
	Size int // Workers that are known there, the lost one included.
}

// Worker is a worker that was lost without having said that it would leave.
type Worker struct {
	ID      string
	Address string
	Hall    Group
	Rack    Group
	Heard   time.Time // When it was heard of last: it was lost between then and now.
	Proven  bool      // Its process has surely ended; otherwise it may be cut off and run on.
	Runs    []Run
}

// Charge is a change of what is counted against a task.
type Charge struct {
	Task   job.Task
	Change job.Losses
}

// Judge keeps the workers that were lost lately. The zero value is ready.
type Judge struct {
	events []*event
	byID   map[string]*event      // The last loss of each worker.
	byTask map[job.Task][]lostRun // The runs of each task that were lost.
}

// lostRun is a run by its place in a loss.
type lostRun struct {
	*event
	place int
}

// event is a worker's loss.
type event struct {
	Worker
	at       time.Time
	proven   bool
	refuted  bool         // It runs on: it was cut off.
	suspect  bool         // A task that ran there may be to blame for it.
	accused  []bool       // By run: its task may be to blame.
	spared   []bool       // By run: it surely never began.
	counted  []job.Losses // By run: what is counted now.
	resolves time.Time    // When it counts as proven.
	others   int          // Workers without a suspect task that were lost together with it.
	hall     groupLoss
	rack     groupLoss
}

// groupLoss is what was lost of a group together with one of its workers. It is counted as losses come: counting anew for each of 350 workers that
// were lost within a second took 0.5 s (BenchmarkHallsLost), on one of the cores of which a box has a fifth.
type groupLoss struct {
	lost, others, size int
}

// lostAsOne reports whether most workers of the group were lost, and enough of them for no task's doing.
func (g *groupLoss) lostAsOne() bool {
	return g.others >= othersLost && float64(g.lost) >= groupShare*float64(g.size)
}

func (g *groupLoss) add(o *event, size, sign int) {
	g.lost += sign
	g.size = max(g.size, size)
	if !o.suspect {
		g.others += sign
	}
}

// Lost takes in a worker's loss and returns what changes for the tasks that ran there, and for those of workers lost before.
func (j *Judge) Lost(w Worker, now time.Time) []Charge {
	j.prune(now)
	if e := j.find(w.ID); e != nil {
		e.proven = e.proven || w.Proven
		return nil
	}
	e := &event{Worker: w, at: now, proven: w.Proven, resolves: now.Add(Resolved), accused: accused(w.Runs)}
	e.spared, e.counted = make([]bool, len(w.Runs)), make([]job.Losses, len(w.Runs))
	for i := range w.Runs {
		e.suspect = e.suspect || w.Runs[i].atOnce() || w.Runs[i].Before.All > 0
	}
	j.add(e)
	return j.review(e)
}

// add keeps a loss.
func (j *Judge) add(e *event) {
	if j.byID == nil {
		j.byID, j.byTask = map[string]*event{}, map[job.Task][]lostRun{}
	}
	e.hall.add(e, e.Hall.Size, 1)
	e.rack.add(e, e.Rack.Size, 1)
	for _, o := range j.events {
		if e.with(o) {
			e.join(o, 1)
			o.join(e, 1)
		}
	}
	j.events = append(j.events, e)
	j.byID[e.ID] = e
	for i := range e.Runs {
		j.byTask[e.Runs[i].Task] = append(j.byTask[e.Runs[i].Task], lostRun{e, i})
	}
}

// join counts another worker that was lost together with one, or with a sign of -1 that it was not after all.
func (e *event) join(o *event, sign int) {
	if !o.suspect {
		e.others += sign
	}
	if o.Hall.Name == e.Hall.Name {
		e.hall.add(o, o.Hall.Size, sign)
	}
	if o.Rack.Name == e.Rack.Name {
		e.rack.add(o, o.Rack.Size, sign)
	}
}

// Returned takes in that a worker that was lost runs on: it was cut off, and nothing of that is its tasks' doing.
func (j *Judge) Returned(id string) []Charge {
	e := j.find(id)
	if e == nil || e.proven {
		return nil
	}
	for _, o := range j.events {
		if o != e && o.with(e) {
			o.join(e, -1)
		}
	}
	e.refuted = true
	return append(j.recount(e), j.review(e)...)
}

// NeverRan takes in that a run that was lost with a worker surely never began there: its start was refused after all.
func (j *Judge) NeverRan(id string, t job.Task) []Charge {
	e := j.find(id)
	if e == nil {
		return nil
	}
	for i := range e.Runs {
		e.spared[i] = e.spared[i] || e.Runs[i].Task == t
	}
	return j.recount(e)
}

// Replaced takes in that another life has come at an address, so that the one before has ended.
func (j *Judge) Replaced(address, id string) {
	for _, e := range j.events {
		if e.Address == address && e.ID != id && !e.refuted {
			e.proven = true
		}
	}
}

// Open is the part of what is counted against a task that is not proven: the workers may yet turn out to run on.
func (j *Judge) Open(t job.Task, now time.Time) job.Losses {
	var sum job.Losses
	for _, r := range j.byTask[t] {
		if !r.proven && now.Before(r.resolves) {
			sum = sum.Add(r.counted[r.place])
		}
	}
	return sum
}

// Together counts the workers of a hall that were lost lately.
func (j *Judge) Together(hall string, now time.Time) int {
	n := 0
	for _, e := range j.events {
		if e.Hall.Name == hall && !e.refuted && now.Sub(e.at) <= Together {
			n++
		}
	}
	return n
}

// Verdict is what follows for a task from what is counted against it.
type Verdict int

// Verdicts.
const (
	Free   Verdict = iota // It may start.
	Held                  // It is not to start until it is known whether silent workers have crashed under it.
	Guilty                // It is to be given up.
)

// Weigh returns the verdict for a task by what is counted against it.
func (j *Judge) Weigh(t job.Task, counted job.Losses, now time.Time) Verdict {
	switch {
	case !over(counted):
		return Free
	case over(counted.Sub(j.Open(t, now))):
		return Guilty
	}
	return Held
}

func over(l job.Losses) bool {
	return l.AtOnce >= MostAtOnce || l.Counted >= MostCounted || l.All >= MostStarts && l.Counted >= leastCounted
}

// find returns the loss of a worker that has not returned since.
func (j *Judge) find(id string) *event {
	if e := j.byID[id]; e != nil && !e.refuted {
		return e
	}
	return nil
}

// prune drops losses that nothing depends on any more.
func (j *Judge) prune(now time.Time) {
	old := 0
	for ; old < len(j.events) && now.Sub(j.events[old].at) > Resolved+Together; old++ {
		e := j.events[old]
		if j.byID[e.ID] == e {
			delete(j.byID, e.ID)
		}
		for i := range e.Runs {
			j.dropRun(e, e.Runs[i].Task)
		}
	}
	j.events = j.events[old:]
}

func (j *Judge) dropRun(e *event, t job.Task) {
	left := slices.DeleteFunc(j.byTask[t], func(r lostRun) bool { return r.event == e })
	if len(left) == 0 {
		delete(j.byTask, t)
		return
	}
	j.byTask[t] = left
}

// review counts anew what a loss says, and what those say that came together with it.
func (j *Judge) review(e *event) []Charge {
	var charges []Charge
	for _, o := range j.events {
		if o == e || o.overlaps(e) {
			charges = append(charges, j.recount(o)...)
		}
	}
	return charges
}

// recount counts anew what a loss says.
func (j *Judge) recount(e *event) []Charge {
	var charges []Charge
	for i := range e.Runs {
		if wanted := j.weight(e, i); wanted != e.counted[i] {
			charges = append(charges, Charge{e.Runs[i].Task, wanted.Sub(e.counted[i])})
			e.counted[i] = wanted
		}
	}
	return charges
}

// weight is what a loss counts against the task of a run that was lost with it.
func (j *Judge) weight(e *event, i int) job.Losses {
	r := &e.Runs[i]
	switch {
	case e.refuted, e.spared[i]:
		return job.Losses{}
	case !e.accused[i], r.Seen > CountedWithin, j.lostWithGroup(e, r):
		return job.Losses{All: 1}
	case e.others < othersLost:
		if r.atOnce() {
			return job.Losses{All: 1, Counted: 1, AtOnce: 1}
		}
		return job.Losses{All: 1, Counted: 1}
	case r.atOnce():
		return job.Losses{All: 1, Counted: 1}
	}
	return job.Losses{All: 1}
}

// with reports whether two workers may have been lost at the same time.
func (e *event) with(o *event) bool { return !e.refuted && !o.refuted && e.overlaps(o) }

// overlaps reports whether the times overlap in which two workers were lost: between the time when one was heard of last and the time when it was
// known to be lost.
func (e *event) overlaps(o *event) bool { return !e.Heard.After(o.at) && !o.Heard.After(e.at) }

// lostWithGroup reports whether a worker was lost with its hall or rack. That excuses a task once for each such loss: one that has crashed
// another worker meanwhile is not excused for that.
func (j *Judge) lostWithGroup(e *event, r *Run) bool {
	if !e.hall.lostAsOne() && !e.rack.lostAsOne() {
		return false
	}
	for _, o := range j.byTask[r.Task] {
		if o.accused[o.place] && o.at.Before(e.at) && o.with(e) {
			return false
		}
	}
	return true
}

// accused marks the runs on a lost worker whose tasks may be to blame. Of those that had just begun they are those of the job with most counted
// against it before, and of the others too; but others answer beside those that had just begun only where more is counted against them. So a sound job
// that shares workers with one that crashes them is charged at its first crash at most, and not for the next ones. Tasks of one job don't
// excuse each other: it fails with any of them, and one went unnoticed for six starts beside two others that were charged for its crashes.
func accused(runs []Run) []bool {
	before := beforeOf(runs)
	begun, others := mostCharged(runs, before, true), mostCharged(runs, before, false)
	list := make([]bool, len(runs))
	for i := range runs {
		r := &runs[i]
		counted := before[r.Task.Job]
		switch {
		case r.atOnce():
			list[i] = !worse(before[begun.Task.Job], counted)
		case begun == nil || worse(before[others.Task.Job], before[begun.Task.Job]):
			list[i] = !worse(before[others.Task.Job], counted)
		}
	}
	return list
}

// beforeOf is the most that was counted against one task of each job.
func beforeOf(runs []Run) map[job.ID]job.Losses {
	before := map[job.ID]job.Losses{}
	for i := range runs {
		if r := &runs[i]; worse(r.Before, before[r.Task.Job]) {
			before[r.Task.Job] = r.Before
		}
	}
	return before
}

// mostCharged is a run of the job with most counted against it, of those that had just begun or of the others; nil for none.
func mostCharged(runs []Run, before map[job.ID]job.Losses, atOnce bool) *Run {
	var most *Run
	for i := range runs {
		if r := &runs[i]; r.atOnce() == atOnce && (most == nil || worse(before[r.Task.Job], before[most.Task.Job])) {
			most = r
		}
	}
	return most
}

// worse reports whether more is counted against one task than against another.
func worse(l, o job.Losses) bool {
	if l.AtOnce != o.AtOnce {
		return l.AtOnce > o.AtOnce
	}
	return l.Counted > o.Counted
}
