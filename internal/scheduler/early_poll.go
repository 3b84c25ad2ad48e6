package scheduler

import (
	"time"

	"github.com/pulleyring/pulleyring/internal/interval"
)

const (
	// earlyPollMargin is added to speedMinAge for the early poll of a run, so that its report surely covers that age.
	earlyPollMargin = 80 * time.Millisecond
	// minKnownSamples is the number of samples from which the speed of a worker counts as known. With two of them the
	// standard deviation of the logarithm is about half of that between workers of 0.6 to 1.6 times the usual speed.
	minKnownSamples = 2
)

// pollEarly polls the worker of a run that has just started once more, so that a hung or slow member of an urgent gang
// is noticed while a restart elsewhere still meets the goal. The regular poll in flight may wait for another 1.5 s.
// With regular polls alone, gangs of 2.5 s that must end within 4 s were restarted after 1.6 s, and were then late:
// most of the 46 late jobs of a day on which a tenth of the workers hung for 5 s.
func (h *shard) pollEarly(w *workerState, r *run) {
	if !h.needsEarlyPoll(r) {
		return
	}
	h.background.Go(func() {
		if interval.Sleep(h.ctx, speedMinAge+earlyPollMargin) && h.claimEarlyPoll(w, r) {
			h.Figures.Count("polls_early")
			h.pollOnce(w, answerTimeout)
		}
	})
}

// needsEarlyPoll reports whether anything depends on an early poll of a run. A restart does not if one after a regular
// poll meets the goal too, or if even one after the early poll is late. What is learned of a worker that is hardly
// known does: urgent runs may be too short for a regular poll.
func (h *shard) needsEarlyPoll(r *run) bool {
	request := r.job.Request
	step := &request.Steps[r.task.Step]
	if request.Terms.Priority > 0 || !step.Gang || step.Lasting || r.stopping || r.orphaned {
		return false
	}
	if r.worker.isSpeedUncertain() {
		return true
	}
	restart := h.Bounds.StopTime + h.estimates.chainTime(request, r.task.Step)
	goal := time.UnixMilli(request.Due(r.task.Occurrence)).Add(h.allowedTime(request))
	spare := goal.Sub(r.confirmed) - restart
	return speedMinAge+earlyPollMargin <= spare && spare < pollWait+earlyPollMargin
}

// claimEarlyPoll reports whether the early poll of a run is still due, and records that it is sent. It also serves the
// other runs on the worker that are old enough by then, such as further members of the gang.
func (h *shard) claimEarlyPoll(w *workerState, r *run) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !w.isEarlyPollDue(r) {
		return false
	}
	w.earlyPolledAt = time.Now()
	return true
}

// isEarlyPollDue reports whether a run still runs and no poll was made when it was old enough to show its speed.
// Another run on the same worker may have been polled for meanwhile.
func (w *workerState) isEarlyPollDue(r *run) bool {
	oldEnough := r.confirmed.Add(speedMinAge)
	polled := !w.polledAt.Before(oldEnough) || !w.earlyPolledAt.Before(oldEnough)
	return w.runs[r.task] == r && !r.stopping && w.failures == 0 && !polled
}

// isSpeedUncertain reports whether placement uses the speeds of workers and hardly knows that of this one.
func (w *workerState) isSpeedUncertain() bool {
	return w.speed.timeFactor > 0 && w.speed.estimate.Samples() < minKnownSamples
}
