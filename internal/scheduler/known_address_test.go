package scheduler

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/fleet"
	"github.com/pulleyring/pulleyring/internal/incarnation"
	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/internal/ledger"
)

// TestOtherIncarnationAtOtherAddressAfterTakeover fails if the runs of a worker are ended because another incarnation
// answers at an address that the previous lease holder did not use. After a takeover, the worker's record may hold such
// an address, for example while another writer's record is in its place.
func TestOtherIncarnationAtOtherAddressAfterTakeover(t *testing.T) {
	for _, c := range []struct {
		name, before, recorded string
		ended                  bool
	}{
		{"where the predecessor reached it", "10.0.0.1:80", "10.0.0.1:80", true},
		{"elsewhere", "10.0.0.1:80", "10.0.0.2:80", false},
		{"nobody knows where it was reached", "", "10.0.0.2:80", true},
	} {
		synctest.Test(t, func(t *testing.T) {
			h := offlineShard()
			ended, cancel := context.WithCancel(context.Background())
			cancel() // No poll is sent.
			h.ctx = ended
			h.addresses.begin(ledger.Addresses{incarnation.ID{Worker: "w"}: c.before})
			h.addJob(&job.Request{ID: "j", Steps: []job.Step{{Count: 1}}}, &job.Progress{
				State: job.Running, GangRuns: []int{0}, Tasks: []job.TaskProgress{{State: job.Placed, Run: 1, Worker: incarnation.ID{Worker: "w"}}},
			})
			h.applyListing(Listing{Workers: []fleet.Worker{{ID: "w", Address: c.recorded}}}, true)
			w := h.workers["w"]
			h.recordFailure(w, w.sendState(), fleet.OtherIncarnation, "look")
			quicktest.Check(t, len(w.runs) == 0, quicktest.Equals, c.ended, quicktest.Commentf(c.name))
			h.background.Wait()
		})
	}
}
