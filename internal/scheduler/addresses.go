package scheduler

import (
	"cmp"

	"github.com/pulleyring/pulleyring/internal/ledger"
)

// addresses tracks which rows with workers' addresses have to be written for the successor. With an address the
// successor can poll a worker whose record is gone. It then need not wait until the worker's leases expire if
// that one, or another incarnation of it, answers. The zero value has none.
type addresses struct {
	previous ledger.Addresses // As the predecessor wrote them.
	stale    map[int]bool     // Rows that have to be written.
	// Some did not fit into the last batch; the next one does not wait for a heartbeat.
	leftOver bool
}

// begin takes over the predecessor's addresses. All rows are written again, as some of the incarnations in them
// may have ended.
func (a *addresses) begin(before ledger.Addresses) {
	a.previous = before
	for row := range ledger.AddressRowCount {
		a.touch(row)
	}
}

func (a *addresses) touch(row int) {
	if a.stale == nil {
		a.stale = map[int]bool{}
	}
	a.stale[row] = true
}

// markChanged records that a worker was added, removed or reached elsewhere.
func (a *addresses) markChanged(worker string) { a.touch(ledger.AddressRow(worker)) }

// collectAddresses adds rows that have to be written to a batch, up to its limit. Changed rows alone trigger no
// batch; rows that did not fit into the last one do.
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
	h.addresses.leftOver = len(h.addresses.stale) > 0
	for id, w := range h.workers {
		if row := b.Addresses[ledger.AddressRow(id)]; row != nil && w.target().Address != "" {
			row[w.incarnation] = cmp.Or(w.knownAddress, w.target().Address)
		}
	}
}
