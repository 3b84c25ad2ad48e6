package standin

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/worker"
	"github.com/pulleyring/pulleyring/pkg/contract"
)

// TestLateRenewalExtendsNothing guards against a renewal that extends a lease from the time at which it arrives. A
// lease must be counted from the clock reading in the renewal, however late it arrives: otherwise a box can't know
// when the lease of an unreachable worker expires.
func TestLateRenewalExtendsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &Workers{Faults: NewFaultInjector(1)}
		w := contract.Worker{Name: "w"}
		renew := func(clock int64) worker.Report {
			report, err := s.Renew(t.Context(), w, worker.Renewal{Clock: clock, Attempts: []string{"a"}, LeaseMS: 4000})
			qt.Assert(t, err, qt.IsNil)
			return report
		}
		qt.Assert(t, s.Hold(t.Context(), w, worker.Order{Attempt: "a", LeaseMS: 2000, Payload: []byte(`{"work_ms":60000}`)}), qt.IsNil)
		for _, verb := range []worker.Verb{worker.Arm, worker.Go} {
			_, err := s.Step(t.Context(), w, verb, "a", 4*time.Second)
			qt.Assert(t, err, qt.IsNil)
		}
		report := renew(0)
		time.Sleep(3900 * time.Millisecond)
		qt.Assert(t, renew(report.Clock).Tasks[0].State, qt.Equals, worker.Running) // Nothing was extended.
		time.Sleep(200 * time.Millisecond)
		qt.Assert(t, renew(report.Clock).Tasks[0].State, qt.Equals, worker.Stopped)
	})
}

// TestRenewalOfEarlierIncarnationExtendsNothing guards against a renewal with a clock reading of an earlier
// incarnation. A worker crashed and restarted with a new clock; a box that didn't know it sent a reading 20 s ahead
// of that clock. The lease became 20 s longer than any box knew, and a run that was presumed ended continued.
func TestRenewalOfEarlierIncarnationExtendsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &Workers{Faults: NewFaultInjector(1)}
		w := contract.Worker{Name: "w"}
		renew := func(clock int64) worker.Report {
			report, err := s.Renew(t.Context(), w, worker.Renewal{Clock: clock, Attempts: []string{"b"}, LeaseMS: 4000})
			qt.Assert(t, err, qt.IsNil)
			return report
		}
		begin := func(attempt, payload string) {
			qt.Assert(t, s.Hold(t.Context(), w, worker.Order{Attempt: attempt, LeaseMS: 2000, Payload: []byte(payload)}), qt.IsNil)
			for _, verb := range []worker.Verb{worker.Arm, worker.Go} {
				_, err := s.Step(t.Context(), w, verb, attempt, 4*time.Second)
				qt.Assert(t, err, qt.IsNil)
			}
		}
		renew(0)
		time.Sleep(20 * time.Second)
		before := renew(0).Clock
		begin("a", `{"crash":true}`)
		time.Sleep(time.Second)
		begin("b", `{"work_ms":60000}`)
		qt.Assert(t, renew(before).Clock < before, qt.IsTrue)
		time.Sleep(4100 * time.Millisecond)
		qt.Assert(t, renew(0).Tasks[0].State, qt.Equals, worker.Stopped)
	})
}
