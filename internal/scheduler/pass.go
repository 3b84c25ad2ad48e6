package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/internal/placement"
	"go.uber.org/zap"
)

// claimKey names the group that room is being freed for.
type claimKey struct {
	job   job.ID
	group job.Group
}

// claimed is room that is being freed.
type claimed struct {
	workers  map[int]string
	until    time.Time // After that the plan is made anew.
	draining bool
}

// claimSlack is how much longer than a stop a claim is kept: two commits and the talk with the worker.
const claimSlack = 600 * time.Millisecond

// planRetry is how long no other way to make room is looked for after none was found; looking is the costly part of a
// decision.
const planRetry = 250 * time.Millisecond

// drainFor is how long room drains for a gang before another place is looked for: about as long as bulk work runs.
const drainFor = 8 * time.Second

// pass has placement decide and takes in what it decided.
func (h *shard) pass() {
	h.changed = false
	now := time.Now()
	h.lastPass = now
	view := h.takeView(now)
	h.Figures.Took("scheduler_view", time.Since(now))
	if len(view.Demands) == 0 {
		return
	}
	out := placement.Decide(view)
	h.Figures.Took("scheduler_pass", time.Since(now))
	for _, i := range out.Stops {
		for _, r := range h.holdings.list[i].runs {
			h.stop(r.worker, r, "room for urgent work")
		}
	}
	for _, i := range out.Dropped {
		delete(h.claims, claimKey{view.Demands[i].Job, view.Demands[i].Group})
	}
	for _, c := range out.Claims {
		d := &view.Demands[c.Demand]
		kept := h.Bounds.StopTime + claimSlack
		if c.Draining {
			kept = drainFor
		}
		h.claims[claimKey{d.Job, d.Group}] = claimed{c.Workers, now.Add(kept), c.Draining}
		h.Log.Info("scheduler: room is being freed", zap.String("job", string(d.Job)), zap.String("workspace", d.Workspace),
			zap.Duration("waited", now.Sub(d.Since)), zap.Int("stops", len(out.Stops)), zap.Bool("draining", c.Draining))
	}
	for _, i := range out.NoPlans {
		d := &view.Demands[i]
		h.noPlan[claimKey{d.Job, d.Group}] = now.Add(planRetry)
	}
	h.logWaits(view, &out, now)
	for _, s := range out.Starts {
		h.place(&view.Demands[s.Demand], s.Workers, now)
	}
}

// waitLogEvery is how often it is logged why a group of tasks still waits.
const waitLogEvery = 5 * time.Second

// logWaits logs why the groups that have waited for long still do, each once in a while.
func (h *shard) logWaits(view *placement.View, out *placement.Outcome, now time.Time) {
	started := map[int]bool{}
	for _, s := range out.Starts {
		started[s.Demand] = true
	}
	for i := range view.Demands {
		d := &view.Demands[i]
		key := claimKey{d.Job, d.Group}
		if started[i] || now.Sub(d.Since) < waitLogEvery || now.Sub(h.waitLogged[key]) < waitLogEvery {
			continue
		}
		h.waitLogged[key] = now
		w := placement.Explain(view, i)
		h.Log.Info("scheduler: waiting", zap.String("job", string(d.Job)), zap.Int("occurrence", d.Group.Occurrence),
			zap.Int("step", d.Group.Step), zap.Duration("waited", now.Sub(d.Since)), zap.Duration("to_goal", d.Goal.Sub(now)),
			zap.Int("tasks", w.Need), zap.Int("suitable_workers", w.Suitable), zap.Int("fit_now", w.Now),
			zap.Int("fit_in_rack", w.Rack), zap.Int("fit_in_empty_rack", w.Empty), zap.Bool("draining", d.Draining),
			zap.Bool("claimed", d.Claim != nil))
	}
}

