package ledger

import (
	"context"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/job"
)

// unbegunSuffix is appended to the name of a summary to name the row of the jobs that are stored as running although
// no run of them is known to have begun. Boxes of earlier versions ignore it.
const unbegunSuffix = "/unbegun"

// fitUnbegun returns the first of the jobs that fit into one row together.
func (l *Ledger) fitUnbegun(ids []job.ID) []job.ID {
	return ids[:l.countFitting(len(ids), func(i int) int { return textBytes(len(ids[i])) })]
}

// Unbegun reads the jobs that are stored as running although no run of them was known to have begun at the last commit. The
// error is ErrUnreadable or one of the store.
func (l *Ledger) Unbegun(ctx context.Context) ([]job.ID, error) {
	var ids []job.ID
	page, err := l.readOne(ctx, l.key(tableSummary, l.Shard+unbegunSuffix))
	if err != nil || len(page.Rows) == 0 {
		return nil, err
	}
	if err := cbor.Unmarshal(page.Rows[0].Value, &ids); err != nil {
		return nil, errors.WithMessagef(ErrUnreadable, "jobs that have not begun: %v", err)
	}
	return ids, nil
}
