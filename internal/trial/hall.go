package trial

import (
	"math/rand/v2"
	"slices"

	"github.com/pulleyring/pulleyring/internal/decider"
	"github.com/pulleyring/pulleyring/internal/pledge"
	"github.com/pulleyring/pulleyring/pkg/contract"
)

// Times of the simulated hall, in seconds.
const (
	stepSeconds       = 1.0      // Between scheduling passes.
	checkpointSeconds = 4.0      // From a stop with a checkpoint until the devices are free.
	stopSeconds       = 0.2      // From a stop without a checkpoint until the devices are free.
	failSeconds       = 2.0      // From the start of a job that fails until its failure.
	maxSeconds        = 8 * 3600 // A trial that has not finished ends here.
)

// gang is a started job with its placement.
type gang struct {
	*job
	members   []decider.Member
	started   float64
	ends      float64 // Second at which it finishes, fails or has stopped.
	stopping  bool
	fails     bool
	badWorker int // Index of the bad worker that fails it, -1 for none.
}

// hall simulates a hall: it starts and stops gangs as the policy decides, ends them and records the results.
type hall struct {
	burst            *Burst
	site             *contract.Site
	policy           decider.Policy
	now              float64
	workers          []decider.Worker
	racks            []decider.Rack
	freeCapacity     []contract.Shape
	lostWorkers      []bool // By worker index.
	badWorkers       []bool // By worker index; these fail every gang.
	layout           pledge.Layout
	health           decider.Health
	estimates        decider.Estimates
	arriving         []*job
	waiting          []*job
	running          []*gang
	rackReservations []decider.RackReservation
	result           Result
	guaranteedSince  map[string]float64 // Second at which a guaranteed job that still waits arrived, by its key.
}

// Run simulates a burst on the only hall of a site with a policy and returns the measurements. The same seed gives
// the same jobs and faults.
func Run(site *contract.Site, burst *Burst, policy decider.Policy, seed uint64) (*Result, error) {
	jobs, err := burst.jobs(site, seed)
	if err != nil {
		return nil, err
	}
	h := newHall(site, burst, policy, jobs)
	h.result.Jobs = len(jobs)
	random := rand.New(rand.NewPCG(seed, 99))
	for range burst.BadWorkers {
		h.badWorkers[random.IntN(len(h.badWorkers))] = true
	}
	for h.now = 0; h.now < maxSeconds && h.busy(); h.now += stepSeconds {
		h.arrive()
		h.injectFaults(random)
		h.endGangs()
		h.runPass()
		h.measureFragmentation()
	}
	h.result.Unfinished = len(h.waiting) + len(h.running) + len(h.arriving)
	h.result.finish(h)
	return &h.result, nil
}

func newHall(site *contract.Site, burst *Burst, policy decider.Policy, jobs []*job) *hall {
	h := &hall{burst: burst, site: site, policy: policy, arriving: jobs, guaranteedSince: map[string]float64{}}
	for _, r := range site.Halls[0].Racks {
		rack := decider.Rack{Name: r.Name}
		for _, w := range r.Workers {
			rack.Workers = append(rack.Workers, len(h.workers))
			h.workers = append(h.workers, decider.Worker{Name: w.Name, Rack: len(h.racks), Capacity: w.Capacity, Usable: true})
			h.freeCapacity = append(h.freeCapacity, w.Capacity)
		}
		h.racks = append(h.racks, rack)
	}
	h.lostWorkers = make([]bool, len(h.workers))
	h.badWorkers = make([]bool, len(h.workers))
	h.layout, _ = pledge.Plan(site, nil)
	return h
}

func (h *hall) busy() bool { return len(h.arriving)+len(h.waiting)+len(h.running) > 0 }

// arrive moves the jobs that have arrived by now to the waiting ones and records which of them are guaranteed.
func (h *hall) arrive() {
	for len(h.arriving) > 0 && h.arriving[0].arrives <= h.now {
		j := h.arriving[0]
		h.arriving = h.arriving[1:]
		if !h.canEverRun(j) {
			h.result.Refused++
			continue
		}
		if h.withinGuarantee(j) {
			h.guaranteedSince[j.Key] = h.now
		}
		h.waiting = append(h.waiting, j)
	}
}

// canEverRun reports whether the empty hall could run a job. A box checks the same before it accepts a job.
func (h *hall) canEverRun(j *job) bool {
	for _, r := range h.site.Halls[0].Racks {
		if r.GangFits(j.Gang, j.Shape) && (j.MayBorrow() || h.layout.FitsUnreclaimable(r, j.Workspace, j.Gang, j.Shape)) {
			return true
		}
	}
	return false
}

