package decider

import (
	"cmp"
	"slices"

	"github.com/pulleyring/pulleyring/pkg/contract"
)

// charge tells which capacity a running gang uses. Each pass computes it anew.
type charge int

const (
	borrowed   charge = iota // Devices that may be reclaimed.
	guaranteed               // Devices pledged to its workspace.
	unreserved               // Unreserved devices, used by a gang that cannot be stopped.
)

// workspacePledge records a workspace's pledge on one worker and how much of it the workspace's gangs use.
type workspacePledge struct {
	workspace   string
	capacity    contract.Shape
	used        contract.Shape // In use by gangs that are charged to the guarantee.
	unstoppable contract.Shape // The part of used that cannot be stopped.
}

// workerState is the state of one worker during a pass.
type workerState struct {
	free       contract.Shape // Neither in use nor assigned in this pass.
	leaving    contract.Shape // In use by gangs that are stopping, and not yet assigned.
	unreserved contract.Shape // Unreserved capacity, less what unstoppable gangs use.
	pledges    []workspacePledge
	gangs      []int // Indexes of running gangs with members here; -1 for a gang that probes the worker.
}

// planner holds the state of one pass.
type planner struct {
	view        *View
	workers     []workerState
	charges     []charge
	stopping    []bool         // Running gangs that an earlier pass or this one stops.
	used        map[string]int // Accelerators in use by workspace, without stopping gangs.
	pledged     map[string]int // Accelerators pledged in this hall by workspace.
	charged     map[string]int // Accelerators charged to the guarantee by workspace.
	reservedFor []string       // By rack: the job for which it is reserved, or an empty string.
	outcome     Outcome

	largestWorker     int                            // Accelerators of the largest worker.
	workspaces        map[string]*contract.Workspace // The site's workspaces by name.
	plannedGangs      int                            // Number of large gangs planned in this pass.
	secondsUntilReady map[string]float64             // Seconds until a reserved rack fits its gang, by job.
}

// newPlanner returns the state at the start of a pass.
func newPlanner(v *View) *planner {
	pl := &planner{
		view: v, workers: make([]workerState, len(v.Workers)), charges: make([]charge, len(v.Running)),
		stopping: make([]bool, len(v.Running)), used: map[string]int{}, pledged: map[string]int{},
		charged: map[string]int{}, reservedFor: make([]string, len(v.Racks)),
	}
	pl.workspaces = make(map[string]*contract.Workspace, len(v.Site.Workspaces))
	for i := range v.Site.Workspaces {
		pl.workspaces[v.Site.Workspaces[i].Name] = &v.Site.Workspaces[i]
	}
	for name, n := range v.UsedBefore {
		pl.used[name] = n
	}
	for i := range v.Workers {
		pl.workers[i] = newWorkerState(&v.Workers[i], v)
		pl.largestWorker = max(pl.largestWorker, v.Workers[i].Capacity.Accelerators)
		for _, p := range pl.workers[i].pledges {
			pl.pledged[p.workspace] += p.capacity.Accelerators
		}
	}
	for i := range v.Running {
		pl.addRunning(i)
	}
	pl.chargeAll()
	return pl
}

// newWorkerState returns the state of an idle worker, with the pledges of the layout.
func newWorkerState(w *Worker, v *View) workerState {
	s := workerState{free: w.Capacity, unreserved: w.Capacity}
	for _, share := range v.Layout[w.Name] {
		s.pledges = append(s.pledges, workspacePledge{workspace: share.Workspace, capacity: share.Shape})
		s.unreserved = s.unreserved.Sub(share.Shape)
	}
	return s
}

// addRunning subtracts the devices of a running gang from the free capacity.
func (pl *planner) addRunning(i int) {
	r := &pl.view.Running[i]
	pl.stopping[i] = r.Stopping
	for _, m := range r.Members {
		s := &pl.workers[m.Worker]
		shape := r.Job.Shape.Times(m.Count)
		s.free = s.free.Sub(shape)
		s.gangs = append(s.gangs, i)
		if r.Stopping {
			s.leaving = s.leaving.Add(shape)
		}
	}
	if !r.Stopping {
		pl.used[r.Job.Workspace] += r.Job.Accelerators()
	}
}

// chargeAll sets the charge of each running gang: unstoppable gangs first, then by start time.
func (pl *planner) chargeAll() {
	order := make([]int, len(pl.view.Running))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(x, y int) int {
		p, q := &pl.view.Running[x], &pl.view.Running[y]
		return cmp.Or(compareBool(p.Job.MayBorrow(), q.Job.MayBorrow()), p.Started.Compare(q.Started), cmp.Compare(p.Job.Key, q.Job.Key))
	})
	for _, i := range order {
		if !pl.stopping[i] {
			pl.charges[i] = pl.charge(&pl.view.Running[i].Job, pl.view.Running[i].Members)
		}
	}
}

// compareBool orders false before true.
func compareBool(x, y bool) int {
	switch {
	case x == y:
		return 0
	case y:
		return -1
	}
	return 1
}

