package emulator

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/pulleyring/pulleyring/internal/fleet"
	"github.com/pulleyring/pulleyring/internal/interval"
	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/internal/life"
)

// worker is one incarnation of a worker.
type worker struct {
	mu       sync.Mutex
	fleet    *Fleet
	record   fleet.Worker
	life     life.ID // Unique even if the records of two incarnations are not.
	born     time.Time
	listedAt time.Time // Before this time it writes no record.
	drift    float64   // Share by which its clock runs slow.
	token    int64
	lease    time.Time
	runs     map[job.Task]*activity
	rejected map[job.Task]int // Runs up to this number never start.
	ended    []fleet.End
	count    int64
	changed  chan struct{}
	begun    chan struct{} // Signals that a run has begun.

	dead bool // It answers nobody and runs nothing.
	over bool // Its process has ended: its address refuses connections.
	// replaced says that another incarnation answers at its address.
	replaced bool
	cut      bool // It answers nobody but continues to run.
	signs
	fails   bool          // All runs fail, earlier ones included.
	spoils  bool          // Runs that start from now on fail; earlier ones continue.
	stuck   bool          // Runs make no progress.
	slower  int           // Factor by which work takes longer; 0 and 1 for a healthy worker.
	late    int           // Number of next commands that get no answer and take effect late.
	lateBy  time.Duration // Delay of these commands.
	refuse  bool          // It refuses starts.
	belated bool          // It is carrying out a delayed command.
	heard   bool          // It has taken a command without delay.
	// lateLooks is the number of next polls that get no answer and take effect late, and lateLookBy their delay.
	lateLooks  int
	lateLookBy time.Duration
	mute       int // Number of next commands and polls without an answer; the commands take effect.
}

// activity is a run of a task on a worker.
type activity struct {
	task    job.Task
	number  int
	each    job.Resources
	work    time.Duration
	gang    int // Number of members that must be present; 0 for a single task.
	began   time.Time
	done    time.Duration
	saved   string
	saves   bool
	stopped time.Time // Time at which a stop takes effect; zero if none was requested.
	spoiled bool      // It began while all new runs failed.
}

// isStopping reports whether a stop was requested.
func (a *activity) isStopping() bool { return !a.stopped.IsZero() }

// share returns the share of the work that is done, rounded down to whole percent as real workers report it.
func (a *activity) share() float64 {
	if a.work <= 0 {
		return 0
	}
	return math.Floor(100*float64(a.done)/float64(a.work)) / 100
}

// lateBy is the default delay of a delayed command.
const lateBy = 2 * time.Second

// endsMost is the most ends in a report, as with real workers.
const endsMost = 500

const (
	// tick is the interval at which a worker checks its runs.
	tick = 10 * time.Millisecond
	// idleTick is the interval at which a worker without runs checks whether it is still alive.
	idleTick = time.Second
)

// clock returns the time on the worker's clock in ms since its start, from 1 on.
func (w *worker) clock() int64 {
	return time.Duration(float64(time.Since(w.born))*(1-w.drift)).Milliseconds() + 1
}

// within returns the real time in which the worker's slow clock advances by d.
func (w *worker) within(d time.Duration) time.Duration {
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
	for interval.Sleep(ctx, tick) && w.turn() {
		if w.idle() {
			interval.SleepOrWoken(ctx, idleTick, w.begun)
		}
	}
}

func (w *worker) idle() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.runs) == 0
}

// turn advances a worker's runs by one interval and reports whether the worker is alive.
func (w *worker) turn() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lapse()
	for _, a := range w.sorted() {
		if w.dead {
			break
		}
		w.advance(a)
	}
	return !w.dead
}

func (w *worker) sorted() []*activity {
	var list []*activity
	for _, a := range w.runs {
		list = append(list, a)
	}
	slices.SortFunc(list, func(x, y *activity) int {
		if x.task.String() < y.task.String() {
			return -1
		}
		return 1
	})
	return list
}

