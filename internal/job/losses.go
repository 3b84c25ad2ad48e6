package job

import "fmt"

// Losses counts the workers that were lost while running a task, without having announced that they would leave.
type Losses struct {
	_       struct{} `cbor:",toarray"`
	All     int      // All lost workers; from the third on, also runs that ended in another way.
	Counted int      // Losses that the task may have caused.
	AtOnce  int      // Those of Counted where the worker was lost alone, right after the task started there.
}

// Add returns the sum of l and o.
func (l Losses) Add(o Losses) Losses {
	l.All += o.All
	l.Counted += o.Counted
	l.AtOnce += o.AtOnce
	return l
}

// Sub returns l less o.
func (l Losses) Sub(o Losses) Losses {
	l.All -= o.All
	l.Counted -= o.Counted
	l.AtOnce -= o.AtOnce
	return l
}

// Reason is the reason for which a job failed.
type Reason int

// Reasons of a failure.
const (
	NoReason       Reason = iota
	FailedTooOften        // A task or gang failed as often as its queue allows.
	CrashesWorkers        // Workers crashed repeatedly while running a task.
)

// String returns the reason's name for logs and metrics.
func (r Reason) String() string {
	return [...]string{"", "failed_too_often", "crashes_workers"}[r]
}

// Failure records why a job failed, and the task that caused it.
type Failure struct {
	_      struct{} `cbor:",toarray"`
	Reason Reason
	Group  Group
	Index  int
	Times  int // Number of failed runs, or of crashed workers.
}

// Message returns the reason for the failure as shown to the caller; empty if it is not known.
func (f *Failure) Message() string {
	if f == nil {
		return ""
	}
	task := fmt.Sprintf("task %d of step %d", f.Index, f.Group.Step)
	if f.Group.Occurrence > 0 {
		task += fmt.Sprintf(" at time %d", f.Group.Occurrence)
	}
	switch f.Reason {
	case FailedTooOften:
		return fmt.Sprintf("%s failed %d times, as often as its queue allows", task, f.Times)
	case CrashesWorkers:
		return fmt.Sprintf("%s was given up: %d workers crashed while it ran there", task, f.Times)
	}
	return ""
}

// LossesOf returns the worker losses counted for a task.
func (l *Tracker) LossesOf(t Task) Losses {
	i, _ := l.taskIndex(t)
	return l.Progress.Losses[i]
}

// AddLosses adds change, which may be negative, to the worker losses counted for a task. It reports false if
// the job has no such task.
func (l *Tracker) AddLosses(t Task, change Losses) bool {
	i, ok := l.taskIndex(t)
	if !ok {
		return false
	}
	if l.Progress.Losses == nil {
		l.Progress.Losses = map[int]Losses{}
	}
	sum := l.Progress.Losses[i].Add(change)
	l.Progress.Losses[i] = Losses{All: max(sum.All, 0), Counted: max(sum.Counted, 0), AtOnce: max(sum.AtOnce, 0)}
	return true
}

// TaskAt returns the task with an index in the progress.
func (l *Tracker) TaskAt(index int) Task {
	t := Task{Job: l.Request.ID, Occurrence: index / l.tasksPerOccurrence, Index: index % l.tasksPerOccurrence}
	for t.Step+1 < len(l.stepOffsets) && t.Index >= l.stepOffsets[t.Step+1] {
		t.Step++
	}
	t.Index -= l.stepOffsets[t.Step]
	return t
}

// FailJob marks the job as failed because of a task, unless the job has ended before. It reports whether it
// marked it. times is the number of failed runs or of crashed workers.
func (l *Tracker) FailJob(t Task, reason Reason, times int, nowMS int64) bool {
	if l.Progress.State.Final() {
		return false
	}
	l.setFailed(t, reason, times)
	l.updateState(nowMS)
	return true
}

func (l *Tracker) setFailed(t Task, reason Reason, times int) {
	l.Progress.State = Failed
	l.Progress.Failure = &Failure{Reason: reason, Group: Group{t.Occurrence, t.Step}, Index: t.Index, Times: times}
}
