package scheduler

import (
	"testing"

	"github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/ledger"
)

// TestAddressesAreWrittenAtOnce: the rows of addresses that a tenure begins with follow each other in as few batches as hold them, without waiting for a beat in between:
// a successor needs them for workers whose records are gone.
func TestAddressesAreWrittenAtOnce(t *testing.T) {
	h := newShard(t.Context(), &Scheduler{}, nil)
	h.addresses.begin(nil)
	written := 0
	for n := range ledger.AddressRows / ledger.MaxAddressRows {
		quicktest.Assert(t, h.addresses.left, quicktest.Equals, n > 0)
		b := &ledger.Batch{}
		h.collectAddresses(b)
		written += len(b.Addresses)
	}
	quicktest.Assert(t, written, quicktest.Equals, ledger.AddressRows)
	quicktest.Assert(t, h.addresses.left, quicktest.IsFalse)
}
