package job

import "github.com/pulleyring/pulleyring/internal/incarnation"

// Tracker holds a job and its progress. All changes of the progress go through its methods.
type Tracker struct {
	Request            *Request
	Progress           Progress
	stepOffsets        []int // Index of each step's first task within an occurrence.
	tasksPerOccurrence int
	failures           failureCounter
	savedBytes         int   // Size of all saved states.
	unfinished         []int // By step of each occurrence: number of tasks that are not finished.
	begun              bool  // A run is known to have begun.
}

// MaxSavedBytes limits the saved states of a job. Beyond it, tasks keep the ones that they have.
const MaxSavedBytes = 128 << 10

// maxSavedStateBytes limits a saved state, as a payload is limited.
const maxSavedStateBytes = 4000

// NewTracker returns the tracker of a job. p is the stored progress, nil for a job without any.
func NewTracker(r *Request, p *Progress) *Tracker {
	l := &Tracker{Request: r}
	for i := range r.Steps {
		l.stepOffsets = append(l.stepOffsets, l.tasksPerOccurrence)
		l.tasksPerOccurrence += r.Steps[i].Count
	}
	if p != nil && len(p.Tasks) == l.tasksPerOccurrence*r.Occurrences() {
		l.Progress = *p
		for i := range l.Progress.Tasks {
			l.savedBytes += len(l.Progress.Tasks[i].Saved)
		}
		l.loadFailures()
		l.begun = l.Progress.State != Queued
		l.countUnfinished()
		return l
	}
	l.Progress.Tasks = make([]TaskProgress, l.tasksPerOccurrence*r.Occurrences())
	l.Progress.GangRuns = make([]int, len(r.Steps)*r.Occurrences())
	l.countUnfinished()
	return l
}

func (l *Tracker) countUnfinished() {
	l.unfinished = make([]int, len(l.Request.Steps)*l.Request.Occurrences())
	for k := range l.Request.Occurrences() {
		for s := range l.Request.Steps {
			for _, t := range l.Tasks(Group{k, s}) {
				if t.State != Finished {
					l.unfinished[k*len(l.Request.Steps)+s]++
				}
			}
		}
	}
}

// Group identifies the tasks of one step in one occurrence.
type Group struct {
	Occurrence, Step int
}

func (l *Tracker) progressOf(t Task) *TaskProgress {
	i, ok := l.taskIndex(t)
	if !ok {
		return nil
	}
	return &l.Progress.Tasks[i]
}

// taskIndex returns a task's index in the progress; false if the job has no such task.
func (l *Tracker) taskIndex(t Task) (int, bool) {
	if t.Occurrence < 0 || t.Occurrence >= l.Request.Occurrences() || t.Step < 0 || t.Step >= len(l.stepOffsets) {
		return 0, false
	}
	if t.Index < 0 || t.Index >= l.Request.Steps[t.Step].Count {
		return 0, false
	}
	return t.Occurrence*l.tasksPerOccurrence + l.stepOffsets[t.Step] + t.Index, true
}

// Task returns a copy of a task's progress; false if the job has no such task.
func (l *Tracker) Task(t Task) (TaskProgress, bool) {
	p := l.progressOf(t)
	if p == nil {
		return TaskProgress{}, false
	}
	return *p, true
}

// Tasks returns the progress of a group's tasks. The caller must not change it.
func (l *Tracker) Tasks(g Group) []TaskProgress {
	first := g.Occurrence*l.tasksPerOccurrence + l.stepOffsets[g.Step]
	return l.Progress.Tasks[first : first+l.Request.Steps[g.Step].Count]
}

// TaskInGroup returns the task with an index in a group.
func (l *Tracker) TaskInGroup(g Group, index int) Task {
	return Task{l.Request.ID, g.Occurrence, g.Step, index}
}

// GroupDone reports whether all tasks of a group are finished.
func (l *Tracker) GroupDone(g Group) bool {
	for _, t := range l.Tasks(g) {
		if t.State != Finished {
			return false
		}
	}
	return true
}

