package ledger

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/admission"
)

// tableLoad holds the summary of the shard's load. It is written only as part of batches. Boxes of earlier versions
// ignore it.
const tableLoad = "load"

// Load reads the latest summary of the load; nil if there is none.
func (l *Ledger) Load(ctx context.Context) (*admission.Load, error) {
	page, err := l.readOne(ctx, l.key(tableLoad, l.Shard))
	if err != nil || len(page.Rows) == 0 {
		return nil, err
	}
	load := &admission.Load{}
	if err := cbor.Unmarshal(page.Rows[0].Value, load); err != nil {
		return nil, errors.Wrap(err, "ledger: unable to decode a summary of the load")
	}
	return load, nil
}

// WatchLoad waits up to wait for any summary of the load to be written after the version since. It returns the version
// to pass as since in the next call.
func (l *Ledger) WatchLoad(ctx context.Context, since int64, wait time.Duration) (int64, error) {
	page, err := l.Store.Watch(ctx, tableLoad, since, wait)
	return page.Version, err
}
