// Package ledger keeps jobs and what has become of them as rows of the platform's store. Each kind of row has a single
// writer: requests and cancellations are written by whichever box took the call, everything else by the box that holds
// the shard's lease.
package ledger

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/internal/store"
)

// Tables of the system's own rows.
const (
	tableJobs     = "jobs"     // Requests, and cancellations under the request's name with cancelSuffix.
	tableProgress = "progress" // What has become of a job.
	tableFaults   = "faults"   // What is counted against a job, and under its name with failedSuffix its failed runs; few jobs have such rows.
	tableLease    = "lease"    // Who schedules a shard.
	tableRelease  = "release"  // Changes when a lease is given back, to wake the other boxes.
	tableSummary  = "summary"  // Counts for each queue.
)

const cancelSuffix = "/cancel"

// failedSuffix names the row of a job's failed runs. Boxes that don't know it take it for that of a job that was forgotten, and pass over it; one more entry
// in the row beside it would keep them from reading any.
const failedSuffix = "/failed"

// Ledger reads and writes one shard's rows.
type Ledger struct {
	Store store.Store
	Shard string // Part of the store that the shard's rows lie in.
}

func (l *Ledger) key(table, name string) store.Key {
	return store.Key{Table: table, Part: l.Shard, Name: name}
}

// ErrCancelled says that a job was cancelled before its request was written; the request never will be.
var ErrCancelled = errors.New("ledger: cancelled before it was accepted")

// ErrOther says that a job of another workspace has the same name.
var ErrOther = errors.New("ledger: the name belongs to another workspace's job")

// Submit writes a request unless it is there already. It returns ErrCancelled, ErrOther or the store's error.
func (l *Ledger) Submit(ctx context.Context, r *job.Request) error {
	raw, err := cbor.Marshal(r)
	if err != nil {
		return errors.Wrap(err, "ledger: unable to encode a request")
	}
	return l.inParts(r.ID, func(part string) (bool, error) { return l.submitIn(ctx, part, r, raw) })
}

// submitIn writes a request in one part; out says that the part seems to be out.
func (l *Ledger) submitIn(ctx context.Context, part string, r *job.Request, raw []byte) (out bool, err error) {
	request, cancel := requestKey(part, r.ID), cancelKey(part, r.ID)
	_, err = l.Store.Commit(ctx, &store.Transaction{
		Conditions: []store.Condition{{Key: request}, {Key: cancel}},
		Writes:     []store.Row{{Key: request, Value: raw}},
	})
	var conflict *store.Conflict
	if isNoAnswer(err) {
		return l.lookBack(ctx, part, r, err)
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

// lookBack settles a write of a request that got no answer if it is there by now; otherwise the error stays. Reading costs
// the store less than another write. A part that can't be read either is out.
func (l *Ledger) lookBack(ctx context.Context, part string, r *job.Request, unknown error) (out bool, err error) {
	known, err := l.requestIn(ctx, part, r.ID)
	if err != nil {
		return true, unknown
	}
	if known == nil {
		return false, unknown
	}
	return false, sameWorkspace(known, r)
}

func sameWorkspace(known, r *job.Request) error {
	if known.Terms.Workspace != r.Terms.Workspace {
		return ErrOther
	}
	return nil
}

// Cancel notes that a job is cancelled, whether it is known or not, so that a request still under way can't become one.
func (l *Ledger) Cancel(ctx context.Context, id job.ID) error {
	return l.inParts(id, func(part string) (bool, error) {
		row := store.Row{Key: cancelKey(part, id), Value: []byte{1}}
		_, err := l.Store.Commit(ctx, &store.Transaction{Writes: []store.Row{row}})
		return true, err
	})
}

// Request returns a job's request, nil where there is none. It must be in none of the job's parts for that.
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

// State returns the state that a job's scheduler committed last, false where there is none: the job is queued, or there is
// no such job.
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

// Summary is what the scheduler tells the other boxes of the queues.
type Summary struct {
	_       struct{}       `cbor:",toarray"`
	Pending map[string]int // For each queue: accepted jobs of which nothing was started.
}

// Summary reads the newest summary.
func (l *Ledger) Summary(ctx context.Context) (*Summary, error) {
	s := &Summary{}
	page, err := l.readOne(ctx, l.key(tableSummary, l.Shard))
	if err != nil || len(page.Rows) == 0 {
		return s, err
	}
	return s, errors.Wrap(cbor.Unmarshal(page.Rows[0].Value, s), "ledger: unable to decode a summary")
}

// Change is a request or a cancellation that came in, or one that was deleted.
type Change struct {
	ID        job.ID
	Request   *job.Request // Set for a request.
	Cancelled bool
	Version   int64  // Of the row.
	Away      string // Part that the row lies in if it is not the job's first one.
}

// Changes is a list of changes in order; a feed goes on from its version.
type Changes struct {
	List    []Change
	Version int64
}

// partQuick is the time within which the first part must have been read for the others to be read side by side.
const partQuick = 100 * time.Millisecond

// Jobs reads all requests and cancellations. A feed from the version that it returns misses nothing. Parts are read side by
// side where the first one came quickly: one after the other they took 0.9 s for 600 jobs on a busy box, while a thin link
// carries no more at a time.
func (l *Ledger) Jobs(ctx context.Context) (Changes, error) {
	began := time.Now()
	all, err := l.jobsIn(ctx, 0)
	if err != nil {
		return Changes{}, err
	}
	var (
		pages  [requestParts]store.Page
		failed [requestParts]error
		group  sync.WaitGroup
	)
	quick := time.Since(began) < partQuick
	for n := 1; n < requestParts; n++ {
		group.Go(func() { pages[n], failed[n] = l.jobsIn(ctx, n) })
		if !quick {
			group.Wait()
		}
	}
	group.Wait()
	for n := 1; n < requestParts; n++ {
		if failed[n] != nil {
			return Changes{}, failed[n]
		}
		all.Rows = append(all.Rows, pages[n].Rows...)
	}
	return l.changes(all) // The version is that of the first read.
}

func (l *Ledger) jobsIn(ctx context.Context, part int) (store.Page, error) {
	return store.ReadAll(ctx, l.Store, store.Range{Table: tableJobs, Part: l.partOf(part)})
}

// Drop deletes the requests and cancellations of jobs that need not be shown any more; away names the parts besides the
// first one that have rows of a job.
func (l *Ledger) Drop(ctx context.Context, ids []job.ID, away map[job.ID][]string) error {
	byPart := map[string]*store.Transaction{}
	for _, id := range ids {
		for _, part := range append([]string{l.homePart(id)}, away[id]...) {
			if byPart[part] == nil {
				byPart[part] = &store.Transaction{}
			}
			byPart[part].Deletes = append(byPart[part].Deletes, requestKey(part, id), cancelKey(part, id))
		}
	}
	for _, tx := range byPart {
		if _, err := l.Store.Commit(ctx, tx); err != nil {
			return err
		}
	}
	return nil
}

// WatchJobs waits up to wait for requests and cancellations after a version.
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
			c.List = append(c.List, Change{ID: job.ID(id), Cancelled: true, Version: row.Version, Away: l.away(job.ID(id), row.Part)})
			continue
		}
		r, err := decodeRequest(row.Value)
		if err != nil {
			return Changes{}, err
		}
		c.List = append(c.List, Change{ID: r.ID, Request: r, Version: row.Version, Away: l.away(r.ID, row.Part)})
	}
	return c, nil
}

