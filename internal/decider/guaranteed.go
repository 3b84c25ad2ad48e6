package decider

import (
	"cmp"
	"slices"
	"time"

	"github.com/pulleyring/pulleyring/pkg/contract"
)

// checkpointLossSeconds is the largest loss of work, in seconds, assumed for stopping a gang that writes checkpoints.
const checkpointLossSeconds = 5

// maxPreemptions is the number of times that a gang may be preempted for large gangs without a guarantee.
const maxPreemptions = 3

// unusedPledge returns the function that gives the pledge of a workspace on a worker, less what its own gangs use.
func (pl *planner) unusedPledge(workspace string) func(worker int) contract.Shape {
	return func(worker int) contract.Shape {
		p := pl.workers[worker].pledgeOf(workspace)
		if p == nil {
			return contract.Shape{}
		}
		return p.capacity.Sub(p.used)
	}
}

// reclaimableRoom is like unusedPledge for the job's workspace, and also counts what its smaller gangs use as unused.
func (pl *planner) reclaimableRoom(j *Job) func(worker int) contract.Shape {
	unused := pl.unusedPledge(j.Workspace)
	return func(worker int) contract.Shape {
		room := unused(worker)
		for _, i := range pl.workers[worker].gangs {
			if i >= 0 && pl.smallerOnSamePledge(i, j) {
				room = room.Add(pl.heldBy(i, worker))
			}
		}
		return room
	}
}

// smallerOnSamePledge reports whether a running gang may be preempted for a larger gang of its workspace on their
// pledge. Only smaller gangs may, so that two gangs cannot preempt each other in turn.
func (pl *planner) smallerOnSamePledge(i int, j *Job) bool {
	r := &pl.view.Running[i]
	return pl.charges[i] == guaranteed && !pl.stopping[i] && r.Job.Workspace == j.Workspace && r.Job.MayBorrow() &&
		r.Job.Accelerators() < j.Accelerators()
}

// borrows reports whether a running gang uses borrowed devices, which can be reclaimed.
func (pl *planner) borrows(i int) bool {
	return pl.charges[i] == borrowed && pl.view.Running[i].Job.MayBorrow()
}

// withinPledge reports whether the job is guaranteed: it fits the accelerators pledged to its workspace in this hall
// that no gang is charged to.
func (pl *planner) withinPledge(j *Job) bool {
	need := j.Accelerators()
	return need > 0 && pl.charged[j.Workspace]+need <= pl.pledged[j.Workspace]
}

// plan places a gang by preempting others.
type plan struct {
	rack    int
	members []Member
	victims []int   // Running gangs to preempt.
	cost    float64 // Accelerator-seconds of work lost by the preemption.
}

// reclaimPledge preempts borrowers so that a guaranteed job can start on its workspace's pledge. Unless the job is
// urgent, it first waits for borrowers to end by themselves. It returns false if no rack can be freed.
func (pl *planner) reclaimPledge(index int, j *Job) bool {
	best := pl.cheapestPlan(j, pl.unusedPledge(j.Workspace), pl.borrows)
	if best == nil {
		best = pl.cheapestPlan(j, pl.reclaimableRoom(j), func(i int) bool { return pl.borrows(i) || pl.smallerOnSamePledge(i, j) })
	}
	if best == nil {
		return false
	}
	if !j.Urgent && len(best.victims) > 0 && pl.age(j) < pl.reclaimWait() {
		pl.reserveAvailable(j, best.members)
		pl.recordWait(index, &Reason{Code: AwaitsReclaim, Rack: pl.view.Racks[best.rack].Name, Who: j.Workspace, Detail: "some may end by itself first"})
		return true
	}
	reason := &Reason{Code: ReclaimedFor, Rack: pl.view.Racks[best.rack].Name, Who: j.Key}
	for _, i := range best.victims {
		pl.stop(i, j.Urgent, j.Key, reason)
	}
	pl.reserveDevices(j, best.members)
	pl.releaseRack(j.Key)
	pl.outcome.RackReservations = append(pl.outcome.RackReservations, RackReservation{Job: j.Key, Rack: best.rack, Since: pl.view.Now, Preempting: true, Pledged: true})
	pl.recordWait(index, &Reason{Code: AwaitsReclaim, Rack: reason.Rack, Who: j.Workspace})
	return true
}

// reclaimWaitDivisor divides the site's reclaim time: a job waits that part of it for borrowers to end by themselves.
const reclaimWaitDivisor = 3

// reclaimWait returns how long a job waits before borrowers are preempted for it.
func (pl *planner) reclaimWait() time.Duration {
	return time.Duration(pl.view.Site.ReclaimSeconds) * time.Second / reclaimWaitDivisor
}

// reserveAvailable assigns the free or soon free part of the planned devices to the job, so that no other job borrows
// them.
func (pl *planner) reserveAvailable(j *Job, members []Member) {
	for _, m := range members {
		s := &pl.workers[m.Worker]
		need := j.Shape.Times(m.Count)
		fromLeaving := minShape(need, s.leaving)
		s.leaving = s.leaving.Sub(fromLeaving)
		s.free = s.free.Sub(minShape(need.Sub(fromLeaving), s.free))
	}
	pl.charge(j, members)
	pl.used[j.Workspace] += j.Accelerators()
}

// startOnPledge starts the job on free devices of its pledge, on the rack with the fewest free accelerators. It skips
// racks that are reserved for other jobs. It returns false if no rack fits.
func (pl *planner) startOnPledge(j *Job, reservedFor []string) bool {
	unused := pl.unusedPledge(j.Workspace)
	room := func(worker int) contract.Shape { return minShape(unused(worker), pl.workers[worker].free) }
	rack, members := pl.fullestRack(j, room, reservedFor)
	if members == nil {
		return false
	}
	pl.start(j, members, &Reason{Code: Guaranteed, Rack: pl.view.Racks[rack].Name})
	pl.releaseRack(j.Key)
	return true
}

