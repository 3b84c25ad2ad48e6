package decider

import (
	"cmp"
	"slices"
	"time"

	"github.com/pulleyring/pulleyring/pkg/contract"
)

// checkpointCost is the work in seconds that stopping a gang with checkpoints is taken to lose.
const checkpointCost = 5

// keptStops is the number of times a gang may be stopped for large gangs that are not covered by a guarantee.
const keptStops = 3

// unusedPledge offers what a workspace's own gangs leave of its pledge on a worker.
func (b *board) unusedPledge(workspace string) func(worker int) contract.Shape {
	return func(worker int) contract.Shape {
		p := b.seats[worker].part(workspace)
		if p == nil {
			return contract.Shape{}
		}
		return p.shape.Sub(p.used)
	}
}

// claimRoom offers the pledge of a job's workspace on a worker as if the workspace's own smaller gangs were gone.
func (b *board) claimRoom(j *Job) func(worker int) contract.Shape {
	unused := b.unusedPledge(j.Workspace)
	return func(worker int) contract.Shape {
		room := unused(worker)
		for _, i := range b.seats[worker].gangs {
			if i >= 0 && b.ownSmaller(i, j) {
				room = room.Add(b.heldBy(i, worker))
			}
		}
		return room
	}
}

// ownSmaller reports whether a running gang may make way for a larger one of its own workspace on their pledge. Only
// smaller ones do, so that two gangs can't push each other out in turns.
func (b *board) ownSmaller(i int, j *Job) bool {
	r := &b.view.Running[i]
	return b.charges[i] == guaranteed && !b.stopping[i] && r.Job.Workspace == j.Workspace && r.Job.Lendable() &&
		r.Job.Accelerators() < j.Accelerators()
}

// lent reports whether a running gang holds devices that can be claimed back.
func (b *board) lent(i int) bool { return b.charges[i] == borrowed && b.view.Running[i].Job.Lendable() }

// covered reports whether the job stays within what is pledged to its workspace in this hall.
func (b *board) covered(j *Job) bool {
	need := j.Accelerators()
	return need > 0 && b.charged[j.Workspace]+need <= b.pledged[j.Workspace]
}

// plan is a way to place a gang by stopping others.
type plan struct {
	rack    int
	members []Member
	victims []int   // Running gangs to stop.
	cost    float64 // Accelerator-seconds of work that stopping them loses.
}

// claim stops borrowers so that a covered job can start on its workspace's pledge soon.
// It reports whether the job was dealt with.
func (b *board) claim(index int, j *Job) bool {
	best := b.cheapestPlan(j, b.unusedPledge(j.Workspace), b.lent)
	if best == nil {
		best = b.cheapestPlan(j, b.claimRoom(j), func(i int) bool { return b.lent(i) || b.ownSmaller(i, j) })
	}
	if best == nil {
		return false
	}
	if !j.Urgent && len(best.victims) > 0 && b.age(j) < b.claimPatience() {
		b.keepPledge(j, best.members)
		b.wait(index, &Reason{Code: AwaitsReclaim, Rack: b.view.Racks[best.rack].Name, Who: j.Workspace, Detail: "some may end by itself first"})
		return true
	}
	reason := &Reason{Code: ReclaimedFor, Rack: b.view.Racks[best.rack].Name, Who: j.Key}
	for _, i := range best.victims {
		b.stop(i, j.Urgent, j.Key, reason)
	}
	b.reserve(j, best.members)
	b.release(j.Key)
	b.outcome.SetAsides = append(b.outcome.SetAsides, SetAside{Job: j.Key, Rack: best.rack, Since: b.view.Now, Vacating: true, Pledged: true})
	b.wait(index, &Reason{Code: AwaitsReclaim, Rack: reason.Rack, Who: j.Workspace})
	return true
}

// claimPatienceShare is the part of the reclaim bound that a claim waits for borrowers to end by themselves.
const claimPatienceShare = 3

func (b *board) claimPatience() time.Duration {
	return time.Duration(b.view.Site.ReclaimSeconds) * time.Second / claimPatienceShare
}

// keepPledge takes what is free or leaving of the places that a claim will have, so that nothing else is lent there.
func (b *board) keepPledge(j *Job, members []Member) {
	for _, m := range members {
		s := &b.seats[m.Worker]
		need := j.Shape.Times(m.Count)
		fromLeaving := meet(need, s.leaving)
		s.leaving = s.leaving.Sub(fromLeaving)
		s.free = s.free.Sub(meet(need.Sub(fromLeaving), s.free))
	}
	b.charge(j, members)
	b.used[j.Workspace] += j.Accelerators()
}

// startOnPledge starts the job where its pledge is free now, on the rack that it fills the most; racks kept for others
// are left out.
func (b *board) startOnPledge(j *Job, kept []string) bool {
	unused := b.unusedPledge(j.Workspace)
	room := func(worker int) contract.Shape { return meet(unused(worker), b.seats[worker].free) }
	rack, members := b.fullestRack(j, room, kept)
	if members == nil {
		return false
	}
	b.start(j, members, &Reason{Code: Guaranteed, Rack: b.view.Racks[rack].Name})
	b.release(j.Key)
	return true
}

