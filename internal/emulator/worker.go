package emulator

import (
	"context"
	"maps"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pulleyring/pulleyring/internal/fleet"
	"github.com/pulleyring/pulleyring/internal/incarnation"
	"github.com/pulleyring/pulleyring/internal/interval"
	"github.com/pulleyring/pulleyring/internal/job"
)

// worker is one incarnation of a worker.
type worker struct {
	mu            sync.Mutex
	fleet         *Fleet
	record        fleet.Worker
	incarnation   incarnation.ID // Unique even if the records of two incarnations are not.
	born          time.Time
	listedAt      time.Time // Before this time it writes no record.
	drift         float64   // Share by which its clock runs slow.
	token         int64
	lease         time.Time
	runs          map[job.Task]*taskRun
	rejected      map[job.Task]int // Runs up to this number never start.
	pendingEnds   []fleet.End
	lastEndNumber int64
	changed       chan struct{}
	runBegan      chan struct{} // Signals that a run has begun.

	dead         bool // It answers nobody and runs nothing.
	processEnded bool // Its process has ended: its address refuses connections.
	// replaced says that another incarnation answers at its address.
	replaced bool
	cut      bool // It answers nobody but continues to run.
	reachability
	failsRuns          bool          // All runs fail, earlier ones included.
	failsNewRuns       bool          // Runs that start from now on fail; earlier ones continue.
	stalled            bool          // Runs make no progress.
	slowdown           int           // Factor by which work takes longer; 0 and 1 for a healthy worker.
	delayedCommands    int           // Number of next commands that get no answer and take effect late.
	commandDelay       time.Duration // Delay of these commands.
	refusesStarts      bool          // It refuses starts.
	runsDelayedCommand bool          // It is carrying out a delayed command.
	tookCommand        bool          // It has taken a command without delay.
	// delayedPolls is the number of next polls that get no answer and take effect late, and pollDelay their delay.
	delayedPolls   int
	pollDelay      time.Duration
	droppedAnswers int // Number of next commands and polls without an answer; the commands take effect.
}

// taskRun is a run of a task on a worker.
type taskRun struct {
	task        job.Task
	name        string // Of the task.
	number      int
	resources   job.Resources
	work        time.Duration
	gang        int // Number of members that must be present; 0 for a single task.
	startedAt   time.Time
	progress    time.Duration
	ran         time.Duration // For how long it was at work.
	lasting     bool          // It never completes by itself.
	initial     string        // The state with which it began.
	checkpoints bool
	stopsAt     time.Time // Time at which a stop takes effect; zero if none was requested.
	failing     bool      // It began while all new runs failed.
}

// isStopping reports whether a stop was requested.
func (a *taskRun) isStopping() bool { return !a.stopsAt.IsZero() }

// fractionDone returns the share of the work that is done, rounded down to whole percent as real workers report it.
func (a *taskRun) fractionDone() float64 {
	if a.work <= 0 {
		return 0
	}
	return math.Floor(100*min(float64(a.progress)/float64(a.work), 1)) / 100
}

// defaultCommandDelay is the default delay of a delayed command.
const defaultCommandDelay = 2 * time.Second

// maxEndsInReport is the most ends in a report, as with real workers.
const maxEndsInReport = 500

const (
	// runInterval is the interval at which a worker checks its runs.
	runInterval = 10 * time.Millisecond
	// idleInterval is the interval at which a worker without runs checks whether it is still alive.
	idleInterval = time.Second
)

// clock returns the time on the worker's clock in ms since its start, from 1 on.
func (w *worker) clock() int64 {
	return time.Duration(float64(time.Since(w.born))*(1-w.drift)).Milliseconds() + 1
}

// realDuration returns the real time in which the worker's slow clock advances by d.
func (w *worker) realDuration(d time.Duration) time.Duration {
	return time.Duration(float64(d) / (1 - w.drift))
}

func (w *worker) isDead() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dead
}

func (w *worker) notify() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// run ends expired runs, finishes work and ends broken gangs until the worker's incarnation or ctx ends.
func (w *worker) run(ctx context.Context) {
	for interval.Sleep(ctx, runInterval) && w.step() {
		if w.idle() {
			interval.SleepOrWoken(ctx, idleInterval, w.runBegan)
		}
	}
}

func (w *worker) idle() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.runs) == 0
}

// step advances a worker's runs by one interval and reports whether the worker is alive.
func (w *worker) step() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endExpiredRuns()
	for _, a := range w.sortedRuns() {
		if w.dead {
			break
		}
		w.advance(a)
	}
	return !w.dead
}

func (w *worker) sortedRuns() []*taskRun {
	list := slices.Collect(maps.Values(w.runs))
	slices.SortFunc(list, func(x, y *taskRun) int { return strings.Compare(x.name, y.name) })
	return list
}

