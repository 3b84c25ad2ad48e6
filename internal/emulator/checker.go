package emulator

import (
	"fmt"
	"time"

	"github.com/pulleyring/pulleyring/internal/fleet"
	"github.com/pulleyring/pulleyring/internal/incarnation"
	"github.com/pulleyring/pulleyring/internal/job"
)

// checker records what the workers were told to do and finds violations of the scheduler's promises.
type checker struct {
	running map[job.Task]incarnation.ID // The worker incarnation that runs a task now.
	begun   map[job.Task]bool           // Tasks of which a run has begun.
	endRecords
	waitChecks
	cancelledAt    map[job.ID]time.Time // When the cancellation of a job was acknowledged.
	emptiedAt      map[string]time.Time // By hall: the time at which it was emptied.
	crashedWorkers map[job.Task]int     // Number of workers that crashed under a poisoned task.
	// Number of lost runs of a task after which its job may fail as crash-looping; 0 for never.
	crashLoopLimit int
	// Runs of a task lost with their worker's process, whatever ended it; includes runs whose start command came too
	// late to reach it.
	lostRuns map[job.Task]map[int]bool
	// startsAfterCrashes counts the starts of a task after too many workers had crashed under it.
	startsAfterCrashes map[job.Task]int
	verdict            Verdict
}

// Verdict lists violations of the scheduler's promises and counts starts, stops and ends.
type Verdict struct {
	Duplicates []string // Two runs of a task at a time, or a run after the task was done.
	// LateDuplicates lists duplicate starts that a worker carried out late, before its incarnation had taken any
	// other command. No box could know of that incarnation, nor make it refuse them.
	LateDuplicates []string
	UnknownStarts  []string // Starts of tasks that nobody submitted, or with another payload.
	TooEarly       []string // Starts before an earlier step was done.
	AfterCancel    []string // Starts and runs of jobs that were cancelled long before.
	InEmptiedHall  []string // Starts in a hall more than EmptyWithin after it was emptied.
	// Starts of a task after too many workers had crashed under it, or after all its attempts had failed.
	OverBudget   []string
	LongWaits    []string       // Jobs that had nothing running for too long although there was free capacity.
	StartsByHall map[string]int // Number of starts by hall.
	Starts       int
	Fenced       int // Commands refused because they came from a replaced box.
	Stops        int // Stop commands that workers accepted.
	Ends         map[job.Outcome]int
}

func newChecker() checker {
	return checker{
		running: map[job.Task]incarnation.ID{}, begun: map[job.Task]bool{}, endRecords: newEndRecords(), emptiedAt: map[string]time.Time{},
		crashedWorkers: map[job.Task]int{}, lostRuns: map[job.Task]map[int]bool{}, startsAfterCrashes: map[job.Task]int{},
		verdict: Verdict{Ends: map[job.Outcome]int{}, StartsByHall: map[string]int{}},
	}
}

// Verdict returns what was found so far.
func (f *Fleet) Verdict() Verdict {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.checker.verdict
}

// SetCrashLoopLimit sets the number of worker crashes under one task, whatever caused them, after which its job may
// fail as crash-looping; 0 for never.
func (f *Fleet) SetCrashLoopLimit(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.checker.crashLoopLimit = n
}

// CrashLoopLimitReached reports whether enough workers have crashed under a task of a job that the job may fail as
// crash-looping.
func (f *Fleet) CrashLoopLimitReached(id job.ID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashLoopLimitReached(id)
}

// crashLoopLimitReached is CrashLoopLimitReached for a caller that holds the lock.
func (f *Fleet) crashLoopLimitReached(id job.ID) bool {
	for t, runs := range f.checker.lostRuns {
		if t.Job == id && f.checker.crashLoopLimit > 0 && len(runs) >= f.checker.crashLoopLimit {
			return true
		}
	}
	return false
}

func (f *Fleet) recordLostRun(t job.Task, run int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.checker.lostRuns[t] == nil {
		f.checker.lostRuns[t] = map[int]bool{}
	}
	f.checker.lostRuns[t][run] = true
}

// Running returns the number of tasks that run now.
func (f *Fleet) Running() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.checker.running)
}

func (f *Fleet) countStop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.checker.verdict.Stops++
}

func (f *Fleet) countFenced() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.checker.verdict.Fenced++
}

// newTaskRun returns the run for a start command, with the work time of its job.
func (f *Fleet) newTaskRun(o *fleet.Start) *taskRun {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := &taskRun{task: o.Task, name: o.Task.String(), number: o.Run, startedAt: time.Now()}
	r := f.jobs[o.Task.Job]
	if r == nil || o.Payload != r.Payload {
		f.checker.verdict.UnknownStarts = append(f.checker.verdict.UnknownStarts, o.Task.String())
		return a
	}
	step := &r.Steps[o.Task.Step]
	a.resources, a.work, a.checkpoints, a.lasting = step.Each, f.work[o.Task.Job], step.Checkpoints, step.Lasting
	if step.Gang {
		a.gang = step.Count
	}
	if o.Saved != "" {
		a.initial = o.Saved
		a.progress = savedProgress(o.Saved)
	}
	return a
}

