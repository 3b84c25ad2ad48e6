package scheduler

import (
	"slices"
	"time"

	"github.com/pulleyring/pulleyring/internal/placement"
)

// allocation holds the runs of a gang or of a single task, which can be stopped as a whole.
type allocation struct {
	index         int // Index in allocations.list.
	runs          []*run
	workerIndexes []int // Index of each run's worker in the sorted workers.
	stopping      bool
	forecastStale bool // The forecast is out of date: a run was added or removed, or a worker reported progress.
	allocationForecast
}

// allocationForecast holds when an allocation and its job are expected to end, and the value that depends on it. None
// of it depends on the current time.
type allocationForecast struct {
	ends time.Time
	// The prediction of ends from reported progress is valid until then; zero if ends is only an estimate.
	knownUntil     time.Time
	chainTime      time.Duration // Expected time from its start to the end of its job, on usual workers.
	extraTime      time.Duration // How much longer it takes on its workers; negative on fast ones.
	fullValueUntil time.Time     // The job earns its full value if it ends by then.
	valueAtRisk    float64       // Value that the job loses if it ends after fullValueUntil.
}

// allocations holds all allocations. It is updated as runs start, end and report progress: collecting all runs of 1,100
// workers for each decision, 30 times a second, took 4.8 ms on one core (BenchmarkView). The zero value is empty.
type allocations struct {
	list  []*allocation
	gangs map[groupKey]*allocation
}

// add adds a run that was placed.
func (x *allocations) add(r *run) {
	alloc := x.findOrAdd(r)
	alloc.runs = append(alloc.runs, r)
	alloc.workerIndexes = append(alloc.workerIndexes, r.worker.index)
	alloc.forecastStale = true
	alloc.stopping = alloc.stopping || r.stopping
	r.allocation = alloc
}

// findOrAdd returns the allocation of a run and creates it if there is none. An orphaned run always gets a new one,
// because it is not among the current runs of its gang.
func (x *allocations) findOrAdd(r *run) *allocation {
	gang := r.job.Request.Steps[r.task.Step].Gang && !r.orphaned
	key := groupKey{r.task.Job, r.group()}
	if known := x.gangs[key]; gang && known != nil {
		return known
	}
	added := &allocation{index: len(x.list)}
	x.list = append(x.list, added)
	if gang {
		if x.gangs == nil {
			x.gangs = map[groupKey]*allocation{}
		}
		x.gangs[key] = added
	}
	return added
}

// remove removes a run that has ended.
func (x *allocations) remove(r *run) {
	alloc := r.allocation
	r.allocation = nil
	i := slices.Index(alloc.runs, r)
	alloc.runs = slices.Delete(alloc.runs, i, i+1)
	alloc.workerIndexes = slices.Delete(alloc.workerIndexes, i, i+1)
	alloc.forecastStale = true
	if len(alloc.runs) > 0 {
		return
	}
	last := len(x.list) - 1
	x.list[alloc.index] = x.list[last]
	x.list[alloc.index].index = alloc.index
	x.list = x.list[:last]
	key := groupKey{r.task.Job, r.group()}
	if x.gangs[key] == alloc {
		delete(x.gangs, key)
	}
}

// updateWorkerIndexes updates the worker indexes of all runs after workers were renumbered.
func (x *allocations) updateWorkerIndexes() {
	for _, alloc := range x.list {
		for i, r := range alloc.runs {
			alloc.workerIndexes[i] = r.worker.index
		}
	}
}

// allocationView returns an allocation as decisions see it.
func (h *shard) allocationView(x *allocation, now time.Time) placement.Allocation {
	if x.forecastStale {
		x.allocationForecast, x.forecastStale = h.forecastAllocation(x), false
	}
	r := x.runs[0]
	return placement.Allocation{
		Job: r.task.Job, Group: r.group(), Service: r.job.Request.Terms.Service, Step: &r.job.Request.Steps[r.task.Step], MovesTo: h.moveTargets(x), Priority: r.job.Request.Terms.Priority, Guaranteed: r.job.isGuaranteed(r.task.Occurrence), Stopping: x.stopping,
		Each: r.each, WorkerIndexes: x.workerIndexes, LostWork: h.lostWorkOf(x, now), ValueAtRisk: h.restartRisk(x, now),
		Remaining: max(x.ends.Sub(now), 0), RemainingReported: !now.After(x.knownUntil),
		SavesCheckpoints: r.job.Request.Steps[r.task.Step].Checkpoints, RecentStops: r.job.urgentStops.recent(now),
	}
}

// lostWorkOf returns the core-seconds of work that are lost if an allocation is stopped.
func (h *shard) lostWorkOf(x *allocation, now time.Time) float64 {
	r := x.runs[0]
	return float64(len(x.runs)) * h.lostWork(r, &r.job.Request.Steps[r.task.Step], now)
}

// forecastAllocation computes the forecast of an allocation. A gang ends with its last member. Its end is known once
// all members have reported progress.
func (h *shard) forecastAllocation(x *allocation) allocationForecast {
	r := x.runs[0]
	request := r.job.Request
	o := allocationForecast{
		chainTime: h.estimates.chainTime(request, r.task.Step), valueAtRisk: (1 - lateShare) * h.value(request),
		fullValueUntil: time.UnixMilli(request.Due(r.task.Occurrence)).Add(h.allowedTime(request)),
	}
	slowest := 0.0
	for i, r := range x.runs {
		slowest = max(slowest, r.timeFactor())
		ends, known := h.expectedEnd(r)
		if ends.After(o.ends) {
			o.ends = ends
		}
		if i == 0 || known.Before(o.knownUntil) {
			o.knownUntil = known
		}
	}
	o.extraTime = scale(h.estimates.taskTime(request, r.task.Step), slowest-1)
	return o
}

// restartRisk returns the value that a job loses if one of its allocations is restarted. It is zero if the restart
// makes no difference: the job ends late even without it, or on time in spite of it.
func (h *shard) restartRisk(x *allocation, now time.Time) float64 {
	late := x.runs[0].placed.Add(x.chainTime + x.extraTime).After(x.fullValueUntil)
	early := now.Add(h.Bounds.StopTime + restartDelay + x.chainTime).Before(x.fullValueUntil)
	if late || early {
		return 0
	}
	return x.valueAtRisk
}