func (w *worker) advance(a *taskRun) {
	if w.fleet.shouldCrash(a) {
		w.fleet.recordCrash(a.task)
		w.crash()
		return
	}
	switch state := w.fleet.gangState(a); {
	case a.isStopping():
		if !time.Now().Before(a.stopsAt) {
			w.end(a, job.Stopped)
		}
	case state == gangBroken:
		w.end(a, job.GangBroken)
	case state == gangDone:
		w.end(a, job.Succeeded)
	case state == gangIncomplete:
		if time.Since(a.startedAt) > w.fleet.GangWait {
			w.end(a, job.GangTimedOut)
		}
	case w.stalled:
	case w.failsRuns || a.failing:
		w.end(a, job.FailedRun)
	default:
		w.work(a)
	}
}

// work advances a run by one interval and ends it if its work is done.
func (w *worker) work(a *taskRun) {
	a.ran += runInterval
	a.progress += runInterval / time.Duration(max(w.slowdown, 1))
	if outcome, ends := w.fleet.forcedEnd(a); ends {
		w.end(a, outcome)
		return
	}
	if a.progress >= a.work && !a.lasting {
		w.end(a, job.Succeeded)
	}
}

func (w *worker) end(a *taskRun, outcome job.Outcome) {
	delete(w.runs, a.task)
	w.rejected[a.task] = max(w.rejected[a.task], a.number)
	w.lastEndNumber++
	w.pendingEnds = append(w.pendingEnds, fleet.End{Number: w.lastEndNumber, Task: a.task, Run: a.number, Outcome: outcome, Saved: w.fleet.savedState(a)})
	w.fleet.recordEnd(w, a, outcome)
	w.notify()
	if outcome == job.Succeeded {
		w.scheduleExit(a.task.Job)
	}
}

// admit checks whether the worker accepts a command: it returns fleet.Fenced if the command comes from a replaced
// box, and fleet.ErrNoAnswer if the worker doesn't answer.
func (w *worker) admit(token int64) error {
	if w.dead || w.cut {
		return fleet.ErrNoAnswer
	}
	w.endExpiredRuns()
	if token < w.token {
		w.fleet.countFenced()
		return fleet.Fenced
	}
	w.token = token
	w.tookCommand = w.tookCommand || !w.runsDelayedCommand
	return nil
}

func (w *worker) extendLease(until int64) {
	end := w.born.Add(w.realDuration(time.Duration(until) * time.Millisecond))
	if latest := time.Now().Add(w.realDuration(w.fleet.MaxLease)); end.After(latest) {
		end = latest
	}
	if end.After(w.lease) {
		w.lease = end
		w.fleet.recordLease(w, end)
	}
}

func (w *worker) start(o *fleet.Start) error {
	if err := w.admit(o.Token); err != nil {
		return err
	}
	if w.refusesStarts {
		return fleet.Unhealthy
	}
	w.extendLease(o.Lease)
	if a := w.runs[o.Task]; a != nil && a.number == o.Run {
		return nil
	}
	if o.Run <= w.rejected[o.Task] || w.runs[o.Task] != nil {
		return fleet.OutdatedRun
	}
	a := w.fleet.newTaskRun(o)
	a.failing = w.failsNewRuns
	used := a.resources
	for _, other := range w.runs {
		used = used.Add(other.resources)
	}
	if !w.record.Capacity.Fits(used) {
		return fleet.NoCapacity
	}
	if !time.Now().Before(w.lease) {
		return fleet.LeaseExpired
	}
	w.runs[o.Task] = a
	select {
	case w.runBegan <- struct{}{}:
	default:
	}
	w.fleet.recordStart(w, a)
	return nil
}

func (w *worker) stop(o *fleet.Stop) error {
	if err := w.admit(o.Token); err != nil {
		return err
	}
	w.fleet.countStop()
	w.rejected[o.Task] = max(w.rejected[o.Task], o.Run)
	if a := w.runs[o.Task]; a != nil && a.number <= o.Run {
		if !a.isStopping() {
			a.stopsAt = time.Now().Add(w.fleet.stopTime())
		}
	}
	return nil
}

func (w *worker) report(o *fleet.Poll) (fleet.Report, error) {
	if err := w.admit(o.Token); err != nil {
		return fleet.Report{}, err
	}
	w.fleet.recordAcknowledged(w, o.Acknowledged)
	if o.Lease > 0 {
		w.extendLease(o.Lease)
	}
	w.pendingEnds = slices.DeleteFunc(w.pendingEnds, func(e fleet.End) bool { return e.Number <= o.Acknowledged })
	r := fleet.Report{Incarnation: w.record.Incarnation(), Clock: w.clock(), Ended: slices.Clone(w.pendingEnds[:min(len(w.pendingEnds), maxEndsInReport)]), More: len(w.pendingEnds) >= maxEndsInReport}
	for _, a := range w.sortedRuns() {
		r.Running = append(r.Running, fleet.Run{Task: a.task, Run: a.number, Saved: w.fleet.savedState(a), Done: a.fractionDone()})
	}
	return r, nil
}
