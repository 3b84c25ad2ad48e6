package scheduler

import (
	"time"

	"github.com/pulleyring/pulleyring/internal/job"
	"go.uber.org/zap"
)

const (
	// minRateWindow is the shortest time over which the rate of a run is measured. Workers report progress in whole
	// percent, and the longest tasks take about 10 s.
	minRateWindow = 800 * time.Millisecond
	// minRateShare is the part of its work that a run must complete before its rate is measured.
	minRateShare = 0.04
	// maxRateWindow is the time after which the rate is measured even if the run completed less than minRateShare.
	maxRateWindow = 3 * time.Second
	// progressMaxAge is the longest time for which a progress report is used to predict the end of a run.
	progressMaxAge = 5 * time.Second
	// minStallObserved is how long a run must have made no progress, according to its worker's reports, before it
	// counts as stalled. It is longer than a poll takes.
	minStallObserved = 1200 * time.Millisecond
	// stallShare is the part of its work that a run should have completed, at its expected rate, while it reported no
	// progress. Below that it does not count as stalled. Progress is reported in whole percent; this is three percent.
	stallShare = 0.03
	// minStallTime is how long a run must have been stalled before it is stopped. Many stalls pass by themselves, and a
	// restart loses the work done.
	minStallTime = 2500 * time.Millisecond
	// stallFailureScore is what a stalled run adds to its worker's failure score. A stalled gang adds
	// gangStallFailureScore to each of its workers, of which only one is to blame.
	stallFailureScore     = 1.5
	gangStallFailureScore = 0.5
)

// progress holds how much of a run's work is done, as reported by its worker. Times are those of the reports.
type progress struct {
	share       float64   // Part of the work that is done, from 0 to 1.
	reportedAt  time.Time // Time of the last report.
	grewAt      time.Time // When the share last grew.
	rate        float64   // Share of the work done per second in the last measuring window; 0 until one has ended.
	bestRate    float64   // The highest value that rate has had.
	windowShare float64   // Share at the start of the measuring window.
	windowStart time.Time // Start of the measuring window.
	baseShare   float64   // Share at the report in which it first grew; until then, that of the first report.
	baseAt      time.Time // Time of that report.
	hasGrown    bool      // The share has grown between two reports.
}

// update records the share of the work that is done, as reported in a poll at the given time.
func (p *progress) update(share float64, now time.Time) {
	if p.reportedAt.IsZero() || !p.hasGrown && share > p.baseShare {
		p.hasGrown = !p.reportedAt.IsZero()
		p.baseShare, p.baseAt = share, now
	}
	if p.reportedAt.IsZero() {
		p.grewAt, p.windowShare, p.windowStart = now, share, now
	}
	if share > p.share {
		p.grewAt = now
	}
	window := now.Sub(p.windowStart)
	if window >= minRateWindow && (share-p.windowShare >= minRateShare || window >= maxRateWindow) {
		p.rate = max(0, share-p.windowShare) / window.Seconds()
		p.bestRate = max(p.bestRate, p.rate)
		p.windowShare, p.windowStart = share, now
	}
	p.share, p.reportedAt = share, now
}

// predictedEnd returns when the run ends at its current rate, and until when that prediction is valid. Both are zero if
// the rate is unknown.
func (p *progress) predictedEnd() (ends, knownUntil time.Time) {
	if p.rate <= 0 {
		return time.Time{}, time.Time{}
	}
	return p.reportedAt.Add(seconds((1 - p.share) / p.rate)), p.reportedAt.Add(progressMaxAge)
}

// stalledFor returns for how long a run has been stalled: it made no progress, although it should have at its best rate
// so far. total, the expected run time of the task, gives the rate if none was measured. It returns 0 for other runs.
func (p *progress) stalledFor(total time.Duration) time.Duration {
	if p.reportedAt.IsZero() || p.share >= 1 {
		return 0
	}
	expected := p.bestRate
	if expected == 0 {
		expected = 1 / max(total.Seconds(), 1e-3)
	}
	unchanged := p.reportedAt.Sub(p.grewAt)
	if unchanged < minStallObserved || unchanged.Seconds()*expected < stallShare {
		return 0
	}
	return unchanged
}

