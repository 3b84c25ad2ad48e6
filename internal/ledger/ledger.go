// Package ledger stores jobs and their progress as rows of the platform's store. Each kind of row has one writer:
// requests and cancellations are written by the box that received the call, all other rows by the box that holds
// the shard's lease.
package ledger

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/internal/store"
)

// Tables of the store.
const (
	tableJobs     = "jobs"     // Requests, and cancellations under the request's name with cancelSuffix.
	tableProgress = "progress" // Progress of each job.
	tableFaults   = "faults"   // Worker losses and failures; with failedSuffix, the failed runs. Few jobs have such rows.
	tableLease    = "lease"    // Box that schedules the shard.
	tableRelease  = "release"  // Epoch of the last lease that was released; a change wakes the other boxes.
	tableSummary  = "summary"  // Number of pending jobs in each queue.
)

const cancelSuffix = "/cancel"

// failedSuffix is appended to a job's name to name the row of its failed runs. Boxes of earlier versions take such
// a row for that of a deleted job and ignore it. A further field in the row of faults would make them fail to read
// any of these rows.
const failedSuffix = "/failed"

// Ledger reads and writes the rows of one shard.
type Ledger struct {
	Store store.Store
	Shard string // Name of the shard: the part of the store that holds its rows.
	// RowBytes is the largest value of a row that the store takes; 0 for the usual limit.
	RowBytes int
}

func (l *Ledger) key(table, name string) store.Key {
	return store.Key{Table: table, Part: l.Shard, Name: name}
}

// ErrCancelled means that the job was cancelled before its request was written. The request will not be written.
var ErrCancelled = errors.New("ledger: cancelled before it was accepted")

// ErrNameTaken means that a job of another workspace has the same name.
var ErrNameTaken = errors.New("ledger: the name belongs to another workspace's job")

// ErrTooLarge means that a request or the progress of its job does not fit into a row of the store. The request was not
// written.
var ErrTooLarge = errors.New("ledger: the job does not fit into a row of the store")

// Submit writes a request unless it is already stored. It returns ErrCancelled, ErrNameTaken, ErrTooLarge or the store's
// error.
func (l *Ledger) Submit(ctx context.Context, r *job.Request) error {
	raw, err := cbor.Marshal(r)
	if err != nil {
		return errors.Wrap(err, "ledger: unable to encode a request")
	}
	if max(len(raw), minProgressBytes(r)) > l.rowLimit() {
		return ErrTooLarge
	}
	return l.tryParts(r.ID, func(part string) (bool, error) { return l.submitIn(ctx, part, r, raw) })
}

// submitIn writes a request to one part. unavailable is true if the part seems to be unavailable, so that
// another one should be tried.
func (l *Ledger) submitIn(ctx context.Context, part string, r *job.Request, raw []byte) (unavailable bool, err error) {
	request, cancel := requestKey(part, r.ID), cancelKey(part, r.ID)
	_, err = l.Store.Commit(ctx, &store.Transaction{
		Conditions: []store.Condition{{Key: request}, {Key: cancel}},
		Writes:     []store.Row{{Key: request, Value: raw}},
	})
	var conflict *store.Conflict
	if isOutcomeUnknown(err) {
		return l.checkSubmitted(ctx, part, r, err)
	}
	if errors.Is(err, store.ErrInvalid) {
		return false, ErrTooLarge
	}
	if !errors.As(err, &conflict) {
		return errors.Is(err, store.ErrRefused), err
	}
	for i := range conflict.Rows {
		if conflict.Rows[i].Name != request.Name {
			continue
		}
		known, err := decodeRequest(conflict.Rows[i].Value)
		if err != nil {
			return false, err
		}
		return false, sameWorkspace(known, r)
	}
	return false, ErrCancelled
}

// checkSubmitted reads a request back after a write that got no answer. It returns writeErr, the error of that
// write, if the request is not stored. A read costs the store less than a second write. If the read fails too,
// the part is reported as unavailable.
func (l *Ledger) checkSubmitted(ctx context.Context, part string, r *job.Request, writeErr error) (unavailable bool, err error) {
	known, err := l.requestIn(ctx, part, r.ID)
	if err != nil {
		return true, writeErr
	}
	if known == nil {
		return false, writeErr
	}
	return false, sameWorkspace(known, r)
}

