package emulator

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/pulleyring/pulleyring/internal/interval"
	"github.com/pulleyring/pulleyring/internal/job"
)

// Crash is how a worker crashes and comes back. The zero value is a process that ends, is forgotten at once, and comes back at once
// at its address.
type Crash struct {
	Dark      bool          // It falls silent; otherwise its connections are closed and its address refuses.
	Back      time.Duration // After that it is back as another life.
	Gone      bool          // It never comes back.
	Elsewhere bool          // The new life has another address.
	Recorded  time.Duration // After that the record of the old life goes.
}

// SetCrash says how workers crash from now on.
func (f *Fleet) SetCrash(c Crash) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crash = c
}

// Poison makes a task crash every worker that runs it, once it has worked for so long.
func (f *Fleet) Poison(t job.Task, after time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashes[t] = after
}

// CrashHall crashes every worker of a hall, as SetCrash said.
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

// CrashOne crashes a worker that lives, as SetCrash said: the one that a number picks.
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

// WhereRuns is the worker that runs a task now, with its hall; empty where none does.
func (f *Fleet) WhereRuns(t job.Task) (id, hall string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	id = f.judge.running[t]
	if id == "" {
		return "", ""
	}
	return id, f.workers[id].record.Hall
}

// die ends a life, and its process where it is over.
func (w *worker) die(over bool) {
	w.dead, w.over = true, over
	w.fleet.disturb()
	if left := over && w.fleet.isDraining(w.record.ID); !left && !w.leaseKept {
		w.fleet.leased(w, time.Time{})
	}
	w.leftAsSaid = over && w.fleet.hasStayed(w.record.ID)
	for _, a := range w.sorted() {
		delete(w.runs, a.task)
		w.fleet.ended(w, a, job.Lapsed)
	}
	if over {
		w.notify()
	}
}

// hasStayed reports whether a worker that said it leaves has stayed for as long as it said.
func (f *Fleet) hasStayed(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isDue(id)
}

// crash ends a life that another one follows.
func (w *worker) crash() {
	if w.dead {
		return
	}
	f := w.fleet
	f.mu.Lock()
	c := f.crash
	f.mu.Unlock()
	w.die(!c.Dark)
	id := w.record.ID
	go func() {
		if interval.Sleep(f.ctx, c.Recorded) {
			f.Forget(id)
		}
	}()
	if c.Gone {
		return
	}
	go func() {
		if interval.Sleep(f.ctx, c.Back) {
			f.comeBack(w, c.Elsewhere)
		}
	}()
}

// comeBack starts the life that follows a crash.
func (f *Fleet) comeBack(w *worker, elsewhere bool) {
	f.mu.Lock()
	f.lives++
	next := w.record
	next.ID = fmt.Sprintf("%s/%d", w.record.Address, f.lives)
	if elsewhere {
		next.Address = next.ID
	}
	f.mu.Unlock()
	if !elsewhere {
		w.mu.Lock()
		w.replaced = true
		f.leased(w, time.Time{}) // It answers for the old life that everything there is over.
		w.notify()
		w.mu.Unlock()
	}
	f.Add(next)
}

// crashesNow reports whether a run crashes its worker now: once it has done so much of its work, also in earlier runs, or is so old.
func (f *Fleet) crashesNow(a *activity) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	after, crashes := f.crashes[a.task]
	return crashes && (a.done >= after || time.Since(a.began) >= after)
}

const (
	// crashesAllowed is how many workers may crash under a task before its starts are counted (the users' rules).
	crashesAllowed = 3
	// startsAfter is the number of starts after that which breaks the promise.
	startsAfter = 3
)

// crashed notes that a worker has crashed under a task. The caller holds the worker's lock.
func (f *Fleet) crashed(t job.Task) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.judge.crashed[t]++
}

// judgeBudget finds tasks that are started again and again after workers have crashed under them.
func (f *Fleet) judgeBudget(w *worker, a *activity) {
	if f.judge.crashed[a.task] < crashesAllowed || w.belated {
		return
	}
	f.judge.restarted[a.task]++
	if n := f.judge.restarted[a.task]; n == startsAfter {
		f.judge.counts.Budget = append(f.judge.counts.Budget, fmt.Sprintf("%s on %s, run %d: %d starts after %d workers had crashed", a.task, w.record.ID, a.number, n, crashesAllowed))
	}
}
