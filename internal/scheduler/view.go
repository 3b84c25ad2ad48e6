package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/pulleyring/pulleyring/internal/admission"
	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/internal/loss"
	"github.com/pulleyring/pulleyring/internal/placement"
)

// updateView updates the view from which decisions are made and returns it.
func (h *shard) updateView(now time.Time) *placement.View {
	v := &h.view
	v.Now, v.Policy, v.MaxStarts = now, h.Bounds.Policy, maxStartsPerDecision
	v.Policy.TightFactor = h.tightFactor()
	suspects := h.reassessLosses()
	h.markGuaranteed(now)
	h.updateSortedWorkers()
	v.Workers, v.Allocations, v.Demands = v.Workers[:0], v.Allocations[:0], v.Demands[:0]
	halls := h.updateHalls(now)
	outbreak := h.failureBurst.active(now)
	for _, w := range h.sortedWorkers {
		shown := w.view(now)
		shown.HallClosed = !halls.isOpen(w.Hall, now)
		shown.AcceptsRuns, shown.Quarantined = shown.AcceptsRuns && !shown.HallClosed, shown.Quarantined && !shown.HallClosed
		shown.JustStarted = w.recentlyPlacedJob(now)
		if suspects { // Suspects are sought only if there may be any: the search takes half as long as the rest.
			shown.SuspectJob = w.suspectJob()
		}
		shown.Unproven = outbreak && !w.isHealthySince(h.failureBurst.began, now)
		v.Workers = append(v.Workers, shown)
	}
	for _, x := range h.allocations.list {
		v.Allocations = append(v.Allocations, h.allocationView(x, now))
	}
	for _, j := range h.jobs {
		for _, g := range j.Ready(now.UnixMilli()) {
			if d := h.demand(j, g, now); len(d.Waiting) > 0 {
				v.Demands = append(v.Demands, d)
			}
		}
	}
	slices.SortFunc(v.Demands, func(x, y placement.Demand) int {
		return cmp.Or(cmp.Compare(x.Job, y.Job), cmp.Compare(x.Group.Occurrence, y.Group.Occurrence), cmp.Compare(x.Group.Step, y.Group.Step))
	})
	h.updateHeadroom(v, now)
	return v
}

// updateSortedWorkers sorts the workers by name and renumbers them if a worker was added or removed.
func (h *shard) updateSortedWorkers() {
	if h.sortedWorkers != nil {
		return
	}
	h.sortedWorkers = slices.SortedFunc(maps.Values(h.workers), func(x, y *workerState) int { return cmp.Compare(x.ID, y.ID) })
	for index, w := range h.sortedWorkers {
		w.index = index
	}
	h.allocations.updateWorkerIndexes()
}

// view returns the worker as decisions see it.
func (w *workerState) view(now time.Time) placement.Worker {
	slowness := max(w.slow.factor(), w.overdue)
	if w.isSlow(now) {
		slowness = max(slowness, slowFactor)
	}
	usable, quarantined := w.usable(now), w.failureScore.quarantined(now) || w.stalled
	return placement.Worker{
		ID: w.ID, Service: w.Service, Rack: w.Rack, Labels: w.Labels, Capacity: w.Capacity, Free: w.Capacity.Sub(w.used), Freeing: w.freeing,
		AcceptsRuns: usable && !quarantined, Quarantined: usable && quarantined, FailureScore: w.failureScore.level(now), Slowness: slowness,
		TimeFactor: w.speed.timeFactor, TimeFactorHigh: w.speed.timeFactorHigh,
	}
}

// priorityValue holds the value of a job by its priority, 0 to 2. The configuration contains no values; these are from
// the users' value sheets, which give late work about 0.3 (lateShare) of them.
var priorityValue = [...]float64{4, 3, 1}

const (
	// lateShare is the part of its value that a late job still earns.
	lateShare = 0.3
	// baseShare is the part of a job's value that does not depend on its size. The rest is proportional to the size, up
	// to sizeCap times the mean size of the queue's jobs. The users have set both figures.
	baseShare = 0.3
	sizeCap   = 4
	// lateFactor limits how late a job may be: it still earns a part of its value if it ends within lateFactor times its
	// allowed time.
	lateFactor = admission.LateFactor
)

