// Package store is what the system needs of the platform's store of rows: reads, transactions under conditions and a
// feed of changes. The adapter in platform/ and the emulator implement it.
package store

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors of calls. A *Conflict is the third kind: the conditions did not hold and nothing was written.
var (
	// ErrRefused says that the store surely did nothing.
	ErrRefused = errors.New("store: refused")
	// ErrUnreachable is the refusal of a path that does not lead to the store: another path may.
	ErrUnreachable = errors.WithMessage(ErrRefused, "no path to it")
	// ErrUnknown says that no answer came: the call may have taken effect, or may do so later.
	ErrUnknown = errors.New("store: no answer")
	// ErrHistoryGone says that a feed can't be continued; read the table again.
	ErrHistoryGone = errors.New("store: history gone")
)

// Key names a row.
type Key struct {
	Table string
	Part  string // Rows of one part change together; a transaction stays within one part.
	Name  string
}

// Row is a row as it was read, or as it is to be written.
type Row struct {
	Key
	Value   []byte
	Version int64 // Set by the store.
	Deleted bool  // In a feed: the row is gone.
}

// Condition is what a row must be like for a transaction to be carried out.
type Condition struct {
	Key
	Version int64 // 0: the row must not exist.
}

// Transaction changes rows, all or none.
type Transaction struct {
	Conditions []Condition
	Writes     []Row
	Deletes    []Key
	Patient    bool // Nobody waits for it: its answer may take long, as that of one among many that wait their turn in a part.
}

// Conflict is the error of a transaction whose conditions did not hold.
type Conflict struct {
	Rows []Row // The rows of the conditions as they are; those that don't exist are left out.
}

// Error implements error.
func (*Conflict) Error() string { return "store: conflict" }

// Range selects rows of one table and part by name, in rising order.
type Range struct {
	Table, Part string
	From        string // First name.
	To          string // Name after the last one; empty for no end.
	Limit       int    // 0 for the store's own limit.
}

// Page is the answer to a read or to a feed.
type Page struct {
	Rows    []Row
	More    bool  // The range has more rows than were returned.
	Version int64 // The newest version at the moment of the answer.
}

// Store is the platform's store. Every call is bounded in time by the implementation as well as by ctx.
type Store interface {
	// Commit carries out a transaction and returns the version that its rows got.
	Commit(ctx context.Context, tx *Transaction) (int64, error)
	// Read returns rows as of a single moment.
	Read(ctx context.Context, r Range) (Page, error)
	// Watch waits up to wait for changes of a table after a version and returns them in order.
	Watch(ctx context.Context, table string, since int64, wait time.Duration) (Page, error)
}

const (
	// firstPage is how many rows the first page of a long read asks for: about 50 KB, 0.2 s on the thinnest link seen (2 Mbit/s).
	firstPage = 32
	// pageLeast and pageMost bound the rows of the later ones; the platform gives 500 at most.
	pageLeast, pageMost = 16, 500
	// pageQuick and pageSlow are the times within and after which the next page is twice, or half, as long, so that on
	// any link a page takes less than the 0.7 s without an answer after which the path to the store counts as out.
	pageQuick, pageSlow = 100 * time.Millisecond, 300 * time.Millisecond
)

// ReadAll reads a range page by page, in pages as long as the link carries well. The version is that of the first page, so
// that a feed from there misses nothing.
func ReadAll(ctx context.Context, s Store, r Range) (Page, error) {
	var all Page
	r.Limit = firstPage
	for {
		began := time.Now()
		page, err := s.Read(ctx, r)
		if err != nil {
			return Page{}, err
		}
		if all.Version == 0 {
			all.Version = page.Version
		}
		all.Rows = append(all.Rows, page.Rows...)
		if !page.More || len(page.Rows) == 0 {
			return all, nil
		}
		r.From = page.Rows[len(page.Rows)-1].Name + "\x00"
		r.Limit = nextLimit(r.Limit, time.Since(began))
	}
}

// nextLimit is how many rows the next page asks for, after one that took a time.
func nextLimit(limit int, took time.Duration) int {
	switch {
	case took < pageQuick:
		return min(2*limit, pageMost)
	case took > pageSlow:
		return max(limit/2, pageLeast)
	}
	return limit
}
