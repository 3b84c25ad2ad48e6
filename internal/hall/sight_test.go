package hall

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/settlement"
	"github.com/pulleyring/pulleyring/internal/worker"
)

// TestStepIsNoReport brings about what once settled an at-most-once gang as unresolved while it ran: two boxes decided
// for a hall, and the answer to a step of another attempt made the second one believe that the worker had been asked
// about the gang.
func TestStepIsNoReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var s watch
		s.reset()
		s.take("w1", time.Now(), worker.Report{})
		time.Sleep(10 * time.Millisecond)
		job := settlement.Job{State: settlement.Starting, Attempt: "a#1", Started: time.Now(), Seats: []settlement.Seat{{Worker: "w1"}}}
		job.Submission.AtMostOnce = true
		e := &Entry{Job: job, Learned: time.Now()}
		within := bounds{fresh: time.Second, lease: 4 * time.Second, unchecked: time.Minute}
		time.Sleep(10 * time.Millisecond)
		s.takeTask("w1", worker.Task{Attempt: "b#1", State: worker.Refused})
		sights := s.sights(e, within)
		qt.Assert(t, settlement.Judge(&e.Job, sights), qt.Equals, settlement.Keep)

		time.Sleep(10 * time.Millisecond)
		s.take("w1", time.Now(), worker.Report{})
		sights = s.sights(e, within)
		qt.Assert(t, settlement.Judge(&e.Job, sights), qt.Equals, settlement.End)

		time.Sleep(within.lease + leaseMargin + time.Millisecond) // Until its lease is over, what it ran may run on.
		sights = s.sights(e, within)
		qt.Assert(t, settlement.Judge(&e.Job, sights), qt.Equals, settlement.Unknown)
	})
}

// TestStandingStillIsNoLoss brings about what once started gangs a second time: a box stood still, another one renewed their leases
// meanwhile, and as the first one woke it took the time since its own last renewal for proof that the leases were over.
func TestStandingStillIsNoLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var s watch
		s.reset()
		e := &Entry{Job: settlement.Job{State: settlement.Stopping, Attempt: "a#1", Seats: []settlement.Seat{{Worker: "w1"}}}}
		e.Learned, e.Stopping = time.Now(), time.Now()
		within := bounds{fresh: time.Second, lease: 4 * time.Second, unchecked: 10 * time.Second}
		time.Sleep(10 * time.Millisecond)
		s.take("w1", time.Now(), worker.Report{Tasks: []worker.Task{{Attempt: "a#1", State: worker.Running}}})
		asked := time.Now()
		time.Sleep(time.Hour)
		s.fail("w1", asked, within.lease)
		s.fail("w1", time.Now(), within.lease)
		qt.Assert(t, s.sights(e, within), qt.DeepEquals, []settlement.Sight{{}})

		time.Sleep(within.lease + time.Second)
		s.fail("w1", time.Now(), within.lease)
		qt.Assert(t, s.sights(e, within), qt.DeepEquals, []settlement.Sight{{Lost: true, Expired: true}})
	})
}

// TestOvertakenReport says that a report that comes after a later one changes nothing: what it lacks had not begun when it was written.
func TestOvertakenReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var s watch
		s.reset()
		early := time.Now()
		time.Sleep(10 * time.Millisecond)
		s.take("w1", time.Now(), worker.Report{Clock: 20, Tasks: []worker.Task{{Attempt: "a#1", State: worker.Finished}}})
		s.take("w1", early, worker.Report{Clock: 10})
		qt.Assert(t, s.task("w1", "a#1").State, qt.Equals, worker.Finished)
		qt.Assert(t, s.clocks()["w1"], qt.Equals, int64(20))
	})
}

// TestListedEndStays says that an end counts once a worker has listed it, also where the worker has no trace of it later: a part of a gang
// had ended as done, its worker lost its memory before the others ended, and all of them were stopped and began anew.
func TestListedEndStays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var s watch
		s.reset()
		e := &Entry{Job: settlement.Job{State: settlement.Starting, Attempt: "a#1", Seats: []settlement.Seat{{Worker: "w1"}}}, Learned: time.Now()}
		within := bounds{fresh: time.Second, lease: 4 * time.Second, unchecked: time.Minute}
		time.Sleep(10 * time.Millisecond)
		done := worker.Task{Attempt: "a#1", State: worker.Finished, Answer: []byte(`1`)}
		s.take("w1", time.Now(), worker.Report{Tasks: []worker.Task{done}})
		time.Sleep(10 * time.Millisecond)
		s.take("w1", time.Now(), worker.Report{})
		qt.Assert(t, s.sights(e, within), qt.DeepEquals, []settlement.Sight{{Known: true, Task: done}})

		// Once no row names it, it is forgotten.
		qt.Assert(t, s.orphaned("w1", nil, time.Now()), qt.HasLen, 0)
		time.Sleep(orphanAfter + time.Second)
		qt.Assert(t, s.orphaned("w1", nil, time.Now()), qt.DeepEquals, []string{"a#1"})
		qt.Assert(t, s.task("w1", "a#1"), qt.DeepEquals, worker.Task{})
	})
}