// demand returns the demand of a waiting group of tasks.
func (h *shard) demand(j *trackedJob, g job.Group, now time.Time) placement.Demand {
	since, ok := j.readySince[g]
	if !ok {
		since = now
		j.readySince[g] = now
	}
	r := j.Request
	d := placement.Demand{
		Job: r.ID, Group: g, Workspace: r.Terms.Workspace, Service: r.Terms.Service, Priority: r.Terms.Priority,
		Step: &r.Steps[g.Step], ReadySince: since, Remaining: h.estimates.chainTime(r, g.Step), TaskTime: h.estimates.taskTime(r, g.Step), Guaranteed: j.isGuaranteed(g.Occurrence),
		Avoid: j.avoidWorkers[g], AntiAffinity: j.lostTogether, Work: h.remainingWork(j, g),
	}
	if d.Step.MostPerWorker > 0 {
		d.Placed = map[string]int{}
	}
	tasks := j.Tasks(g)
	heldTasks := 0
	for i := range tasks {
		switch {
		case tasks[i].State == job.Waiting && (h.isHeld(j, j.TaskInGroup(g, i)) || j.crashLoops.isPaused(j.TaskInGroup(g, i), r, now)):
			heldTasks++
		case tasks[i].State == job.Waiting:
			d.Waiting = append(d.Waiting, i)
			lost := j.LossesOf(j.TaskInGroup(g, i))
			d.Suspect, d.Exclusive = d.Suspect || lost.AtOnce > 0, d.Exclusive || lost.Counted >= loss.ExclusiveAfter
			if j.isLastAttempt(g, &tasks[i]) {
				if d.LastAttempts == nil {
					d.LastAttempts = map[int]bool{}
				}
				d.LastAttempts[i] = true
			}
		case tasks[i].State == job.Placed && d.Placed != nil:
			d.Placed[tasks[i].Worker.Worker]++
		}
	}
	if heldTasks > 0 && d.Step.Gang {
		d.Waiting = nil // A gang starts only as a whole.
	}
	allowed := h.allowedTime(r)
	from := time.UnixMilli(r.Due(g.Occurrence))
	d.Goal, d.LastGoal = from.Add(allowed), from.Add(lateFactor*allowed)
	d.Value = h.value(r)
	d.LateValue = lateShare * d.Value
	d.PausedUntil = j.urgentStops.pausedUntil
	d.NoPreemptionPlan = now.Before(h.noPlanUntil[groupKey{r.ID, g}])
	if c, ok := h.reservations[groupKey{r.ID, g}]; ok && now.Before(c.until) {
		d.Reservation, d.ReservedWithoutPreemption = c.workers, c.withoutPreemption
	}
	return d
}

// allowedTime returns how long after its due time an occurrence of a job may end and still earn its full value.
func (h *shard) allowedTime(r *job.Request) time.Duration {
	return time.Duration(r.Terms.Stretch*float64(h.estimates.jobTime(r))) + r.Terms.Objective
}

// value returns the most that one occurrence of a job can earn, in units of priorityValue.
func (h *shard) value(r *job.Request) float64 {
	weight := priorityValue[min(max(r.Terms.Priority, 0), len(priorityValue)-1)]
	mean := max(h.estimates.ofQueue(r.Terms.Queue).meanWork.value, 1)
	return weight * (baseShare + (1-baseShare)*min(declaredWork(r)/mean, sizeCap)) / float64(r.Occurrences())
}

// remainingWork returns the expected core-seconds of all waiting tasks in the occurrence that a group belongs to.
func (h *shard) remainingWork(j *trackedJob, g job.Group) float64 {
	sum := 0.0
	for s := range j.Request.Steps {
		step := &j.Request.Steps[s]
		left := 0
		for _, t := range j.Tasks(job.Group{Occurrence: g.Occurrence, Step: s}) {
			if t.State == job.Waiting {
				left++
			}
		}
		sum += float64(left) * step.Each.Cores() * h.estimates.taskTime(j.Request, s).Seconds()
	}
	return sum
}

// markGuaranteed marks the occurrences of jobs of priority 0 that fit in their workspace's guarantee, by what each can use
// at one time. Those of the oldest jobs take precedence.
func (h *shard) markGuaranteed(now time.Time) {
	left := map[string]int64{}
	if c := h.Configuration(); c != nil {
		for i := range c.Workspaces {
			left[c.Workspaces[i].Name] = c.Workspaces[i].Guaranteed
		}
	}
	var urgent []*trackedJob
	for _, j := range h.jobs {
		j.guaranteed = j.guaranteed[:0]
		if j.Request.Terms.Priority == 0 && !j.Progress.State.Final() {
			urgent = append(urgent, j)
		}
	}
	slices.SortFunc(urgent, func(x, y *trackedJob) int {
		return cmp.Or(cmp.Compare(x.Request.Accepted, y.Request.Accepted), cmp.Compare(x.Request.ID, y.Request.ID))
	})
	for _, j := range urgent {
		j.markGuaranteed(left, now.UnixMilli())
	}
}

// markGuaranteed marks the unfinished occurrences that are due and fit in what is left of each workspace's guarantee.
func (j *trackedJob) markGuaranteed(left map[string]int64, nowMS int64) {
	workspace := j.Request.Terms.Workspace
	for k := range j.Request.Occurrences() {
		if !j.Request.IsDue(k, nowMS) {
			return
		}
		if need := j.PeakAccelerators(k); !j.OccurrenceDone(k) && need <= left[workspace] {
			left[workspace] -= need
			j.guaranteed = append(j.guaranteed, k)
		}
	}
}

// isGuaranteed reports whether an occurrence was marked as guaranteed.
func (j *trackedJob) isGuaranteed(occurrence int) bool {
	return slices.Contains(j.guaranteed, occurrence)
}
