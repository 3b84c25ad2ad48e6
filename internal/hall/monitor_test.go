package hall

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/settlement"
	"github.com/pulleyring/pulleyring/internal/worker"
)

// TestStepAnswerIsNotReport guards against settling an at-most-once gang as unresolved while it runs. When two boxes
// decided for a hall, the second took the answer to a step of another attempt for a report about the gang.
func TestStepAnswerIsNotReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var m workerMonitor
		m.reset()
		m.recordReport("w1", time.Now(), worker.Report{})
		time.Sleep(10 * time.Millisecond)
		job := settlement.Job{State: settlement.Starting, Attempt: "a#1", Started: time.Now(), Placements: []settlement.Placement{{Worker: "w1"}}}
		job.Submission.AtMostOnce = true
		j := &CachedJob{Job: job, FirstSeen: time.Now()}
		limits := timeLimits{reportMaxAge: time.Second, lease: 4 * time.Second, rowsMaxAge: time.Minute}
		time.Sleep(10 * time.Millisecond)
		m.recordTask("w1", worker.Task{Attempt: "b#1", State: worker.Refused})
		states := m.workerStates(j, limits)
		qt.Assert(t, settlement.NextStep(&j.Job, states), qt.Equals, settlement.NoAction)

		time.Sleep(10 * time.Millisecond)
		m.recordReport("w1", time.Now(), worker.Report{})
		states = m.workerStates(j, limits)
		qt.Assert(t, settlement.NextStep(&j.Job, states), qt.Equals, settlement.StopMembers)

		// Until its lease expires, the gang may still run.
		time.Sleep(limits.lease + leaseMargin + time.Millisecond)
		states = m.workerStates(j, limits)
		qt.Assert(t, settlement.NextStep(&j.Job, states), qt.Equals, settlement.Unknown)
	})
}

// TestSuspendedBoxDoesNotExpireLease guards against starting gangs a second time after a box was suspended. Another
// box renewed the leases meanwhile, but the resumed box took the time since its own last renewal as proof that the
// leases had expired.
func TestSuspendedBoxDoesNotExpireLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var m workerMonitor
		m.reset()
		j := &CachedJob{Job: settlement.Job{State: settlement.Stopping, Attempt: "a#1", Placements: []settlement.Placement{{Worker: "w1"}}}}
		j.FirstSeen, j.StopSeen = time.Now(), time.Now()
		limits := timeLimits{reportMaxAge: time.Second, lease: 4 * time.Second, rowsMaxAge: 10 * time.Second}
		time.Sleep(10 * time.Millisecond)
		m.recordReport("w1", time.Now(), worker.Report{Tasks: []worker.Task{{Attempt: "a#1", State: worker.Running}}})
		asked := time.Now()
		time.Sleep(time.Hour)
		m.recordFailure("w1", asked, limits.lease)
		m.recordFailure("w1", time.Now(), limits.lease)
		qt.Assert(t, m.workerStates(j, limits), qt.DeepEquals, []settlement.WorkerState{{}})

		time.Sleep(limits.lease + time.Second)
		m.recordFailure("w1", time.Now(), limits.lease)
		qt.Assert(t, m.workerStates(j, limits), qt.DeepEquals, []settlement.WorkerState{{Lost: true, Expired: true}})
	})
}

// TestOlderReportIsIgnored fails if a report that arrives after a later one changes anything. Tasks that the older
// report lacks may have begun after it was written.
func TestOlderReportIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var m workerMonitor
		m.reset()
		early := time.Now()
		time.Sleep(10 * time.Millisecond)
		m.recordReport("w1", time.Now(), worker.Report{Clock: 20, Tasks: []worker.Task{{Attempt: "a#1", State: worker.Finished}}})
		m.recordReport("w1", early, worker.Report{Clock: 10})
		qt.Assert(t, m.task("w1", "a#1").State, qt.Equals, worker.Finished)
		qt.Assert(t, m.clocks()["w1"], qt.Equals, int64(20))
	})
}

// TestReportedEndIsKept guards against losing the reported end of a member when its worker loses its records. The
// gang of such a member was stopped and begun anew, although that member was done.
func TestReportedEndIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var m workerMonitor
		m.reset()
		j := &CachedJob{Job: settlement.Job{State: settlement.Starting, Attempt: "a#1", Placements: []settlement.Placement{{Worker: "w1"}}}, FirstSeen: time.Now()}
		limits := timeLimits{reportMaxAge: time.Second, lease: 4 * time.Second, rowsMaxAge: time.Minute}
		time.Sleep(10 * time.Millisecond)
		done := worker.Task{Attempt: "a#1", State: worker.Finished, Answer: []byte(`1`)}
		m.recordReport("w1", time.Now(), worker.Report{Tasks: []worker.Task{done}})
		time.Sleep(10 * time.Millisecond)
		m.recordReport("w1", time.Now(), worker.Report{})
		qt.Assert(t, m.workerStates(j, limits), qt.DeepEquals, []settlement.WorkerState{{Known: true, Task: done}})

		// The end is forgotten some time after no row names it any more.
		qt.Assert(t, m.orphanedTasks("w1", nil, time.Now()), qt.HasLen, 0)
		time.Sleep(orphanRetention + time.Second)
		qt.Assert(t, m.orphanedTasks("w1", nil, time.Now()), qt.DeepEquals, []string{"a#1"})
		qt.Assert(t, m.task("w1", "a#1"), qt.DeepEquals, worker.Task{})
	})
}
