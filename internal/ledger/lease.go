package ledger

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/internal/store"
)

// Lease is the row that says who schedules a shard. It changes with every commit of the holder, which makes it the
// holder's heartbeat as well as the condition that shuts out a box that was replaced.
type Lease struct {
	_        struct{} `cbor:",toarray"`
	Holder   string   // The box with its start, empty when the lease was given back.
	Epoch    int64    // Rises with each holder; the fencing token towards workers.
	Sequence int64    // Rises with each attempt to commit within an epoch.
	Version  int64    `cbor:"-"` // Version of the row as it was read.
}

// ErrReplaced says that another box holds the lease.
var ErrReplaced = errors.New("ledger: replaced by another box")

// Lease reads the shard's lease; the zero value where nobody ever held it.
func (l *Ledger) Lease(ctx context.Context) (Lease, error) {
	page, err := l.readOne(ctx, l.key(tableLease, l.Shard))
	if err != nil || len(page.Rows) == 0 {
		return Lease{}, err
	}
	return decodeLease(&page.Rows[0])
}

// WatchRelease waits up to wait for a lease to be given back after a version and returns the version to go on from.
func (l *Ledger) WatchRelease(ctx context.Context, since int64, wait time.Duration) (int64, error) {
	page, err := l.Store.Watch(ctx, tableRelease, since, wait)
	return page.Version, err
}

func decodeLease(row *store.Row) (Lease, error) {
	lease := Lease{}
	err := cbor.Unmarshal(row.Value, &lease)
	lease.Version = row.Version
	return lease, errors.Wrap(err, "ledger: unable to decode a lease")
}

// Tenure is the time in which a box holds a shard's lease. Only one goroutine may commit.
type Tenure struct {
	Claimed time.Time // When the claim was sent: the lease was held at some time after that.
	Quiet   time.Time // No predecessor committed anything after that.

	ledger *Ledger
	lease  Lease
}

// Claim takes the lease from its holder as it was seen, and unchanged since a time. The error is ErrReplaced where another box was faster.
func (l *Ledger) Claim(ctx context.Context, holder string, seen Lease, since time.Time) (*Tenure, error) {
	t := &Tenure{Claimed: time.Now(), Quiet: since, ledger: l, lease: Lease{Holder: holder, Epoch: seen.Epoch + 1, Version: seen.Version}}
	raw, err := cbor.Marshal(t.lease)
	if err != nil {
		return nil, errors.Wrap(err, "ledger: unable to encode a lease")
	}
	key := l.key(tableLease, l.Shard)
	version, err := l.Store.Commit(ctx, &store.Transaction{
		Conditions: []store.Condition{{Key: key, Version: seen.Version}},
		Writes:     []store.Row{{Key: key, Value: raw}},
	})
	var conflict *store.Conflict
	if errors.As(err, &conflict) {
		return nil, ErrReplaced
	}
	t.lease.Version = version
	return t, err
}

// Epoch is the tenure's fencing token.
func (t *Tenure) Epoch() int64 { return t.lease.Epoch }

// Batch is what a scheduler commits at once.
type Batch struct {
	Progress  map[job.ID]*job.Progress
	Summary   *Summary          // nil to leave it.
	Addresses map[int]Addresses // Rows of workers' addresses, whole.
	Forget    []Forgotten       // Jobs whose progress is deleted; their requests were dropped before.
	Release   bool              // Give the lease back.
}

// Forgotten is a job whose rows are deleted.
type Forgotten struct {
	ID         job.ID
	Faults     bool // Something was counted against it, so that it has a row of that.
	FailedRuns bool // Runs of it failed, so that it has a row of their numbers.
}

// ForgottenAs is a job with its progress whose rows are to be deleted.
func ForgottenAs(id job.ID, p *job.Progress) Forgotten {
	return Forgotten{ID: id, Faults: p.Any(), FailedRuns: len(p.FailedRuns) > 0}
}

// Rows is how many rows that deletes.
func (f Forgotten) Rows() int {
	rows := 1
	for _, also := range []bool{f.Faults, f.FailedRuns} {
		if also {
			rows++
		}
	}
	return rows
}

// Rows is how many rows a job's progress takes.
func Rows(p *job.Progress) int { return ForgottenAs("", p).Rows() }

// Limits of one batch, so that its transaction stays under the store's 100 entries and 1 MB.
const (
	MaxBatchRows  = 70 // Of progress, faults and failed runs; the last job may add two more.
	MaxForgetRows = 14
	// MaxAddressRows bounds the rows of addresses.
	MaxAddressRows = 8
	MaxBatchTasks  = 15000 // About 45 bytes each.
)

