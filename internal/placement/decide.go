package placement

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/pulleyring/pulleyring/internal/job"
)

// planner holds the state of one decision while it is being made.
type planner struct {
	view                           *View
	free                           []job.Resources // Free capacity by worker, without capacity reserved for other demands.
	indexByName                    map[string]int  // Worker indexes by worker name; built on first use.
	allWorkers                     []int           // Indexes of all workers.
	workersByRack                  [][]int         // Worker indexes by rack, in the order of the view.
	allocationsOnWorker            [][]int         // Allocation indexes by worker, one entry for each task.
	openCount                      int             // Number of workers in halls that are not emptied.
	idleCount                      int             // Number of workers that isIdle reports.
	idleReserve                    int             // Number of workers that must stay idle for urgent work.
	tasksReservedWithoutPreemption int             // Number of tasks that hold a reservation without preemption.
	outcome                        Outcome
	started                        map[string]int // By workspace: number of tasks that start.
	startShare                     int            // Largest number of tasks of a workspace that start.
	servedDemands                  []bool         // By demand: already processed in this decision.
	// By demand: its reservation was dropped because another demand used the reserved capacity.
	droppedReservations      []bool
	deductedReservations     []bool          // By demand: its reservation is deducted from free.
	draining                 []bool          // By worker: result of drainingWorkers; built on first use.
	stoppedAllocations       []bool          // By allocation: stopped by this decision.
	capacityFreeSoonByWorker []job.Resources // By worker: capacity that comes free within the time that a stop takes.
	// By worker: a job suspected of crashing workers that has just started there or starts by this decision.
	suspectJobs     []job.ID
	justStarted     []job.ID        // By worker: a job that has just started there or starts by this decision.
	hasAntiAffinity []bool          // By worker: runs a job that the current demand has anti-affinity to.
	suitable        []bool          // By worker: may run tasks of the current demand.
	avoided         []bool          // By worker: the current demand runs there only as a last resort.
	waitedTooLong   bool            // The current demand has waited too long while capacity is ample.
	runningJobs     map[job.ID]bool // Jobs of which at least one task runs; built on first use.
	search          search          // Buffers of planPreemption, reused between calls.
	speeds          speeds
	urgent          urgentRoom     // Free slots of urgent work; counted on first use.
	limit           *headroomLimit // Limits the start of the current demand; nil for no limit.
}

// Decide returns which demands start where, which allocations are preempted and which capacity is reserved.
// Guaranteed work is served first and may preempt other work. The rest is ordered by the value it earns for the
// capacity that it takes.
func Decide(v *View) Outcome {
	pl := newPlanner(v)
	deducted := false
	for _, i := range pl.servingOrder() {
		d := &v.Demands[i]
		if d.Priority > 0 && !deducted {
			pl.deductReservationsWithoutPreemption()
			deducted = true
		}
		if pl.startsLeft(d) <= 0 {
			pl.outcome.LimitReached = true
			continue
		}
		pl.serve(i)
	}
	return pl.outcome
}

// minStartShare is the smallest share of a workspace in View.MaxStarts.
const minStartShare = 16

// startShareOf returns how many tasks of a workspace may start.
func startShareOf(v *View) int {
	if v.MaxStarts == 0 {
		return math.MaxInt
	}
	workspaces := map[string]bool{}
	for i := range v.Demands {
		workspaces[v.Demands[i].Workspace] = true
	}
	return max(minStartShare, v.MaxStarts/max(1, len(workspaces)))
}

// startsLeft returns how many tasks of the demand's workspace may still start.
func (pl *planner) startsLeft(d *Demand) int { return pl.startShare - pl.started[d.Workspace] }

// limitStarts returns the assigned workers without those of the last tasks beyond the share of the demand's workspace.
func (pl *planner) limitStarts(d *Demand, workers map[int]string) map[int]string {
	left := max(0, pl.startsLeft(d))
	if d.Step.Gang || len(workers) <= left {
		return workers
	}
	pl.outcome.LimitReached = true
	first := make(map[int]string, left)
	for _, index := range d.Waiting {
		if w, ok := workers[index]; ok && len(first) < left {
			first[index] = w
		}
	}
	return first
}

