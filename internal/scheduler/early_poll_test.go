package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/job"
)

// TestEarlyPollForRestart fails if a hung member of an urgent gang is noticed too late for a restart within the goal, or
// if workers are polled early although no restart depends on it: each poll costs as much as a health check.
func TestEarlyPollForRestart(t *testing.T) {
	for _, c := range []struct {
		name  string
		terms job.Terms
		step  job.Step
		stop  time.Duration
		early bool
	}{
		{"a restart is in time", tight(0), urgentGang(2500), 200 * time.Millisecond, true},
		{"a restart is late even then", tight(0), urgentGang(2500), 900 * time.Millisecond, false},
		{"a restart after a regular poll is in time", tight(0), urgentGang(9000), 200 * time.Millisecond, false},
		{"the work is not urgent", tight(1), urgentGang(2500), 200 * time.Millisecond, false},
		{"it is a single task", tight(0), job.Step{Count: 1, Estimate: 2500 * time.Millisecond}, 200 * time.Millisecond, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			h, r := shardWithStartedRun(c.step, c.terms)
			h.Bounds.StopTime = c.stop
			quicktest.Check(t, h.needsEarlyPoll(r), quicktest.Equals, c.early, quicktest.Commentf(c.name))
		})
	}
}

// TestEarlyPollOfUnknownWorker fails if the speed of a worker stays unknown because all urgent runs on it are shorter
// than a regular poll, or if workers are polled early for it although their speed is known or not used.
func TestEarlyPollOfUnknownWorker(t *testing.T) {
	for _, c := range []struct {
		name    string
		used    bool // Placement uses the speeds of workers.
		samples int
		early   bool
	}{
		{"unknown", true, 0, true},
		{"known", true, minKnownSamples, false},
		{"not used", false, 0, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			h, r := shardWithStartedRun(urgentGang(1000), tight(0))
			if c.used {
				r.worker.speed.timeFactor, r.worker.speed.timeFactorHigh = 1, 1.7
			}
			for range c.samples {
				r.worker.speed.estimate.Observe(1, 0.04, time.Now())
			}
			quicktest.Check(t, h.needsEarlyPoll(r), quicktest.Equals, c.early, quicktest.Commentf(c.name))
		})
	}
}

// TestEarlyPollIsSentOnce fails if a worker is polled again for a run that a regular poll or the early poll of another
// member has covered, or for a run that has ended.
func TestEarlyPollIsSentOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, r := shardWithStartedRun(urgentGang(2500), tight(0))
		time.Sleep(speedMinAge + earlyPollMargin)
		quicktest.Check(t, r.worker.isEarlyPollDue(r), quicktest.IsTrue)
		r.worker.polledAt = r.confirmed.Add(speedMinAge - time.Millisecond)
		quicktest.Check(t, r.worker.isEarlyPollDue(r), quicktest.IsTrue)
		r.worker.polledAt = r.confirmed.Add(speedMinAge)
		quicktest.Check(t, r.worker.isEarlyPollDue(r), quicktest.IsFalse)
		r.worker.polledAt = time.Time{}
		delete(r.worker.runs, r.task)
		quicktest.Check(t, r.worker.isEarlyPollDue(r), quicktest.IsFalse)
	})
}

// TestEarlyPollCoversAllRunsOfWorker fails if two members of a gang on the same worker lead to two early polls, because
// the first one has not been answered yet when the second one is due.
func TestEarlyPollCoversAllRunsOfWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, r := shardWithStartedRun(urgentGang(2500), tight(0))
		other := *r
		other.task.Index = 1
		r.worker.runs[other.task] = &other
		time.Sleep(speedMinAge + earlyPollMargin)
		quicktest.Check(t, h.claimEarlyPoll(r.worker, r), quicktest.IsTrue)
		quicktest.Check(t, h.claimEarlyPoll(r.worker, &other), quicktest.IsFalse)
		later := other
		later.confirmed = time.Now()
		r.worker.runs[other.task] = &later
		time.Sleep(speedMinAge + earlyPollMargin)
		quicktest.Check(t, h.claimEarlyPoll(r.worker, &later), quicktest.IsTrue)
	})
}

// shardWithStartedRun returns a shard and a run of a step that has just started.
func shardWithStartedRun(step job.Step, terms job.Terms) (*shard, *run) {
	h, w := shardWithRun()
	request := h.jobs["j"].Request
	request.Steps[0], request.Terms, request.Accepted = step, terms, time.Now().UnixMilli()
	for _, r := range w.runs {
		r.confirmed = time.Now()
		return h, r
	}
	return nil, nil
}

func tight(priority int) job.Terms {
	return job.Terms{Priority: priority, Attempts: 3, Stretch: 1.5, Objective: 250 * time.Millisecond}
}

func urgentGang(ms int) job.Step {
	return job.Step{Count: 1, Gang: true, Each: job.Resources{Accelerators: 1}, Estimate: time.Duration(ms) * time.Millisecond}
}
