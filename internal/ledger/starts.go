package ledger

import (
	"context"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/store"
)

// tableStarts holds the newest start of each box.
const tableStarts = "starts"

// startParts is the number of parts that they are spread over, beside the scheduler's: a part works off one transaction after the other, and all boxes may
// start at once.
const startParts = 8

func (l *Ledger) startKey(box string) store.Key {
	part := l.Shard + "/starts/" + strconv.FormatUint(xxhash.Sum64String(box)%startParts, 10)
	return store.Key{Table: tableStarts, Part: part, Name: box}
}

// Start is one start of a box. Starts of a name are numbered by the store, so that no clock orders them.
type Start struct {
	_       struct{} `cbor:",toarray"`
	Number  int64    // Rises with each start of the name, from 1.
	Name    string   // Unique name of the start.
	Address string   // Where the box passes on calls of others; empty where it does not.
}

// Register makes a start the newest one of a box and returns it with its number, and the one before it. After an error it may be registered; registering it again is
// right then.
func (l *Ledger) Register(ctx context.Context, box string, s Start) (own, before Start, err error) {
	for {
		version := int64(0)
		if before, version, err = l.newestStart(ctx, box); err != nil {
			return Start{}, Start{}, err
		}
		if before.Name == s.Name {
			return before, Start{}, nil // An earlier try took effect.
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
			continue // Another start was faster, or an earlier try has come late.
		}
		return s, before, err
	}
}

// NewestStart reads the newest start of a box; the zero value where it has none.
func (l *Ledger) NewestStart(ctx context.Context, box string) (Start, error) {
	s, _, err := l.newestStart(ctx, box)
	return s, err
}

func (l *Ledger) newestStart(ctx context.Context, box string) (s Start, version int64, err error) {
	page, err := l.readOne(ctx, l.startKey(box))
	if err != nil {
		return s, 0, err
	}
	if len(page.Rows) == 0 { // Earlier versions wrote it beside the scheduler's rows; its numbers go on from there.
		page, err = l.readOne(ctx, l.key(tableStarts, box))
		if err != nil || len(page.Rows) == 0 {
			return s, 0, err
		}
		page.Rows[0].Version = 0
	}
	err = cbor.Unmarshal(page.Rows[0].Value, &s)
	return s, page.Rows[0].Version, errors.Wrap(err, "ledger: unable to decode a start")
}
