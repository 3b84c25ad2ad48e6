package ledger

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/admission"
	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/internal/store"
)

// Lease is the row that names the box that schedules a shard. Every commit of the holder changes it. The row thus
// serves as the holder's heartbeat and as the condition that makes commits of a replaced box fail.
type Lease struct {
	_        struct{} `cbor:",toarray"`
	Holder   string   // Name of the box and of its start; empty after a release.
	Epoch    int64    // Increases with each holder; the fencing token in commands to workers.
	Sequence int64    // Increases with each commit attempt of a holder.
	Version  int64    `cbor:"-"` // Version of the row when it was read.
}

// ErrLeaseTaken means that another box holds the lease.
var ErrLeaseTaken = errors.New("ledger: replaced by another box")

// Lease reads the shard's lease; the zero value if no box ever held it.
func (l *Ledger) Lease(ctx context.Context) (Lease, error) {
	page, err := l.readOne(ctx, l.key(tableLease, l.Shard))
	if err != nil || len(page.Rows) == 0 {
		return Lease{}, err
	}
	return decodeLease(&page.Rows[0])
}

// WatchRelease waits up to wait for any lease to be released after the version since. It returns the version to
// pass as since in the next call.
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

// LeaseTerm is the time in which one box holds the shard's lease. Its methods commit changes under that lease
// and must be called by one goroutine only.
type LeaseTerm struct {
	ClaimedAt             time.Time // Time at which the claim was sent; the lease is held from some later time on.
	PredecessorQuietSince time.Time // Time after which no earlier holder committed anything.

	ledger *Ledger
	lease  Lease
}

// Claim takes over the lease for holder. seen is the lease as last read, and since is the time from which it
// has not changed. The error is ErrLeaseTaken if another box claimed or changed the lease first.
func (l *Ledger) Claim(ctx context.Context, holder string, seen Lease, since time.Time) (*LeaseTerm, error) {
	t := &LeaseTerm{ClaimedAt: time.Now(), PredecessorQuietSince: since, ledger: l, lease: Lease{Holder: holder, Epoch: seen.Epoch + 1, Version: seen.Version}}
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
		return nil, ErrLeaseTaken
	}
	t.lease.Version = version
	return t, err
}

// Epoch returns the fencing token.
func (t *LeaseTerm) Epoch() int64 { return t.lease.Epoch }

// Batch is a set of changes that a scheduler commits in one transaction.
type Batch struct {
	Progress  map[job.ID]*job.Progress
	Summary   *Summary          // nil to leave it unchanged.
	Unbegun   []job.ID          // Running jobs of which no run is known to have begun; nil to leave the list unchanged.
	Load      *admission.Load   // nil to leave it unchanged.
	Addresses map[int]Addresses // Complete rows of worker addresses, by row number.
	Speeds    map[int][]Speed   // Complete rows of workers' speeds, by row number; at most MaxSpeedRows.
	Delete    []JobDeletion     // Jobs whose progress is deleted; their requests must be deleted before.
	Release   bool              // Release the lease.
}

// JobDeletion identifies a job whose rows of progress, overflow, faults and failed runs are deleted.
type JobDeletion struct {
	ID         job.ID
	Faults     bool // The job has a row of faults.
	FailedRuns bool // The job has a row of failed runs.
	Overflow   int  // Number of its rows of overflow.
}

// DeletionOf returns the deletion of all rows that the progress of a job takes.
func DeletionOf(id job.ID, p *job.Progress) JobDeletion {
	return JobDeletion{ID: id, Faults: p.AnyFaults(), FailedRuns: len(p.FailedRuns) > 0, Overflow: p.OverflowRows}
}

// Rows returns the number of rows to be deleted.
func (f JobDeletion) Rows() int {
	rows := 1 + f.Overflow
	for _, exists := range []bool{f.Faults, f.FailedRuns} {
		if exists {
			rows++
		}
	}
	return rows
}

// ProgressRows returns the number of rows that a job's progress takes.
func ProgressRows(p *job.Progress) int { return DeletionOf("", p).Rows() }

// Limits of one batch. They keep its transaction within the store's limits of 100 entries and 1 MB, in base64. The first
// job may exceed those of progress, and the first row that of addresses.
const (
	MaxBatchRows    = 70        // Rows of progress, overflow, faults and failed runs.
	MaxDeletedRows  = 12        // Deleted rows.
	MaxAddressRows  = 8         // Rows of worker addresses.
	MaxBatchBytes   = 448 << 10 // Rows of progress, overflow, faults and failed runs.
	MaxAddressBytes = 64 << 10  // Rows of worker addresses.
)

