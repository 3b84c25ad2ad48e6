package job

import "github.com/pulleyring/pulleyring/internal/life"

// Life holds a job and its progress. All changes of the progress go through its methods.
type Life struct {
	Request            *Request
	Progress           Progress
	stepOffsets        []int // Index of each step's first task within an occurrence.
	tasksPerOccurrence int
	failures           failureCounter
}

// NewLife returns the tracker of a job. p is the stored progress, nil for a job without any.
func NewLife(r *Request, p *Progress) *Life {
	l := &Life{Request: r}
	for i := range r.Steps {
		l.stepOffsets = append(l.stepOffsets, l.tasksPerOccurrence)
		l.tasksPerOccurrence += r.Steps[i].Count
	}
	if p != nil && len(p.Tasks) == l.tasksPerOccurrence*r.Occurrences() {
		l.Progress = *p
		l.loadFailures()
		return l
	}
	l.Progress.Tasks = make([]TaskProgress, l.tasksPerOccurrence*r.Occurrences())
	l.Progress.GangRuns = make([]int, len(r.Steps)*r.Occurrences())
	return l
}

// Group identifies the tasks of one step in one occurrence.
type Group struct {
	Occurrence, Step int
}

func (l *Life) progressOf(t Task) *TaskProgress {
	i, ok := l.taskIndex(t)
	if !ok {
		return nil
	}
	return &l.Progress.Tasks[i]
}

// taskIndex returns a task's index in the progress; false if the job has no such task.
func (l *Life) taskIndex(t Task) (int, bool) {
	if t.Occurrence < 0 || t.Occurrence >= l.Request.Occurrences() || t.Step < 0 || t.Step >= len(l.stepOffsets) {
		return 0, false
	}
	if t.Index < 0 || t.Index >= l.Request.Steps[t.Step].Count {
		return 0, false
	}
	return t.Occurrence*l.tasksPerOccurrence + l.stepOffsets[t.Step] + t.Index, true
}

// Task returns a copy of a task's progress; false if the job has no such task.
func (l *Life) Task(t Task) (TaskProgress, bool) {
	p := l.progressOf(t)
	if p == nil {
		return TaskProgress{}, false
	}
	return *p, true
}

// Tasks returns the progress of a group's tasks. The caller must not change it.
func (l *Life) Tasks(g Group) []TaskProgress {
	first := g.Occurrence*l.tasksPerOccurrence + l.stepOffsets[g.Step]
	return l.Progress.Tasks[first : first+l.Request.Steps[g.Step].Count]
}

// Name returns the task with an index in a group.
func (l *Life) Name(g Group, index int) Task {
	return Task{l.Request.ID, g.Occurrence, g.Step, index}
}

// GroupDone reports whether all tasks of a group are finished.
func (l *Life) GroupDone(g Group) bool {
	for _, t := range l.Tasks(g) {
		if t.State != Finished {
			return false
		}
	}
	return true
}

