package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/pulleyring/pulleyring/internal/job"
)

// setCurrentDemand makes a demand the current one and computes which workers are suitable for it. Once the
// demand has waited too long while capacity is ample, the workers that it should avoid are suitable as well.
// Without that, a task that had failed on the only worker with its label was never retried, and one that must
// run alone waited for 3 s.
func (pl *planner) setCurrentDemand(d *Demand) {
	shape := ShapeOf(d.Service, d.Step)
	for k := range pl.view.Workers {
		w := &pl.view.Workers[k]
		pl.suitable[k] = w.mayRun(&shape) || w.mayRunInQuarantine(&shape)
		pl.avoided[k] = pl.suitable[k] && (w.Quarantined || d.Avoid[w.ID] || pl.needsIsolation(d, k))
		pl.hasAntiAffinity[k] = len(d.AntiAffinity) > 0 && pl.runsAntiAffine(d, k)
	}
	pl.waitedTooLong = pl.exceedsAmpleCapacityWait(d)
	pl.excludeQuarantined(d)
	if pl.waitedTooLong {
		return
	}
	retry := pl.mayRetryOnAvoided(d)
	for k, avoided := range pl.avoided {
		if avoided && (d.Avoid[pl.view.Workers[k].ID] && !retry || pl.needsIsolation(d, k)) {
			pl.suitable[k] = false
		}
	}
}

// excludeQuarantined makes quarantined workers unsuitable for a demand. They stay suitable, as a last resort, once it has
// waited too long, if more than half of the workers are quarantined or the others could not hold it.
func (pl *planner) excludeQuarantined(d *Demand) {
	var quarantined []int
	others := 0
	for k := range pl.view.Workers {
		switch {
		case !pl.suitable[k]:
		case pl.view.Workers[k].Quarantined:
			quarantined = append(quarantined, k)
			pl.suitable[k] = false
		default:
			others++
		}
	}
	mustStart := pl.waitedTooLong || d.Guaranteed && pl.view.Now.Sub(d.ReadySince) >= pl.rackWaitLimit()
	if mustStart && len(quarantined) > 0 && (len(quarantined) > others || !pl.couldStart(d)) {
		for _, k := range quarantined {
			pl.suitable[k] = true
		}
	}
}

// couldStart reports whether a task of a demand, or its whole gang, would fit on the suitable workers if they were empty.
func (pl *planner) couldStart(d *Demand) bool {
	need, fitting := 1, 0
	if d.Step.Gang {
		need = len(d.Waiting)
	}
	for k := range pl.view.Workers {
		fitting += pl.countFitting(d, k, pl.view.Workers[k].Capacity, need)
	}
	return fitting >= need
}

// mayRetryOnAvoided reports whether a demand may start on workers on which it has failed before. Tasks that run
// until they are cancelled may, because any of their runs can fail. So may work that would not fit on the other
// workers even if those were empty.
func (pl *planner) mayRetryOnAvoided(d *Demand) bool {
	if len(d.Avoid) == 0 || d.Step.Lasting {
		return d.Step.Lasting
	}
	wanted, fitting := 1, 0
	if d.Step.Gang {
		wanted = len(d.Waiting)
	}
	for k := range pl.view.Workers {
		if w := &pl.view.Workers[k]; !d.Avoid[w.ID] {
			fitting += pl.countFitting(d, k, w.Capacity, wanted)
		}
	}
	return fitting < wanted
}

// runsAntiAffine reports whether a worker runs, or starts by this decision, a job that the demand must be kept
// apart from. The two jobs were lost together, so either of them may crash workers. If they start on different
// workers, the next loss shows which one it is. Without this rule both started on the fullest worker each time.
// In a quarter of the runs of a random test, the sound job was then failed because the other one crashed their
// workers after 2.5 s.
func (pl *planner) runsAntiAffine(d *Demand, k int) bool {
	return d.AntiAffinity[pl.justStarted[k]] ||
		slices.ContainsFunc(pl.allocationsOnWorker[k], func(h int) bool { return d.AntiAffinity[pl.view.Allocations[h].Job] })
}

// avoidanceLevel returns 2 for a worker that the current demand avoids, 1 for one with a job that it has
// anti-affinity to, and 0 for the rest.
func (pl *planner) avoidanceLevel(k int) int {
	switch {
	case pl.avoided[k]:
		return 2
	case pl.hasAntiAffinity[k]:
		return 1
	}
	return 0
}