func (w *worker) advance(a *activity) {
	if w.fleet.crashesNow(a) {
		w.fleet.crashed(a.task)
		w.crash()
		return
	}
	switch state := w.fleet.gangState(a); {
	case a.isStopping():
		if !time.Now().Before(a.stopped) {
			w.end(a, job.Stopped)
		}
	case state == gangOver:
		w.end(a, job.GangBroken)
	case state == gangDone:
		w.end(a, job.Succeeded)
	case state == gangIncomplete:
		if time.Since(a.began) > w.fleet.GangWait {
			w.end(a, job.GangMissing)
		}
	case w.stuck:
	case w.fails || a.spoiled:
		w.end(a, job.FailedRun)
	default:
		a.done += tick / time.Duration(max(w.slower, 1))
		if a.saves {
			a.saved = a.task.String() + "@" + a.done.String()
		}
		if a.done >= a.work {
			w.end(a, job.Succeeded)
		}
	}
}

func (w *worker) end(a *activity, outcome job.Outcome) {
	delete(w.runs, a.task)
	w.rejected[a.task] = max(w.rejected[a.task], a.number)
	w.count++
	w.ended = append(w.ended, fleet.End{Number: w.count, Task: a.task, Run: a.number, Outcome: outcome, Saved: a.saved})
	w.fleet.ended(w, a, outcome)
	w.notify()
	if outcome == job.Succeeded {
		w.beginLastMoments(a.task.Job)
	}
}

// admit checks whether the worker accepts a command: it returns fleet.Fenced if the command comes from a replaced
// box, and fleet.ErrNoAnswer if the worker doesn't answer.
func (w *worker) admit(token int64) error {
	if w.dead || w.cut {
		return fleet.ErrNoAnswer
	}
	w.lapse()
	if token < w.token {
		w.fleet.noteFenced()
		return fleet.Fenced
	}
	w.token = token
	w.heard = w.heard || !w.belated
	return nil
}

func (w *worker) extend(until int64) {
	end := w.born.Add(w.within(time.Duration(until) * time.Millisecond))
	if most := time.Now().Add(w.within(w.fleet.MaxLease)); end.After(most) {
		end = most
	}
	if end.After(w.lease) {
		w.lease = end
		w.fleet.leased(w, end)
	}
}

func (w *worker) start(o *fleet.Start) error {
	if err := w.admit(o.Token); err != nil {
		return err
	}
	if w.refuse {
		return fleet.Unhealthy
	}
	w.extend(o.Lease)
	if a := w.runs[o.Task]; a != nil && a.number == o.Run {
		return nil
	}
	if o.Run <= w.rejected[o.Task] || w.runs[o.Task] != nil {
		return fleet.Outdated
	}
	a := w.fleet.activity(o)
	a.spoiled = w.spoils
	used := a.each
	for _, other := range w.runs {
		used = used.Add(other.each)
	}
	if !w.record.Capacity.Fits(used) {
		return fleet.NoRoom
	}
	if !time.Now().Before(w.lease) {
		return fleet.TooLate
	}
	w.runs[o.Task] = a
	select {
	case w.begun <- struct{}{}:
	default:
	}
	w.fleet.started(w, a)
	return nil
}

func (w *worker) stop(o *fleet.Stop) error {
	if err := w.admit(o.Token); err != nil {
		return err
	}
	w.fleet.noteStop()
	w.rejected[o.Task] = max(w.rejected[o.Task], o.Run)
	if a := w.runs[o.Task]; a != nil && a.number <= o.Run {
		if !a.isStopping() {
			a.stopped = time.Now().Add(w.fleet.stopTime())
		}
	}
	return nil
}

func (w *worker) report(o *fleet.Look) (fleet.Report, error) {
	if err := w.admit(o.Token); err != nil {
		return fleet.Report{}, err
	}
	w.fleet.acknowledged(w, o.Acknowledged)
	if o.Lease > 0 {
		w.extend(o.Lease)
	}
	w.ended = slices.DeleteFunc(w.ended, func(e fleet.End) bool { return e.Number <= o.Acknowledged })
	r := fleet.Report{Life: w.record.Life(), Clock: w.clock(), Ended: slices.Clone(w.ended[:min(len(w.ended), endsMost)]), More: len(w.ended) >= endsMost}
	for _, a := range w.sorted() {
		r.Running = append(r.Running, fleet.Run{Task: a.task, Run: a.number, Saved: a.saved, Done: a.share()})
	}
	return r, nil
}
