package loss

import (
	"slices"
	"time"

	"github.com/pulleyring/pulleyring/internal/incarnation"
	"github.com/pulleyring/pulleyring/internal/job"
)

// Detector records recent losses of workers and decides which of them count against the tasks that ran there.
// The zero value is ready to use.
type Detector struct {
	recentLosses     []*lossEvent           // Recent losses, oldest first.
	lastLossByWorker map[string]*lossEvent  // Last loss of each worker, by name.
	lostRunsByTask   map[job.Task][]lostRun // Lost runs of each task.

	background           Background // Background losses without those in recentLosses.
	keptBackgroundLosses int        // Number of background losses in recentLosses.
}

// lostRun identifies a run that was lost with its worker, by the loss and the index of the run in it.
type lostRun struct {
	*lossEvent
	runIndex int
}

// lossEvent is the loss of a worker.
type lossEvent struct {
	Worker
	reportedAt         time.Time    // Time at which the loss was reported.
	endProven          bool         // The worker's process has surely ended.
	stillRuns          bool         // The worker still runs: its connection was only cut off.
	hasSuspect         bool         // A task that ran there may have crashed it.
	blamed             []bool       // By run: its task may have crashed the worker.
	neverStarted       []bool       // By run: it never started.
	countedLossesByRun []job.Losses // By run: what this loss counts against its task at present.
	provenAt           time.Time    // Time from which the worker is taken to have ended, even if nothing proves it.
	othersLost         int          // Number of workers without a suspect task that were lost at the same time.
	hallLoss           groupLoss
	rackLoss           groupLoss

	isCountedAsBackground bool       // The loss is included in keptBackgroundLosses.
	backgroundBefore      Background // Estimate of background losses at the time of this loss.
}

// groupLoss counts the workers of a hall or rack that were lost at the same time as one of its workers. The
// counts are updated with each loss. Counting them from scratch for each of 350 workers that were lost within a
// second took 0.5 s on one core (BenchmarkHallsLost).
type groupLoss struct {
	// Workers that were lost, those of them that ran no suspect task, and all workers of the group, lost or not.
	lostWorkers, lostWithoutSuspect, knownWorkers int
}

// isGroupLost reports whether the whole hall or rack was lost: most of its workers, including at least
// minOthersLost without a suspect task.
func (g *groupLoss) isGroupLost() bool {
	return g.lostWithoutSuspect >= minOthersLost && float64(g.lostWorkers) >= minGroupShare*float64(g.knownWorkers)
}

// add counts another lost worker with a sign of 1, and removes it from the counts with a sign of -1.
func (g *groupLoss) add(o *lossEvent, size, sign int) {
	g.lostWorkers += sign
	g.knownWorkers = max(g.knownWorkers, size)
	if !o.hasSuspect {
		g.lostWithoutSuspect += sign
	}
}

// RecordLoss records the loss of a worker. It returns the changes of the losses counted against the tasks that ran
// there, and against tasks of workers that were lost before.
func (d *Detector) RecordLoss(w Worker, now time.Time) []CountChange {
	d.prune(now)
	if e := d.findLoss(w.Incarnation); e != nil {
		e.endProven = e.endProven || w.EndProven
		return nil
	}
	e := &lossEvent{Worker: w, reportedAt: now, endProven: w.EndProven, provenAt: now.Add(ProvenAfter), neverStarted: make([]bool, len(w.Runs)), countedLossesByRun: make([]job.Losses, len(w.Runs))}
	e.backgroundBefore = d.Background()
	e.blamed = blamedRuns(e.Runs, e.neverStarted)
	for i := range w.Runs {
		e.hasSuspect = e.hasSuspect || w.Runs[i].isImmediate() || w.Runs[i].LossesBefore.All > 0
	}
	d.add(e)
	return d.recountSimultaneous(e)
}

// add stores a loss and updates the counts of the losses that happened at the same time.
func (d *Detector) add(e *lossEvent) {
	if d.lastLossByWorker == nil {
		d.lastLossByWorker, d.lostRunsByTask = map[string]*lossEvent{}, map[job.Task][]lostRun{}
	}
	e.hallLoss.add(e, e.Hall.Size, 1)
	e.rackLoss.add(e, e.Rack.Size, 1)
	for _, o := range d.recentLosses {
		if e.wasLostWith(o) {
			e.countSimultaneous(o, 1)
			o.countSimultaneous(e, 1)
			d.updateBackground(o)
		}
	}
	d.updateBackground(e)
	d.recentLosses = append(d.recentLosses, e)
	d.lastLossByWorker[e.Incarnation.Worker] = e
	for i := range e.Runs {
		d.lostRunsByTask[e.Runs[i].Task] = append(d.lostRunsByTask[e.Runs[i].Task], lostRun{e, i})
	}
}

// countSimultaneous counts the worker of o as lost at the same time as the one of e with a sign of 1, and
// removes it from the counts with a sign of -1.
func (e *lossEvent) countSimultaneous(o *lossEvent, sign int) {
	if !o.hasSuspect {
		e.othersLost += sign
	}
	if o.Hall.Name == e.Hall.Name {
		e.hallLoss.add(o, o.Hall.Size, sign)
	}
	if o.Rack.Name == e.Rack.Name {
		e.rackLoss.add(o, o.Rack.Size, sign)
	}
}

