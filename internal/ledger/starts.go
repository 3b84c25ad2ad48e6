package ledger

import (
	"context"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/store"
)

// tableStarts holds the latest start of each box.
const tableStarts = "starts"

// startPartCount is the number of parts over which starts are spread, apart from the scheduler's part. A part
// executes one transaction at a time, and all boxes may start simultaneously.
const startPartCount = 8

func (l *Ledger) startKey(box string) store.Key {
	part := l.Shard + "/starts/" + strconv.FormatUint(xxhash.Sum64String(box)%startPartCount, 10)
	return store.Key{Table: tableStarts, Part: part, Name: box}
}

// Start is one start of a box. The starts of a box are numbered through the store, so that their order depends on
// no clock.
type Start struct {
	_       struct{} `cbor:",toarray"`
	Number  int64    // Increases with each start of the box, from 1.
	Name    string   // Unique name of the start.
	Address string   // Address at which the box forwards store calls of other boxes; empty if it does not.
}

// Register records s as the latest start of a box. It returns the start with its number, and the start before it.
// After an error the start may have been recorded; it is then safe to call Register again.
func (l *Ledger) Register(ctx context.Context, box string, s Start) (own, before Start, err error) {
	for {
		version := int64(0)
		if before, version, err = l.newestStart(ctx, box); err != nil {
			return Start{}, Start{}, err
		}
		if before.Name == s.Name {
			return before, Start{}, nil // An earlier attempt took effect.
		}
		s.Number = before.Number + 1
		raw, err := cbor.Marshal(s)
		if err != nil {
			return Start{}, Start{}, errors.Wrap(err, "ledger: unable to encode a start")
		}
		key := l.startKey(box)
		_, err = l.Store.Commit(ctx, &store.Transaction{
			Conditions: []store.Condition{{Key: key, Version: version}},
			Writes:     []store.Row{{Key: key, Value: raw}},
			Patient:    true,
		})
		var conflict *store.Conflict
		if errors.As(err, &conflict) {
			continue // Another start was recorded first, or an earlier attempt arrived late.
		}
		return s, before, err
	}
}

// NewestStart reads the latest start of a box; the zero value if there is none.
func (l *Ledger) NewestStart(ctx context.Context, box string) (Start, error) {
	s, _, err := l.newestStart(ctx, box)
	return s, err
}

func (l *Ledger) newestStart(ctx context.Context, box string) (s Start, version int64, err error) {
	page, err := l.readOne(ctx, l.startKey(box))
	if err != nil {
		return s, 0, err
	}
	if len(page.Rows) == 0 { // Earlier versions stored it in the scheduler's part; the numbers continue from there.
		page, err = l.readOne(ctx, l.key(tableStarts, box))
		if err != nil || len(page.Rows) == 0 {
			return s, 0, err
		}
		page.Rows[0].Version = 0
	}
	err = cbor.Unmarshal(page.Rows[0].Value, &s)
	return s, page.Rows[0].Version, errors.Wrap(err, "ledger: unable to decode a start")
}
