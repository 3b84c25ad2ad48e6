package job

import "fmt"

// Losses counts the workers that were lost under a task's runs without having said that they would leave.
type Losses struct {
	_       struct{} `cbor:",toarray"`
	All     int      // All of them, and from the third one on also the starts that ended otherwise.
	Counted int      // Those that may be the task's doing.
	AtOnce  int      // Of these, those that were lost as soon as the task had begun there, and not with others.
}

// Add returns the sum.
func (l Losses) Add(o Losses) Losses {
	l.All += o.All
	l.Counted += o.Counted
	l.AtOnce += o.AtOnce
	return l
}

// Sub returns the difference.
func (l Losses) Sub(o Losses) Losses {
	l.All -= o.All
	l.Counted -= o.Counted
	l.AtOnce -= o.AtOnce
	return l
}

// Reason is why a job has failed.
type Reason int

// Reasons of a failure.
const (
	NoReason       Reason = iota
	FailedTooOften        // A task, or a gang, has failed as often as its queue allows.
	CrashesWorkers        // Workers crashed under a task, again and again.
)

// String returns the reason's name for logs and counters.
func (r Reason) String() string {
	return [...]string{"", "failed_too_often", "crashes_workers"}[r]
}

// Failure is why a job has failed, and which task brought it about.
type Failure struct {
	_      struct{} `cbor:",toarray"`
	Reason Reason
	Group  Group
	Index  int
	Times  int // Failed runs, or workers that crashed.
}

// Text tells a caller why the job has failed; empty where that is not known.
func (f *Failure) Text() string {
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

// LossesOf is what is counted against a task.
func (l *Life) LossesOf(t Task) Losses {
	i, _ := l.index(t)
	return l.Progress.Losses[i]
}

// Charge changes what is counted against a task, by a difference that may be negative, and reports whether the job has such a task.
func (l *Life) Charge(t Task, change Losses) bool {
	i, ok := l.index(t)
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

// TaskAt is the task at a place of the progress.
func (l *Life) TaskAt(place int) Task {
	t := Task{Job: l.Request.ID, Occurrence: place / l.size, Index: place % l.size}
	for t.Step+1 < len(l.offsets) && t.Index >= l.offsets[t.Step+1] {
		t.Step++
	}
	t.Index -= l.offsets[t.Step]
	return t
}

// GiveUp makes the job failed because of a task, unless it has ended, and reports whether it did.
func (l *Life) GiveUp(t Task, reason Reason, times int, nowMS int64) bool {
	if l.Progress.State.Final() {
		return false
	}
	l.fail(t, reason, times)
	l.settle(nowMS)
	return true
}

func (l *Life) fail(t Task, reason Reason, times int) {
	l.Progress.State = Failed
	l.Progress.Failure = &Failure{Reason: reason, Group: Group{t.Occurrence, t.Step}, Index: t.Index, Times: times}
}