// Ready returns the groups with tasks that can start at nowMS (Unix time in milliseconds): the occurrence is due
// and the steps that the group depends on are finished. A gang is ready only if all of its tasks are waiting.
func (l *Tracker) Ready(nowMS int64) []Group {
	if l.Progress.State.Final() {
		return nil
	}
	var groups []Group
	for k := range l.Request.Occurrences() {
		if !l.Request.IsDue(k, nowMS) {
			break
		}
		for s := range l.Request.Steps {
			g := Group{k, s}
			if l.startable(g) && l.dependenciesDone(g) {
				groups = append(groups, g)
			}
		}
	}
	return groups
}

func (l *Tracker) startable(g Group) bool {
	waiting := 0
	tasks := l.Tasks(g)
	for i := range tasks {
		if tasks[i].State == Waiting {
			waiting++
		}
	}
	if l.Request.Steps[g.Step].Gang {
		return waiting == len(tasks)
	}
	return waiting > 0
}

func (l *Tracker) dependenciesDone(g Group) bool {
	for _, a := range l.Request.Steps[g.Step].After {
		if !l.GroupDone(Group{g.Occurrence, a}) {
			return false
		}
	}
	return true
}

// NextDue returns the first time after nowMS at which an occurrence is due; 0 if there is none. Both are Unix
// times in milliseconds.
func (l *Tracker) NextDue(nowMS int64) int64 {
	if l.Request.Schedule.Times == 0 || l.Progress.State.Final() {
		return 0
	}
	for k := range l.Request.Occurrences() {
		if due := l.Request.Due(k); due > nowMS {
			return due
		}
	}
	return 0
}

// PlacedRun is a run that was placed on a worker.
type PlacedRun struct {
	Task   Task
	Run    int
	Worker incarnation.ID
	Saved  string // Saved state to continue from; empty to start from the beginning.
}

// Place records that tasks of a group will run on workers, given by task index, and returns the placed runs.
// All tasks of a gang must be placed in one call.
func (l *Tracker) Place(g Group, workers map[int]incarnation.ID) []PlacedRun {
	gang := l.Request.Steps[g.Step].Gang
	tasks := l.Tasks(g)
	first := l.Progress.State == Queued && !l.anyTask(func(t *TaskProgress) bool { return t.Run > 0 })
	gangRun := 0
	for i := range tasks {
		gangRun = max(gangRun, tasks[i].Run+1)
	}
	var orders []PlacedRun
	for i := range tasks {
		worker, ok := workers[i]
		if !ok || tasks[i].State != Waiting {
			continue
		}
		t := &tasks[i]
		t.State, t.Worker, t.Run = Placed, worker, t.Run+1
		saved := t.Saved
		if gang {
			t.Run, saved = gangRun, tasks[0].Saved
		}
		orders = append(orders, PlacedRun{l.TaskInGroup(g, i), t.Run, worker, saved})
	}
	if first && len(orders) > 0 {
		l.Progress.State = Running // The start is expected to succeed. Requeue undoes this.
	}
	return orders
}

// RecordSavedState records a saved state of a task's current run and reports whether it is new. It ignores a state that
// is too large to be kept.
func (l *Tracker) RecordSavedState(t Task, run int, saved string) bool {
	p := l.progressOf(t)
	if p == nil || p.Run != run || saved == "" {
		return false
	}
	if l.Request.Steps[t.Step].Gang {
		p = &l.Tasks(Group{t.Occurrence, t.Step})[0]
	}
	size := l.savedBytes + len(saved) - len(p.Saved)
	if p.State == Finished || p.Saved == saved || len(saved) > maxSavedStateBytes || size > MaxSavedBytes && len(saved) > len(p.Saved) {
		return false
	}
	l.setSavedState(p, saved)
	return true
}

// SavedBytes returns the size of all saved states.
func (l *Tracker) SavedBytes() int { return l.savedBytes }

func (l *Tracker) setSavedState(p *TaskProgress, saved string) {
	l.savedBytes += len(saved) - len(p.Saved)
	p.Saved = saved
}

// finish marks a task of a group as finished. It needs its saved state no longer.
func (l *Tracker) finish(g Group, p *TaskProgress) {
	if p.State != Finished {
		l.unfinished[g.Occurrence*len(l.Request.Steps)+g.Step]--
	}
	p.State = Finished
	l.setSavedState(p, "")
}

