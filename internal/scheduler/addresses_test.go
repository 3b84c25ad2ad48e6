package scheduler

import (
	"testing"

	"github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/ledger"
)

// TestAddressesAreWrittenWithoutDelay fails if the address rows of a new lease term are spread over more batches
// than needed, or wait for a heartbeat in between. Until they are written, a successor can't poll workers whose
// records are gone.
func TestAddressesAreWrittenWithoutDelay(t *testing.T) {
	h := newShard(t.Context(), &Scheduler{Ledger: &ledger.Ledger{}}, nil)
	h.addresses.begin(nil)
	written := 0
	for n := range ledger.AddressRowCount / ledger.MaxAddressRows {
		quicktest.Assert(t, h.addresses.rowsLeftOver, quicktest.Equals, n > 0)
		b := &ledger.Batch{}
		h.collectAddresses(b)
		written += len(b.Addresses)
	}
	quicktest.Assert(t, written, quicktest.Equals, ledger.AddressRowCount)
	quicktest.Assert(t, h.addresses.rowsLeftOver, quicktest.IsFalse)
}
