package emulator

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/pulleyring/pulleyring/internal/fleet"
	"github.com/pulleyring/pulleyring/internal/interval"
	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/internal/life"
)

// Crash says how a worker crashes and restarts. With the zero value the process ends, its record is removed at once,
// and it restarts at once at the same address.
type Crash struct {
	// The worker stops answering; otherwise its connections are closed and its address refuses new ones.
	Dark      bool
	Back      time.Duration // Time from the crash to the restart.
	Gone      bool          // The worker never restarts.
	Elsewhere bool          // The restarted worker has another address.
	Again     bool          // The restarted worker keeps its name.
	// Time from the restart to the first record of the new incarnation; used only if it keeps the name.
	Unlisted time.Duration
	Recorded time.Duration // Time from the crash to the removal of the old incarnation's record.
}

// SetCrash sets how workers crash from now on.
func (f *Fleet) SetCrash(c Crash) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crash = c
}

// Poison makes a task crash every worker that runs it, after so much progress or run time.
func (f *Fleet) Poison(t job.Task, after time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashes[t] = after
}

// CrashHall crashes every worker of a hall in the way that SetCrash has set.
func (f *Fleet) CrashHall(hall string) {
	f.mu.Lock()
	var lost []*worker
	for _, w := range f.workers {
		if w.record.Hall == hall {
			lost = append(lost, w)
		}
	}
	f.mu.Unlock()
	for _, w := range lost {
		w.mu.Lock()
		w.crash()
		w.mu.Unlock()
	}
}

// CrashOne crashes one live worker in the way that SetCrash has set; pick selects which.
func (f *Fleet) CrashOne(pick uint64) {
	f.mu.Lock()
	var alive []*worker
	for _, id := range slices.Sorted(maps.Keys(f.workers)) {
		alive = append(alive, f.workers[id])
	}
	f.mu.Unlock()
	alive = slices.DeleteFunc(alive, (*worker).isDead)
	if len(alive) == 0 {
		return
	}
	w := alive[pick%uint64(len(alive))]
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crash()
}

// WhereRuns returns the worker that runs a task now, and its hall; both are empty if the task doesn't run.
func (f *Fleet) WhereRuns(t job.Task) (id, hall string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, runs := f.judge.running[t]
	if !runs {
		return "", ""
	}
	return at.Worker, f.workers[at.Worker].record.Hall
}

// die ends this incarnation with all its runs; over says whether its process has ended too, so that its address
// refuses connections. The caller holds the worker's lock.
func (w *worker) die(over bool) {
	w.dead, w.over = true, over
	w.fleet.disturb()
	if left := over && w.fleet.isDraining(w.record.ID); !left && !w.leaseKept {
		w.fleet.leased(w, time.Time{})
	}
	w.leftAsSaid = over && w.fleet.hasStayed(w.record.ID)
	for _, a := range w.sorted() {
		delete(w.runs, a.task)
		w.fleet.noteLost(a.task, a.number)
		w.fleet.ended(w, a, job.Lapsed)
	}
	for i := range w.ended {
		if e := &w.ended[i]; e.Number > w.told { // No box has received this end.
			w.fleet.noteLost(e.Task, e.Run)
		}
	}
	if over {
		w.notify()
	}
}

// hasStayed reports whether the time has passed for which a departing worker stays.
func (f *Fleet) hasStayed(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isDue(id)
}

// crash ends this incarnation and schedules the restart that SetCrash has set. The caller holds the worker's lock.
func (w *worker) crash() {
	if w.dead {
		return
	}
	f := w.fleet
	f.mu.Lock()
	c := f.crash
	f.mu.Unlock()
	w.die(!c.Dark)
	go func() {
		if interval.Sleep(f.ctx, c.Recorded) {
			f.forgetLife(w.life)
		}
	}()
	if c.Gone {
		return
	}
	go func() {
		back := c.Back
		if c.Again {
			back = max(back, restartTime)
		}
		if interval.Sleep(f.ctx, back) {
			f.comeBack(w, &c)
		}
	}()
}

