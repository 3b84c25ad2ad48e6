package loss

import (
	"slices"
	"time"

	"github.com/pulleyring/pulleyring/internal/incarnation"
	"github.com/pulleyring/pulleyring/internal/job"
)

// Detector records recent losses of workers and decides which of them count against a task. The zero value is
// ready to use.
type Detector struct {
	events []*lossEvent           // Recent losses, oldest first.
	byName map[string]*lossEvent  // Last loss of each worker, by name.
	byTask map[job.Task][]lostRun // Lost runs of each task.

	background           Background // Background losses without those in events.
	keptBackgroundLosses int        // Number of background losses in events.
}

// lostRun is a run that was lost: a loss and the index of the run in it.
type lostRun struct {
	*lossEvent
	run int
}

// lossEvent is the loss of a worker.
type lossEvent struct {
	Worker
	at           time.Time    // Time at which the loss was reported.
	endProven    bool         // The worker's process has surely ended.
	stillRuns    bool         // The worker still runs: it was only cut off.
	hasSuspect   bool         // A task that ran there may have crashed it.
	blamed       []bool       // By run: its task may have crashed the worker.
	neverStarted []bool       // By run: it never started.
	counted      []job.Losses // By run: losses counted against its task at present.
	provenAt     time.Time    // Time from which it counts as proven.
	othersLost   int          // Number of workers without a suspect task that were lost at the same time.
	hall         groupLoss
	rack         groupLoss

	background       bool       // It is counted in keptBackgroundLosses.
	backgroundBefore Background // Estimate of background losses at the time of this loss.
}

// groupLoss counts the workers of a hall or rack that were lost at the same time as one of its workers. It
// is updated with each loss: counting again for each of 350 workers that are lost within a second took
// 0.5 s on one core (BenchmarkHallsLost).
type groupLoss struct {
	lost, withoutSuspect, size int
}

// isGroupLost reports whether the group was lost as a whole: most of its workers, and enough of them
// without a suspect task.
func (g *groupLoss) isGroupLost() bool {
	return g.withoutSuspect >= minOthersLost && float64(g.lost) >= minGroupShare*float64(g.size)
}

// add adds the loss of another worker, or removes it with a sign of -1.
func (g *groupLoss) add(o *lossEvent, size, sign int) {
	g.lost += sign
	g.size = max(g.size, size)
	if !o.hasSuspect {
		g.withoutSuspect += sign
	}
}

// Lost records the loss of a worker. It returns the changes of counted losses for the tasks that ran there
// and for tasks of workers that were lost before.
func (d *Detector) Lost(w Worker, now time.Time) []CountChange {
	d.prune(now)
	if e := d.find(w.Incarnation); e != nil {
		e.endProven = e.endProven || w.EndProven
		return nil
	}
	e := &lossEvent{Worker: w, at: now, endProven: w.EndProven, provenAt: now.Add(ProvenAfter), neverStarted: make([]bool, len(w.Runs)), counted: make([]job.Losses, len(w.Runs))}
	e.backgroundBefore = d.Background()
	e.blamed = blamedRuns(e.Runs, e.neverStarted)
	for i := range w.Runs {
		e.hasSuspect = e.hasSuspect || w.Runs[i].isImmediate() || w.Runs[i].LossesBefore.All > 0
	}
	d.add(e)
	return d.recountSimultaneous(e)
}

// add stores a loss and updates the losses that happened at the same time.
func (d *Detector) add(e *lossEvent) {
	if d.byName == nil {
		d.byName, d.byTask = map[string]*lossEvent{}, map[job.Task][]lostRun{}
	}
	e.hall.add(e, e.Hall.Size, 1)
	e.rack.add(e, e.Rack.Size, 1)
	for _, o := range d.events {
		if e.lostWith(o) {
			e.countSimultaneous(o, 1)
			o.countSimultaneous(e, 1)
			d.updateBackground(o)
		}
	}
	d.updateBackground(e)
	d.events = append(d.events, e)
	d.byName[e.Incarnation.Worker] = e
	for i := range e.Runs {
		d.byTask[e.Runs[i].Task] = append(d.byTask[e.Runs[i].Task], lostRun{e, i})
	}
}

