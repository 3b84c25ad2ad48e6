package emulator

import (
	"strings"
	"time"

	"github.com/pulleyring/pulleyring/internal/job"
)

// RunEnd says how every run of some tasks of a job ends.
type RunEnd struct {
	After   time.Duration // From the start of the run, or from the moment at which the gang is complete.
	Outcome job.Outcome
	Tasks   int // Number of tasks of each step to which this applies; 0 for all.
}

// SetRunEnd sets how the runs of a job end. Jobs without it end when their work is done, and lasting ones never.
func (f *Fleet) SetRunEnd(id job.ID, e RunEnd) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.runEnds == nil {
		f.runEnds = map[job.ID]RunEnd{}
	}
	f.runEnds[id] = e
}

// SetSavedBytes sets the least size of the states that tasks save.
func (f *Fleet) SetSavedBytes(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.savedBytes = n
}

// forcedEnd returns how a run ends now because of SetRunEnd; false if it goes on.
func (f *Fleet) forcedEnd(a *taskRun) (job.Outcome, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, set := f.runEnds[a.task.Job]
	if !set || e.Tasks > 0 && a.task.Index >= e.Tasks || a.ran < e.After {
		return 0, false
	}
	return e.Outcome, true
}

// savedState returns the state that a run has saved; before it has worked, the one with which it began.
func (f *Fleet) savedState(a *taskRun) string {
	if !a.checkpoints || a.ran == 0 {
		return a.initial
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return a.name + strings.Repeat("x", max(0, f.savedBytes-len(a.name))) + "@" + a.progress.String()
}