// slowdown returns how many times slower than its best rate a run is now, or 1 if that is unknown.
func (p *progress) slowdown() float64 {
	if p.rate <= 0 || p.bestRate <= 0 {
		return 1
	}
	return p.bestRate / p.rate
}

// stalledFor returns for how long a run has been stalled, or 0 if it is not.
func (h *shard) stalledFor(r *run) time.Duration {
	if r.confirmed.IsZero() || r.stopping || r.lasts() {
		return 0
	}
	slowest := h.Bounds.Policy.RemoteFactor * max(r.timeFactor(), 1) // Its location may slow it down, too.
	return r.progress.stalledFor(scale(h.estimates.taskTime(r.job.Request, r.task.Step), slowest))
}

// hasStalledTask reports whether a single task is stalled on a worker, so that nothing new should start there. Members
// of gangs are ignored because they may be waiting for a member on another worker, and tasks of a job that stalls
// everywhere because the worker is not the cause.
func (h *shard) hasStalledTask(w *workerState) bool {
	for _, r := range w.runs {
		if !r.job.Request.Steps[r.task.Step].Gang && !r.job.ownFault && h.stalledFor(r) > 0 {
			return true
		}
	}
	return false
}

// stopStalledRuns stops runs on a worker that have been stalled for longer than a restart would cost.
func (h *shard) stopStalledRuns(w *workerState, now time.Time) {
	for _, r := range w.runs {
		step := &r.job.Request.Steps[r.task.Step]
		stalled := h.stalledFor(r)
		if stalled < max(minStallTime, h.restartCost(r, step, now.Add(-stalled))) {
			continue
		}
		h.Figures.Count("runs_stalled")
		h.Log.Info("scheduler: a run is stalled; stopping it", zap.String("task", r.task.String()), zap.Int("run", r.number), zap.Inline(w.incarnation),
			zap.Float64("done", r.progress.share), zap.Duration("for", stalled), zap.Duration("age", now.Sub(r.placed)), zap.Bool("gang", step.Gang))
		h.stop(w, r, "it makes no progress")
		request := r.job.Request
		if !step.Gang {
			if h.blamesWorker(w, r, now) {
				w.failureScore.add(request, stallFailureScore, now)
			}
			continue
		}
		w.failureScore.add(request, gangStallFailureScore, now)
		h.forEachOtherMember(r, func(other *workerState, m *run) {
			other.failureScore.add(request, gangStallFailureScore, now)
			h.stop(other, m, "another member makes no progress")
		})
	}
}

// restartCost returns the time that is lost by restarting a run that made progress until a given time. For a gang the
// time is doubled: it is unknown which worker is to blame, so the restarted gang may stall as well.
func (h *shard) restartCost(r *run, step *job.Step, until time.Time) time.Duration {
	redone := until.Sub(r.placed)
	if step.Checkpoints {
		redone = min(redone, checkpointLoss)
	}
	cost := redone + h.Bounds.StopTime + restartDelay
	if step.Gang {
		cost *= 2
	}
	return cost
}

// learnShare is the share of its work that a run must have done before its rate is used to estimate how long similar
// tasks take.
const learnShare = 0.1

// learnFromProgress updates the estimated run time of a step from the progress of a run, once per run. Runs that are
// slowed down by their location are ignored because their run time does not apply to other runs.
func (h *shard) learnFromProgress(r *run) {
	step := &r.job.Request.Steps[r.task.Step]
	if r.usedForEstimate || r.remote || r.adopted || step.Lasting || r.progress.rate <= 0 || r.progress.share < learnShare {
		return
	}
	r.usedForEstimate = true
	h.estimates.addRun(r.job.Request, r.task.Step, seconds(1/(r.progress.rate*r.timeFactor())))
}

// expectedEnd returns when a run should end and, if that is computed from reported progress, until when the prediction
// is valid. If it is computed from the estimated run time, knownUntil is zero.
func (h *shard) expectedEnd(r *run) (ends, knownUntil time.Time) {
	if !r.lasts() {
		ends, knownUntil = r.progress.predictedEnd()
	}
	if knownUntil.IsZero() {
		ends = r.placed.Add(scale(h.estimates.taskTime(r.job.Request, r.task.Step), r.timeFactor()))
	}
	return ends, knownUntil
}
