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
		job := &settlement.Job{State: settlement.Starting, Attempt: "a#1", Started: time.Now(), Seats: []settlement.Seat{{Worker: "w1"}}}
		job.Submission.AtMostOnce = true
		time.Sleep(10 * time.Millisecond)
		s.takeTask("w1", worker.Task{Attempt: "b#1", State: worker.Refused})
		sights := s.sights(job, time.Second, 4*time.Second)
		qt.Assert(t, settlement.Judge(job, sights), qt.Equals, settlement.Keep)

		time.Sleep(10 * time.Millisecond)
		s.take("w1", time.Now(), worker.Report{})
		sights = s.sights(job, time.Second, 4*time.Second)
		qt.Assert(t, settlement.Judge(job, sights), qt.Equals, settlement.Unknown)
	})
}
