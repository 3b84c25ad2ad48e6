package scheduler

import (
	"cmp"

	"github.com/pulleyring/pulleyring/internal/ledger"
)

// addresses follows where workers are reached, for the successor: it can ask a worker whose record is gone, and need not wait for its leases to be over where it
// answers, or another life does. The zero value knows none.
type addresses struct {
	before ledger.Addresses // As the predecessor knew them.
	stale  map[int]bool     // Rows that are to be written anew.
	left   bool             // Some of them did not fit into the last batch, and don't wait for a beat.
}

// begin takes over what the predecessor knew; its rows are written anew, as some of the lives in them may be over.
func (a *addresses) begin(before ledger.Addresses) {
	a.before = before
	for row := range ledger.AddressRows {
		a.touch(row)
	}
}

func (a *addresses) touch(row int) {
	if a.stale == nil {
		a.stale = map[int]bool{}
	}
	a.stale[row] = true
}

// changed notes that a worker came or went.
func (a *addresses) changed(worker string) { a.touch(ledger.AddressRow(worker)) }

// collectAddresses adds rows that are to be written anew to a batch, as many as it may have. They wait for the next batch; only those that are left over set
// one off.
func (h *shard) collectAddresses(b *ledger.Batch) {
	if len(h.addresses.stale) == 0 {
		return
	}
	b.Addresses = map[int]ledger.Addresses{}
	for row := range h.addresses.stale {
		if len(b.Addresses) >= ledger.MaxAddressRows {
			break
		}
		b.Addresses[row] = ledger.Addresses{}
		delete(h.addresses.stale, row)
	}
	h.addresses.left = len(h.addresses.stale) > 0
	for id, w := range h.workers {
		if row := b.Addresses[ledger.AddressRow(id)]; row != nil && w.target().Address != "" {
			row[w.life] = cmp.Or(w.home, w.target().Address)
		}
	}
}