// cheapestPlan returns the rack where the gang can be placed by stopping the least work, or nil.
func (b *board) cheapestPlan(j *Job, room func(int) contract.Shape, stoppable func(int) bool) *plan {
	var best *plan
	for rack := range b.view.Racks {
		members := b.spread(rack, j, room)
		if members == nil {
			continue
		}
		p := &plan{rack: rack, members: members}
		if b.choose(p, j, stoppable) && (best == nil || p.cost < best.cost) {
			best = p
		}
	}
	return best
}

// choose picks the victims of a plan: gangs that lose the least work for each accelerator they free, worker by worker.
func (b *board) choose(p *plan, j *Job, stoppable func(int) bool) bool {
	chosen := map[int]bool{}
	freed := map[int]contract.Shape{}
	for _, m := range p.members {
		need := j.Shape.Times(m.Count)
		s := &b.seats[m.Worker]
		for !need.Fits(s.free.Add(s.leaving).Add(freed[m.Worker])) {
			missing := need.Sub(s.free.Add(s.leaving).Add(freed[m.Worker]))
			victim := b.cheapestVictim(m.Worker, missing, chosen, stoppable)
			if victim < 0 {
				return false
			}
			chosen[victim] = true
			p.victims = append(p.victims, victim)
			p.cost += b.loss(victim)
			for _, vm := range b.view.Running[victim].Members {
				freed[vm.Worker] = freed[vm.Worker].Add(b.view.Running[victim].Job.Shape.Times(vm.Count))
			}
		}
	}
	return true
}

// cheapestVictim returns the gang on a worker that loses the least work for what it frees of what is missing there, or
// -1. A gang that frees more than is missing, there or elsewhere, gets no credit for it.
func (b *board) cheapestVictim(worker int, missing contract.Shape, chosen map[int]bool, stoppable func(int) bool) int {
	best := -1
	bestCost := 0.0
	for _, i := range b.seats[worker].gangs {
		if i < 0 || chosen[i] || b.stopping[i] || !stoppable(i) {
			continue
		}
		useful := meet(b.heldBy(i, worker), missing)
		cost := b.loss(i) / (float64(max(useful.Accelerators, 0)) + cpuCredit*float64(max(useful.CPUs, 0)) + leastCredit)
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// Credits of what a victim frees, beside 1 for each accelerator.
const (
	cpuCredit   = 0.01
	leastCredit = 0.001
)

// loss returns the accelerator-seconds of work that stopping a running gang loses; gangs without accelerators count
// as a tenth of one.
func (b *board) loss(i int) float64 {
	r := &b.view.Running[i]
	size := max(float64(r.Job.Accelerators()), 0.1)
	ran := b.view.Now.Sub(r.Started).Seconds()
	if r.Job.Checkpoints {
		return size * min(ran, checkpointCost)
	}
	return size * ran * float64(1+r.Job.Stops)
}

// reserve takes devices for a gang that starts once others have left: from what is leaving first, then from what
// is free.
func (b *board) reserve(j *Job, members []Member) {
	for _, m := range members {
		s := &b.seats[m.Worker]
		need := j.Shape.Times(m.Count)
		fromLeaving := meet(need, s.leaving)
		s.leaving = s.leaving.Sub(fromLeaving)
		s.free = s.free.Sub(need.Sub(fromLeaving))
	}
	b.charge(j, members)
	b.used[j.Workspace] += j.Accelerators()
}

// claimWhole clears and keeps the whole pledge of a workspace whose operator claimed it back.
func (b *board) claimWhole(workspace string) {
	reason := &Reason{Code: ReclaimedFor, Who: workspace}
	for k := range b.seats {
		s := &b.seats[k]
		p := s.part(workspace)
		if p == nil {
			continue
		}
		idle := p.shape.Sub(p.used)
		for !idle.Fits(s.free.Add(s.leaving)) {
			victim := b.cheapestVictim(k, idle.Sub(s.free.Add(s.leaving)), nil, b.lent)
			if victim < 0 {
				break // Unstoppable work within the bounds of the plan can't be here; a failed worker's can.
			}
			b.stop(victim, false, workspace, reason)
		}
		fromLeaving := meet(idle, s.leaving)
		s.leaving = s.leaving.Sub(fromLeaving)
		s.free = s.free.Sub(idle.Sub(fromLeaving))
	}
}

// sortCovered orders covered jobs: urgent ones first, then by arrival.
func sortCovered(waiting []Job, indexes []int) {
	slices.SortFunc(indexes, func(x, y int) int {
		p, q := &waiting[x], &waiting[y]
		return cmp.Or(compareBool(!p.Urgent, !q.Urgent), p.Arrived.Compare(q.Arrived), cmp.Compare(p.Key, q.Key))
	})
}

// age returns how long a job has waited.
func (b *board) age(j *Job) time.Duration { return b.view.Now.Sub(j.Arrived) }