// comeBack starts the incarnation that follows a crash.
func (f *Fleet) comeBack(w *worker, c *Crash) {
	f.mu.Lock()
	f.lives++
	next := w.record
	name := fmt.Sprintf("%s/%d", w.record.Address, f.lives)
	if !c.Again {
		next.ID = name
	}
	if c.Elsewhere {
		next.Address = name
	}
	f.mu.Unlock()
	if c.Again {
		f.startAgain(w, next, c.Unlisted)
		return
	}
	if !c.Elsewhere {
		w.mu.Lock()
		w.replaced = true
		// The new incarnation answers commands for the old one with an error, which shows that its runs have ended.
		f.leased(w, time.Time{})
		w.notify()
		w.mu.Unlock()
	}
	f.Add(next)
}

// startAgain starts the next incarnation of a worker under the same name, unless one has already started. Boxes learn
// of it from its record, or from its answers before it writes one.
func (f *Fleet) startAgain(w *worker, next fleet.Worker, unlisted time.Duration) {
	f.mu.Lock()
	if f.workers[next.ID] != w {
		f.mu.Unlock()
		return
	}
	f.former[next.ID] = f.records[next.ID].worker
	delete(f.dueAt, next.ID)
	delete(f.unsaid, next.ID)
	f.mu.Unlock()
	w.mu.Lock()
	f.leased(w, time.Time{}) // The next incarnation shows that this one has ended.
	w.mu.Unlock()
	next.Draining, next.Leaves = false, 0
	f.disturb()
	f.begin(next, unlisted)
}

// restartTime is the least time that a process takes to restart.
const restartTime = 300 * time.Millisecond

// Restart starts the next incarnation of a worker under the same name as soon as a process can restart. It ends the
// present one first if that is still alive.
func (f *Fleet) Restart(id string) error {
	f.mu.Lock()
	w := f.workers[id]
	f.mu.Unlock()
	if w == nil {
		return fmt.Errorf("emulator: no worker %q", id)
	}
	w.mu.Lock()
	if !w.dead {
		w.die(true)
	}
	w.mu.Unlock()
	go func() {
		if interval.Sleep(f.ctx, restartTime) {
			f.startAgain(w, w.record, 0)
		}
	}()
	return nil
}

// RecordFormer replaces a worker's record by the last record of its previous incarnation, until the worker writes its
// own again.
func (f *Fleet) RecordFormer(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.judge.disturbed = time.Now()
	if former, ok := f.former[id]; ok {
		f.put(former, false)
	}
}

// forgetLife removes a worker's record if it still belongs to this incarnation.
func (f *Fleet) forgetLife(l life.ID) {
	f.mu.Lock()
	w, recorded := f.workers[l.Worker], f.records[l.Worker].worker
	f.mu.Unlock()
	if w == nil || w.life == l || recorded.Born == l.Born {
		f.Forget(l.Worker)
	}
}

// crashesNow reports whether a run crashes its worker now: its progress, earlier runs included, or its age has
// reached the limit of Poison.
func (f *Fleet) crashesNow(a *activity) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	after, crashes := f.crashes[a.task]
	return crashes && (a.done >= after || time.Since(a.began) >= after)
}

const (
	// crashesAllowed is the number of workers that may crash under a task before its further starts count (the users'
	// rules).
	crashesAllowed = 3
	// startsAfter is the number of further starts that breaks the promise.
	startsAfter = 3
)

// crashed records that a worker has crashed under a task. The caller holds the worker's lock.
func (f *Fleet) crashed(t job.Task) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.judge.crashed[t]++
}

// judgeBudget finds tasks that are still started after too many workers have crashed under them. The caller holds the
// lock.
func (f *Fleet) judgeBudget(w *worker, a *activity) {
	if f.judge.crashed[a.task] < crashesAllowed || w.belated {
		return
	}
	f.judge.restarted[a.task]++
	if n := f.judge.restarted[a.task]; n == startsAfter {
		f.judge.counts.Budget = append(f.judge.counts.Budget, fmt.Sprintf("%s on %s, run %d: %d starts after %d workers had crashed", a.task, w.life, a.number, n, crashesAllowed))
	}
}
