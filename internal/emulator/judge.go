package emulator

import (
	"fmt"
	"time"

	"github.com/pulleyring/pulleyring/internal/fleet"
	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/internal/life"
)

// judge records what the workers were told to do and finds violations of the scheduler's promises.
type judge struct {
	running map[job.Task]life.ID // The worker incarnation that runs a task now.
	ends
	waits
	emptied map[string]time.Time // By hall: the time at which it was emptied.
	crashed map[job.Task]int     // Number of workers that crashed under a poisoned task.
	// Number of lost runs of a task after which its job may fail as crash-looping; 0 for never.
	givenUpAfter int
	// Runs of a task lost with their worker's process, whatever ended it; includes runs whose start command came too
	// late to reach it.
	lostBy map[job.Task]map[int]bool
	// restarted counts the starts of a task after too many workers had crashed under it.
	restarted map[job.Task]int
	counts    Verdict
}

// Verdict lists violations of the scheduler's promises and counts starts, stops and ends.
type Verdict struct {
	Twice []string // Two runs of a task at a time, or a run after the task was done.
	// Unheard lists starts like those in Twice that a worker carried out late, before its incarnation had taken any
	// other command. No box could know of that incarnation, nor make it refuse them.
	Unheard  []string
	Unasked  []string // Starts of tasks that nobody submitted, or with another payload.
	TooEarly []string // Starts before an earlier step was done.
	Emptied  []string // Starts in a hall more than EmptyWithin after it was emptied.
	// Starts of a task after too many workers had crashed under it, or after all its attempts had failed.
	Budget []string
	Waits  []string       // Jobs that had nothing running for too long although there was free capacity.
	InHall map[string]int // Number of starts by hall.
	Starts int
	Fenced int // Commands refused because they came from a replaced box.
	Stops  int // Stop commands that workers accepted.
	Ends   map[job.Outcome]int
}

func newJudge() judge {
	return judge{
		running: map[job.Task]life.ID{}, ends: newEnds(), emptied: map[string]time.Time{},
		crashed: map[job.Task]int{}, lostBy: map[job.Task]map[int]bool{}, restarted: map[job.Task]int{},
		counts: Verdict{Ends: map[job.Outcome]int{}, InHall: map[string]int{}},
	}
}

// Verdict returns what was found so far.
func (f *Fleet) Verdict() Verdict {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.judge.counts
}

// SetGivenUpAfter sets the number of worker crashes under one task, whatever caused them, after which its job may
// fail as crash-looping; 0 for never.
func (f *Fleet) SetGivenUpAfter(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.judge.givenUpAfter = n
}

// MayBeGivenUp reports whether enough workers have crashed under a task of a job that the job may fail as
// crash-looping.
func (f *Fleet) MayBeGivenUp(id job.ID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mayBeGivenUp(id)
}

// mayBeGivenUp is MayBeGivenUp for a caller that holds the lock.
func (f *Fleet) mayBeGivenUp(id job.ID) bool {
	for t, runs := range f.judge.lostBy {
		if t.Job == id && f.judge.givenUpAfter > 0 && len(runs) >= f.judge.givenUpAfter {
			return true
		}
	}
	return false
}

func (f *Fleet) noteLost(t job.Task, run int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.judge.lostBy[t] == nil {
		f.judge.lostBy[t] = map[int]bool{}
	}
	f.judge.lostBy[t][run] = true
}

// Running returns the number of tasks that run now.
func (f *Fleet) Running() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.judge.running)
}

func (f *Fleet) noteStop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.judge.counts.Stops++
}

func (f *Fleet) noteFenced() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.judge.counts.Fenced++
}

