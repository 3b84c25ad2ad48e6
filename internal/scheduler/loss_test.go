package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/fleet"
)

// TestAnswerOfAnotherIncarnationIsIgnored fails if a task that crashes its worker at once seems to have run for
// seconds. That happened when another incarnation at the worker's address answered a command seconds after the
// crash, and its answer was taken for one of the crashed incarnation.
func TestAnswerOfAnotherIncarnationIsIgnored(t *testing.T) {
	for _, c := range []struct {
		name  string
		err   error
		heard bool
	}{
		{"no error", nil, true},
		{"a refusal of its own", fleet.NoCapacity, true},
		{"another life", fleet.OtherIncarnation, false},
	} {
		h, w := offlineShard(), workerOf(&fleet.Worker{})
		h.recordAnswer(w, w.sendState(), 7, nil, "start")
		w.clockAt = w.clockAt.Add(-4 * time.Second)
		before := w.clockAt
		h.recordAnswer(w, w.sendState(), 9, c.err, "start")
		quicktest.Check(t, w.clockAt.After(before), quicktest.Equals, c.heard, quicktest.Commentf(c.name))
	}
}

// TestTimeOfUnansweredCommands fails if a worker seems to be lost later than it was. One that had been silent
// since a takeover was declared lost 14 s later, and seemed to be lost together with the workers that a task
// crashed in that time. A worker counts as lost from when two consecutive commands went unanswered, unless it was
// seen after that.
func TestTimeOfUnansweredCommands(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := workerOf(&fleet.Worker{})
		w.failures = 1
		fail := func() {
			time.Sleep(time.Second)
			w.failures++
			w.recordMissed()
		}
		fail()
		first := w.missedAt
		fail()
		quicktest.Check(t, time.Since(first), quicktest.Equals, time.Second)
		quicktest.Check(t, w.missedAt, quicktest.Equals, first)
		w.recordClock(7)
		w.failures = 0
		fail()
		quicktest.Check(t, w.missedAt, quicktest.Equals, first, quicktest.Commentf("a single answer may be lost"))
		fail()
		quicktest.Check(t, time.Since(w.missedAt), quicktest.Equals, time.Duration(0))
		w.markAlive(time.Now())
		fail()
		quicktest.Check(t, time.Since(w.missedAt), quicktest.Equals, time.Duration(0), quicktest.Commentf("its record was renewed after the last miss"))
	})
}