// Version is the version of the lease's row: that of the tenure's last commit. What the store gives a higher one was written later.
func (t *Tenure) Version() int64 { return t.lease.Version }

// Commit writes a batch if the lease is still held. An attempt without an answer is looked for on the lease, where
// it leaves its mark, and is repeated until ctx ends. After ErrReplaced nothing was written and nothing will be. After any
// other error the batch may have been written; committing it again, whole and possibly with more, is always right:
// an attempt that comes late fails, because the one that took effect has changed the lease's version.
func (t *Tenure) Commit(ctx context.Context, b *Batch) error {
	key := t.ledger.key(tableLease, t.ledger.Shard)
	first := t.lease.Sequence + 1
	for {
		t.lease.Sequence++
		next := t.lease
		if b.Release {
			next.Holder = ""
		}
		tx, err := t.transaction(b, next)
		if err != nil {
			return err
		}
		tx.Conditions = []store.Condition{{Key: key, Version: t.lease.Version}}
		version, err := t.ledger.Store.Commit(ctx, tx)
		if err == nil {
			t.lease.Version = version
			return nil
		}
		var conflict *store.Conflict
		if errors.Is(err, store.ErrUnknown) {
			landed, readErr := t.landed(ctx, first)
			if readErr != nil || ctx.Err() != nil {
				return err
			}
			if landed {
				return nil
			}
			continue
		}
		if !errors.As(err, &conflict) {
			return err
		}
		sequence, own := t.adopt(conflict)
		if !own {
			return ErrReplaced
		}
		if sequence >= first {
			return nil // An attempt of this batch took effect, and its answer was lost.
		}
	}
}

// landed reports whether an attempt from a sequence number on took effect, and takes over its version. The read also tells
// how slow the store is, so that the next attempt waits accordingly: each one takes its turn in the store.
func (t *Tenure) landed(ctx context.Context, first int64) (bool, error) {
	seen, err := t.ledger.Lease(ctx)
	if err != nil || seen.Holder != t.lease.Holder || seen.Epoch != t.lease.Epoch || seen.Sequence < first {
		return false, err
	}
	t.lease.Version = seen.Version
	return true, nil
}

// adopt takes over the version of an own earlier commit whose answer was lost, and returns that commit's sequence number.
func (t *Tenure) adopt(conflict *store.Conflict) (sequence int64, own bool) {
	for i := range conflict.Rows {
		row := &conflict.Rows[i]
		lease, err := decodeLease(row)
		if err == nil && lease.Holder == t.lease.Holder && lease.Epoch == t.lease.Epoch && lease.Version != t.lease.Version {
			t.lease.Version = lease.Version
			return lease.Sequence, true
		}
	}
	return 0, false
}

func (t *Tenure) transaction(b *Batch, lease Lease) (*store.Transaction, error) {
	tx := &store.Transaction{}
	add := func(table, name string, value any) error {
		raw, err := cbor.Marshal(value)
		tx.Writes = append(tx.Writes, store.Row{Key: t.ledger.key(table, name), Value: raw})
		return errors.Wrap(err, "ledger: unable to encode a row")
	}
	if err := add(tableLease, t.ledger.Shard, lease); err != nil {
		return nil, err
	}
	for id, p := range b.Progress {
		if err := add(tableProgress, string(id), p); err != nil {
			return nil, err
		}
		if err := t.addFaults(id, p, add); err != nil {
			return nil, err
		}
	}
	if b.Summary != nil {
		if err := add(tableSummary, t.ledger.Shard, b.Summary); err != nil {
			return nil, err
		}
	}
	for row, addresses := range b.Addresses {
		if err := add(tableAddresses, addressRowName(row), addresses); err != nil {
			return nil, err
		}
	}
	if b.Release {
		if err := add(tableRelease, t.ledger.Shard, lease.Epoch); err != nil {
			return nil, err
		}
	}
	for _, f := range b.Forget {
		tx.Deletes = append(tx.Deletes, t.ledger.key(tableProgress, string(f.ID)))
		if f.Faults {
			tx.Deletes = append(tx.Deletes, t.ledger.key(tableFaults, string(f.ID)))
		}
		if f.FailedRuns {
			tx.Deletes = append(tx.Deletes, t.ledger.key(tableFaults, string(f.ID)+failedSuffix))
		}
	}
	return tx, nil
}

// addFaults adds the rows that few jobs have.
func (t *Tenure) addFaults(id job.ID, p *job.Progress, add func(table, name string, value any) error) error {
	if p.Any() {
		if err := add(tableFaults, string(id), &p.Faults); err != nil {
			return err
		}
	}
	if len(p.FailedRuns) == 0 {
		return nil
	}
	return add(tableFaults, string(id)+failedSuffix, p.FailedRuns)
}