// needsIsolation reports whether a demand must not start on a worker because a job that may crash workers would
// run beside another one. That holds if another job that is suspect has just started there. It also holds if
// the demand is suspect and another job has just started there, or if the demand waits for workers on which
// nothing else runs. Keeping the jobs apart limits the loss and shows which job caused it. Without this rule a
// sound job was restarted beside the crashing one each time and failed with it, and a crashing job went
// undetected beside another for six starts. Guaranteed work close to its start limit is not kept apart: it
// preempts the suspect work.
func (pl *planner) needsIsolation(d *Demand, k int) bool {
	if pl.mustPreemptForGuarantee(d) {
		return false
	}
	other := func(id job.ID) bool { return id != "" && id != d.Job }
	return other(pl.suspectJobs[k]) || d.Suspect && other(pl.justStarted[k]) || pl.waitsForExclusiveWorker(d) && (other(pl.justStarted[k]) || pl.runsOtherJob(d, k))
}

// exclusiveWaitLimit is how long work that must run alone waits for workers on which nothing else runs.
const exclusiveWaitLimit = 3 * time.Second

// waitsForExclusiveWorker reports whether a demand waits for workers on which nothing else runs.
func (pl *planner) waitsForExclusiveWorker(d *Demand) bool {
	return d.Exclusive && pl.view.Now.Sub(d.ReadySince) < exclusiveWaitLimit
}

// runsOtherJob reports whether a task of another job runs on a worker.
func (pl *planner) runsOtherJob(d *Demand, k int) bool {
	return slices.ContainsFunc(pl.allocationsOnWorker[k], func(h int) bool { return pl.view.Allocations[h].Job != d.Job })
}

// needsProvenWorkers reports whether the tasks of a demand that have only one attempt left may start only on
// workers where a task has succeeded recently. That rule ends with their wait limit.
func (pl *planner) needsProvenWorkers(d *Demand) bool {
	return len(d.LastAttempts) > 0 && pl.view.Now.Sub(d.ReadySince) < provenWaitLimit && !pl.waitedTooLong
}

// excludeUnproven makes unproven workers unsuitable for a gang with one attempt left, until its wait limit
// ends.
func (pl *planner) excludeUnproven(d *Demand) {
	if !d.Step.Gang || !pl.needsProvenWorkers(d) {
		return
	}
	for k := range pl.view.Workers {
		pl.suitable[k] = pl.suitable[k] && !pl.view.Workers[k].Unproven
	}
}

// provenWaitLimit is how long work with one attempt left waits for proven workers. With 2 s, four gangs of 38
// to 54 members in a day did not find enough of them and used up their last attempt on unproven workers.
const provenWaitLimit = 5 * time.Second

// isSuitable reports whether a worker may run tasks of the current demand, whether it has free capacity or not.
func (pl *planner) isSuitable(k int) bool { return pl.suitable[k] }

// fittingTasks returns how many of a demand's waiting tasks fit on a worker with the given free capacity.
func (pl *planner) fittingTasks(d *Demand, k int, free job.Resources) int {
	return pl.countFitting(d, k, free, len(d.Waiting))
}

// countFitting returns how many of n tasks of a demand fit on a worker with the given free capacity.
func (pl *planner) countFitting(d *Demand, k int, free job.Resources, n int) int {
	if !pl.isSuitable(k) {
		return 0
	}
	n = countFittingByResource(n, free.MilliCPU, d.Step.Each.MilliCPU)
	n = countFittingByResource(n, free.MemoryMB, d.Step.Each.MemoryMB)
	n = countFittingByResource(n, free.Accelerators, d.Step.Each.Accelerators)
	if d.Step.MostPerWorker > 0 {
		n = min(n, d.Step.MostPerWorker-d.Placed[pl.view.Workers[k].ID])
	}
	return max(n, 0)
}

// countFittingByResource returns how many of n tasks fit into the free amount of one resource.
func countFittingByResource(n int, free, each int64) int {
	switch {
	case each <= 0:
		return n
	case free < each:
		return 0
	}
	return min(n, int(free/each))
}

// rackRank is the sort key of a rack in which a gang fits. Racks with fewer tasks on risky workers come first,
// then those whose slowest chosen worker is better by its speed key, then those with fewer tasks on workers that tight
// work needs, then those with fewer tasks on capacity that drains for other work, then those with the least free
// capacity.
type rackRank struct {
	risky, slow, fast, draining int
	free                        int64
}

// isPreferredTo reports whether r is preferred to o.
func (r rackRank) isPreferredTo(o rackRank) bool {
	return cmp.Or(
		cmp.Compare(r.risky, o.risky), cmp.Compare(r.slow, o.slow), cmp.Compare(r.fast, o.fast),
		cmp.Compare(r.draining, o.draining), cmp.Compare(r.free, o.free)) < 0
}

