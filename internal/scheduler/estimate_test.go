package scheduler

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/job"
)

// request returns a job whose steps have the given declared run times and depend on each other in a chain.
func request(id string, estimates ...time.Duration) *job.Request {
	r := &job.Request{ID: job.ID(id), Terms: job.Terms{Queue: "q"}}
	for i, d := range estimates {
		step := job.Step{Count: 2, Estimate: d}
		if i > 0 {
			step.After = []int{i - 1}
		}
		r.Steps = append(r.Steps, step)
	}
	return r
}

// TestFirstTaskSetsStepEstimate fails if the run time of a step's first task does not replace the estimate that is made
// from the declared run time and the queue's ratio of real to declared run times.
func TestFirstTaskSetsStepEstimate(t *testing.T) {
	var e estimates
	a, b := request("a", 4*time.Second, 2*time.Second), request("b", 6*time.Second)
	quicktest.Assert(t, e.taskTime(a, 0), quicktest.Equals, 4*time.Second)
	e.addRun(a, 0, 8*time.Second)
	quicktest.Assert(t, e.taskTime(a, 0), quicktest.Equals, 8*time.Second)
	// The queue's tasks take twice the declared time.
	quicktest.Assert(t, e.taskTime(a, 1), quicktest.Equals, 4*time.Second)
	quicktest.Assert(t, e.jobTime(a), quicktest.Equals, 12*time.Second)
	quicktest.Assert(t, e.taskTime(b, 0), quicktest.Equals, 12*time.Second)
	e.addRun(a, 0, 10*time.Second)
	quicktest.Assert(t, e.taskTime(a, 0), quicktest.Equals, 9*time.Second)
	e.forgetJob(a)
	quicktest.Assert(t, len(e.steps), quicktest.Equals, 0)
}

// TestLearnFromProgress fails if the progress of a run does not update the estimate of its step, or if it does so for a
// remote run, which is slower because of its location.
func TestLearnFromProgress(t *testing.T) {
	for _, remote := range []bool{false, true} {
		h := &shard{}
		a := request("a", 4*time.Second)
		r := &run{job: &trackedJob{Tracker: job.NewTracker(a, nil)}, remote: remote}
		r.progress, _ = progressOf(0, 0.05, 0.1, 0.15, 0.2) // 0.1 per second.
		h.learnFromProgress(r)
		h.learnFromProgress(r)
		want := 10 * time.Second
		if remote {
			want = 4 * time.Second
		}
		quicktest.Check(t, h.estimates.taskTime(a, 0).Round(time.Millisecond), quicktest.Equals, want)
	}
}