// serve starts the tasks of demand i that fit. If tasks are left, it preempts or reserves capacity for them
// where that is allowed.
func (pl *planner) serve(i int) {
	d := &pl.view.Demands[i]
	pl.servedDemands[i] = true
	pl.setCurrentDemand(d)
	if pl.isPaused(d) {
		pl.outcome.Paused = append(pl.outcome.Paused, i)
		return
	}
	pl.excludeUnproven(d)
	pl.rankSpeeds(d, 1)
	pl.returnReservation(i)
	reserved := d.Reservation != nil && !pl.droppedReservations[i]
	if pl.startFittingTasks(i) || pl.placeOnReserved(i) {
		if reserved && d.ReservedWithoutPreemption {
			pl.tasksReservedWithoutPreemption -= len(d.Reservation)
		}
		return
	}
	if pl.startsLeft(d) > 0 && (!reserved || d.ReservedWithoutPreemption) && pl.mayPreemptNow(d) && pl.preempt(i, pl.withoutStarted(i)) {
		return
	}
	pl.deductReservation(i)
	if !reserved && d.Step.Gang && d.Priority > 0 {
		pl.reserveWithoutPreemption(i)
	}
}

// withoutStarted returns demand i without the tasks that the latest start of this decision places.
func (pl *planner) withoutStarted(i int) *Demand {
	d := &pl.view.Demands[i]
	if !pl.startsAnyTask(i) {
		return d
	}
	started := pl.outcome.Starts[len(pl.outcome.Starts)-1].Workers
	rest := *d
	rest.Waiting, rest.Placed = nil, maps.Clone(d.Placed)
	for _, index := range d.Waiting {
		worker, ok := started[index]
		if !ok {
			rest.Waiting = append(rest.Waiting, index)
			continue
		}
		if rest.Placed != nil {
			rest.Placed[worker]++
		}
	}
	return &rest
}

// deductReservationsWithoutPreemption subtracts the capacity of all reservations without preemption from the
// free capacity, so that the demands served after this call, which are not urgent, can't use it.
func (pl *planner) deductReservationsWithoutPreemption() {
	for i := range pl.view.Demands {
		if d := &pl.view.Demands[i]; d.ReservedWithoutPreemption {
			pl.deductReservation(i)
			pl.tasksReservedWithoutPreemption += len(d.Reservation)
		}
	}
}

// newPlanner returns a planner for a view. Its free capacity excludes the reservations that preempted other
// work, but not yet those without preemption.
func newPlanner(v *View) *planner {
	workers, allocations := len(v.Workers), len(v.Allocations)
	pl := &planner{
		view: v, free: make([]job.Resources, workers), allWorkers: make([]int, workers), capacityFreeSoonByWorker: make([]job.Resources, workers),
		suitable: make([]bool, workers), avoided: make([]bool, workers), suspectJobs: make([]job.ID, workers), justStarted: make([]job.ID, workers), hasAntiAffinity: make([]bool, workers), servedDemands: make([]bool, len(v.Demands)), droppedReservations: make([]bool, len(v.Demands)), deductedReservations: make([]bool, len(v.Demands)),
		stoppedAllocations: make([]bool, allocations),
		speeds:             newSpeeds(v),
		started:            map[string]int{}, startShare: startShareOf(v),
	}
	for k := range v.Workers {
		pl.free[k], pl.allWorkers[k] = v.Workers[k].Free, k
		pl.suspectJobs[k], pl.justStarted[k] = v.Workers[k].SuspectJob, v.Workers[k].JustStarted
	}
	for h := range v.Allocations {
		for _, k := range v.Allocations[h].MovesTo {
			pl.free[k] = pl.free[k].Sub(v.Allocations[h].Each)
		}
	}
	pl.openCount = countOpenWorkers(v)
	pl.idleReserve = int(idleReserveShare * float64(pl.countForReserve()))
	pl.workersByRack = racksOf(v)
	pl.allocationsOnWorker = allocationsByWorker(v)
	for k := range v.Workers {
		pl.capacityFreeSoonByWorker[k] = pl.capacityFreeSoon(k)
		if pl.isIdle(k) {
			pl.idleCount++
		}
	}
	for i := range v.Demands {
		if !v.Demands[i].ReservedWithoutPreemption {
			pl.deductReservation(i)
		}
	}
	return pl
}

// countOpenWorkers returns the number of workers in halls where work may start. The limits that are given as a
// share of the site refer to this number.
func countOpenWorkers(v *View) int {
	n := 0
	for k := range v.Workers {
		if !v.Workers[k].HallClosed {
			n++
		}
	}
	return n
}

// racksOf returns the worker indexes of each rack.
func racksOf(v *View) [][]int {
	var racks [][]int
	byName := map[string]int{}
	for k := range v.Workers {
		r, ok := byName[v.Workers[k].Rack]
		if !ok {
			r = len(racks)
			byName[v.Workers[k].Rack] = r
			racks = append(racks, nil)
		}
		racks[r] = append(racks[r], k)
	}
	return racks
}

