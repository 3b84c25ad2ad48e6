package scheduler

import (
	"slices"
	"time"

	"go.uber.org/zap"
)

const (
	// laggingAt is how many times slower than its gang's others a member must work for its worker to count as slow. Members on
	// sound workers were seen to differ by 1.3 times, and workers of a site differ by 1.6 (0.8 to 1.25 of the usual speed).
	laggingAt = 3
	// paceAge is the least age of a run whose pace is told by its share, which comes in whole percent.
	paceAge = 700 * time.Millisecond
	// leastTold stands for a share that is told as 0.
	leastTold = 0.005
	// laggingKept is how long a worker counts as slow after a gang's member showed it to be: two looks at others there, and about
	// as long as slow spells were seen to last.
	laggingKept = 5 * time.Second
	// restartSoon is how long a gang that is begun anew should wait for room, beyond its stop.
	restartSoon = 300 * time.Millisecond
)

// pace is the share of its work that a run does in a second, lately or else since it began; 0 where that is not known.
func (r *run) pace() float64 {
	p := &r.progress
	if p.at.IsZero() || r.confirmed.IsZero() {
		return 0
	}
	if p.share >= 1 {
		return max(p.best, 1/max(p.moved.Sub(r.confirmed).Seconds(), paceAge.Seconds()))
	}
	if p.rate > 0 {
		return p.rate
	}
	age := p.at.Sub(r.confirmed)
	if age < paceAge || r.saved != "" {
		return 0
	}
	return max(p.share, leastTold) / age.Seconds()
}

// laggards are the members of a gang that work far slower than the others, and how long all of the work would take without
// them; nil while fewer than half of the members have told.
func (x *held) laggards() (slow []*run, whole time.Duration) {
	var paces []float64
	for _, r := range x.runs {
		if pace := r.pace(); pace > 0 {
			paces = append(paces, pace)
		}
	}
	if len(paces) < 2 || 2*len(paces) < len(x.runs) {
		return nil, 0
	}
	slices.Sort(paces)
	usual := paces[len(paces)/2]
	for _, r := range x.runs {
		switch pace := r.pace(); {
		case pace <= 0:
		case pace < usual/laggingAt:
			slow = append(slow, r)
		default:
			whole = max(whole, seconds(1/pace))
		}
	}
	return slow, whole
}

// endLagging takes in which workers the gangs on a worker show to be slow, so that others avoid them, and has a gang begin anew
// without them where it would earn nothing any more otherwise. On a day with 17% of the workers 6.6 times slower for
// 5.5 s, most gangs had a member on one, and urgent gangs of 2.5 s took 7 to 20 s. Spells pass: with every gang begun anew
// that would end sooner so, two and a half times as much work was thrown away on a day, and no more was served.
func (h *shard) endLagging(w *workerState, now time.Time) {
	var last *held
	for _, r := range w.runs {
		x := r.held
		if x == last || len(x.runs) < 2 || x.stopping || r.job.Request.Steps[r.task.Step].Lasting {
			continue
		}
		last = x
		if slow, whole := x.laggards(); len(slow) > 0 {
			h.takeLaggards(x, slow, whole, now)
		}
	}
}

func (h *shard) takeLaggards(x *held, slow []*run, whole time.Duration, now time.Time) {
	left := time.Duration(0)
	for _, r := range slow {
		r.worker.laggedAt = now
		left = max(left, seconds((1-r.progress.share)/r.pace()))
	}
	if !h.saves(x, left, whole, now) {
		return
	}
	first := x.runs[0]
	h.Figures.Count("gangs_lagging")
	h.Log.Info("scheduler: a gang waits for slow members", zap.String("job", string(first.task.Job)), zap.Int("step", first.task.Step),
		zap.Int("run", first.number), zap.Int("slow", len(slow)), zap.Int("members", len(x.runs)), zap.Duration("left", left), zap.Duration("anew", whole))
	for _, r := range slices.Clone(x.runs) {
		h.stop(r.worker, r, "other members are far slower")
	}
}

// saves reports whether a gang that has so much left to do earns a part if it begins anew, nothing otherwise, and that part is
// worth more than what is thrown away.
func (h *shard) saves(x *held, left, whole time.Duration, now time.Time) bool {
	first := x.runs[0]
	request := first.job.Request
	lastGoal := time.UnixMilli(request.Due(first.task.Occurrence)).Add(lateFactor * h.allowed(request))
	late := now.Add(left).After(lastGoal)
	anew := !now.Add(h.Bounds.StopTime + restartSoon + whole).After(lastGoal)
	return late && anew && lateShare*h.value(request) >= h.lossOf(x, now)*h.Bounds.Policy.WasteCost
}

// lags reports whether a gang's member showed the worker to be slow lately.
func (c *conduct) lags(now time.Time) bool {
	return !c.laggedAt.IsZero() && now.Sub(c.laggedAt) < laggingKept
}
