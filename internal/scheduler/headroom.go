package scheduler

import (
	"fmt"
	"slices"
	"time"

	"github.com/pulleyring/pulleyring/internal/headroom"
	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/internal/placement"
)

// urgentLoad learns how much capacity urgent work takes. The zero value is ready to use.
type urgentLoad struct {
	estimator headroom.Estimator
	loads     []headroom.Load   // Buffer of updateHeadroom, reused between calls.
	keptBack  map[groupKey]int  // Tasks that the last decision kept back for urgent work.
	paused    map[groupKey]bool // Groups that the last decision did not start because they were stopped recently.
}

// updateHeadroom updates the load of urgent work from a view, and the capacity in it that is kept for such work.
func (h *shard) updateHeadroom(v *placement.View, now time.Time) {
	v.Headroom = nil
	if h.Bounds.DisableHeadroom {
		return
	}
	u := &h.urgentLoad
	u.loads = u.loads[:0]
	for i, x := range h.allocations.list {
		if v.Allocations[i].Priority == 0 && !x.stopping {
			r := x.runs[0]
			u.add(r.job.Request.Terms.Service, &r.job.Request.Steps[r.task.Step], len(x.runs), 0)
		}
	}
	for i := range v.Demands {
		if d := &v.Demands[i]; d.Priority == 0 {
			u.add(d.Service, d.Step, 0, len(d.Waiting))
		}
	}
	u.limitWaiting(v)
	u.estimator.Update(now, u.loads)
	v.Headroom = u.estimator.Kept()
	accelerators := int64(0)
	for _, kept := range v.Headroom {
		accelerators += int64(kept.Slots) * kept.Each.Accelerators
	}
	h.Figures.Set("headroom_kept", accelerators)
}

// maxMergedLoads is the number of loads to which tasks of the same shape are added. Further tasks get a load each, so
// that the time of a decision stays linear where each job has its own shape. The estimator tracks fewer shapes.
const maxMergedLoads = 32

// add adds tasks of a step to the loads.
func (u *urgentLoad) add(service string, step *job.Step, held, waiting int) {
	i := slices.IndexFunc(u.loads[:min(len(u.loads), maxMergedLoads)], func(l headroom.Load) bool {
		return l.Each == step.Each && l.Service == service && l.Label == step.Label
	})
	if i < 0 {
		i = len(u.loads)
		u.loads = append(u.loads, headroom.Load{Shape: placement.ShapeOf(service, step)})
	}
	u.loads[i].Held += held
	u.loads[i].Waiting += waiting
}

// limitWaiting limits the tasks that wait to those that fit on the workers beside the tasks that run. Without the limit,
// more than the whole service was kept for more than 20 s after a backlog of ten times its capacity.
func (u *urgentLoad) limitWaiting(v *placement.View) {
	for i := range u.loads[:min(len(u.loads), maxMergedLoads)] {
		if l := &u.loads[i]; l.Waiting > 0 {
			l.Waiting = min(l.Waiting, max(placement.CapacitySlots(v, &l.Shape)-l.Held, 0))
		}
	}
}

// recordKeptBack records which tasks a decision kept back for urgent work, and which groups it did not start because of
// a pause. Each decision keeps most of them back again; the metric counts only those that the decision before did not.
func (h *shard) recordKeptBack(v *placement.View, out *placement.Outcome) {
	before := h.urgentLoad.keptBack
	h.urgentLoad.keptBack, h.urgentLoad.paused = map[groupKey]int{}, map[groupKey]bool{}
	for _, i := range out.Paused {
		h.urgentLoad.paused[groupKey{v.Demands[i].Job, v.Demands[i].Group}] = true
	}
	for _, kept := range out.KeptBack {
		d := &v.Demands[kept.Demand]
		key := groupKey{d.Job, d.Group}
		h.urgentLoad.keptBack[key] = kept.Tasks
		h.Figures.Add("starts_kept_back", int64(max(kept.Tasks-before[key], 0)))
	}
}