// Ready returns the groups with tasks that can start at nowMS (Unix time in milliseconds): the occurrence is due
// and the steps that the group depends on are finished. A gang is ready only if all of its tasks are waiting.
func (l *Life) Ready(nowMS int64) []Group {
	if l.Progress.State.Final() {
		return nil
	}
	var groups []Group
	for k := range l.Request.Occurrences() {
		if l.Request.Schedule.Times > 0 && l.Request.Due(k) > nowMS {
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

func (l *Life) startable(g Group) bool {
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

func (l *Life) dependenciesDone(g Group) bool {
	for _, a := range l.Request.Steps[g.Step].After {
		if !l.GroupDone(Group{g.Occurrence, a}) {
			return false
		}
	}
	return true
}

// NextDue returns the first time after nowMS at which an occurrence is due; 0 if there is none. Both are Unix
// times in milliseconds.
func (l *Life) NextDue(nowMS int64) int64 {
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

// Order is a run that was placed on a worker.
type Order struct {
	Task   Task
	Run    int
	Worker life.ID
	Saved  string // Saved state to continue from; empty to start from the beginning.
}

// Place records that tasks of a group (by index) will run on workers and returns the placed runs. A gang must be
// placed whole.
func (l *Life) Place(g Group, workers map[int]life.ID) []Order {
	gang := l.Request.Steps[g.Step].Gang
	tasks := l.Tasks(g)
	gangRun := 0
	for i := range tasks {
		gangRun = max(gangRun, tasks[i].Run+1)
	}
	var orders []Order
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
		orders = append(orders, Order{l.Name(g, i), t.Run, worker, saved})
	}
	if l.Progress.State == Queued && len(orders) > 0 {
		l.Progress.State = Running
	}
	return orders
}

// Save records a saved state of a task's current run and reports whether it is new.
func (l *Life) Save(t Task, run int, saved string) bool {
	p := l.progressOf(t)
	if p == nil || p.Run != run || saved == "" {
		return false
	}
	if l.Request.Steps[t.Step].Gang {
		p = &l.Tasks(Group{t.Occurrence, t.Step})[0]
	}
	if p.Saved == saved {
		return false
	}
	p.Saved = saved
	return true
}

// End records how a run ended, whether it is the tracked run or an earlier one, and reports whether that changed
// anything.
func (l *Life) End(t Task, run int, outcome Outcome, saved string, nowMS int64) bool {
	p := l.progressOf(t)
	if p == nil || run < 1 || run > p.Run {
		return false
	}
	if p.Run != run || p.State != Placed {
		return l.endUntracked(t, run, outcome, nowMS)
	}
	l.Save(t, run, saved)
	g := Group{t.Occurrence, t.Step}
	gang := l.Request.Steps[t.Step].Gang
	switch {
	case outcome == Succeeded && gang:
		l.finishGang(g)
	case outcome == Succeeded && !l.Request.Steps[t.Step].Lasting:
		p.State = Finished
	case outcome == FailedRun:
		p.State = Waiting
		l.countFailure(t, run)
	default:
		p.State = Waiting
	}
	l.updateState(nowMS)
	return true
}

// endUntracked records the end of a run that is no longer tracked because it was presumed ended. A success still
// finishes the task, and a failure still counts as an attempt. A later run remains tracked until its own end.
func (l *Life) endUntracked(t Task, run int, outcome Outcome, nowMS int64) bool {
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

// finishUntracked marks a task, or a whole gang, as finished by an untracked run. That run is recorded as the last
// one, so that a later run found on a worker is not mistaken for the one that succeeded.
func (l *Life) finishUntracked(g Group, index, run int) {
	tasks := l.Tasks(g)
	if !l.Request.Steps[g.Step].Gang {
		tasks = tasks[index : index+1]
	}
	for i := range tasks {
		tasks[i].State, tasks[i].Run = Finished, run
	}
}

// finishGang marks all members as finished: a gang succeeds as a whole, so the success of one member is enough.
func (l *Life) finishGang(g Group) {
	tasks := l.Tasks(g)
	for i := range tasks {
		tasks[i].State = Finished
	}
}

// updateState completes the job if all tasks are finished, and records the time at which its state became final.
func (l *Life) updateState(nowMS int64) {
	if l.Progress.State == Running && l.allFinished() {
		l.Progress.State = Completed
	}
	if l.Progress.State.Final() && l.Progress.EndedAt == 0 {
		l.Progress.EndedAt = nowMS
	}
}

func (l *Life) allFinished() bool {
	for i := range l.Progress.Tasks {
		if l.Progress.Tasks[i].State != Finished {
			return false
		}
	}
	return true
}

// Cancel cancels the job unless it has ended, and reports whether it did.
func (l *Life) Cancel(nowMS int64) bool {
	if l.Progress.State.Final() {
		return false
	}
	l.Progress.State = Cancelled
	l.updateState(nowMS)
	return true
}

// Running returns the placed runs whose end is not known, including those of a job that has ended.
func (l *Life) Running() []Order {
	var orders []Order
	for k := range l.Request.Occurrences() {
		for s := range l.Request.Steps {
			g := Group{k, s}
			tasks := l.Tasks(g)
			for i := range tasks {
				if tasks[i].State == Placed {
					orders = append(orders, Order{l.Name(g, i), tasks[i].Run, tasks[i].Worker, l.savedState(g, i)})
				}
			}
		}
	}
	return orders
}

func (l *Life) savedState(g Group, index int) string {
	if l.Request.Steps[g.Step].Gang {
		index = 0
	}
	return l.Tasks(g)[index].Saved
}