// RecordReturn records that a worker reported as lost still runs in the same incarnation. It was only cut off, so
// its tasks did not crash it. The method returns the changes of counted losses. It must not be called for a
// later incarnation of the worker; see RecordReplacement.
func (d *Detector) RecordReturn(l incarnation.ID) []CountChange {
	e := d.findLoss(l)
	if e == nil || e.endProven {
		return nil
	}
	for _, o := range d.recentLosses {
		if o != e && o.wasLostWith(e) {
			o.countSimultaneous(e, -1)
			d.updateBackground(o)
		}
	}
	e.stillRuns = true
	d.updateBackground(e)
	return append(d.recountTasks(e), d.recountSimultaneous(e)...)
}

// RecordNeverStarted records that a run lost with a worker never started there, because the worker had refused it.
// Another run on that worker may be blamed instead. It returns the changes of counted losses.
func (d *Detector) RecordNeverStarted(l incarnation.ID, t job.Task) []CountChange {
	e := d.findLoss(l)
	if e == nil {
		return nil
	}
	for i := range e.Runs {
		e.neverStarted[i] = e.neverStarted[i] || e.Runs[i].Task == t
	}
	e.blamed = blamedRuns(e.Runs, e.neverStarted)
	return d.recountTasks(e)
}

// RecordReplacement records that a later incarnation of a worker, or another worker at the same address, has started.
// The earlier process has therefore surely ended.
func (d *Detector) RecordReplacement(address string, by incarnation.ID) {
	for _, e := range d.recentLosses {
		if (e.Address == address && !e.Incarnation.Matches(by) || by.IsLaterThan(e.Incarnation)) && !e.Incarnation.IsLaterThan(by) && !e.stillRuns {
			e.endProven = true
		}
	}
}

// UnprovenLosses returns those counted losses of a task whose workers may still turn out to run.
func (d *Detector) UnprovenLosses(t job.Task, now time.Time) job.Losses {
	var sum job.Losses
	for _, r := range d.lostRunsByTask[t] {
		if !r.endProven && now.Before(r.provenAt) {
			sum = sum.Add(r.countedLossesByRun[r.runIndex])
		}
	}
	return sum
}

// RecentlyLost returns the number of workers of a hall that were lost recently.
func (d *Detector) RecentlyLost(hall string, now time.Time) int {
	n := 0
	for _, e := range d.recentLosses {
		if e.Hall.Name == hall && !e.stillRuns && now.Sub(e.reportedAt) <= SimultaneousWindow {
			n++
		}
	}
	return n
}

// findLoss returns the last loss of a worker if it was of the given incarnation and the worker has not returned
// since; nil otherwise.
func (d *Detector) findLoss(l incarnation.ID) *lossEvent {
	if e := d.lastLossByWorker[l.Worker]; e != nil && !e.stillRuns && e.Incarnation.Matches(l) {
		return e
	}
	return nil
}

// prune drops losses that are too old to affect any count.
func (d *Detector) prune(now time.Time) {
	dropped := 0
	for ; dropped < len(d.recentLosses) && now.Sub(d.recentLosses[dropped].reportedAt) > ProvenAfter+SimultaneousWindow; dropped++ {
		e := d.recentLosses[dropped]
		if d.lastLossByWorker[e.Incarnation.Worker] == e {
			delete(d.lastLossByWorker, e.Incarnation.Worker)
		}
		for i := range e.Runs {
			d.dropRun(e, e.Runs[i].Task)
		}
		if e.isCountedAsBackground {
			d.keptBackgroundLosses--
			d.background.Lost++
		}
	}
	d.recentLosses = d.recentLosses[dropped:]
}

// dropRun removes a loss from the lost runs recorded for a task.
func (d *Detector) dropRun(e *lossEvent, t job.Task) {
	left := slices.DeleteFunc(d.lostRunsByTask[t], func(r lostRun) bool { return r.lossEvent == e })
	if len(left) == 0 {
		delete(d.lostRunsByTask, t)
		return
	}
	d.lostRunsByTask[t] = left
}

// recountSimultaneous decides again what a loss counts, and what each loss counts that may have happened at the
// same time. It returns the changes.
func (d *Detector) recountSimultaneous(e *lossEvent) []CountChange {
	var changes []CountChange
	for _, o := range d.recentLosses {
		if o == e || o.overlaps(e) {
			changes = append(changes, d.recount(o)...)
		}
	}
	return changes
}

// recountTasks decides again what all losses count against the tasks that ran on the lost worker, because a
// reason that excuses one loss of a task excuses no later one. It returns the changes.
func (d *Detector) recountTasks(e *lossEvent) []CountChange {
	changes := d.recount(e)
	for i := range e.Runs {
		for _, o := range d.lostRunsByTask[e.Runs[i].Task] {
			changes = append(changes, d.recount(o.lossEvent)...)
		}
	}
	return changes
}