// assignGang returns workers for a whole gang, by task index, or nil if the gang does not fit. It takes the
// fullest rack that fits the gang. It spreads the gang across racks if the gang does not need one rack, if no
// rack could ever hold it, or if it must not wait any longer.
func (pl *planner) assignGang(d *Demand) map[int]string {
	if !d.Step.RackLocal {
		return pl.packTasks(d, pl.allWorkers)
	}
	var best map[int]string
	var bestRank rackRank
	for _, rack := range pl.workersByRack {
		workers := pl.packTasks(d, rack)
		if workers == nil {
			continue
		}
		rank := rackRank{
			risky: pl.riskyTasks(workers), slow: pl.worstSpeedKey(workers), fast: pl.tasksOnFastWorkers(workers),
			draining: pl.drainingTasks(d, workers), free: pl.freeAccelerators(rack),
		}
		if best == nil || rank.isPreferredTo(bestRank) {
			best, bestRank = workers, rank
		}
	}
	if best == nil && (pl.mustCrossRacks(d) || !pl.fitsAnyEmptyRack(d)) {
		pl.withRemoteRanks(d, func() { best = pl.packTasks(d, pl.allWorkers) })
	}
	return best
}

// riskyTasks returns how many of the assigned tasks are on workers that are unproven or to be avoided.
func (pl *planner) riskyTasks(workers map[int]string) int {
	n := 0
	for _, w := range workers {
		if k := pl.mustWorkerIndex(w); pl.view.Workers[k].Unproven || pl.avoided[k] {
			n++
		}
	}
	return n
}

// fitsAnyEmptyRack reports whether any rack could hold the gang if it were empty.
func (pl *planner) fitsAnyEmptyRack(d *Demand) bool {
	return slices.ContainsFunc(pl.workersByRack, func(rack []int) bool { return pl.fitsWhenEmpty(d, rack) })
}

// fitsWhenEmpty reports whether the given workers could hold all waiting tasks of a demand if they were empty.
func (pl *planner) fitsWhenEmpty(d *Demand, among []int) bool {
	fitting := 0
	for _, k := range among {
		fitting += pl.fittingTasks(d, k, pl.view.Workers[k].Capacity)
		if fitting >= len(d.Waiting) {
			return true
		}
	}
	return false
}

// fittingTasksAmong returns how many of a demand's waiting tasks fit into the given capacity of some workers.
func (pl *planner) fittingTasksAmong(d *Demand, among []int, free []job.Resources) int {
	n := 0
	for _, k := range among {
		n += pl.fittingTasks(d, k, free[k])
		if n >= len(d.Waiting) {
			return len(d.Waiting)
		}
	}
	return n
}

// freeAccelerators returns the number of free accelerators on the usable workers of a rack.
func (pl *planner) freeAccelerators(rack []int) int64 {
	sum := int64(0)
	for _, k := range rack {
		if pl.view.Workers[k].AcceptsRuns {
			sum += pl.free[k].Accelerators
		}
	}
	return sum
}

// unprovenRank returns 1 for an unproven worker and 0 for others, to sort by.
func unprovenRank(w *Worker) int {
	if w.Unproven {
		return 1
	}
	return 0
}

// packTasks assigns the waiting tasks of a gang to the given workers, the preferred ones first. It returns nil if not all
// of the tasks fit, or if some are kept back for urgent work.
func (pl *planner) packTasks(d *Demand, among []int) map[int]string {
	if pl.fittingTasksAmong(d, among, pl.free) < len(d.Waiting) {
		return nil
	}
	order := pl.fullestFirst(d, among)
	workers := pl.assignTasks(d, order, pl.free)
	if !pl.limit.admitsGang(workers) {
		return pl.limit.packGang(order)
	}
	return workers
}

// verySlowFactor is the slowness from which a worker is avoided because work there ends late. Avoiding
// lesser ones, such as a third of the workers with runs 1.3 times as long, costs more in packing than it
// gains.
const verySlowFactor = 2

// slowLevel returns 1 for a worker that is avoided because it is very slow and 0 for others, to sort by.
func (pl *planner) slowLevel(k int) int {
	if pl.view.Workers[k].Slowness >= verySlowFactor {
		return 1
	}
	return 0
}