// LastCommitVersion returns the version of the lease row after the last commit. Rows with a higher version were written
// later.
func (t *LeaseTerm) LastCommitVersion() int64 { return t.lease.Version }

// Commit writes a batch if the lease is still held. If an attempt gets no answer, Commit reads the lease to find
// out whether it took effect, and retries until ctx ends. After ErrLeaseTaken nothing was written, and nothing will
// be. After any other error the batch may have been written. It is then safe to commit it again, complete and
// possibly with further changes: an attempt that arrives late fails, because the one that took effect has changed
// the version of the lease.
func (t *LeaseTerm) Commit(ctx context.Context, b *Batch) error {
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
			committed, readErr := t.tookEffect(ctx, first)
			if readErr != nil || ctx.Err() != nil {
				return err
			}
			if committed {
				return nil
			}
			continue
		}
		if !errors.As(err, &conflict) {
			return err
		}
		sequence, own := t.recordOwnCommit(conflict)
		if !own {
			return ErrLeaseTaken
		}
		if sequence >= first {
			return nil // An earlier attempt took effect, but its answer was lost.
		}
	}
}

// tookEffect reads the lease and reports whether a commit attempt with the sequence number first or a higher
// one took effect. If so, it records the new version of the lease. The store client also learns from this read
// how slow the store is. The next attempt then waits long enough for its turn in the queue of the store.
func (t *LeaseTerm) tookEffect(ctx context.Context, first int64) (bool, error) {
	seen, err := t.ledger.Lease(ctx)
	if err != nil || seen.Holder != t.lease.Holder || seen.Epoch != t.lease.Epoch || seen.Sequence < first {
		return false, err
	}
	t.lease.Version = seen.Version
	return true, nil
}

// recordOwnCommit checks whether a conflict is caused by an earlier commit of this term, whose answer was lost.
// If so, it records the version that this commit gave the lease row, and returns its sequence number.
func (t *LeaseTerm) recordOwnCommit(conflict *store.Conflict) (sequence int64, own bool) {
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

func (t *LeaseTerm) transaction(b *Batch, lease Lease) (*store.Transaction, error) {
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
		short, overflow := t.ledger.splitProgress(p)
		if err := add(tableProgress, string(id), short); err != nil {
			return nil, err
		}
		if err := t.addOverflow(tx, id, overflow, p.OverflowRows, add); err != nil {
			return nil, err
		}
		if err := t.addFaults(id, p, add); err != nil {
			return nil, err
		}
	}
	if b.Summary != nil {
		if err := add(tableSummary, t.ledger.Shard, t.ledger.fitSummary(b.Summary)); err != nil {
			return nil, err
		}
	}
	if b.Unbegun != nil {
		if err := add(tableSummary, t.ledger.Shard+unbegunSuffix, t.ledger.fitUnbegun(b.Unbegun)); err != nil {
			return nil, err
		}
	}
	if b.Load != nil {
		load := t.ledger.fitLoad(b.Load)
		if err := add(tableLoad, t.ledger.Shard, load); err != nil {
			return nil, err
		}
		if full := &load.Full; !full.IsEmpty() {
			if err := add(tableLoad, t.ledger.Shard+fullSuffix, full); err != nil {
				return nil, err
			}
		}
	}
	for row, addresses := range b.Addresses {
		if err := add(tableAddresses, addressRowName(row), t.ledger.fitAddresses(addresses)); err != nil {
			return nil, err
		}
	}
	if err := b.addSpeeds(add); err != nil {
		return nil, err
	}
	if b.Release {
		if err := add(tableRelease, t.ledger.Shard, lease.Epoch); err != nil {
			return nil, err
		}
	}
	for _, f := range b.Delete {
		tx.Deletes = append(tx.Deletes, t.ledger.key(tableProgress, string(f.ID)))
		t.deleteOverflow(tx, f.ID, 0, f.Overflow)
		if f.Faults {
			tx.Deletes = append(tx.Deletes, t.ledger.key(tableFaults, string(f.ID)))
		}
		if f.FailedRuns {
			tx.Deletes = append(tx.Deletes, t.ledger.key(tableFaults, string(f.ID)+failedSuffix))
		}
	}
	return tx, nil
}

// addFaults calls add for the job's row of faults and for its row of failed runs, if it has them.
func (t *LeaseTerm) addFaults(id job.ID, p *job.Progress, add func(table, name string, value any) error) error {
	if p.AnyFaults() {
		if err := add(tableFaults, string(id), &p.Faults); err != nil {
			return err
		}
	}
	if len(p.FailedRuns) == 0 {
		return nil
	}
	return add(tableFaults, string(id)+failedSuffix, p.FailedRuns)
}
