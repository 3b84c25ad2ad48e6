package ledger

import (
	"context"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/life"
	"github.com/pulleyring/pulleyring/internal/store"
)

// tableAddresses holds where workers are reached. A successor needs that for runs on a worker whose record is gone by then.
const tableAddresses = "addresses"

// AddressRows is the number of rows over which workers are spread: one that came or went has its row written anew, whole.
const AddressRows = 64

// Addresses are addresses (IP:port) by life of a worker.
type Addresses map[life.ID]string

// Of is where a life was reached, empty where that is not known.
func (a Addresses) Of(l life.ID) string {
	if address, known := a[l]; known {
		return address
	}
	for other, address := range a {
		if other.Is(l) {
			return address
		}
	}
	return ""
}

// AddressRow is the row that a worker's address is in.
func AddressRow(worker string) int { return int(xxhash.Sum64String(worker) % AddressRows) }

// Addresses reads where the workers were reached that the last holder of the lease knew.
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

func addressRowName(row int) string { return strconv.Itoa(row) }
