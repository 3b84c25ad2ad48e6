package emulator

import "github.com/pulleyring/pulleyring/internal/job"

// Begun returns the jobs of which at least one run has begun.
func (f *Fleet) Begun() map[job.ID]bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	begun := map[job.ID]bool{}
	for t := range f.checker.begun {
		begun[t.Job] = true
	}
	return begun
}

// HasBegunStep reports whether a run of each task of a job's first step has begun.
func (f *Fleet) HasBegunStep(id job.ID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.jobs[id]
	if r == nil {
		return false
	}
	for i := range r.Steps[0].Count {
		if !f.checker.begun[job.Task{Job: id, Index: i}] {
			return false
		}
	}
	return true
}

// RunningOrDone returns the number of tasks of a job that run now or have succeeded.
func (f *Fleet) RunningOrDone(id job.ID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for t := range f.checker.begun {
		if _, running := f.checker.running[t]; t.Job == id && (running || len(f.checker.done[t]) > 0) {
			n++
		}
	}
	return n
}

// VisiblyRunning returns the jobs of which a task runs now on a worker that every box can reach.
func (f *Fleet) VisiblyRunning() map[job.ID]bool {
	f.mu.Lock()
	workers := map[job.ID][]*worker{}
	for t, l := range f.checker.running {
		workers[t.Job] = append(workers[t.Job], f.workers[l.Worker])
	}
	f.mu.Unlock()
	visible := map[job.ID]bool{}
	for id, list := range workers {
		for _, w := range list {
			w.mu.Lock()
			visible[id] = visible[id] || !w.dead && !w.isHardToReach()
			w.mu.Unlock()
		}
	}
	return visible
}
