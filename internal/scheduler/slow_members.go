package scheduler

import (
	"slices"
	"time"

	"go.uber.org/zap"
)

const (
	// slowFactor is how many times slower than the others in its gang a member must be for its worker to count
	// as slow. Members on healthy workers differed by up to 1.3 times, and the workers of a site differ by 1.6
	// (0.8 to 1.25 of the usual speed).
	slowFactor = 3
	// speedMinAge is the minimum age of a run whose speed is derived from its share, which is reported in whole
	// percent.
	speedMinAge = 700 * time.Millisecond
	// minShare replaces a reported share of 0, so that the speed of such a run is not 0, which means unknown.
	minShare = 0.005
	// slowRetention is how long a worker counts as slow after a gang member on it was far slower than the others.
	// It covers two polls of the other members' workers and is about as long as slow periods last.
	slowRetention = 5 * time.Second
	// restartWait is how long a restarted gang is expected to wait for free capacity after it has been stopped.
	restartWait = 300 * time.Millisecond
)

// speed returns the share of its work that a run does per second, or 0 if that is unknown. It is the recent speed
// if that is known, else the mean since the start.
func (r *run) speed() float64 {
	p := &r.progress
	if p.reportedAt.IsZero() || r.confirmed.IsZero() {
		return 0
	}
	if p.share >= 1 {
		return max(p.bestRate, 1/max(p.grewAt.Sub(r.confirmed).Seconds(), speedMinAge.Seconds()))
	}
	if p.rate > 0 {
		return p.rate
	}
	age := p.reportedAt.Sub(r.confirmed)
	if age < speedMinAge || r.saved != "" {
		return 0
	}
	return max(p.share, minShare) / age.Seconds()
}

// slowMembers returns the members of a gang that are far slower than the others, beyond the known speeds of their
// workers, and how long the gang's whole work takes its slowest other member. It returns nil if the speeds of fewer
// than two members, or of fewer than half of them, are known.
func (x *allocation) slowMembers() (slow []*run, whole time.Duration) {
	var paces []float64
	for _, r := range x.runs {
		if pace := r.speed(); pace > 0 {
			paces = append(paces, pace*r.timeFactor())
		}
	}
	if len(paces) < 2 || 2*len(paces) < len(x.runs) {
		return nil, 0
	}
	slices.Sort(paces)
	usual := paces[len(paces)/2]
	for _, r := range x.runs {
		switch pace := r.speed(); {
		case pace <= 0:
		case pace*r.timeFactor() < usual/slowFactor:
			slow = append(slow, r)
		default:
			whole = max(whole, seconds(1/pace))
		}
	}
	return slow, whole
}

// handleSlowMembers looks for slow members in the gangs that have a member on w, and marks the workers of these
// members as slow, so that other runs avoid them. It restarts a gang without these workers if it would otherwise
// end too late to earn anything. On a day with 17% of the workers 6.6 times slower for 5.5 s, most gangs had a
// member on one, and urgent gangs of 2.5 s took 7 to 20 s. Slow periods are short. Restarting every gang that
// would end sooner after a restart lost two and a half times as much work and served no more jobs.
func (h *shard) handleSlowMembers(w *workerState, now time.Time) {
	var last *allocation
	for _, r := range w.runs {
		x := r.allocation
		if x == last || len(x.runs) < 2 || x.stopping || r.lasts() {
			continue
		}
		last = x
		if slow, whole := x.slowMembers(); len(slow) > 0 {
			h.handleSlowGang(x, slow, whole, now)
		}
	}
}

func (h *shard) handleSlowGang(x *allocation, slow []*run, whole time.Duration, now time.Time) {
	left := time.Duration(0)
	for _, r := range slow {
		r.worker.shownSlowAt = now
		left = max(left, seconds((1-r.progress.share)/r.speed()))
	}
	if !h.isRestartWorthwhile(x, left, whole, now) {
		return
	}
	first := x.runs[0]
	h.Figures.Count("gangs_lagging")
	h.Log.Info("scheduler: gang waits for slow members; restarting it without them", zap.String("job", string(first.task.Job)), zap.Int("step", first.task.Step),
		zap.Int("run", first.number), zap.Int("slow", len(slow)), zap.Int("members", len(x.runs)), zap.Duration("left", left), zap.Duration("anew", whole))
	for _, r := range slices.Clone(x.runs) {
		h.stop(r.worker, r, "other members are far slower")
	}
}

// isRestartWorthwhile reports whether a restart of a gang pays. The gang must be too late to earn anything if it
// continues for the time left, but in time after a restart that takes the time whole. The part of its value that
// it then earns must be at least the cost of the lost work.
func (h *shard) isRestartWorthwhile(x *allocation, left, whole time.Duration, now time.Time) bool {
	first := x.runs[0]
	request := first.job.Request
	lastGoal := time.UnixMilli(request.Due(first.task.Occurrence)).Add(lateFactor * h.allowedTime(request))
	late := now.Add(left).After(lastGoal)
	anew := !now.Add(h.Bounds.StopTime + restartWait + whole).After(lastGoal)
	return late && anew && lateShare*h.value(request) >= h.lostWorkOf(x, now)*h.Bounds.Policy.WasteCost
}

// isSlow reports whether a gang member on the worker was far slower than the others within slowRetention.
func (c *workerHealth) isSlow(now time.Time) bool {
	return !c.shownSlowAt.IsZero() && now.Sub(c.shownSlowAt) < slowRetention
}
