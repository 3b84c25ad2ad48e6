package placement

import (
	"time"

	"github.com/pulleyring/pulleyring/internal/job"
)

// preemptionLeadTime is how long before its latest start in time a demand preempts work of lower priority,
// in addition to the time that a stop takes.
const preemptionLeadTime = 2 * time.Second

// runTimeMargin is the factor on the expected run time when the latest start in time is computed. Declared and
// learned run times are off by about this factor.
const runTimeMargin = 1.25

// mayPreemptNow reports whether work may be preempted for a demand now. Urgent work may preempt immediately,
// because a stop takes long compared with the time to its goal. Other work first waits as long as it can for
// capacity to come free.
func (pl *planner) mayPreemptNow(d *Demand) bool {
	if d.Priority == 0 {
		return true
	}
	return pl.view.Now.Add(pl.view.Policy.MaxStopTime + preemptionLeadTime).After(pl.latestStart(d))
}

// rackWaitShare is the share of the start limit of guaranteed work for which it waits for capacity in one rack.
const rackWaitShare = 0.55

// mustPreemptForGuarantee reports whether guaranteed work must preempt now to start within its limit. Capacity
// freed by a stop now comes free about when the work would otherwise be spread over racks.
func (pl *planner) mustPreemptForGuarantee(d *Demand) bool {
	return d.Guaranteed && pl.view.Now.Sub(d.ReadySince) >= pl.rackWaitLimit()-pl.view.Policy.MaxStopTime
}

// rackWaitLimit returns how long guaranteed work waits for capacity in one rack.
func (pl *planner) rackWaitLimit() time.Duration {
	return time.Duration(rackWaitShare * float64(pl.view.Policy.GuaranteedStartLimit))
}

// mustCrossRacks reports whether a gang must run slowly across several racks instead of waiting for one.
// Guaranteed work must once its start limit is close. Other work must once it has waited too long while
// capacity is ample.
func (pl *planner) mustCrossRacks(d *Demand) bool {
	if d.Guaranteed {
		return pl.view.Now.Sub(d.ReadySince) >= pl.rackWaitLimit()
	}
	return pl.waitedTooLong
}

// ampleCapacityWaitLimit is how long work waits for a better place while capacity is ample. Work must not be
// left waiting for 3 s while workers are idle, so the limit is shorter.
const ampleCapacityWaitLimit = 2 * time.Second

// exceedsAmpleCapacityWait reports whether a demand has waited too long while capacity is ample.
func (pl *planner) exceedsAmpleCapacityWait(d *Demand) bool {
	return pl.view.Now.Sub(d.ReadySince) >= ampleCapacityWaitLimit && pl.hasAmpleCapacity(d)
}

// hasAmpleCapacity reports whether capacity is ample for a demand: less than half of its service is in use, and
// the free capacity of all racks fits twice as many of its tasks as minTasksToStart returns.
func (pl *planner) hasAmpleCapacity(d *Demand) bool {
	need, fitting, free, total := 2*pl.minTasksToStart(d), 0, 0.0, 0.0
	for k := range pl.view.Workers {
		w := &pl.view.Workers[k]
		if w.Service != d.Service {
			continue
		}
		free += w.Free.Cores()
		total += w.Capacity.Cores()
		fitting += pl.countFitting(d, k, w.Free, need)
	}
	return fitting >= need && free > total/2
}

// minTasksToStart returns how many tasks of a demand must not be left waiting while capacity is ample. It is
// one single task if nothing of the job runs yet.
func (pl *planner) minTasksToStart(d *Demand) int {
	if d.Step.Gang || pl.isRunning(d.Job) {
		return len(d.Waiting)
	}
	return 1
}

// isRunning reports whether any task of a job runs in the view.
func (pl *planner) isRunning(id job.ID) bool {
	if pl.runningJobs == nil {
		pl.runningJobs = make(map[job.ID]bool, len(pl.view.Allocations))
		for h := range pl.view.Allocations {
			pl.runningJobs[pl.view.Allocations[h].Job] = true
		}
	}
	return pl.runningJobs[id]
}

// hasMissedAllGoals reports whether a demand can't meet any goal, even if it starts now.
func (pl *planner) hasMissedAllGoals(d *Demand) bool {
	return pl.view.Now.Add(d.Remaining).After(d.LastGoal)
}

// isPaused reports whether a demand that was stopped for urgent work must not start yet. If it started at once, it
// would often be stopped again: one job was stopped 194 times. The pause ends early if capacity is ample, if the
// demand holds capacity for which other work was stopped, and if it would miss its next goal because of the pause.
func (pl *planner) isPaused(d *Demand) bool {
	if d.Priority == 0 || !pl.view.Now.Before(d.PausedUntil) || d.holdsFreedCapacity() || pl.hasAmpleCapacity(d) {
		return false
	}
	return pl.hasMissedAllGoals(d) || !pl.latestStart(d).Before(d.PausedUntil)
}

// latestStart returns the time by which a demand must start to meet its next goal, even if its run time is
// underestimated.
func (pl *planner) latestStart(d *Demand) time.Time {
	_, goal := pl.valueAtStake(d)
	return goal.Add(-time.Duration(runTimeMargin * float64(d.Remaining)))
}