// fullestFirst returns those of the given workers on which at least one task fits, the preferred ones first.
// Workers that the demand avoids come last, then those with a job that it has anti-affinity to. Among the rest
// a low failure score is preferred, then a proven worker, then one that is not very slow, then one that is fast enough
// for the goal, then for urgent work one that does not drain for other work, then the least free capacity.
func (pl *planner) fullestFirst(d *Demand, among []int) []int {
	var order []int
	for _, k := range among {
		if pl.fittingTasks(d, k, pl.free[k]) > 0 {
			order = append(order, k)
		}
	}
	slices.SortStableFunc(order, func(x, y int) int {
		c := cmp.Or(
			cmp.Compare(pl.avoidanceLevel(x), pl.avoidanceLevel(y)),
			cmp.Compare(pl.view.Workers[x].FailureScore, pl.view.Workers[y].FailureScore),
			cmp.Compare(unprovenRank(&pl.view.Workers[x]), unprovenRank(&pl.view.Workers[y])),
			cmp.Compare(pl.speedKey(x), pl.speedKey(y)),
			cmp.Compare(pl.drainingRank(d, x), pl.drainingRank(d, y)),
			cmp.Compare(pl.free[x].Cores(), pl.free[y].Cores()))
		if c != 0 { // Comparing names is the costly part.
			return c
		}
		return cmp.Compare(pl.view.Workers[x].ID, pl.view.Workers[y].ID)
	})
	return order
}

// localityWaitShare is how long a task waits for capacity near its data, as a share of the time to its goal. If
// capacity elsewhere is ample, ampleCapacityWaitLimit ends the wait earlier.
const localityWaitShare = 0.25

// waitsForLocality reports whether the current demand still waits for capacity near its data.
func (pl *planner) waitsForLocality(d *Demand) bool {
	return d.Step.DataRack != "" && !pl.waitedTooLong && pl.view.Now.Sub(d.ReadySince) < time.Duration(localityWaitShare*float64(d.Goal.Sub(d.ReadySince)))
}

// assignSingles assigns as many single tasks as fit. While they wait for capacity near their data, it assigns
// only workers in the rack of the data. While some workers fail every task, tasks with one attempt left come
// first and use proven workers only. Without that rule, on a day with 9% of 350 workers failing every task for
// 6 s, 6 of the 8 jobs that failed had 15 to 177 single tasks with two attempts each. They lost both attempts
// of one task within 0.2 to 4.4 s.
func (pl *planner) assignSingles(d *Demand) map[int]string {
	among := pl.allWorkers
	if pl.waitsForLocality(d) {
		among = pl.workersInRack(d.Step.DataRack)
	}
	l := &singlesAssignment{planner: pl, demand: d, workers: map[int]string{}, assigned: map[int]int{}}
	order := pl.withoutReserve(d, pl.fullestFirst(d, pl.limit.admittingAmong(among)))
	if !pl.needsProvenWorkers(d) {
		l.assign(d.Waiting, order)
		return l.workers
	}
	lastAttempt, others := splitByLastAttempt(d)
	l.assign(lastAttempt, pl.provenOnly(order))
	l.assign(others, order)
	return l.workers
}

// withoutReserve removes the idle workers that a demand must leave to urgent work.
func (pl *planner) withoutReserve(d *Demand, order []int) []int {
	if !pl.mustLeaveReserve(d) || pl.idleCount > pl.idleReserve {
		return order
	}
	return slices.DeleteFunc(order, pl.isIdle)
}

// provenOnly returns the workers without the unproven ones.
func (pl *planner) provenOnly(order []int) []int {
	return slices.DeleteFunc(slices.Clone(order), func(k int) bool { return pl.view.Workers[k].Unproven })
}

// splitByLastAttempt returns the waiting tasks with one attempt left, and the others.
func splitByLastAttempt(d *Demand) (lastAttempt, others []int) {
	for _, index := range d.Waiting {
		if d.LastAttempts[index] {
			lastAttempt = append(lastAttempt, index)
			continue
		}
		others = append(others, index)
	}
	return lastAttempt, others
}

// singlesAssignment collects the workers assigned to a demand's single tasks.
type singlesAssignment struct {
	planner  *planner
	demand   *Demand
	workers  map[int]string // Worker by task index.
	assigned map[int]int    // By worker index: number of tasks assigned there.
}

// assign assigns tasks to workers, in the order of both, while there is free capacity.
func (l *singlesAssignment) assign(tasks, order []int) {
	for _, k := range order {
		for range l.planner.fittingTasks(l.demand, k, l.planner.free[k]) - l.assigned[k] {
			if len(tasks) == 0 {
				return
			}
			if !l.planner.limit.admit(k, l.assigned[k]) {
				l.planner.limit.countRefused(k, l.assigned[k])
				break
			}
			l.workers[tasks[0]] = l.planner.view.Workers[k].ID
			l.assigned[k]++
			tasks = tasks[1:]
		}
	}
}

// workersInRack returns the worker indexes of a rack.
func (pl *planner) workersInRack(rack string) []int {
	for _, workers := range pl.workersByRack {
		if pl.view.Workers[workers[0]].Rack == rack {
			return workers
		}
	}
	return nil
}
