package ledger

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/admission"
	"github.com/pulleyring/pulleyring/internal/store"
)

// tableLoad holds the summary of the shard's load. It is written only as part of batches. Boxes of earlier versions
// ignore it.
const tableLoad = "load"

// ErrUnreadable means that a row is truncated or was written by another version.
var ErrUnreadable = errors.New("ledger: unreadable row")

// fullSuffix is appended to the name of a summary to name the row of what the scheduler has no memory for. It is written
// with the summary, and only while there is anything to tell.
const fullSuffix = "/full"

// Load reads the latest summary of the load; nil if there is none. The version is the newest one in the store. The
// error is ErrUnreadable or one of the store.
func (l *Ledger) Load(ctx context.Context) (load *admission.Load, version int64, err error) {
	k := l.key(tableLoad, l.Shard)
	page, err := l.Store.Read(ctx, store.Range{Table: k.Table, Part: k.Part, From: k.Name, To: k.Name + fullSuffix + "\x00", Limit: 2})
	if err != nil {
		return nil, page.Version, err
	}
	var full admission.Full
	for i := range page.Rows {
		var value any = &full
		if page.Rows[i].Name == k.Name {
			load = &admission.Load{}
			value = load
		}
		if err := cbor.Unmarshal(page.Rows[i].Value, value); err != nil {
			return nil, page.Version, errors.WithMessagef(ErrUnreadable, "a summary of the load: %v", err)
		}
	}
	if load != nil && full.Made == load.Made {
		load.Full = full
	}
	return load, page.Version, nil
}

// queueBytes is the largest encoded size of a queue's load without its name.
const queueBytes = 8 + admission.ClassCount*48

// fitLoad returns a summary that fits into its two rows. Queues and workspaces that it leaves out are not refused.
func (l *Ledger) fitLoad(load *admission.Load) *admission.Load {
	fitting := *load
	names := slices.Sorted(maps.Keys(load.Queues))
	if n := l.countFitting(len(names), func(i int) int { return textBytes(len(names[i])) + queueBytes }); n < len(names) {
		fitting.Queues = maps.Clone(load.Queues)
		for _, name := range names[n:] {
			delete(fitting.Queues, name)
		}
	}
	full := load.Full.Workspaces
	fitting.Full.Workspaces = full[:l.countFitting(len(full), func(i int) int { return textBytes(len(full[i])) })]
	return &fitting
}

// WatchLoad waits up to wait for any summary of the load to be written after the version since, and reports whether one
// was. It returns the version to pass as since in the next call.
func (l *Ledger) WatchLoad(ctx context.Context, since int64, wait time.Duration) (version int64, changed bool, err error) {
	page, err := l.Store.Watch(ctx, tableLoad, since, wait)
	return page.Version, len(page.Rows) > 0, err
}