// EndRun records how a run of a task ended, and reports whether the end counted. The run may be the task's tracked one
// or an earlier one.
func (l *Tracker) EndRun(t Task, run int, outcome Outcome, saved string, nowMS int64) bool {
	p := l.progressOf(t)
	if p == nil || run < 1 || run > p.Run {
		return false
	}
	if outcome.showsBeginning() {
		l.RecordBegun()
	}
	if p.Run != run || p.State != Placed {
		return l.endUntracked(t, run, outcome, nowMS)
	}
	l.RecordSavedState(t, run, saved)
	g := Group{t.Occurrence, t.Step}
	gang := l.Request.Steps[t.Step].Gang
	switch {
	case outcome == Succeeded && l.Request.Steps[t.Step].Lasting:
		p.State = Waiting
	case outcome == Succeeded && gang:
		l.finishGang(g)
	case outcome == Succeeded:
		l.finish(g, p)
	case outcome == FailedRun:
		p.State = Waiting
		l.countFailure(t, run)
	default:
		p.State = Waiting
	}
	if !l.begun && !l.anyTask(func(t *TaskProgress) bool { return t.State == Placed }) {
		l.Requeue()
	}
	l.updateState(nowMS)
	return true
}

// endUntracked records the end of a run that had been presumed ended and is no longer tracked. A success still
// finishes the task, and a failure still counts as an attempt. If a later run of the task is tracked, it stays
// tracked until its own end.
func (l *Tracker) endUntracked(t Task, run int, outcome Outcome, nowMS int64) bool {
	g := Group{t.Occurrence, t.Step}
	if l.Progress.State.Final() || l.Request.Steps[t.Step].Lasting || l.progressOf(t).State == Finished {
		return false
	}
	changed := false
	switch outcome {
	case Succeeded:
		l.finishUntracked(g, t.Index, run)
		changed = true
	case FailedRun:
		changed = l.countFailure(t, run)
	}
	l.updateState(nowMS)
	return changed
}

// finishUntracked marks a task, or a whole gang, as finished by an untracked run. It stores the number of that
// run as the last one. A later run that is still found on a worker is then not mistaken for the run that
// succeeded.
func (l *Tracker) finishUntracked(g Group, index, run int) {
	tasks := l.Tasks(g)
	if !l.Request.Steps[g.Step].Gang {
		tasks = tasks[index : index+1]
	}
	for i := range tasks {
		l.finish(g, &tasks[i])
		tasks[i].Run = run
	}
}

// finishGang marks all members as finished: a gang succeeds as a whole, so the success of one member is enough.
func (l *Tracker) finishGang(g Group) {
	tasks := l.Tasks(g)
	for i := range tasks {
		l.finish(g, &tasks[i])
	}
}

// updateState completes the job if all tasks are finished, and records the time at which its state became final.
func (l *Tracker) updateState(nowMS int64) {
	if !l.Progress.State.Final() && l.allFinished() {
		l.Progress.State = Completed
	}
	if l.Progress.State.Final() && l.Progress.EndedAt == 0 {
		l.Progress.EndedAt = nowMS
	}
}

func (l *Tracker) allFinished() bool {
	return !l.anyTask(func(t *TaskProgress) bool { return t.State != Finished })
}

// anyTask reports whether a condition holds for any task.
func (l *Tracker) anyTask(holds func(t *TaskProgress) bool) bool {
	for i := range l.Progress.Tasks {
		if holds(&l.Progress.Tasks[i]) {
			return true
		}
	}
	return false
}

// Cancel cancels the job unless it has ended, and reports whether it did.
func (l *Tracker) Cancel(nowMS int64) bool {
	if l.Progress.State.Final() {
		return false
	}
	l.Progress.State = Cancelled
	l.updateState(nowMS)
	return true
}

// Running returns the placed runs whose end is not known, including those of a job that has ended.
func (l *Tracker) Running() []PlacedRun {
	var orders []PlacedRun
	for k := range l.Request.Occurrences() {
		for s := range l.Request.Steps {
			g := Group{k, s}
			tasks := l.Tasks(g)
			for i := range tasks {
				if tasks[i].State == Placed {
					orders = append(orders, PlacedRun{l.TaskInGroup(g, i), tasks[i].Run, tasks[i].Worker, l.savedState(g, i)})
				}
			}
		}
	}
	return orders
}

func (l *Tracker) savedState(g Group, index int) string {
	if l.Request.Steps[g.Step].Gang {
		index = 0
	}
	return l.Tasks(g)[index].Saved
}