func sameWorkspace(known, r *job.Request) error {
	if known.Terms.Workspace != r.Terms.Workspace {
		return ErrNameTaken
	}
	return nil
}

// Cancel records that a job is cancelled, even if the job is not known, so that a request still on its way is
// rejected.
func (l *Ledger) Cancel(ctx context.Context, id job.ID) error {
	return l.tryParts(id, func(part string) (bool, error) {
		row := store.Row{Key: cancelKey(part, id), Value: []byte{1}}
		_, err := l.Store.Commit(ctx, &store.Transaction{Writes: []store.Row{row}})
		return true, err
	})
}

// Request returns a job's request. It returns nil without an error only if all parts that may hold the request
// were read and none does.
func (l *Ledger) Request(ctx context.Context, id job.ID) (*job.Request, error) {
	var failed error
	for _, part := range l.partsFor(id) {
		r, err := l.requestIn(ctx, part, id)
		if r != nil {
			return r, nil
		}
		if err != nil {
			failed = err
		}
	}
	return nil, failed
}

func (l *Ledger) requestIn(ctx context.Context, part string, id job.ID) (*job.Request, error) {
	page, err := l.readOne(ctx, requestKey(part, id))
	if err != nil || len(page.Rows) == 0 {
		return nil, err
	}
	return decodeRequest(page.Rows[0].Value)
}

// State returns the state of a job as its scheduler last committed it. The bool is false if none is stored,
// because the job is queued or does not exist.
func (l *Ledger) State(ctx context.Context, id job.ID) (job.State, bool, error) {
	page, err := l.readOne(ctx, l.key(tableProgress, string(id)))
	if err != nil || len(page.Rows) == 0 {
		return job.Queued, false, err
	}
	p, err := decodeProgress(page.Rows[0].Value)
	if err != nil {
		return job.Queued, false, err
	}
	return p.State, true, nil
}

func (l *Ledger) readOne(ctx context.Context, k store.Key) (store.Page, error) {
	return l.Store.Read(ctx, store.Range{Table: k.Table, Part: k.Part, From: k.Name, To: k.Name + "\x00", Limit: 1})
}

// Summary is what the scheduler publishes about the queues for the other boxes.
type Summary struct {
	_       struct{}       `cbor:",toarray"`
	Pending map[string]int // By queue: number of accepted jobs of which no run is known to have begun.
}

// maxSummaryBytes limits the value of a row that describes queues or workspaces, of which a configuration may have any
// number.
const maxSummaryBytes = 24 << 10

// fitSummary returns a summary that fits into its row: all of it, or the queues with the most pending jobs.
func (l *Ledger) fitSummary(s *Summary) *Summary {
	names := slices.SortedFunc(maps.Keys(s.Pending), func(x, y string) int {
		return cmp.Or(cmp.Compare(s.Pending[y], s.Pending[x]), cmp.Compare(x, y))
	})
	n := l.countFitting(len(names), func(i int) int { return textBytes(len(names[i])) + headBytes(s.Pending[names[i]]) })
	if n == len(names) {
		return s
	}
	fitting := maps.Clone(s.Pending)
	for _, name := range names[n:] {
		delete(fitting, name)
	}
	return &Summary{Pending: fitting}
}

// countFitting returns how many of n entries of the given sizes in bytes, the first ones, fit into a row that describes
// queues, workspaces or jobs.
func (l *Ledger) countFitting(n int, size func(i int) int) int {
	left := min(maxSummaryBytes, l.rowLimit()) - headRowBytes
	for i := range n {
		if left -= size(i); left < 0 {
			return i
		}
	}
	return n
}

// Summary reads the latest summary; empty if there is none.
func (l *Ledger) Summary(ctx context.Context) (*Summary, error) {
	s := &Summary{}
	page, err := l.readOne(ctx, l.key(tableSummary, l.Shard))
	if err != nil || len(page.Rows) == 0 {
		return s, err
	}
	return s, errors.Wrap(cbor.Unmarshal(page.Rows[0].Value, s), "ledger: unable to decode a summary")
}