// place notes a placement; it is ordered once it is committed.
func (h *shard) place(d *placement.Demand, workers map[int]string, now time.Time) {
	j := h.jobs[d.Job]
	delete(h.claims, claimKey{d.Job, d.Group})
	delete(h.noPlan, claimKey{d.Job, d.Group})
	delete(h.waitLogged, claimKey{d.Job, d.Group})
	orders := j.Place(d.Group, workers)
	h.Figures.Took("scheduler_waited", now.Sub(d.Since))
	h.Figures.Add("runs_placed", int64(len(orders)))
	racks := map[string]bool{}
	for _, o := range orders {
		racks[h.workers[o.Worker].Rack] = true
	}
	for _, o := range orders {
		r := &run{
			task: o.Task, number: o.Run, saved: o.Saved, each: d.Step.Each, job: j, placed: now,
			far: isFar(d.Step, racks, h.workers[o.Worker].Rack),
		}
		h.addRun(h.workers[o.Worker], r)
		h.launches = append(h.launches, r)
	}
	h.touch(d.Job)
	h.Log.Info("scheduler: placed", zap.String("job", string(d.Job)), zap.Int("occurrence", d.Group.Occurrence),
		zap.Int("step", d.Group.Step), zap.Int("tasks", len(orders)), zap.Int("waiting", len(d.Waiting)),
		zap.Duration("waited", now.Sub(d.Since)), zap.Duration("to_goal", d.Goal.Sub(now)), zap.Bool("covered", d.Covered),
		zap.Strings("racks", slices.Sorted(maps.Keys(racks))))
}

// isFar reports whether a run takes longer than elsewhere: away from its data, or of a gang that is spread over racks.
func isFar(step *job.Step, racks map[string]bool, rack string) bool {
	if step.Gang && step.RackLocal && len(racks) > 1 {
		return true
	}
	return step.DataRack != "" && step.DataRack != rack
}

// takeView brings the view that decisions are made from up to date.
func (h *shard) takeView(now time.Time) *placement.View {
	v := &h.view
	v.Now, v.Policy = now, h.Bounds.Policy
	h.markCovered()
	h.takeRoster()
	v.Workers, v.Holdings, v.Demands = v.Workers[:0], v.Holdings[:0], v.Demands[:0]
	outbreak := h.outbreak.active(now)
	for _, w := range h.roster {
		seen := w.seen(now)
		seen.Unproven = outbreak && !w.proven(h.outbreak.began, now)
		v.Workers = append(v.Workers, seen)
	}
	for _, x := range h.holdings.list {
		v.Holdings = append(v.Holdings, h.seenHolding(x, now))
	}
	for _, j := range h.jobs {
		for _, g := range j.Ready(now.UnixMilli()) {
			v.Demands = append(v.Demands, h.demand(j, g, now))
		}
	}
	slices.SortFunc(v.Demands, func(x, y placement.Demand) int {
		return cmp.Or(cmp.Compare(x.Job, y.Job), cmp.Compare(x.Group.Occurrence, y.Group.Occurrence), cmp.Compare(x.Group.Step, y.Group.Step))
	})
	return v
}

// takeRoster lists the workers by their names, and where everything runs, once a worker came or went.
func (h *shard) takeRoster() {
	if h.roster != nil {
		return
	}
	h.roster = slices.SortedFunc(maps.Values(h.workers), func(x, y *workerState) int { return cmp.Compare(x.ID, y.ID) })
	for seat, w := range h.roster {
		w.seat = seat
	}
	h.holdings.reseat()
}

// seen is a worker as decisions see it.
func (w *workerState) seen(now time.Time) placement.Worker {
	slowness := max(w.slow.factor(), w.overdue)
	if w.lags(now) {
		slowness = max(slowness, laggingAt)
	}
	return placement.Worker{
		ID: w.ID, Service: w.Service, Rack: w.Rack, Labels: w.Labels, Capacity: w.Capacity, Free: w.Capacity.Sub(w.used), Freeing: w.freeing,
		Usable: w.usable(now) && !w.doubt.barred(now) && !w.stalled, Doubt: w.doubt.level(now), Slowness: slowness,
	}
}

// Weights of queues by priority, and the part that late work earns: the configuration does not tell what a job earns, the
// users' sheets give 4, 3 and 1 for priorities 0, 1 and 2 and about 0.3 of it when late.
var priorityValue = [...]float64{4, 3, 1}

const (
	lateShare = 0.3
	// baseShare of a job's value does not depend on its size, and a large job counts sizeCap times the mean at most
	// (the users' rules).
	baseShare = 0.3
	sizeCap   = 4
	// lateFactor times its objective a job still earns a part.
	lateFactor = 3
)