// cheapestPlan returns the plan that places the gang with the least loss of work, or nil.
func (pl *planner) cheapestPlan(j *Job, room func(int) contract.Shape, stoppable func(int) bool) *plan {
	var best *plan
	for rack := range pl.view.Racks {
		members := pl.spread(rack, j, room)
		if members == nil {
			continue
		}
		p := &plan{rack: rack, members: members}
		if pl.chooseVictims(p, j, stoppable) && (best == nil || p.cost < best.cost) {
			best = p
		}
	}
	return best
}

// chooseVictims picks the victims and sums their cost: worker by worker, those that lose the least work for what they
// free. It returns false if preemption cannot free enough.
func (pl *planner) chooseVictims(p *plan, j *Job, stoppable func(int) bool) bool {
	chosen := map[int]bool{}
	freed := map[int]contract.Shape{}
	for _, m := range p.members {
		need := j.Shape.Times(m.Count)
		s := &pl.workers[m.Worker]
		for !need.Fits(s.free.Add(s.leaving).Add(freed[m.Worker])) {
			missing := need.Sub(s.free.Add(s.leaving).Add(freed[m.Worker]))
			victim := pl.cheapestVictim(m.Worker, missing, chosen, stoppable)
			if victim < 0 {
				return false
			}
			chosen[victim] = true
			p.victims = append(p.victims, victim)
			p.cost += pl.loss(victim)
			for _, vm := range pl.view.Running[victim].Members {
				freed[vm.Worker] = freed[vm.Worker].Add(pl.view.Running[victim].Job.Shape.Times(vm.Count))
			}
		}
	}
	return true
}

// cheapestVictim returns the gang that loses the least work for the missing capacity that it frees on a worker, or -1.
// Capacity that it frees beyond the missing amount, or on other workers, does not count.
func (pl *planner) cheapestVictim(worker int, missing contract.Shape, chosen map[int]bool, stoppable func(int) bool) int {
	best := -1
	bestCost := 0.0
	for _, i := range pl.workers[worker].gangs {
		if i < 0 || chosen[i] || pl.stopping[i] || !stoppable(i) {
			continue
		}
		useful := minShape(pl.heldBy(i, worker), missing)
		cost := pl.loss(i) / (float64(max(useful.Accelerators, 0)) + cpuCredit*float64(max(useful.CPUs, 0)) + minCredit)
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// Weights of what a victim frees; an accelerator weighs 1.
const (
	cpuCredit = 0.01  // For each CPU.
	minCredit = 0.001 // For a victim that frees none of what is missing; avoids a division by zero.
)

// loss returns the cost of stopping a running gang: the accelerator-seconds of work lost, multiplied for earlier
// preemptions if the gang writes no checkpoints. A gang without accelerators counts as a tenth of an accelerator.
func (pl *planner) loss(i int) float64 {
	r := &pl.view.Running[i]
	size := max(float64(r.Job.Accelerators()), 0.1)
	ran := pl.view.Now.Sub(r.Started).Seconds()
	if r.Job.Checkpoints {
		return size * min(ran, checkpointLossSeconds)
	}
	return size * ran * float64(1+r.Job.Stops)
}

// reserveDevices assigns devices to a gang that starts once others have stopped: devices of stopping gangs first, then
// free ones.
func (pl *planner) reserveDevices(j *Job, members []Member) {
	for _, m := range members {
		s := &pl.workers[m.Worker]
		need := j.Shape.Times(m.Count)
		fromLeaving := minShape(need, s.leaving)
		s.leaving = s.leaving.Sub(fromLeaving)
		s.free = s.free.Sub(need.Sub(fromLeaving))
	}
	pl.charge(j, members)
	pl.used[j.Workspace] += j.Accelerators()
}

// reclaimWholePledge preempts borrowers until the unused pledge of a workspace is free or becoming free, and keeps it
// from other workspaces.
func (pl *planner) reclaimWholePledge(workspace string) {
	reason := &Reason{Code: ReclaimedFor, Who: workspace}
	for k := range pl.workers {
		s := &pl.workers[k]
		p := s.pledgeOf(workspace)
		if p == nil {
			continue
		}
		idle := p.capacity.Sub(p.used)
		for !idle.Fits(s.free.Add(s.leaving)) {
			victim := pl.cheapestVictim(k, idle.Sub(s.free.Add(s.leaving)), nil, pl.borrows)
			if victim < 0 {
				break // Only unstoppable gangs are left, which run here if the layout changed after a worker failed.
			}
			pl.stop(victim, false, workspace, reason)
		}
		fromLeaving := minShape(idle, s.leaving)
		s.leaving = s.leaving.Sub(fromLeaving)
		s.free = s.free.Sub(idle.Sub(fromLeaving))
	}
}

// sortGuaranteed sorts guaranteed jobs: urgent ones first, then by arrival.
func sortGuaranteed(waiting []Job, indexes []int) {
	slices.SortFunc(indexes, func(x, y int) int {
		p, q := &waiting[x], &waiting[y]
		return cmp.Or(compareBool(!p.Urgent, !q.Urgent), p.Arrived.Compare(q.Arrived), cmp.Compare(p.Key, q.Key))
	})
}

// age returns how long a job has waited.
func (pl *planner) age(j *Job) time.Duration { return pl.view.Now.Sub(j.Arrived) }