// recount decides again what a loss counts against each of its runs, and returns the changes.
func (d *Detector) recount(e *lossEvent) []CountChange {
	var changes []CountChange
	for i := range e.Runs {
		if counted, reason := d.countedLosses(e, i); counted != e.countedLossesByRun[i] {
			changes = append(changes, CountChange{e.Runs[i].Task, counted.Sub(e.countedLossesByRun[i]), reason, e.Incarnation, &e.Runs[i]})
			e.countedLossesByRun[i] = counted
		}
	}
	return changes
}

// countedLosses returns what a loss counts against the task of run i of the loss, and the reason.
func (d *Detector) countedLosses(e *lossEvent, i int) (job.Losses, Reason) {
	r := &e.Runs[i]
	switch {
	case e.stillRuns && StartsCount(r.LossesBefore):
		return job.Losses{All: 1}, StillRuns
	case e.stillRuns:
		return job.Losses{}, StillRuns
	case e.neverStarted[i]:
		return job.Losses{}, NeverStarted
	case !e.blamed[i]:
		return job.Losses{All: 1}, OtherJobBlamed
	case e.expectedLosses(r) > MaxExpectedLosses:
		return job.Losses{All: 1}, LikelyChance
	case e.expectedLosses(r) > MaxExpectedLossesIfRepeated && r.LossesBefore.Counted >= minCountedLosses:
		return job.Losses{All: 1}, RepeatedChance
	case d.isExcusedByGroup(e, r):
		return job.Losses{All: 1}, GroupLost
	case e.othersLost < minOthersLost && r.isImmediate():
		return job.Losses{All: 1, Counted: 1, AtOnce: 1}, CountedImmediate
	case e.othersLost < minOthersLost || r.isImmediate():
		return job.Losses{All: 1, Counted: 1}, Counted
	}
	return job.Losses{All: 1}, OthersLost
}

// wasLostWith reports whether two workers may have been lost at the same time. A worker that still runs was not
// lost.
func (e *lossEvent) wasLostWith(o *lossEvent) bool {
	return !e.stillRuns && !o.stillRuns && e.overlaps(o)
}

// overlaps reports whether the periods in which two workers were lost overlap.
func (e *lossEvent) overlaps(o *lossEvent) bool {
	return !e.LastSeen.After(o.latestTime()) && !o.LastSeen.After(e.latestTime())
}

// latestTime returns the latest time at which a worker may have been lost: when it left a command unanswered,
// or when the loss was reported if no command was unanswered. When only the report counted, a worker that was
// not seen since a takeover seemed to be lost together with every other worker lost within 14 s.
func (e *lossEvent) latestTime() time.Time {
	if e.CommandUnanswered.After(e.LastSeen) {
		return e.CommandUnanswered
	}
	return e.reportedAt
}

// isExcusedByGroup reports whether the loss does not count against a run because the worker was lost with its
// whole hall or rack. Each loss of a hall or rack excuses a task once: a second worker that the task loses at
// the same time counts.
func (d *Detector) isExcusedByGroup(e *lossEvent, r *Run) bool {
	hall, rack := e.hallLoss.isGroupLost(), e.rackLoss.isGroupLost()
	if !hall && !rack {
		return false
	}
	var earlierInHall, earlierInRack []*lossEvent
	for _, o := range d.lostRunsByTask[r.Task] {
		switch {
		case !o.blamed[o.runIndex] || !o.reportedAt.Before(e.reportedAt):
			continue
		case o.wasLostWith(e):
			return false
		}
		if o.Hall.Name == e.Hall.Name {
			earlierInHall = append(earlierInHall, o.lossEvent)
		}
		if o.Rack.Name == e.Rack.Name {
			earlierInRack = append(earlierInRack, o.lossEvent)
		}
	}
	return hall && d.isNewGroupLoss(e, earlierInHall, hallOf) || rack && d.isNewGroupLoss(e, earlierInRack, rackOf)
}

// hallOf returns the name of the hall of a lost worker.
func hallOf(e *lossEvent) string { return e.Hall.Name }

// rackOf returns the name of the rack of a lost worker.
func rackOf(e *lossEvent) string { return e.Rack.Name }

// isNewGroupLoss reports whether enough workers of a group were lost at the same time as e, leaving out those
// lost at the same time as an earlier loss of the same task. The loss of an idle worker is detected up to 5 s
// late, so it may seem simultaneous with several losses. It excuses only one of them.
func (d *Detector) isNewGroupLoss(e *lossEvent, earlier []*lossEvent, group func(*lossEvent) string) bool {
	if len(earlier) == 0 {
		return true
	}
	n := 0
	for i := len(d.recentLosses) - 1; i >= 0 && n < minOthersLost && !d.recentLosses[i].reportedAt.Before(e.LastSeen); i-- {
		o := d.recentLosses[i]
		if o == e || o.hasSuspect || group(o) != group(e) || !e.wasLostWith(o) {
			continue
		}
		if !slices.ContainsFunc(earlier, func(x *lossEvent) bool { return x.wasLostWith(o) }) {
			n++
		}
	}
	return n >= minOthersLost
}
