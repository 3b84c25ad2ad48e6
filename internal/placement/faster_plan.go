package placement

import (
	"math"
	"slices"
	"time"
)

// prefersFasterWorkers reports whether urgent demand i, which would start on the given workers, rather waits for faster
// ones: those reserved for it, or those of a preemption plan that is worth its cost. It never waits if it has waited
// too long while capacity is ample, nor if it is guaranteed and its start limit is close.
func (pl *planner) prefersFasterWorkers(i int, workers map[int]string) bool {
	d := &pl.view.Demands[i]
	if !pl.speeds.areUneven() || d.Priority > 0 || pl.waitedTooLong || len(workers) < len(d.Waiting) {
		return false
	}
	if pl.isSpreadOverRacks(d, workers) || !pl.isTooSlowOn(d, workers) {
		return false
	}
	if reserved := pl.reservationOf(i); reserved != nil {
		return !pl.mustCrossRacks(d) && pl.isReservationInTime(d, reserved) && !pl.isReservationFree(d, reserved)
	}
	if d.NoPreemptionPlan || pl.mustPreemptForGuarantee(d) {
		return false
	}
	pl.speeds.fasterPlan = pl.planWorthWaitingFor(d, workers)
	return pl.speeds.fasterPlan != nil
}

// isReservationInTime reports whether a demand would meet its goal if it started on its reserved workers now.
func (pl *planner) isReservationInTime(d *Demand, reserved map[int]string) bool {
	for _, w := range reserved {
		if k, ok := pl.workerIndex(w); !ok || !pl.isSuitable(k) || pl.slowLevel(k) > 0 {
			return false
		}
	}
	return !pl.isTooSlowOn(d, reserved)
}

// isReservationFree reports whether all reserved capacity of the current demand is free. If so, and the demand would
// start elsewhere, it prefers other workers for a reason that counts more than speed, and waiting gains nothing.
func (pl *planner) isReservationFree(d *Demand, reserved map[int]string) bool {
	tasks := map[int]int{}
	for _, w := range reserved {
		k, ok := pl.workerIndex(w)
		if !ok {
			return false
		}
		tasks[k]++
	}
	for k, n := range tasks {
		if pl.countFitting(d, k, pl.free[k], n) < n {
			return false
		}
	}
	return true
}

// planWorthWaitingFor returns a preemption plan by which a demand earns more than by a start on the given workers, even
// after the cost and the time of the stops; nil if there is none. Its workers are fast enough for the goal in nine
// cases of ten, because stopped work is lost for certain. None of them is more likely to fail than the given ones.
func (pl *planner) planWorthWaitingFor(d *Demand, workers map[int]string) *preemptionPlan {
	value := pl.valueAfter(d, pl.remainingOn(d, workers))
	best := pl.view.Policy.MaxStopTime + d.Remaining + time.Duration((pl.speeds.fastest-1)*float64(d.TaskTime))
	if pl.valueAfter(d, best) <= value {
		return nil
	}
	logAllowed := math.Log(pl.allowedFactor(d, pl.view.Policy.MaxStopTime, 1))
	score := pl.highestFailureScore(workers)
	p := pl.cheapestPlanOn(d, func(k int) bool {
		w := &pl.view.Workers[k]
		return pl.speeds.isSurelyWithin(k, logAllowed) && !w.Unproven && w.FailureScore <= score && pl.avoidanceLevel(k) == 0
	})
	if p == nil {
		return nil
	}
	gain := pl.valueAfter(d, pl.view.Policy.MaxStopTime+pl.remainingOn(d, p.workers)) - value
	if gain <= p.cost*pl.view.Policy.WasteCost {
		return nil
	}
	return p
}

// highestFailureScore returns the highest failure score of the assigned workers.
func (pl *planner) highestFailureScore(workers map[int]string) float64 {
	score := 0.0
	for _, w := range workers {
		score = max(score, pl.view.Workers[pl.mustWorkerIndex(w)].FailureScore)
	}
	return score
}

// valueAfter returns the value that a demand earns if its job ends after the given time.
func (pl *planner) valueAfter(d *Demand, after time.Duration) float64 {
	end := pl.view.Now.Add(after)
	switch {
	case !end.After(d.Goal):
		return d.Value
	case !end.After(d.LastGoal):
		return d.LateValue
	}
	return 0
}

// takeFasterPlan returns the plan for faster workers found for the current demand, and forgets it.
func (pl *planner) takeFasterPlan() *preemptionPlan {
	p := pl.speeds.fasterPlan
	pl.speeds.fasterPlan = nil
	return p
}

// cheapestPlanInTime returns the cheapest preemption plan on workers that are fast enough for the goal after the stops.
// It returns nil if there is none, or if all workers are fast enough.
func (pl *planner) cheapestPlanInTime(d *Demand) *preemptionPlan {
	if !pl.speeds.areUneven() {
		return nil
	}
	allowed := pl.allowedFactor(d, pl.view.Policy.MaxStopTime, 1)
	return pl.cheapestPlanOn(d, func(k int) bool { return pl.view.Workers[k].timeFactor() <= allowed })
}

// cheapestPlanOn returns the cheapest preemption plan on the suitable workers that are not very slow and for which
// isUsable holds, without spreading a gang over racks that should be in one. It returns nil if there is none, or if all
// suitable workers are of that kind or none is.
func (pl *planner) cheapestPlanOn(d *Demand, isUsable func(k int) bool) *preemptionPlan {
	var excluded []int
	usable := 0
	for k := range pl.view.Workers {
		switch {
		case !pl.isSuitable(k):
		case pl.slowLevel(k) == 0 && isUsable(k):
			usable++
		default:
			excluded = append(excluded, k)
		}
	}
	if usable == 0 || len(excluded) == 0 {
		return nil
	}
	for _, k := range excluded {
		pl.suitable[k] = false
	}
	p := pl.cheapestPlanInPlace(d)
	for _, k := range excluded {
		pl.suitable[k] = true
	}
	return p
}

// earliestValuableCapacity returns the result of earliestCapacity for all the given workers, or for those that are fast
// enough for a start at that time if the demand earns more there. It also returns what the demand earns, which is 0 if
// all workers have the usual speed.
func (pl *planner) earliestValuableCapacity(
	d *Demand, among []int,
) (workers map[int]string, after time.Duration, value float64) {
	workers, after = pl.earliestCapacity(d, among)
	if workers == nil || !pl.speeds.areUneven() {
		return workers, after, 0
	}
	value = pl.valueAfter(d, after+pl.remainingOn(d, workers))
	allowed := pl.allowedFactor(d, after, 1)
	isTooSlow := func(k int) bool { return pl.view.Workers[k].timeFactor() > allowed }
	if !slices.ContainsFunc(among, isTooSlow) {
		return workers, after, value
	}
	faster, fasterAfter := pl.earliestCapacity(d, slices.DeleteFunc(pl.fasterFirst(among), isTooSlow))
	if faster == nil {
		return workers, after, value
	}
	if fasterValue := pl.valueAfter(d, fasterAfter+pl.remainingOn(d, faster)); fasterValue > value {
		return faster, fasterAfter, fasterValue
	}
	return workers, after, value
}