// withinGuarantee reports whether the guarantee of a job's workspace has a free block for the job. Running jobs and
// waiting guaranteed jobs count as used, in whole blocks. A gang that can't be stopped doesn't share its blocks with
// others.
func (h *hall) withinGuarantee(j *job) bool {
	w, _ := h.site.Workspace(j.Workspace)
	if !pledge.Proportionate(h.site.Halls[0], j.Shape) || w.Blocks == 0 || j.Accelerators() == 0 || j.Accelerators() > w.BlockAccelerators || j.alwaysFails {
		return false
	}
	stoppable, blocks := 0, 0
	count := func(k *job) {
		if !k.MayBorrow() {
			blocks += (k.Accelerators() + w.BlockAccelerators - 1) / w.BlockAccelerators
		} else {
			stoppable += k.Accelerators()
		}
	}
	for _, g := range h.running {
		if g.Workspace == j.Workspace {
			count(g.job)
		}
	}
	for _, k := range h.waiting {
		if _, claims := h.guaranteedSince[k.Key]; claims && k.Workspace == j.Workspace {
			count(k)
		}
	}
	blocks += (stoppable + w.BlockAccelerators - 1) / w.BlockAccelerators
	return blocks+1 <= w.Blocks
}

// injectFaults injects the faults of the burst that are due in this step.
func (h *hall) injectFaults(random *rand.Rand) {
	if isDue(h.burst.LoseRackAt, h.now) {
		for _, k := range h.racks[0].Workers {
			h.lostWorkers[k] = true
			h.workers[k].Usable = false
		}
		for _, g := range slices.Clone(h.running) {
			if h.usesLostWorker(g) {
				h.loseGang(g)
			}
		}
		h.replanLayout()
	}
	if isDue(h.burst.CancelAt, h.now) {
		h.waiting = slices.DeleteFunc(h.waiting, func(j *job) bool {
			if random.Float64() >= h.burst.CancelShare {
				return false
			}
			h.result.Cancelled++
			delete(h.guaranteedSince, j.Key)
			return true
		})
		for _, g := range slices.Clone(h.running) {
			if random.Float64() < h.burst.CancelShare {
				h.removeGang(g)
				h.result.Cancelled++
			}
		}
	}
}

func isDue(second, now float64) bool { return second > 0 && second >= now && second < now+stepSeconds }

func (h *hall) usesLostWorker(g *gang) bool {
	return slices.ContainsFunc(g.members, func(m decider.Member) bool { return h.lostWorkers[m.Worker] })
}

// loseGang ends a gang that lost a worker. Its job waits again, unless it may run at most once.
func (h *hall) loseGang(g *gang) {
	h.removeGang(g)
	h.result.lostWork += (h.now - g.started) * float64(g.Accelerators())
	if g.AtMostOnce {
		h.result.LostOnce++
		return
	}
	h.waiting = append(h.waiting, g.job)
}

func (h *hall) replanLayout() {
	failed := map[string]bool{}
	protected := map[string]int{}
	for k, w := range h.workers {
		failed[w.Name] = h.lostWorkers[k]
	}
	for _, g := range h.running {
		if g.MayBorrow() {
			continue
		}
		for _, m := range g.members {
			name := h.workers[m.Worker].Name
			own := h.layout.Pledged(name, g.Workspace)
			protected[name] += max(0, m.Count*g.Shape.Accelerators-own)
		}
	}
	h.layout, _ = pledge.Plan(h.site, &pledge.Constraints{Failed: failed, Protected: protected})
}

// removeGang removes a running gang and frees its devices.
func (h *hall) removeGang(g *gang) {
	h.running = slices.DeleteFunc(h.running, func(o *gang) bool { return o == g })
	for _, m := range g.members {
		h.freeCapacity[m.Worker] = h.freeCapacity[m.Worker].Add(g.Shape.Times(m.Count))
	}
}

// endGangs removes the gangs that have ended by now and handles their finish, failure or stop.
func (h *hall) endGangs() {
	for _, g := range slices.Clone(h.running) {
		if g.ends > h.now {
			continue
		}
		h.removeGang(g)
		switch {
		case g.stopping:
			h.waiting = append(h.waiting, g.job)
		case g.fails:
			h.failGang(g)
		default:
			h.completeGang(g)
		}
	}
}

func (h *hall) failGang(g *gang) {
	worker := g.badWorker
	if worker < 0 {
		worker = g.members[0].Worker
	}
	h.result.FailedStarts++
	if g.AtMostOnce {
		h.result.LostOnce++
		delete(h.guaranteedSince, g.Key)
		return
	}
	h.health.RecordFailure(h.workers[worker].Name, g.Key, timeOf(h.now))
	g.FailedOn = h.health.FailedOn(g.Key)
	h.waiting = append(h.waiting, g.job)
}