// countSimultaneous counts o as lost at the same time as e, or removes it with a sign of -1.
func (e *lossEvent) countSimultaneous(o *lossEvent, sign int) {
	if !o.hasSuspect {
		e.othersLost += sign
	}
	if o.Hall.Name == e.Hall.Name {
		e.hall.add(o, o.Hall.Size, sign)
	}
	if o.Rack.Name == e.Rack.Name {
		e.rack.add(o, o.Rack.Size, sign)
	}
}

// Returned records that a worker incarnation reported as lost still runs: it was only cut off, so its tasks
// did not crash it. It returns the changes of counted losses. A later incarnation of the worker is no such
// sign; see Replaced.
func (d *Detector) Returned(l incarnation.ID) []CountChange {
	e := d.find(l)
	if e == nil || e.endProven {
		return nil
	}
	for _, o := range d.events {
		if o != e && o.lostWith(e) {
			o.countSimultaneous(e, -1)
			d.updateBackground(o)
		}
	}
	e.stillRuns = true
	d.updateBackground(e)
	return append(d.recountTasks(e), d.recountSimultaneous(e)...)
}

// NeverStarted records that a run lost with a worker never started there, because the worker had refused it.
// Another run on that worker may be blamed instead. It returns the changes of counted losses.
func (d *Detector) NeverStarted(l incarnation.ID, t job.Task) []CountChange {
	e := d.find(l)
	if e == nil {
		return nil
	}
	for i := range e.Runs {
		e.neverStarted[i] = e.neverStarted[i] || e.Runs[i].Task == t
	}
	e.blamed = blamedRuns(e.Runs, e.neverStarted)
	return d.recountTasks(e)
}

// Replaced records that a later incarnation of a worker, or another worker at the same address, has
// started. The process before it has surely ended.
func (d *Detector) Replaced(address string, by incarnation.ID) {
	for _, e := range d.events {
		if (e.Address == address && !e.Incarnation.Matches(by) || by.IsLaterThan(e.Incarnation)) && !e.Incarnation.IsLaterThan(by) && !e.stillRuns {
			e.endProven = true
		}
	}
}

// Unproven returns the counted losses of a task that are not proven, because the workers may still run.
func (d *Detector) Unproven(t job.Task, now time.Time) job.Losses {
	var sum job.Losses
	for _, r := range d.byTask[t] {
		if !r.endProven && now.Before(r.provenAt) {
			sum = sum.Add(r.counted[r.run])
		}
	}
	return sum
}

// RecentlyLost returns the number of workers of a hall that were lost recently.
func (d *Detector) RecentlyLost(hall string, now time.Time) int {
	n := 0
	for _, e := range d.events {
		if e.Hall.Name == hall && !e.stillRuns && now.Sub(e.at) <= SimultaneousWindow {
			n++
		}
	}
	return n
}

// find returns the loss of a worker incarnation, or nil if there is none or the worker has returned since.
func (d *Detector) find(l incarnation.ID) *lossEvent {
	if e := d.byName[l.Worker]; e != nil && !e.stillRuns && e.Incarnation.Matches(l) {
		return e
	}
	return nil
}

// prune drops losses that are too old to affect any count.
func (d *Detector) prune(now time.Time) {
	dropped := 0
	for ; dropped < len(d.events) && now.Sub(d.events[dropped].at) > ProvenAfter+SimultaneousWindow; dropped++ {
		e := d.events[dropped]
		if d.byName[e.Incarnation.Worker] == e {
			delete(d.byName, e.Incarnation.Worker)
		}
		for i := range e.Runs {
			d.dropRun(e, e.Runs[i].Task)
		}
		if e.background {
			d.keptBackgroundLosses--
			d.background.Lost++
		}
	}
	d.events = d.events[dropped:]
}

