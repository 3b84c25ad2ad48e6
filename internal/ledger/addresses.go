package ledger

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/incarnation"
	"github.com/pulleyring/pulleyring/internal/store"
)

// tableAddresses holds the workers' addresses. After a takeover they are needed for runs on workers that no longer
// have a record.
const tableAddresses = "addresses"

// AddressRowCount is the number of rows over which the workers' addresses are spread. A row is rewritten
// completely when one of its workers joins or leaves.
const AddressRowCount = 64

// Addresses are the workers' addresses (IP:port) by incarnation.
type Addresses map[incarnation.ID]string

// Lookup returns the address of an incarnation; empty if it is not known.
func (a Addresses) Lookup(l incarnation.ID) string {
	if address, known := a[l]; known {
		return address
	}
	for other, address := range a {
		if other.Matches(l) {
			return address
		}
	}
	return ""
}

// AddressRow returns the number of the row that holds a worker's address.
func AddressRow(worker string) int { return int(xxhash.Sum64String(worker) % AddressRowCount) }

// Addresses reads the addresses of all workers that the last holder of the lease stored.
func (l *Ledger) Addresses(ctx context.Context) (Addresses, error) {
	page, err := store.ReadAll(ctx, l.Store, store.Range{Table: tableAddresses, Part: l.Shard})
	if err != nil {
		return nil, err
	}
	all := Addresses{}
	for i := range page.Rows {
		if err := cbor.Unmarshal(page.Rows[i].Value, &all); err != nil {
			return nil, errors.Wrap(err, "ledger: unable to decode addresses")
		}
	}
	return all, nil
}

// fitAddresses returns addresses that fit into one row, all of them if they do. Without an address, a successor waits for
// the leases of a worker that has no record.
func (l *Ledger) fitAddresses(a Addresses) Addresses {
	limit := l.rowLimit()
	if a.Bytes() <= limit {
		return a
	}
	fitting, size := Addresses{}, 0
	for _, id := range slices.SortedFunc(maps.Keys(a), func(x, y incarnation.ID) int { return cmp.Compare(x.Worker, y.Worker) }) {
		if size += incarnationBytes(id) + textBytes(len(a[id])); size > limit-headRowBytes {
			break
		}
		fitting[id] = a[id]
	}
	return fitting
}

// Bytes returns the size of the encoded addresses, or slightly more.
func (a Addresses) Bytes() int {
	n := headRowBytes
	for id, address := range a {
		n += incarnationBytes(id) + textBytes(len(address))
	}
	return n
}

func addressRowName(row int) string { return strconv.Itoa(row) }