func savedProgress(saved string) time.Duration {
	for i := range saved {
		if saved[i] == '@' {
			d, err := time.ParseDuration(saved[i+1:])
			if err != nil {
				return 0
			}
			return d
		}
	}
	return 0
}

func (a *taskRun) gangRun() gangRun {
	return gangRun{a.task.Job, job.Group{Occurrence: a.task.Occurrence, Step: a.task.Step}, a.number}
}

// recordStart records a start and checks it.
func (f *Fleet) recordStart(w *worker, a *taskRun) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.emit(Event{Kind: Began, Task: a.task, Run: a.number, Gang: a.gang})
	c := &f.checker.verdict
	c.Starts++
	f.checker.begun[a.task] = true
	if duplicates := f.findDuplicates(w, a); len(duplicates) > 0 {
		if w.runsDelayedCommand && !w.tookCommand {
			c.LateDuplicates = append(c.LateDuplicates, duplicates...)
			return
		}
		c.Duplicates = append(c.Duplicates, duplicates...)
	}
	f.checkOrder(a)
	f.checkHall(w, a)
	f.checkCancelled(w, a)
	f.checkCrashBudget(w, a)
	f.checkAttempts(w, a)
	f.checker.running[a.task] = w.incarnation
	if a.lasting && f.checker.lastBegan != nil {
		f.checker.lastBegan[a.task] = time.Now()
	}
	if a.gang == 0 {
		return
	}
	f.gangOf(a).present[a.task.Index] = true
}

// findDuplicates describes each run of the same task that is still running, or its earlier success, when a run
// starts. The caller holds the lock.
func (f *Fleet) findDuplicates(w *worker, a *taskRun) (found []string) {
	if other, running := f.checker.running[a.task]; running {
		found = append(found, fmt.Sprintf("%s on %s and %s", a.task, other, w.incarnation))
	}
	if f.checker.countDeliverable(f.checker.done[a.task]) > 0 {
		found = append(found, fmt.Sprintf("%s on %s after it was done", a.task, w.incarnation))
	}
	return found
}

// gangOf returns the gang to which a run belongs. The caller holds the lock.
func (f *Fleet) gangOf(a *taskRun) *gang {
	g := f.gangs[a.gangRun()]
	if g == nil {
		g = &gang{size: a.gang, present: map[int]bool{}}
		f.gangs[a.gangRun()] = g
	}
	return g
}

// recordEnd records how a member has ended.
func (g *gang) recordEnd(outcome job.Outcome) {
	g.broken = g.broken || outcome != job.Succeeded
	g.done = g.done || outcome == job.Succeeded
}

func (f *Fleet) checkOrder(a *taskRun) {
	r := f.jobs[a.task.Job]
	if r == nil {
		return
	}
	for _, s := range r.Steps[a.task.Step].After {
		for i := range r.Steps[s].Count {
			if len(f.checker.done[job.Task{Job: r.ID, Occurrence: a.task.Occurrence, Step: s, Index: i}]) == 0 {
				f.checker.verdict.TooEarly = append(f.checker.verdict.TooEarly, a.task.String())
				return
			}
		}
	}
}

// checkHall finds starts in emptied halls. Commands that the worker itself carried out late don't count.
func (f *Fleet) checkHall(w *worker, a *taskRun) {
	c, hall := &f.checker.verdict, w.record.Hall
	c.StartsByHall[hall]++
	if since, ok := f.checker.emptiedAt[hall]; ok && !w.runsDelayedCommand && time.Since(since) > f.EmptyWithin {
		c.InEmptiedHall = append(c.InEmptiedHall, fmt.Sprintf("%s on %s, %s after %s was emptied", a.task, w.record.ID, time.Since(since), hall))
	}
}

// SetEmptied records that the operator has emptied a hall, or returned it to service.
func (f *Fleet) SetEmptied(hall string, emptied bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.checker.disturbedAt = time.Now()
	if !emptied {
		delete(f.checker.emptiedAt, hall)
		return
	}
	f.checker.emptiedAt[hall] = time.Now()
}

// recordEnd records the end of a run.
func (f *Fleet) recordEnd(w *worker, a *taskRun, outcome job.Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.emit(Event{Kind: Ended, At: w.endedAt(outcome), Task: a.task, Run: a.number, Outcome: outcome, Number: w.lastEndNumber, Gang: a.gang})
	if f.checker.running[a.task] == w.incarnation {
		delete(f.checker.running, a.task)
	}
	f.checker.verdict.Ends[outcome]++
	f.recordListedEnd(w, a, outcome)
	if a.gang == 0 {
		return
	}
	g := f.gangs[a.gangRun()]
	if g == nil {
		return
	}
	g.recordEnd(outcome)
}

// gangState returns the state of a run's gang; gangRunning for a single task.
func (f *Fleet) gangState(a *taskRun) gangState {
	if a.gang == 0 {
		return gangRunning
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.gangs[a.gangRun()]
	switch {
	case g == nil:
		return gangRunning
	case g.done:
		return gangDone
	case g.broken:
		return gangBroken
	case len(g.present) < g.size:
		return gangIncomplete
	}
	return gangRunning
}
