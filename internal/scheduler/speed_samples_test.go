package scheduler

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/fleet"
	"github.com/pulleyring/pulleyring/internal/job"
)

// TestSamplesOfStepShareError fails if the tasks of one step on a worker count as independent samples. Eight of them on
// each of four unknown workers then seemed to tell their factors within a few percent, although the time of a usual
// worker was known only from the three others; urgent gangs were placed on slow workers with that certainty.
func TestSamplesOfStepShareError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := offlineShard()
		request := &job.Request{ID: "j", Steps: []job.Step{{Count: 32, Each: job.Resources{Accelerators: 1}}}, Terms: job.Terms{Queue: "q", Attempts: 9}}
		h.addJob(request, nil)
		d := h.demand(h.jobs["j"], job.Group{}, time.Now())
		names := []string{"w0", "w1", "w2", "w3"}
		assigned := map[int]string{}
		for i, name := range names {
			h.workers[name] = workerOf(&fleet.Worker{ID: name, Capacity: job.Resources{Accelerators: 8}})
			for k := range 8 {
				assigned[8*i+k] = name
			}
		}
		h.place(&d, assigned, time.Now())
		for _, name := range names {
			for _, r := range h.workers[name].runs {
				h.addSample(r, 2*time.Second, time.Second)
			}
		}
		for _, name := range names {
			estimate := h.workers[name].speed.estimate
			quicktest.Check(t, estimate.Samples(), quicktest.Equals, 1)
			// The mean of three unknown workers has a third of their variance.
			quicktest.Check(t, math.Sqrt(estimate.Variance()) > 0.19, quicktest.IsTrue, quicktest.Commentf("%v", estimate.Variance()))
		}
	})
}

// TestSamplesOfReturnedWorker fails if a sample that waits for others of its step is lost when its worker is declared
// lost and comes back meanwhile, or if it is then compared with later samples of the same worker.
func TestSamplesOfReturnedWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := offlineShard()
		request := &job.Request{ID: "j", Steps: []job.Step{{Count: 4, Each: job.Resources{Accelerators: 1}}}, Terms: job.Terms{Queue: "q", Attempts: 9}}
		h.addJob(request, nil)
		d := h.demand(h.jobs["j"], job.Group{}, time.Now())
		records := map[string]*fleet.Worker{}
		for _, name := range []string{"w0", "w1", "w2"} {
			records[name] = &fleet.Worker{ID: name, Born: 1, Capacity: job.Resources{Accelerators: 8}}
			h.workers[name] = workerOf(records[name])
		}
		h.place(&d, map[int]string{0: "w0", 1: "w0", 2: "w1", 3: "w2"}, time.Now())
		first := h.workers["w0"]
		for _, r := range first.runs {
			h.addSample(r, 3*time.Second, 2*time.Second)
		}
		h.declareLost(first, leasesExpired)
		back := workerOf(records["w0"])
		h.speeds.restoreSpeed(back)
		h.workers["w0"] = back
		for _, name := range []string{"w1", "w2"} {
			for _, r := range h.workers[name].runs {
				h.addSample(r, 2*time.Second, time.Second)
			}
		}
		quicktest.Check(t, back.speed.estimate.Samples(), quicktest.Equals, 1)
		quicktest.Check(t, back.speed.estimate.Log() > 0, quicktest.IsTrue)
	})
}