// Change is a new request or cancellation.
type Change struct {
	ID           job.ID
	Request      *job.Request // Set for a request, nil for a cancellation.
	Cancelled    bool
	Version      int64  // Version of the row.
	FallbackPart string // Part that holds the row, if it is not the job's primary part.
}

// Changes is a list of changes in the order in which they were written. To continue, watch from Version.
type Changes struct {
	List    []Change
	Version int64
}

// parallelReadThreshold is the longest time that reading the first part of the requests may take for the other
// parts to be read in parallel.
const parallelReadThreshold = 100 * time.Millisecond

// Jobs reads all requests and cancellations. A watch from the returned version misses no change. If the first
// part is read within parallelReadThreshold, the others are read in parallel, because reading 600 jobs in
// sequence took 0.9 s on a busy box. On a slow link reading in parallel is no faster.
func (l *Ledger) Jobs(ctx context.Context) (Changes, error) {
	began := time.Now()
	all, err := l.jobsIn(ctx, 0)
	if err != nil {
		return Changes{}, err
	}
	var (
		pages  [requestPartCount]store.Page
		failed [requestPartCount]error
		group  sync.WaitGroup
	)
	parallel := time.Since(began) < parallelReadThreshold
	for n := 1; n < requestPartCount; n++ {
		group.Go(func() { pages[n], failed[n] = l.jobsIn(ctx, n) })
		if !parallel {
			group.Wait()
		}
	}
	group.Wait()
	for n := 1; n < requestPartCount; n++ {
		if failed[n] != nil {
			return Changes{}, failed[n]
		}
		all.Rows = append(all.Rows, pages[n].Rows...)
	}
	return l.changes(all) // The version is that of the first part read.
}

func (l *Ledger) jobsIn(ctx context.Context, part int) (store.Page, error) {
	return store.ReadAll(ctx, l.Store, store.Range{Table: tableJobs, Part: l.partOf(part)})
}

// DeleteRequests deletes the requests and cancellations of jobs that no longer have to be shown. fallbackParts
// lists, by job, the parts besides the primary one that hold such rows.
func (l *Ledger) DeleteRequests(ctx context.Context, ids []job.ID, fallbackParts map[job.ID][]string) error {
	byPart := map[string][]store.Key{}
	for _, id := range ids {
		for _, part := range append([]string{l.primaryPart(id)}, fallbackParts[id]...) {
			byPart[part] = append(byPart[part], requestKey(part, id), cancelKey(part, id))
		}
	}
	for _, keys := range byPart {
		for some := range slices.Chunk(keys, maxTransactionDeletes) {
			if _, err := l.Store.Commit(ctx, &store.Transaction{Deletes: some}); err != nil {
				return err
			}
		}
	}
	return nil
}

// maxTransactionDeletes keeps transactions within the store's limit of 100 entries.
const maxTransactionDeletes = 96

// WatchJobs waits up to wait for requests and cancellations newer than the version since and returns them.
func (l *Ledger) WatchJobs(ctx context.Context, since int64, wait time.Duration) (Changes, error) {
	page, err := l.Store.Watch(ctx, tableJobs, since, wait)
	if err != nil {
		return Changes{}, err
	}
	return l.changes(page)
}

func (l *Ledger) changes(page store.Page) (Changes, error) {
	c := Changes{Version: page.Version}
	for i := range page.Rows {
		row := &page.Rows[i]
		if !strings.HasPrefix(row.Part, l.Shard+"/") || row.Deleted {
			continue
		}
		if id, ok := strings.CutSuffix(row.Name, cancelSuffix); ok {
			c.List = append(c.List, Change{ID: job.ID(id), Cancelled: true, Version: row.Version, FallbackPart: l.fallbackPart(job.ID(id), row.Part)})
			continue
		}
		r, err := decodeRequest(row.Value)
		if err != nil {
			return Changes{}, err
		}
		c.List = append(c.List, Change{ID: r.ID, Request: r, Version: row.Version, FallbackPart: l.fallbackPart(r.ID, row.Part)})
	}
	return c, nil
}