func (h *hall) completeGang(g *gang) {
	for _, m := range g.members {
		h.health.RecordSuccess(h.workers[m.Worker].Name, g.Key)
	}
	h.estimates.Observe(g.Workspace, g.Kind, g.DeclaredSeconds, g.seconds)
	h.result.complete(g)
	if g.ends < h.result.lastEnd {
		return
	}
	h.result.lastEnd = g.ends
}

// runPass runs one scheduling pass: the policy decides on the current state of the hall, and its decisions are
// applied.
func (h *hall) runPass() {
	if len(h.waiting) == 0 {
		return
	}
	v := h.view()
	outcome := h.policy.Decide(v)
	h.rackReservations = outcome.RackReservations
	byKey := make(map[string]*job, len(h.waiting))
	for _, j := range h.waiting {
		byKey[j.Key] = j
	}
	removed := map[string]bool{}
	for _, d := range outcome.Decisions {
		switch d.Kind {
		case decider.Stop:
			h.stopGang(d)
		case decider.Start:
			removed[d.Job] = true
			h.startJob(byKey[d.Job], d.Members)
		case decider.Fail:
			removed[d.Job] = true
			h.failJob(byKey[d.Job])
		}
	}
	h.waiting = slices.DeleteFunc(h.waiting, func(j *job) bool { return removed[j.Key] })
}

func (h *hall) view() *decider.View {
	v := &decider.View{
		Now: timeOf(h.now), Site: h.site, Racks: h.racks, Workers: h.workers, Layout: h.layout,
		RackReservations: h.rackReservations, Estimates: &h.estimates,
	}
	for k := range h.workers {
		usable, probe := h.health.Standing(h.workers[k].Name, v.Now)
		h.workers[k].Usable = usable && !h.lostWorkers[k]
		h.workers[k].Probe = probe
	}
	for _, g := range h.running {
		v.Running = append(v.Running, decider.Running{Job: g.Job, Members: g.members, Started: timeOf(g.started), Stopping: g.stopping})
	}
	for _, j := range h.waiting {
		v.Waiting = append(v.Waiting, j.Job)
	}
	return v
}

func (h *hall) failJob(j *job) {
	h.result.GivenUp++
	if !j.alwaysFails {
		h.result.recordBroken("gave up a job that can run: " + j.Key)
	}
	h.health.Forget(j.Key)
}

// stopGang begins to stop a gang; its devices stay in use until it has stopped.
func (h *hall) stopGang(d decider.Decision) {
	for _, g := range h.running {
		if g.Key != d.Job || g.stopping {
			continue
		}
		if !g.MayBorrow() {
			h.result.recordBroken("stopped a job that may neither be cut nor repeated: " + g.Key)
		}
		g.stopping, g.fails = true, false
		worked := h.now - g.started
		g.ends = h.now + stopSeconds
		if g.Checkpoints && !d.AtOnce {
			g.ends = h.now + checkpointSeconds
			g.Done += worked
		} else {
			h.result.lostWork += worked * float64(g.Accelerators())
		}
		g.Stops++
		h.result.Stops++
	}
}

// startJob starts a job. It records a broken promise if the gang is incomplete, spans racks or gets devices that are
// in use.
func (h *hall) startJob(j *job, members []decider.Member) {
	if j == nil {
		h.result.recordBroken("started a job that does not wait")
		return
	}
	g := &gang{job: j, members: members, started: h.now, badWorker: -1}
	count := 0
	for _, m := range members {
		count += m.Count
		h.freeCapacity[m.Worker] = h.freeCapacity[m.Worker].Sub(j.Shape.Times(m.Count))
		if !(contract.Shape{}).Fits(h.freeCapacity[m.Worker]) {
			h.result.recordBroken("gave a device twice: " + j.Key)
		}
		if h.workers[m.Worker].Rack != h.workers[members[0].Worker].Rack {
			h.result.recordBroken("spread a gang over racks: " + j.Key)
		}
		if h.badWorkers[m.Worker] {
			g.badWorker = m.Worker
		}
	}
	if count != j.Gang {
		h.result.recordBroken("started a part of a gang: " + j.Key)
	}
	g.fails = g.badWorker >= 0 || j.alwaysFails
	g.ends = h.now + j.seconds - j.Done
	if g.fails {
		g.ends = h.now + failSeconds
	}
	if claimedAt, ok := h.guaranteedSince[j.Key]; ok {
		h.result.reclaims = append(h.result.reclaims, h.now-claimedAt)
		if h.now-claimedAt > float64(h.site.ReclaimSeconds) {
			h.result.recordBroken("a guarantee came back too late: " + j.Key)
		}
		delete(h.guaranteedSince, j.Key)
	}
	h.running = append(h.running, g)
}