// explainHeadroom returns what to add to the reason why a demand of the last decision waits. It is empty if urgent work
// has nothing to do with it.
func (h *shard) explainHeadroom(d *placement.Demand) string {
	key := groupKey{d.Job, d.Group}
	if n := h.urgentLoad.keptBack[key]; n > 0 {
		return fmt.Sprintf("; %d tasks would start, but their room is kept for urgent work", n)
	}
	if h.urgentLoad.paused[key] {
		left := d.PausedUntil.Sub(h.view.Now).Round(time.Millisecond)
		return fmt.Sprintf("; it was stopped for urgent work and pauses for another %s", left)
	}
	return ""
}

// HeadroomReport shows an operator how much capacity is kept for urgent work of one shape. Counts are in tasks of that
// shape.
type HeadroomReport struct {
	Service      string  `json:"service"`
	Label        string  `json:"label,omitempty"` // Label that workers must have; empty for any worker.
	MilliCPU     int64   `json:"milli_cpu"`       // What a task needs.
	MemoryMB     int64   `json:"memory_mb"`
	Accelerators int64   `json:"accelerators"`
	Held         int     `json:"held"`    // Tasks that run.
	Waiting      int     `json:"waiting"` // Tasks that wait.
	Mean         float64 `json:"mean"`    // Mean number of tasks that run or wait.
	Deviation    float64 `json:"deviation"`
	Kept         int     `json:"kept"` // Slots that are kept beyond the tasks that run or wait.
	Free         int     `json:"free"` // Free slots.
}

// Headroom returns the capacity that is kept for urgent work, by shape, as of the last decision. It is empty if this
// box does not hold the shard's lease, if there is no urgent work, or if the part is turned off.
func (s *Scheduler) Headroom() []HeadroomReport {
	list := []HeadroomReport{}
	h := s.current.Load()
	if h == nil || s.Bounds.DisableHeadroom {
		return list
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range h.urgentLoad.estimator.Reports() {
		list = append(list, HeadroomReport{
			Service: r.Service, Label: r.Label,
			MilliCPU: r.Each.MilliCPU, MemoryMB: r.Each.MemoryMB, Accelerators: r.Each.Accelerators,
			Held: r.Held, Waiting: r.Waiting, Mean: r.Mean, Deviation: r.Deviation, Kept: r.Slots,
			Free: placement.FreeSlots(&h.view, &r.Shape),
		})
	}
	return list
}

// stoppedForUrgent is the reason of stops that free capacity for urgent work.
const stoppedForUrgent = "room for urgent work"

const (
	// firstRestartPause and maxRestartPause are the pauses after the first recent stop for urgent work and after many. The
	// pause doubles with each stop. An urgent run takes 2.1 to 2.5 s, so the longest pause spans a burst of them.
	firstRestartPause = time.Second
	maxRestartPause   = 4 * time.Second
	// recentStopPeriod is how long a stop counts as recent. It is about twice the run time of batch tasks, so that a job
	// that runs undisturbed for its whole run time is treated as if it had not been stopped.
	recentStopPeriod = 20 * time.Second
)

// urgentStops holds how often a job was stopped for urgent work recently. It is lost at a takeover.
type urgentStops struct {
	count       int       // Decisions that stopped runs of the job, each less than recentStopPeriod after the one before.
	last        time.Time // Time of the last such decision.
	pausedUntil time.Time // The job's tasks should not start earlier.
}

// record records that a decision stops runs of the job.
func (u *urgentStops) record(now time.Time) {
	if u.last.Equal(now) {
		return
	}
	u.count = u.recent(now) + 1
	u.last = now
}

// recent returns the number of recent stops.
func (u *urgentStops) recent(now time.Time) int {
	if now.Sub(u.last) > recentStopPeriod {
		return 0
	}
	return u.count
}

// pause begins a pause.
func (u *urgentStops) pause(now time.Time) {
	length := firstRestartPause
	for range u.recent(now) - 1 {
		length = min(2*length, maxRestartPause)
	}
	u.pausedUntil = now.Add(length)
}

// pauseAfterStop pauses a job once a run of it has ended by a stop for urgent work. Urgent jobs don't pause.
func (h *shard) pauseAfterStop(r *run, outcome job.Outcome) {
	if h.Bounds.DisableHeadroom || r.job.Request.Terms.Priority == 0 {
		return
	}
	if outcome == job.Succeeded || r.stopReason != stoppedForUrgent {
		return
	}
	r.job.urgentStops.pause(time.Now())
}