// Progress reads the progress of all jobs with their overflow, faults and failed runs. The tables are read in parallel,
// because a takeover waits for them and a read can take 0.4 s.
func (l *Ledger) Progress(ctx context.Context) (map[job.ID]*job.Progress, error) {
	var (
		page, faults, overflow      store.Page
		err, faultsErr, overflowErr error
		group                       sync.WaitGroup
	)
	group.Go(func() {
		faults, faultsErr = store.ReadAll(ctx, l.Store, store.Range{Table: tableFaults, Part: l.Shard})
	})
	group.Go(func() {
		overflow, overflowErr = store.ReadAll(ctx, l.Store, store.Range{Table: tableOverflow, Part: l.Shard, Limit: overflowPageRows})
	})
	page, err = store.ReadAll(ctx, l.Store, store.Range{Table: tableProgress, Part: l.Shard})
	group.Wait()
	for _, err := range []error{err, faultsErr, overflowErr} {
		if err != nil {
			return nil, err
		}
	}
	all := make(map[job.ID]*job.Progress, len(page.Rows))
	for i := range page.Rows {
		p, err := decodeProgress(page.Rows[i].Value)
		if err != nil {
			return nil, err
		}
		all[job.ID(page.Rows[i].Name)] = p
	}
	for i := range faults.Rows {
		if err := addFaultRow(all, &faults.Rows[i]); err != nil {
			return nil, err
		}
	}
	for i := range overflow.Rows {
		if err := addOverflowRow(all, &overflow.Rows[i]); err != nil {
			return nil, err
		}
	}
	return all, nil
}

// addFaultRow adds the content of a row of faults or of failed runs to the progress of its job. It ignores the
// row if the job is not in all, because it was deleted between the two reads.
func addFaultRow(all map[job.ID]*job.Progress, row *store.Row) error {
	id, failed := strings.CutSuffix(row.Name, failedSuffix)
	p := all[job.ID(id)]
	switch {
	case p == nil:
		return nil
	case failed:
		return errors.Wrap(cbor.Unmarshal(row.Value, &p.FailedRuns), "ledger: unable to decode a job's failed runs")
	}
	return decodeFaults(row.Value, &p.Faults)
}

// Failure reads why a job failed; nil if nothing is stored.
func (l *Ledger) Failure(ctx context.Context, id job.ID) (*job.Failure, error) {
	f, err := l.readFaults(ctx, id)
	return f.Failure, err
}

// ProgressOf reads the progress of one job with its faults, without its failed runs; nil if nothing is stored.
func (l *Ledger) ProgressOf(ctx context.Context, id job.ID) (*job.Progress, error) {
	page, err := l.readOne(ctx, l.key(tableProgress, string(id)))
	if err != nil || len(page.Rows) == 0 {
		return nil, err
	}
	p, err := decodeProgress(page.Rows[0].Value)
	if err != nil {
		return nil, err
	}
	if err := l.readOverflow(ctx, id, p); err != nil {
		return nil, err
	}
	p.Faults, err = l.readFaults(ctx, id)
	return p, err
}

// readFaults reads a job's faults; the zero value if nothing is stored.
func (l *Ledger) readFaults(ctx context.Context, id job.ID) (job.Faults, error) {
	var f job.Faults
	page, err := l.readOne(ctx, l.key(tableFaults, string(id)))
	if err != nil || len(page.Rows) == 0 {
		return f, err
	}
	err = decodeFaults(page.Rows[0].Value, &f)
	return f, err
}

func decodeFaults(raw []byte, f *job.Faults) error {
	return errors.Wrap(cbor.Unmarshal(raw, f), "ledger: unable to decode a job's faults")
}

func decodeRequest(raw []byte) (*job.Request, error) {
	r := &job.Request{}
	return r, errors.Wrap(cbor.Unmarshal(raw, r), "ledger: unable to decode a request")
}

func decodeProgress(raw []byte) (*job.Progress, error) {
	p := &job.Progress{}
	return p, errors.Wrap(cbor.Unmarshal(raw, p), "ledger: unable to decode progress")
}
