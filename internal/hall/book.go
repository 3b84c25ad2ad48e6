// Package hall runs the decisions for one hall in a box: it keeps a view of the hall's rows and workers, asks the
// decider, and carries out what it decides by hold, commit and start.
package hall

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/settlement"
	"github.com/pulleyring/pulleyring/internal/table"
)

// Entry is a job with the version of its row, and since when this box knows what it says.
type Entry struct {
	settlement.Job
	Version  int64
	Learned  time.Time // When this box first saw the attempt, which was held at its workers before.
	Stopping time.Time // When it first saw that the attempt is to stop; zero before.
}

// date fills in since when the box knows the attempt and its stop, from the entry before.
func (e *Entry) date(old *Entry) {
	now := time.Now()
	e.Learned = now
	if e.State == settlement.Stopping {
		e.Stopping = now
	}
	if old == nil || old.Attempt != e.Attempt {
		return
	}
	e.Learned = old.Learned
	if old.State == settlement.Stopping {
		e.Stopping = old.Stopping
	}
}

// Key returns the job's key, caller/id.
func (e *Entry) Key() string { return e.Identity.String() }

// Book is a view of a hall's rows that is refreshed from the table. Fill in Hall and Table before use.
type Book struct {
	Hall  string
	Table table.Service

	mu       sync.Mutex
	turn     chan struct{} // Holds one token while a refresh is under way.
	revision int64
	jobs     map[string]*Entry
	racks    map[string]int64 // Versions of the racks' rows.
}

// changesLimit is the number of rows asked for at once.
const changesLimit = 2000

// Refresh takes in what changed since the last time.
func (b *Book) Refresh(ctx context.Context) error {
	turn := b.turns()
	select {
	case turn <- struct{}{}:
		defer func() { <-turn }()
	case <-ctx.Done():
		return ctx.Err()
	}
	for {
		b.mu.Lock()
		after := b.revision
		b.mu.Unlock()
		rows, revision, err := b.Table.Changes(ctx, settlement.HallPrefix(b.Hall), after, changesLimit)
		if err != nil {
			return errors.Wrapf(err, "hall: unable to refresh %s", b.Hall)
		}
		if err := b.take(rows, revision); err != nil {
			return err
		}
		if len(rows) < changesLimit {
			return nil
		}
	}
}

// turns returns the channel that lets one refresh through at a time.
func (b *Book) turns() chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.turn == nil {
		b.turn = make(chan struct{}, 1)
	}
	return b.turn
}

func (b *Book) take(rows []table.Row, revision int64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.init()
	for _, row := range rows {
		if err := b.takeRow(row); err != nil {
			return err
		}
	}
	b.revision = revision
	return nil
}

func (b *Book) init() {
	if b.jobs == nil {
		b.jobs = map[string]*Entry{}
		b.racks = map[string]int64{}
	}
}

func (b *Book) takeRow(row table.Row) error {
	kind, name, _ := strings.Cut(strings.TrimPrefix(row.Key, settlement.HallPrefix(b.Hall)), "/")
	switch kind {
	case "rack":
		b.racks[name] = max(b.racks[name], row.Version)
	case "job":
		old := b.jobs[name]
		if old != nil && old.Version >= row.Version {
			return nil
		}
		if row.Deleted {
			delete(b.jobs, name)
			return nil
		}
		e := &Entry{Version: row.Version}
		if err := settlement.Decode(row, &e.Job); err != nil {
			return err
		}
		e.date(old)
		b.jobs[name] = e
	}
	return nil
}

// Put notes a job row that this box committed.
func (b *Book) Put(job settlement.Job, version int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.init()
	key := job.Identity.String()
	old := b.jobs[key]
	if old != nil && old.Version >= version {
		return
	}
	e := &Entry{Job: job, Version: version}
	e.date(old)
	b.jobs[key] = e
}

// Drop notes that this box committed the deletion of a job row.
func (b *Book) Drop(key string, version int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if old := b.jobs[key]; old != nil && old.Version < version {
		delete(b.jobs, key)
	}
}

// PutRack notes that this box committed a rack's row.
func (b *Book) PutRack(rack string, version int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.init()
	b.racks[rack] = max(b.racks[rack], version)
}

// RackVersion returns the version of a rack's row, 0 where there is none.
func (b *Book) RackVersion(rack string) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.racks[rack]
}

// Job returns a job, or nil; the entry must not be changed.
func (b *Book) Job(key string) *Entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.jobs[key]
}

// Jobs returns every job in the order of their keys; the entries must not be changed.
func (b *Book) Jobs() []*Entry {
	b.mu.Lock()
	list := make([]*Entry, 0, len(b.jobs))
	for _, e := range b.jobs {
		list = append(list, e)
	}
	b.mu.Unlock()
	slices.SortFunc(list, func(x, y *Entry) int { return strings.Compare(x.Key(), y.Key()) })
	return list
}
