package standin

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/worker"
	"github.com/pulleyring/pulleyring/pkg/contract"
)

// TestLateRenewalExtendsNothing says that a lease ends as long after the report that a renewal goes by, however late the renewal is carried
// out: else nobody could know when the lease of a worker out of reach is over.
func TestLateRenewalExtendsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &Workers{Faults: NewFaultBox(1)}
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
		qt.Assert(t, renew(report.Clock).Tasks[0].State, qt.Equals, worker.Running) // It extends nothing any more.
		time.Sleep(200 * time.Millisecond)
		qt.Assert(t, renew(report.Clock).Tasks[0].State, qt.Equals, worker.Stopped)
	})
}
