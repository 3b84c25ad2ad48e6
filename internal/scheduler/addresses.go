package scheduler

import (
	"cmp"

	"github.com/pulleyring/pulleyring/internal/ledger"
)

// addresses tracks which rows with workers' addresses have to be written for the successor. With an address the
// successor can poll a worker whose record is gone. If the worker or another incarnation of it answers, its runs
// are known at once, without a wait for the expiry of its leases. The zero value has no addresses.
type addresses struct {
	previous ledger.Addresses // The addresses that the predecessor wrote.
	stale    map[int]bool     // Numbers of the rows that have to be written.
	// Some rows did not fit into the last batch. The next batch is then written without waiting for a heartbeat.
	rowsLeftOver bool
}

// begin takes over the predecessor's addresses. All rows are written again, because some of the incarnations in
// them may have ended.
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
	h.addresses.rowsLeftOver = len(h.addresses.stale) > 0
	for id, w := range h.workers {
		if row := b.Addresses[ledger.AddressRow(id)]; row != nil && w.target().Address != "" {
			row[w.incarnation] = cmp.Or(w.knownAddress, w.target().Address)
		}
	}
	h.addresses.fit(b.Addresses)
}

// fit puts rows back that exceed the limit of a batch in bytes.
func (a *addresses) fit(rows map[int]ledger.Addresses) {
	size, first := 0, true
	for row, list := range rows {
		if size += list.Bytes(); size > ledger.MaxAddressBytes && !first {
			size -= list.Bytes()
			delete(rows, row)
			a.touch(row)
			a.rowsLeftOver = true
		}
		first = false
	}
}