func (h *shard) demand(j *liveJob, g job.Group, now time.Time) placement.Demand {
	since, ok := j.since[g]
	if !ok {
		since = now
		j.since[g] = now
	}
	r := j.Request
	d := placement.Demand{
		Job: r.ID, Group: g, Workspace: r.Terms.Workspace, Service: r.Terms.Service, Priority: r.Terms.Priority,
		Step: &r.Steps[g.Step], Since: since, Remaining: h.learned.chain(r, g.Step), Covered: j.covered,
		Avoid: j.avoid[g], Work: h.workLeft(j, g),
	}
	d.LastAttempt = j.lastAttempt(g)
	if d.Step.MostPerWorker > 0 {
		d.Placed = map[string]int{}
	}
	tasks := j.Tasks(g)
	for i := range tasks {
		switch {
		case tasks[i].State == job.Waiting:
			d.Waiting = append(d.Waiting, i)
		case tasks[i].State == job.Placed && d.Placed != nil:
			d.Placed[tasks[i].Worker]++
		}
	}
	allowed := h.allowed(r)
	from := time.UnixMilli(r.Due(g.Occurrence))
	d.Goal, d.LastGoal = from.Add(allowed), from.Add(lateFactor*allowed)
	d.Value = h.value(r)
	d.LateValue = lateShare * d.Value
	d.NoPlan = now.Before(h.noPlan[claimKey{r.ID, g}])
	if c, ok := h.claims[claimKey{r.ID, g}]; ok && now.Before(c.until) {
		d.Claim, d.Draining = c.workers, c.draining
	}
	return d
}

// allowed is the time from an occurrence's due time within which it earns all it can.
func (h *shard) allowed(r *job.Request) time.Duration {
	return time.Duration(r.Terms.Stretch*float64(h.learned.whole(r))) + r.Terms.Objective
}

// value is what one occurrence of a job earns at most, in the weights above.
func (h *shard) value(r *job.Request) float64 {
	weight := priorityValue[min(max(r.Terms.Priority, 0), len(priorityValue)-1)]
	mean := max(h.learned.of(r.Terms.Queue).work.value, 1)
	return weight * (baseShare + (1-baseShare)*min(declaredWork(r)/mean, sizeCap)) / float64(r.Occurrences())
}

// workLeft is the expected core-seconds until an occurrence has ended.
func (h *shard) workLeft(j *liveJob, g job.Group) float64 {
	sum := 0.0
	for s := range j.Request.Steps {
		step := &j.Request.Steps[s]
		left := 0
		for _, t := range j.Tasks(job.Group{Occurrence: g.Occurrence, Step: s}) {
			if t.State == job.Waiting {
				left++
			}
		}
		sum += float64(left) * step.Each.Cores() * h.learned.task(j.Request, s).Seconds()
	}
	return sum
}

// markCovered marks the jobs of priority 0 that are within their workspace's guarantee: the oldest first, as far as it goes.
func (h *shard) markCovered() {
	left := map[string]int64{}
	if c := h.Configuration(); c != nil {
		for i := range c.Workspaces {
			left[c.Workspaces[i].Name] = c.Workspaces[i].Guaranteed
		}
	}
	var urgent []*liveJob
	for _, j := range h.jobs {
		j.covered = false
		if j.Request.Terms.Priority == 0 && !j.Progress.State.Final() {
			urgent = append(urgent, j)
		}
	}
	slices.SortFunc(urgent, func(x, y *liveJob) int {
		return cmp.Or(cmp.Compare(x.Request.Accepted, y.Request.Accepted), cmp.Compare(x.Request.ID, y.Request.ID))
	})
	for _, j := range urgent {
		need := accelerators(j.Request)
		if need <= left[j.Request.Terms.Workspace] {
			left[j.Request.Terms.Workspace] -= need
			j.covered = true
		}
	}
}

// accelerators is what a job takes at once at most, its steps taken as running together.
func accelerators(r *job.Request) int64 {
	sum := int64(0)
	for i := range r.Steps {
		sum += int64(r.Steps[i].Count) * r.Steps[i].Each.Accelerators
	}
	return sum
}

// loss is the core-seconds that stopping a run throws away.
func (h *shard) loss(r *run, step *job.Step, now time.Time) float64 {
	lost := now.Sub(r.placed)
	if step.Checkpoints {
		lost = min(lost, checkpointLoss)
	}
	return lost.Seconds() * r.each.Cores()
}

// restartDelay is how long stopped work is expected to wait for room again.
const restartDelay = 2 * time.Second

// checkpointLoss is the work that is lost at a stop of a run that saves its state: at a stop it saves once more, so that
// only the stop itself and the restore are lost.
const checkpointLoss = 500 * time.Millisecond

// anyWaiting reports whether a group of tasks waits, now or for its time.
func (h *shard) anyWaiting() bool {
	now := time.Now().UnixMilli()
	for _, j := range h.jobs {
		if j.Progress.State.Final() {
			continue
		}
		if len(j.Ready(now)) > 0 || j.NextDue(now) > 0 {
			return true
		}
	}
	return false
}
