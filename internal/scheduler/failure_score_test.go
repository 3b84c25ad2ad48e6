package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/job"
)

// inBubble runs a subtest with a simulated clock, which advances only while all goroutines of the subtest wait.
func inBubble(t *testing.T, name string, f func(t *testing.T)) {
	t.Run(name, func(t *testing.T) { synctest.Test(t, f) })
}

// TestImmediateFailureQuarantinesTheWorker fails if a worker is not quarantined after a run failed there as soon
// as it had begun. The worker is then more likely to be the cause than the job.
func TestImmediateFailureQuarantinesTheWorker(t *testing.T) {
	for _, c := range []struct {
		name     string
		age      time.Duration // Age of the run when it failed.
		earlier  bool          // The task failed elsewhere before.
		barredIn time.Duration // How long after the failure the worker is checked.
		barred   bool
	}{
		{"at once", 30 * time.Millisecond, false, 5 * time.Second, true},
		{"at once, after a failure elsewhere", 30 * time.Millisecond, true, 5 * time.Second, true},
		{"at once, forgiven later", 30 * time.Millisecond, false, 10 * time.Second, false},
		{"after some work", 2 * time.Second, false, 0, false},
	} {
		inBubble(t, c.name, func(t *testing.T) {
			j := &trackedJob{Tracker: job.NewTracker(request("a", 4*time.Second), nil), avoidWorkers: map[job.Group]map[string]bool{}}
			if c.earlier {
				j.avoidWorkers[job.Group{}] = map[string]bool{"other": true}
			}
			now := time.Now()
			h, w := &shard{}, &workerState{}
			r := &run{job: j, placed: now.Add(-c.age), confirmed: now.Add(-c.age)}
			h.recordOutcome(w, r, job.FailedRun)
			quicktest.Assert(t, w.failureScore.quarantined(now.Add(c.barredIn)), quicktest.Equals, c.barred)
		})
	}
}