// allocationsByWorker returns the allocation indexes of each worker, one entry for each task. All lists
// share one array.
func allocationsByWorker(v *View) [][]int {
	counts := make([]int, len(v.Workers))
	sum := 0
	for h := range v.Allocations {
		for _, k := range v.Allocations[h].WorkerIndexes {
			counts[k]++
			sum++
		}
	}
	all := make([]int, sum)
	lists := make([][]int, len(v.Workers))
	for k, n := range counts {
		lists[k], all = all[:0:n], all[n:]
	}
	for h := range v.Allocations {
		for _, k := range v.Allocations[h].WorkerIndexes {
			lists[k] = append(lists[k], h)
		}
	}
	return lists
}

// workerIndex returns the index of a worker in the view; false if the view does not contain it.
func (pl *planner) workerIndex(worker string) (int, bool) {
	if pl.indexByName == nil {
		pl.indexByName = make(map[string]int, len(pl.view.Workers))
		for k := range pl.view.Workers {
			pl.indexByName[pl.view.Workers[k].ID] = k
		}
	}
	k, ok := pl.indexByName[worker]
	return k, ok
}

// mustWorkerIndex returns the index of a worker that the view is known to contain.
func (pl *planner) mustWorkerIndex(worker string) int {
	k, _ := pl.workerIndex(worker)
	return k
}

// reservationOf returns the capacity reserved for a demand, by task index; nil if the reservation was dropped.
func (pl *planner) reservationOf(i int) map[int]string {
	if pl.droppedReservations[i] {
		return nil
	}
	return pl.view.Demands[i].Reservation
}

// returnReservation adds a demand's reservation back to the free capacity, so that the demand itself can
// use it.
func (pl *planner) returnReservation(i int) {
	d := &pl.view.Demands[i]
	pl.deductedReservations[i] = false
	for _, worker := range pl.reservationOf(i) {
		if k, ok := pl.workerIndex(worker); ok {
			pl.free[k] = pl.free[k].Add(d.Step.Each)
		}
	}
}

// deductReservation deducts a demand's reservation from the free capacity.
func (pl *planner) deductReservation(i int) {
	d := &pl.view.Demands[i]
	pl.deductedReservations[i] = !pl.droppedReservations[i]
	for _, worker := range pl.reservationOf(i) {
		if k, ok := pl.workerIndex(worker); ok {
			pl.free[k] = pl.free[k].Sub(d.Step.Each)
		}
	}
}

// servingOrder returns the indexes of the demands in the order in which they are served.
func (pl *planner) servingOrder() []int {
	order := make([]int, len(pl.view.Demands))
	scores := make([]float64, len(order))
	for i := range order {
		order[i] = i
		scores[i] = pl.priorityScore(&pl.view.Demands[i])
	}
	slices.SortFunc(order, func(x, y int) int {
		p, q := &pl.view.Demands[x], &pl.view.Demands[y]
		if c := cmp.Compare(priorityClass(q), priorityClass(p)); c != 0 {
			return c
		}
		if !p.Guaranteed {
			if c := cmp.Compare(scores[y], scores[x]); c != 0 {
				return c
			}
		}
		return cmp.Or(p.Goal.Compare(q.Goal), p.ReadySince.Compare(q.ReadySince), cmp.Compare(p.Job, q.Job), cmp.Compare(p.Group.Occurrence, q.Group.Occurrence), cmp.Compare(p.Group.Step, q.Group.Step))
	})
	return order
}

// priorityClass returns the class by which demands are ordered first, the highest class first: 2 for guaranteed
// work, 1 for other urgent work, 0 for the rest.
func priorityClass(d *Demand) int {
	switch {
	case d.Guaranteed:
		return 2
	case d.Priority == 0:
		return 1
	}
	return 0
}

// missedGoalWeight is the factor on the value of work that can no longer meet any goal. It is above zero so
// that such work is still served, after all other work.
const missedGoalWeight = 0.02

// urgencyTimeConstant is the time constant with which a demand's priority score grows as its latest start in
// time comes closer. It is about the length of a run, so that work with time to spare lets other work go first.
const urgencyTimeConstant = 10 * time.Second

// valueAtStake returns the value that a demand loses if it misses its next goal, and the time of that goal.
func (pl *planner) valueAtStake(d *Demand) (gain float64, goal time.Time) {
	return pl.valueAtStakeAfter(d, d.Remaining)
}

