package scheduler

import (
	"time"

	"github.com/pulleyring/pulleyring/internal/headroom"
	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/internal/placement"
)

// urgentLoad learns how much capacity urgent work takes. The zero value is ready to use.
type urgentLoad struct {
	estimator headroom.Estimator
	loads     []headroom.Load // Buffer of updateHeadroom, reused between calls.
}

// updateHeadroom updates the load of urgent work from a view, and the capacity in it that is kept for such work.
func (h *shard) updateHeadroom(v *placement.View, now time.Time) {
	v.Headroom = nil
	if h.Bounds.DisableHeadroom {
		return
	}
	u := &h.urgentLoad
	u.loads = u.loads[:0]
	for _, x := range h.allocations.list {
		r := x.runs[0]
		if terms := &r.job.Request.Terms; terms.Priority == 0 && !x.stopping {
			shape := placement.ShapeOf(terms.Service, &r.job.Request.Steps[r.task.Step])
			u.loads = append(u.loads, headroom.Load{Shape: shape, Held: len(x.runs)})
		}
	}
	for i := range v.Demands {
		if d := &v.Demands[i]; d.Priority == 0 {
			u.loads = append(u.loads, headroom.Load{Shape: placement.ShapeOf(d.Service, d.Step), Waiting: len(d.Waiting)})
		}
	}
	u.estimator.Update(now, u.loads)
	v.Headroom = u.estimator.Kept()
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
	if outcome == job.Succeeded || r.stopReason != stoppedForUrgent || r.job.Request.Terms.Priority == 0 || h.Bounds.DisableHeadroom {
		return
	}
	r.job.urgentStops.pause(time.Now())
}