// dropRun removes the runs of a loss from the lost runs of a task.
func (d *Detector) dropRun(e *lossEvent, t job.Task) {
	left := slices.DeleteFunc(d.byTask[t], func(r lostRun) bool { return r.lossEvent == e })
	if len(left) == 0 {
		delete(d.byTask, t)
		return
	}
	d.byTask[t] = left
}

// recountSimultaneous counts a loss again, and those that may have happened at the same time. It returns
// the changes.
func (d *Detector) recountSimultaneous(e *lossEvent) []CountChange {
	var changes []CountChange
	for _, o := range d.events {
		if o == e || o.overlaps(e) {
			changes = append(changes, d.recount(o)...)
		}
	}
	return changes
}

// recountTasks counts all losses again of the tasks that ran on a worker: what excuses one loss of a task
// excuses no later one. It returns the changes.
func (d *Detector) recountTasks(e *lossEvent) []CountChange {
	changes := d.recount(e)
	for i := range e.Runs {
		for _, o := range d.byTask[e.Runs[i].Task] {
			changes = append(changes, d.recount(o.lossEvent)...)
		}
	}
	return changes
}

// recount counts a loss again and returns the changes.
func (d *Detector) recount(e *lossEvent) []CountChange {
	var changes []CountChange
	for i := range e.Runs {
		if counted, reason := d.countedLosses(e, i); counted != e.counted[i] {
			changes = append(changes, CountChange{e.Runs[i].Task, counted.Sub(e.counted[i]), reason, e.Incarnation, &e.Runs[i]})
			e.counted[i] = counted
		}
	}
	return changes
}

// countedLosses returns what a loss counts against the task of run i, and why.
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

// lostWith reports whether two workers may have been lost at the same time.
func (e *lossEvent) lostWith(o *lossEvent) bool { return !e.stillRuns && !o.stillRuns && e.overlaps(o) }

// overlaps reports whether the periods in which two workers were lost overlap.
func (e *lossEvent) overlaps(o *lossEvent) bool {
	return !e.LastSeen.After(o.latestTime()) && !o.LastSeen.After(e.latestTime())
}

// latestTime returns the latest time at which a worker may have been lost: when it left a command
// unanswered, or else when the loss was reported. Without the first rule a worker that was not seen since a
// takeover seemed to be lost together with every other worker for 14 s.
func (e *lossEvent) latestTime() time.Time {
	if e.CommandUnanswered.After(e.LastSeen) {
		return e.CommandUnanswered
	}
	return e.at
}

// isExcusedByGroup reports whether a worker was lost with its whole hall or rack. Each such loss excuses a
// task once: a second worker that the task loses at the same time is not excused.
func (d *Detector) isExcusedByGroup(e *lossEvent, r *Run) bool {
	hall, rack := e.hall.isGroupLost(), e.rack.isGroupLost()
	if !hall && !rack {
		return false
	}
	var earlierInHall, earlierInRack []*lossEvent
	for _, o := range d.byTask[r.Task] {
		switch {
		case !o.blamed[o.run] || !o.at.Before(e.at):
			continue
		case o.lostWith(e):
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

// hallOf returns the hall of a lost worker.
func hallOf(e *lossEvent) string { return e.Hall.Name }

// rackOf returns the rack of a lost worker.
func rackOf(e *lossEvent) string { return e.Rack.Name }

// isNewGroupLoss reports whether enough workers of a group were lost together with e and not together with
// an earlier loss of the same task. The loss of an idle worker is detected up to 5 s late, so it may
// overlap with several losses, but it excuses only one of them.
func (d *Detector) isNewGroupLoss(e *lossEvent, earlier []*lossEvent, group func(*lossEvent) string) bool {
	if len(earlier) == 0 {
		return true
	}
	n := 0
	for i := len(d.events) - 1; i >= 0 && n < minOthersLost && !d.events[i].at.Before(e.LastSeen); i-- {
		o := d.events[i]
		if o == e || o.hasSuspect || group(o) != group(e) || !e.lostWith(o) {
			continue
		}
		if !slices.ContainsFunc(earlier, func(x *lossEvent) bool { return x.lostWith(o) }) {
			n++
		}
	}
	return n >= minOthersLost
}