// Progress reads what has become of all jobs, and what is counted against them, side by side: at the store's slowest a read takes 0.4 s, for which
// a take-over waits.
func (l *Ledger) Progress(ctx context.Context) (map[job.ID]*job.Progress, error) {
	var (
		page, faults store.Page
		err, alsoErr error
		group        sync.WaitGroup
	)
	group.Go(func() {
		faults, alsoErr = store.ReadAll(ctx, l.Store, store.Range{Table: tableFaults, Part: l.Shard})
	})
	page, err = store.ReadAll(ctx, l.Store, store.Range{Table: tableProgress, Part: l.Shard})
	group.Wait()
	if err != nil {
		return nil, err
	}
	if alsoErr != nil {
		return nil, alsoErr
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
		if err := takeFaults(all, &faults.Rows[i]); err != nil {
			return nil, err
		}
	}
	return all, nil
}

// takeFaults takes in a row of what is counted against a job, or of its failed runs; its job may have been forgotten between the two reads.
func takeFaults(all map[job.ID]*job.Progress, row *store.Row) error {
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

// Failure reads why a job has failed, nil where nothing tells.
func (l *Ledger) Failure(ctx context.Context, id job.ID) (*job.Failure, error) {
	f, err := l.faultsOf(ctx, id)
	return f.Failure, err
}

// ProgressOf reads what has become of one job and what is counted against it, nil where nothing has happened to it.
func (l *Ledger) ProgressOf(ctx context.Context, id job.ID) (*job.Progress, error) {
	page, err := l.readOne(ctx, l.key(tableProgress, string(id)))
	if err != nil || len(page.Rows) == 0 {
		return nil, err
	}
	p, err := decodeProgress(page.Rows[0].Value)
	if err != nil {
		return nil, err
	}
	p.Faults, err = l.faultsOf(ctx, id)
	return p, err
}

// faultsOf reads what is counted against a job, the zero value where nothing is.
func (l *Ledger) faultsOf(ctx context.Context, id job.ID) (job.Faults, error) {
	var f job.Faults
	page, err := l.readOne(ctx, l.key(tableFaults, string(id)))
	if err != nil || len(page.Rows) == 0 {
		return f, err
	}
	err = decodeFaults(page.Rows[0].Value, &f)
	return f, err
}

func decodeFaults(raw []byte, f *job.Faults) error {
	return errors.Wrap(cbor.Unmarshal(raw, f), "ledger: unable to decode what is counted against a job")
}

func decodeRequest(raw []byte) (*job.Request, error) {
	r := &job.Request{}
	return r, errors.Wrap(cbor.Unmarshal(raw, r), "ledger: unable to decode a request")
}

func decodeProgress(raw []byte) (*job.Progress, error) {
	p := &job.Progress{}
	return p, errors.Wrap(cbor.Unmarshal(raw, p), "ledger: unable to decode progress")
}
