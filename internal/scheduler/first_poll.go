package scheduler

import "time"

const (
	// firstPollMargin is added to speedMinAge for the first poll of a run, so that its report surely covers that age.
	firstPollMargin = 80 * time.Millisecond
	// minFirstPollWait is the shortest wait of such a poll. A worker that reports no progress is then polled 20 times a
	// second at most until the run has reached that age.
	minFirstPollWait = 50 * time.Millisecond
	// minKnownSamples is the number of samples from which the speed of a worker counts as known. With two of them the
	// standard deviation of the logarithm is about half of that between workers of 0.6 to 1.6 times the usual speed.
	minKnownSamples = 2
)

// firstPollWait returns how long a poll of a worker may wait so that hung and slow members of urgent gangs are noticed
// while a restart elsewhere still meets the goal. It is at most wait, the usual length. With the usual length of 1.5 s,
// gangs of 2.5 s that must end within 4 s were restarted after 1.6 s, and were then late: 35 of the 46 late jobs of a
// day on which a tenth of the workers hung for 5 s.
func (h *shard) firstPollWait(w *workerState, wait time.Duration, now time.Time) time.Duration {
	for _, r := range w.runs {
		if age, due := h.firstPollAge(r); due {
			wait = min(wait, max(age-now.Sub(r.workingSince()), minFirstPollWait))
		}
	}
	return wait
}

// firstPollAge returns the age at which a run should first be polled. It returns false if the run was polled at that
// age, or if nothing depends on it. A restart does not if one after a usual poll meets the goal too, or if even one
// after the first poll is late. The speed of a worker that is hardly known does: urgent runs may be too short for a
// usual poll.
func (h *shard) firstPollAge(r *run) (time.Duration, bool) {
	request := r.job.Request
	step := &request.Steps[r.task.Step]
	if request.Terms.Priority > 0 || !step.Gang || step.Lasting || r.stopping || r.orphaned {
		return 0, false
	}
	if p := &r.progress; !p.reportedAt.IsZero() && p.reportedAt.Sub(r.workingSince()) >= speedMinAge {
		return 0, false
	}
	age := speedMinAge + firstPollMargin
	if r.worker.isSpeedUncertain() {
		return age, true
	}
	restart := h.Bounds.StopTime + h.estimates.chainTime(request, r.task.Step)
	goal := time.UnixMilli(request.Due(r.task.Occurrence)).Add(h.allowedTime(request))
	spare := goal.Sub(r.workingSince()) - restart
	return age, age <= spare && spare < pollWait
}

// isSpeedUncertain reports whether placement uses the speeds of workers and hardly knows that of this one.
func (w *workerState) isSpeedUncertain() bool {
	return w.speed.timeFactor > 0 && w.speed.estimate.Samples() < minKnownSamples
}

// workingSince returns when the worker confirmed the run, or when the run was placed if it has not.
func (r *run) workingSince() time.Time {
	if r.confirmed.IsZero() {
		return r.placed
	}
	return r.confirmed
}
