package scheduler

import (
	"time"

	"github.com/pulleyring/pulleyring/internal/job"
)

const (
	// shortRun is the longest time for which a task that lasts may run and still count as ended early.
	shortRun = 5 * time.Second
	// The pause before a task that lasts starts again is minLoopPause after its second early end in a row, and doubles
	// with each further one up to maxLoopPause.
	minLoopPause = 100 * time.Millisecond
	maxLoopPause = 5 * time.Second
	// crashPause is the pause before a task that lasts starts again after it has crashed workers again and again.
	crashPause = 5 * time.Second
	// loopingAfter is the number of early ends in a row from which a task causes them itself.
	loopingAfter = 3
)

// crashLoops counts early ends of tasks that last, by task; those of a gang are counted at its first task. The zero value
// has counted none.
type crashLoops map[job.Task]crashLoop

type crashLoop struct {
	ends  int // Early ends in a row.
	run   int // Number of the last run that ended early.
	until time.Time
}

func (l crashLoop) pause() time.Duration {
	if l.ends < 2 {
		return 0
	}
	return min(minLoopPause<<min(l.ends-2, 10), maxLoopPause)
}

// loopKey returns the task at which the early ends of a task are counted.
func loopKey(t job.Task, r *job.Request) job.Task {
	if r.Steps[t.Step].Gang {
		t.Index = 0
	}
	return t
}

// recordRestart pauses a task that lasts before its next start, if its runs end early again and again.
func (j *trackedJob) recordRestart(r *run, outcome job.Outcome, now time.Time) {
	if !j.Request.Steps[r.task.Step].Lasting || outcome != job.FailedRun && outcome != job.Succeeded {
		return
	}
	key := loopKey(r.task, j.Request)
	l := j.crashLoops[key]
	if l.run == r.number {
		return // Another member of the gang.
	}
	began := r.placed
	if !r.confirmed.IsZero() {
		began = r.confirmed
	}
	if now.Sub(began) >= shortRun {
		delete(j.crashLoops, key)
		return
	}
	if j.crashLoops == nil {
		j.crashLoops = crashLoops{}
	}
	l.ends, l.run = l.ends+1, r.number
	l.until = now.Add(l.pause())
	j.crashLoops[key] = l
}

// pauseAfterCrash pauses a task that lasts and crashes its workers again and again. Other tasks would fail.
func (j *trackedJob) pauseAfterCrash(t job.Task, now time.Time) {
	if !j.Request.Steps[t.Step].Lasting {
		return
	}
	if j.crashLoops == nil {
		j.crashLoops = crashLoops{}
	}
	key := loopKey(t, j.Request)
	l := j.crashLoops[key]
	l.until = now.Add(crashPause)
	j.crashLoops[key] = l
}

// othersWait reports whether more than one task of a group waits, if its tasks last.
func (j *trackedJob) othersWait(g job.Group) bool {
	if !j.Request.Steps[g.Step].Lasting || j.Request.Steps[g.Step].Gang {
		return false
	}
	waiting, now := 0, time.Now()
	for i, t := range j.Tasks(g) {
		if t.State == job.Waiting && !j.crashLoops.isPaused(j.TaskInGroup(g, i), j.Request, now) {
			waiting++
		}
	}
	return waiting > 1
}

// isLooping reports whether the runs of a task have ended early so often in a row that the task causes it.
func (c crashLoops) isLooping(t job.Task, r *job.Request) bool {
	return len(c) > 0 && c[loopKey(t, r)].ends >= loopingAfter
}

// isPaused reports whether a task must not start yet.
func (c crashLoops) isPaused(t job.Task, r *job.Request, now time.Time) bool {
	return len(c) > 0 && now.Before(c[loopKey(t, r)].until)
}
