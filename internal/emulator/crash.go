package emulator

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/pulleyring/pulleyring/internal/fleet"
	"github.com/pulleyring/pulleyring/internal/incarnation"
	"github.com/pulleyring/pulleyring/internal/interval"
	"github.com/pulleyring/pulleyring/internal/job"
)

// Crash says how a worker crashes and restarts. With the zero value the process ends, its record is removed at once,
// and it restarts at once at the same address.
type Crash struct {
	// The worker stops answering; otherwise its connections are closed and its address refuses new ones.
	Silent       bool
	RestartDelay time.Duration // Time from the crash to the restart.
	Permanent    bool          // The worker never restarts.
	NewAddress   bool          // The restarted worker has another address.
	SameName     bool          // The restarted worker keeps its name.
	// Time from the restart to the first record of the new incarnation; used only if it keeps the name.
	FirstRecordAfter      time.Duration
	OldRecordRemovedAfter time.Duration // Time from the crash to the removal of the old incarnation's record.
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
	f.crashAfter[t] = after
}

// CrashHall crashes every worker of a hall in the way that SetCrash has set.
func (f *Fleet) CrashHall(hall string) {
	f.mu.Lock()
	var affected []*worker
	for _, w := range f.workers {
		if w.record.Hall == hall {
			affected = append(affected, w)
		}
	}
	f.mu.Unlock()
	for _, w := range affected {
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

// TaskLocation returns the worker that runs a task now, and its hall; both are empty if the task doesn't run.
func (f *Fleet) TaskLocation(t job.Task) (id, hall string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	incarnation, running := f.checker.running[t]
	if !running {
		return "", ""
	}
	return incarnation.Worker, f.workers[incarnation.Worker].record.Hall
}

// terminate ends this incarnation with all its runs; processEnded says whether its process has ended too, so that its
// address refuses connections. The caller holds the worker's lock.
func (w *worker) terminate(processEnded bool) {
	w.dead, w.processEnded = true, processEnded
	w.fleet.recordDisturbance()
	if drained := processEnded && w.fleet.isDraining(w.record.ID); !drained && !w.leaseKept {
		w.fleet.recordLease(w, time.Time{})
	}
	w.leftAsAnnounced = processEnded && w.fleet.hasReachedDeparture(w.record.ID)
	for _, a := range w.sortedRuns() {
		delete(w.runs, a.task)
		w.fleet.recordLostRun(a.task, a.number)
		w.fleet.recordEnd(w, a, job.Expired)
	}
	for i := range w.pendingEnds {
		if e := &w.pendingEnds[i]; e.Number > w.lastReportedEnd { // No box has received this end.
			w.fleet.recordLostRun(e.Task, e.Run)
		}
	}
	if processEnded {
		w.notify()
	}
}

// hasReachedDeparture reports whether the time has passed for which a departing worker stays.
func (f *Fleet) hasReachedDeparture(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isDepartureDue(id)
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
	w.terminate(!c.Silent)
	go func() {
		if interval.Sleep(f.ctx, c.OldRecordRemovedAfter) {
			f.forgetIncarnation(w.incarnation)
		}
	}()
	if c.Permanent {
		return
	}
	go func() {
		delay := c.RestartDelay
		if c.SameName {
			delay = max(delay, minRestartTime)
		}
		if interval.Sleep(f.ctx, delay) {
			f.restartAfterCrash(w, &c)
		}
	}()
}

// restartAfterCrash starts the incarnation that follows a crash.
func (f *Fleet) restartAfterCrash(w *worker, c *Crash) {
	f.mu.Lock()
	f.restarts++
	next := w.record
	name := fmt.Sprintf("%s/%d", w.record.Address, f.restarts)
	if !c.SameName {
		next.ID = name
	}
	if c.NewAddress {
		next.Address = name
	}
	f.mu.Unlock()
	if c.SameName {
		f.restart(w, next, c.FirstRecordAfter)
		return
	}
	if !c.NewAddress {
		w.mu.Lock()
		w.replaced = true
		// The new incarnation answers commands for the old one with an error, which shows that its runs have ended.
		f.recordLease(w, time.Time{})
		w.notify()
		w.mu.Unlock()
	}
	f.Add(next)
}

// restart starts the next incarnation of a worker under the same name, unless one has already started. Boxes learn
// of it from its record, or from its answers before it writes one.
func (f *Fleet) restart(w *worker, next fleet.Worker, firstRecordAfter time.Duration) {
	f.mu.Lock()
	if f.workers[next.ID] != w {
		f.mu.Unlock()
		return
	}
	f.previousRecords[next.ID] = f.records[next.ID].worker
	delete(f.departsAt, next.ID)
	delete(f.unannounced, next.ID)
	f.mu.Unlock()
	w.mu.Lock()
	f.recordLease(w, time.Time{}) // The next incarnation shows that this one has ended.
	w.mu.Unlock()
	next.Draining, next.TimeLeft = false, 0
	f.recordDisturbance()
	f.startIncarnation(next, firstRecordAfter)
}

// minRestartTime is the least time that a process takes to restart.
const minRestartTime = 300 * time.Millisecond

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
		w.terminate(true)
	}
	w.mu.Unlock()
	go func() {
		if interval.Sleep(f.ctx, minRestartTime) {
			f.restart(w, w.record, 0)
		}
	}()
	return nil
}

// RestorePreviousRecord replaces a worker's record by the last record of its previous incarnation, until the worker
// writes its own again.
func (f *Fleet) RestorePreviousRecord(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.checker.disturbedAt = time.Now()
	if previous, ok := f.previousRecords[id]; ok {
		f.put(previous, false)
	}
}

// forgetIncarnation removes a worker's record if it still belongs to this incarnation.
func (f *Fleet) forgetIncarnation(incarnation incarnation.ID) {
	f.mu.Lock()
	w, recorded := f.workers[incarnation.Worker], f.records[incarnation.Worker].worker
	f.mu.Unlock()
	if w == nil || w.incarnation == incarnation || recorded.Born == incarnation.Born {
		f.Forget(incarnation.Worker)
	}
}

// shouldCrash reports whether a run crashes its worker now: its progress, earlier runs included, or its age has
// reached the limit of Poison.
func (f *Fleet) shouldCrash(a *taskRun) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	after, crashes := f.crashAfter[a.task]
	return crashes && (a.progress >= after || time.Since(a.startedAt) >= after)
}

const (
	// maxCrashes is the number of workers that may crash under a task before its further starts count (the users'
	// rules).
	maxCrashes = 3
	// violatingStarts is the number of further starts that breaks the promise.
	violatingStarts = 3
)

// recordCrash records that a worker has crashed under a task. The caller holds the worker's lock.
func (f *Fleet) recordCrash(t job.Task) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.checker.crashedWorkers[t]++
}

// checkCrashBudget finds tasks that are still started after too many workers have crashed under them. The caller
// holds the lock.
func (f *Fleet) checkCrashBudget(w *worker, a *taskRun) {
	if f.checker.crashedWorkers[a.task] < maxCrashes || w.runsDelayedCommand || a.lasting {
		return
	}
	f.checker.startsAfterCrashes[a.task]++
	if n := f.checker.startsAfterCrashes[a.task]; n == violatingStarts {
		f.checker.verdict.OverBudget = append(f.checker.verdict.OverBudget, fmt.Sprintf("%s on %s, run %d: %d starts after %d workers had crashed", a.task, w.incarnation, a.number, n, maxCrashes))
	}
}