// valueAtStakeAfter is valueAtStake for a demand whose job ends at the given time after its start.
func (pl *planner) valueAtStakeAfter(d *Demand, remaining time.Duration) (gain float64, goal time.Time) {
	end := pl.view.Now.Add(remaining)
	switch {
	case !end.After(d.Goal):
		return d.Value - d.LateValue, d.Goal
	case !end.After(d.LastGoal):
		return d.LateValue, d.LastGoal
	}
	return missedGoalWeight * d.Value, pl.view.Now
}

// priorityScore returns the value at stake for each core-second of a demand, discounted by the time that the
// demand can still wait. The demand with the highest score in its class is served first.
func (pl *planner) priorityScore(d *Demand) float64 {
	gain, goal := pl.valueAtStake(d)
	slack := goal.Sub(pl.view.Now.Add(d.Remaining))
	return gain / max(d.Work, 1e-3) * math.Exp(-max(0, float64(slack)/float64(urgencyTimeConstant)))
}

// startFittingTasks starts the tasks of demand i that fit, and reports whether no task of it is left waiting.
func (pl *planner) startFittingTasks(i int) bool {
	d := &pl.view.Demands[i]
	pl.limitByHeadroom(d)
	var workers map[int]string
	if d.Step.Gang {
		workers = pl.assignGang(d)
	} else {
		workers = pl.assignSingles(d)
	}
	pl.recordKeptBack(i, len(workers))
	workers = pl.limitStarts(d, workers)
	if len(workers) == 0 || d.Step.Gang && pl.wouldUseReserve(d, workers) || pl.prefersFasterWorkers(i, workers) {
		return false
	}
	for _, w := range workers {
		k := pl.mustWorkerIndex(w)
		if pl.isIdle(k) {
			pl.idleCount--
		}
		pl.free[k] = pl.free[k].Sub(d.Step.Each)
		pl.justStarted[k] = d.Job
		if d.Suspect {
			pl.suspectJobs[k] = d.Job
		}
	}
	pl.outcome.Starts = append(pl.outcome.Starts, Start{i, workers, pl.isTooSlowOn(d, workers)})
	pl.started[d.Workspace] += len(workers)
	return len(workers) == len(d.Waiting)
}

// idleReserveShare is the share of the workers that work without urgency leaves idle, so that urgent work can
// start without preemption. With 48 workers, a share of 0.25 changes the mean value by +0.016 at 32 cores each
// (60 days), +0.020 at 64 cores (40 days) and -0.007 at 128 cores (40 days). At 32 cores, shares of 0.08, 0.15
// and 0.35 change it by -0.003, +0.014 and +0.017.
const idleReserveShare = 0.25

// reserveWaitShare limits how long work above bulk priority waits instead of using the idle reserve, as a share
// of the time to its goal. The limit is for large gangs at 128 cores a worker. The value of their queue is
// 0.908 if gangs may use the reserve at once, 0.864 with this limit and 0.844 with an unlimited wait (40 days
// each).
const reserveWaitShare = 0.25

// isIdle reports whether a worker accepts new runs, runs nothing, has no reserved capacity and is fast enough for the
// tightest urgent work.
func (pl *planner) isIdle(k int) bool {
	w := &pl.view.Workers[k]
	return w.AcceptsRuns && pl.free[k] == w.Capacity && !pl.isTooSlowForTightWork(k)
}

// mustLeaveReserve reports whether a demand must leave the last idle workers to urgent work. Demands that can
// still wait must, except those that have waited too long while capacity is ample.
func (pl *planner) mustLeaveReserve(d *Demand) bool {
	if d.Priority == 0 || pl.mayPreemptNow(d) || pl.waitedTooLong {
		return false
	}
	waitLimit := time.Duration(reserveWaitShare * float64(d.Goal.Sub(d.ReadySince)))
	return d.Priority >= bulkPriority || pl.view.Now.Sub(d.ReadySince) <= waitLimit
}

// wouldUseReserve reports whether a gang that must leave the idle reserve to urgent work would use some of it
// by starting on the given workers.
func (pl *planner) wouldUseReserve(d *Demand, workers map[int]string) bool {
	if !pl.mustLeaveReserve(d) {
		return false
	}
	idle := map[string]bool{}
	for _, w := range workers {
		if pl.isIdle(pl.mustWorkerIndex(w)) {
			idle[w] = true
		}
	}
	return len(idle) > 0 && pl.idleCount-len(idle) < pl.idleReserve
}

// bulkPriority is the lowest priority number that counts as bulk work.
const bulkPriority = 2