// activity returns the run for a start command, with the duration that Expect has set for the job.
func (f *Fleet) activity(o *fleet.Start) *activity {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := &activity{task: o.Task, number: o.Run, began: time.Now()}
	r := f.jobs[o.Task.Job]
	if r == nil || o.Payload != r.Payload {
		f.judge.counts.Unasked = append(f.judge.counts.Unasked, o.Task.String())
		return a
	}
	step := &r.Steps[o.Task.Step]
	a.each, a.work, a.saves = step.Each, f.work[o.Task.Job], step.Checkpoints
	if step.Gang {
		a.gang = step.Count
	}
	if o.Saved != "" {
		a.saved = o.Saved
		a.done = savedProgress(o.Saved)
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

func (a *activity) gangRun() gangRun {
	return gangRun{a.task.Job, job.Group{Occurrence: a.task.Occurrence, Step: a.task.Step}, a.number}
}

// started records a start and checks it.
func (f *Fleet) started(w *worker, a *activity) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tell(Event{Kind: Began, Task: a.task, Run: a.number, Gang: a.gang})
	c := &f.judge.counts
	c.Starts++
	if twice := f.twice(w, a); len(twice) > 0 {
		if w.belated && !w.heard {
			c.Unheard = append(c.Unheard, twice...)
			return
		}
		c.Twice = append(c.Twice, twice...)
	}
	f.judgeOrder(a)
	f.judgeHall(w, a)
	f.judgeBudget(w, a)
	f.judgeAttempts(w, a)
	f.judge.running[a.task] = w.life
	if a.gang == 0 {
		return
	}
	f.gangOf(a).present[a.task.Index] = true
}

// twice describes each run of the same task that is still running, or its earlier success, when a run starts. The
// caller holds the lock.
func (f *Fleet) twice(w *worker, a *activity) (found []string) {
	if at, runs := f.judge.running[a.task]; runs {
		found = append(found, fmt.Sprintf("%s on %s and %s", a.task, at, w.life))
	}
	if f.judge.counted(f.judge.done[a.task]) > 0 {
		found = append(found, fmt.Sprintf("%s on %s after it was done", a.task, w.life))
	}
	return found
}

// gangOf returns the gang to which a run belongs. The caller holds the lock.
func (f *Fleet) gangOf(a *activity) *gang {
	g := f.gangs[a.gangRun()]
	if g == nil {
		g = &gang{size: a.gang, present: map[int]bool{}}
		f.gangs[a.gangRun()] = g
	}
	return g
}

// end records how a member has ended.
func (g *gang) end(outcome job.Outcome) {
	g.over = g.over || outcome != job.Succeeded
	g.done = g.done || outcome == job.Succeeded
}

func (f *Fleet) judgeOrder(a *activity) {
	r := f.jobs[a.task.Job]
	if r == nil {
		return
	}
	for _, s := range r.Steps[a.task.Step].After {
		for i := range r.Steps[s].Count {
			if len(f.judge.done[job.Task{Job: r.ID, Occurrence: a.task.Occurrence, Step: s, Index: i}]) == 0 {
				f.judge.counts.TooEarly = append(f.judge.counts.TooEarly, a.task.String())
				return
			}
		}
	}
}

// judgeHall finds starts in emptied halls. Commands that the worker itself carried out late don't count.
func (f *Fleet) judgeHall(w *worker, a *activity) {
	c, hall := &f.judge.counts, w.record.Hall
	c.InHall[hall]++
	if since, ok := f.judge.emptied[hall]; ok && !w.belated && time.Since(since) > f.EmptyWithin {
		c.Emptied = append(c.Emptied, fmt.Sprintf("%s on %s, %s after %s was emptied", a.task, w.record.ID, time.Since(since), hall))
	}
}

// Empty records that the operator has emptied a hall, or returned it to service.
func (f *Fleet) Empty(hall string, emptied bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.judge.disturbed = time.Now()
	if !emptied {
		delete(f.judge.emptied, hall)
		return
	}
	f.judge.emptied[hall] = time.Now()
}

// ended records the end of a run.
func (f *Fleet) ended(w *worker, a *activity, outcome job.Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tell(Event{Kind: Ended, At: w.endedAt(outcome), Task: a.task, Run: a.number, Outcome: outcome, Number: w.count, Gang: a.gang})
	if f.judge.running[a.task] == w.life {
		delete(f.judge.running, a.task)
	}
	f.judge.counts.Ends[outcome]++
	f.noteEnd(w, a, outcome)
	if a.gang == 0 {
		return
	}
	g := f.gangs[a.gangRun()]
	if g == nil {
		return
	}
	g.end(outcome)
}

// gangState returns the state of a run's gang; gangRunning for a single task.
func (f *Fleet) gangState(a *activity) gangState {
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
	case g.over:
		return gangOver
	case len(g.present) < g.size:
		return gangIncomplete
	}
	return gangRunning
}
