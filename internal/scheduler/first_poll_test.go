package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/fleet"
	"github.com/pulleyring/pulleyring/internal/job"
)

// TestFirstPollOfUnknownWorker fails if the speed of a worker stays unknown because all urgent runs on it are shorter than
// a usual poll, or if workers are polled early for it although their speed is known or not used.
func TestFirstPollOfUnknownWorker(t *testing.T) {
	for _, c := range []struct {
		name    string
		used    bool // Placement uses the speeds of workers.
		samples int
		wait    time.Duration
	}{
		{"unknown", true, 0, speedMinAge + firstPollMargin},
		{"known", true, minKnownSamples, pollWait},
		{"not used", false, 0, pollWait},
	} {
		synctest.Test(t, func(t *testing.T) {
			h, w := shardWithRun()
			request := h.jobs["j"].Request
			request.Steps[0], request.Terms = urgentGang(1000), tight(0)
			if c.used {
				w.speed.timeFactor, w.speed.timeFactorHigh = 1, 1.7
			}
			for range c.samples {
				w.speed.estimate.Observe(1, 0.04, time.Now())
			}
			quicktest.Check(t, h.firstPollWait(w, pollWait, time.Now()), quicktest.Equals, c.wait, quicktest.Commentf(c.name))
		})
	}
}

// TestFirstPoll fails if a hung member of an urgent gang is noticed too late for a restart within the goal, or if
// workers are polled early although no restart depends on it: each poll costs as much as a health check.
func TestFirstPoll(t *testing.T) {
	for _, c := range []struct {
		name  string
		terms job.Terms
		step  job.Step
		stop  time.Duration
		age   time.Duration // Age of the run at the poll.
		polls bool          // The run was polled at that age before.
		wait  time.Duration // Expected wait of the next poll.
	}{
		{"a restart is in time", tight(0), urgentGang(2500), 200 * time.Millisecond, 0, false, speedMinAge + firstPollMargin},
		{"the run is 0.5 s old", tight(0), urgentGang(2500), 200 * time.Millisecond, 500 * time.Millisecond, false, 280 * time.Millisecond},
		{"the poll is overdue", tight(0), urgentGang(2500), 200 * time.Millisecond, time.Second, false, minFirstPollWait},
		{"it was polled", tight(0), urgentGang(2500), 200 * time.Millisecond, time.Second, true, pollWait},
		{"a restart is late even then", tight(0), urgentGang(2500), 900 * time.Millisecond, 0, false, pollWait},
		{"a restart after a usual poll is in time", tight(0), urgentGang(9000), 200 * time.Millisecond, 0, false, pollWait},
		{"the work is not urgent", tight(1), urgentGang(2500), 200 * time.Millisecond, 0, false, pollWait},
		{"it is a single task", tight(0), job.Step{Count: 1, Estimate: 2500 * time.Millisecond}, 200 * time.Millisecond, 0, false, pollWait},
	} {
		synctest.Test(t, func(t *testing.T) {
			h := offlineShard()
			h.Bounds = Bounds{MaxLease: 10 * time.Second, StopTime: c.stop}
			w := workerOf(&fleet.Worker{ID: "w", Capacity: job.Resources{Accelerators: 8}})
			h.workers["w"] = w
			h.addJob(&job.Request{ID: "j", Steps: []job.Step{c.step}, Terms: c.terms, Accepted: time.Now().UnixMilli()}, nil)
			d := h.demand(h.jobs["j"], job.Group{}, time.Now())
			h.place(&d, map[int]string{0: "w"}, time.Now())
			time.Sleep(c.age)
			if c.polls {
				for _, r := range w.runs {
					r.progress.update(0, time.Now())
				}
			}
			quicktest.Check(t, h.firstPollWait(w, pollWait, time.Now()), quicktest.Equals, c.wait, quicktest.Commentf(c.name))
		})
	}
}

func tight(priority int) job.Terms {
	return job.Terms{Priority: priority, Attempts: 3, Stretch: 1.5, Objective: 250 * time.Millisecond}
}

func urgentGang(ms int) job.Step {
	return job.Step{Count: 1, Gang: true, Each: job.Resources{Accelerators: 1}, Estimate: time.Duration(ms) * time.Millisecond}
}
