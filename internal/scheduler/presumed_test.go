package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/fleet"
	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/internal/measure"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// TestReturnOfWorkerIsLogged fails if the logs and metrics don't show that a worker has returned whose runs were
// presumed ended. Without them nobody can tell whether a task ran twice because its worker was declared lost
// too early.
func TestReturnOfWorkerIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := offlineShard()
		core, seen := observer.New(zap.InfoLevel)
		h.Log, h.Figures = zap.New(core), &measure.Metrics{}
		h.Bounds.MaxLease = 10 * time.Second
		h.addJob(&job.Request{ID: "j", Steps: []job.Step{{Count: 1}}, Terms: job.Terms{Attempts: 2}}, nil)
		now := time.Now()
		w := workerOf(&fleet.Worker{ID: "w", Draining: true})
		w.knownSince, w.clock, w.clockAt = now, 1, now
		w.leases = leases{acceptedOwnToken: true, runsEndedBy: now.Add(time.Minute)}
		h.workers["w"] = w
		time.Sleep(2 * time.Second)
		h.place(&h.updateView(time.Now()).Demands[0], map[int]string{0: "w"}, time.Now())
		h.declareLost(w, leasesExpired)

		gone := seen.FilterMessage("scheduler: worker declared lost; its runs are presumed ended").All()[0].ContextMap()["belief"].(map[string]any)
		quicktest.Check(t, gone["answered_ago"], quicktest.Equals, 2*time.Second)
		quicktest.Check(t, gone["lease_left"], quicktest.Equals, 58*time.Second)
		quicktest.Check(t, gone["lease_own"], quicktest.Equals, true)

		task := job.Task{Job: "j"}
		report := fleet.Report{Incarnation: w.incarnation, Clock: 2, Ended: []fleet.End{{Number: 1, Task: task, Run: 1, Outcome: job.Succeeded}}}
		for range 2 {
			h.applyReport(w, &report, w.sendState(), 0)
		}
		back := seen.FilterMessage("scheduler: worker whose runs were presumed ended is back").All()
		quicktest.Assert(t, back, quicktest.HasLen, 1)
		quicktest.Check(t, back[0].ContextMap()["by"], quicktest.Equals, "report")
		quicktest.Check(t, h.Figures.CounterValue("workers_back"), quicktest.Equals, int64(1))
		ends := seen.FilterMessage("scheduler: worker reported the end of a run that is not tracked").All()
		quicktest.Assert(t, ends, quicktest.HasLen, 1)
		quicktest.Check(t, ends[0].ContextMap()["why"], quicktest.Equals, runPresumedEnded.String())
		quicktest.Check(t, h.Figures.CounterValue("ends_unfollowed_given_up"), quicktest.Equals, int64(1))
	})
}