// charge charges a gang to its workspace's pledge if every member fits there. Otherwise a gang that cannot be stopped
// is charged by worker, to the pledge or to unreserved devices, and any other gang borrows.
func (pl *planner) charge(j *Job, members []Member) charge {
	if pl.fitsPledge(j, members) {
		for _, m := range members {
			pl.chargePledge(j, m)
		}
		return guaranteed
	}
	if j.MayBorrow() {
		return borrowed
	}
	for _, m := range members {
		if pl.fitsPledge(j, []Member{m}) {
			pl.chargePledge(j, m)
			continue
		}
		s := &pl.workers[m.Worker]
		s.unreserved = s.unreserved.Sub(j.Shape.Times(m.Count))
	}
	return unreserved
}

// fitsPledge reports whether all the members fit the unused pledge of the job's workspace.
func (pl *planner) fitsPledge(j *Job, members []Member) bool {
	for _, m := range members {
		p := pl.workers[m.Worker].pledgeOf(j.Workspace)
		if p == nil || !j.Shape.Times(m.Count).Fits(p.capacity.Sub(p.used)) {
			return false
		}
	}
	return true
}

// chargePledge charges a member to the pledge of the job's workspace.
func (pl *planner) chargePledge(j *Job, m Member) {
	p := pl.workers[m.Worker].pledgeOf(j.Workspace)
	shape := j.Shape.Times(m.Count)
	p.used = p.used.Add(shape)
	if !j.MayBorrow() {
		p.unstoppable = p.unstoppable.Add(shape)
	}
	pl.charged[j.Workspace] += shape.Accelerators
}

// pledgeOf returns the pledge of a workspace on the worker, or nil.
func (s *workerState) pledgeOf(workspace string) *workspacePledge {
	for i := range s.pledges {
		if s.pledges[i].workspace == workspace {
			return &s.pledges[i]
		}
	}
	return nil
}

// unreclaimableFree returns the free capacity of a worker that a gang may use that cannot be stopped.
func (pl *planner) unreclaimableFree(worker int, j *Job) contract.Shape {
	return minShape(pl.unreclaimable(worker, j), pl.workers[worker].free)
}

// unreclaimable returns the capacity of a worker that cannot be reclaimed from the job, whether free or not: the unused
// pledge of its workspace or the unreserved devices, whichever fits more of its members.
func (pl *planner) unreclaimable(worker int, j *Job) contract.Shape {
	s := &pl.workers[worker]
	if p := s.pledgeOf(j.Workspace); p != nil {
		own := p.capacity.Sub(p.used)
		if j.Shape.Copies(own) >= j.Shape.Copies(s.unreserved) {
			return own
		}
	}
	return s.unreserved
}

// minShape returns the minimum of each resource.
func minShape(x, y contract.Shape) contract.Shape {
	return contract.Shape{
		CPUs:         min(x.CPUs, y.CPUs),
		MemoryGB:     min(x.MemoryGB, y.MemoryGB),
		Accelerators: min(x.Accelerators, y.Accelerators),
	}
}

// usable reports whether members of the job may start on a worker.
func (pl *planner) usable(worker int, j *Job) bool {
	w := &pl.view.Workers[worker]
	if !w.Usable {
		return false
	}
	if w.Probe && len(pl.workers[worker].gangs) > 0 {
		return false
	}
	return len(j.FailedOn) == 0 || !slices.Contains(j.FailedOn, w.Name)
}

// start decides to start a gang and subtracts its devices from the free capacity.
func (pl *planner) start(j *Job, members []Member, reason *Reason) {
	for _, m := range members {
		s := &pl.workers[m.Worker]
		s.free = s.free.Sub(j.Shape.Times(m.Count))
		if pl.view.Workers[m.Worker].Probe {
			s.gangs = append(s.gangs, -1) // One gang probes the worker; no other may start there.
		}
	}
	pl.charge(j, members)
	pl.used[j.Workspace] += j.Accelerators()
	pl.outcome.Decisions = append(pl.outcome.Decisions, Decision{Kind: Start, Job: j.Key, Members: members, Reason: reason})
}

// stop decides to preempt a running gang, unless it is stopping already.
func (pl *planner) stop(i int, atOnce bool, beneficiary string, reason *Reason) {
	if pl.stopping[i] {
		return
	}
	pl.stopping[i] = true
	r := &pl.view.Running[i]
	pl.used[r.Job.Workspace] -= r.Job.Accelerators()
	for _, m := range r.Members {
		s := &pl.workers[m.Worker]
		s.leaving = s.leaving.Add(r.Job.Shape.Times(m.Count))
	}
	pl.outcome.Decisions = append(pl.outcome.Decisions, Decision{
		Kind: Stop, Job: r.Job.Key, AtOnce: atOnce, For: beneficiary, Reason: reason,
	})
}

// recordWait records the reason why a job still waits.
func (pl *planner) recordWait(index int, reason *Reason) {
	pl.outcome.Waits = append(pl.outcome.Waits, Wait{Job: index, Reason: reason})
}
