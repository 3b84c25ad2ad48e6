// Package store defines the interface to the platform's store of rows: reads, conditional transactions and a feed of
// changes. The adapter in platform/ and the emulator implement it.
package store

import (
	"cmp"
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors of calls. Besides these, Commit returns a *Conflict if the conditions did not hold and nothing was written.
var (
	// ErrRefused means that the store did nothing.
	ErrRefused = errors.New("store: refused")
	// ErrUnreachable is an ErrRefused because this path does not reach the store; another path may.
	ErrUnreachable = errors.WithMessage(ErrRefused, "no path to it")
	// ErrInvalid is an ErrRefused because the call exceeds a limit of the store. Repeating it is of no use.
	ErrInvalid = errors.WithMessage(ErrRefused, "it exceeds a limit")
	// ErrUnknown means that no answer came: the call may have taken effect, or may still do so.
	ErrUnknown = errors.New("store: no answer")
	// ErrHistoryGone means that the feed can't be continued from the given version; the table must be read again.
	ErrHistoryGone = errors.New("store: history gone")
)

// IsFailure reports whether an error shows that the store can't be reached or is overloaded.
func IsFailure(err error) bool {
	return errors.Is(err, ErrUnknown) || errors.Is(err, ErrRefused) && !errors.Is(err, ErrInvalid)
}

// Key identifies a row.
type Key struct {
	Table string
	Part  string // Rows of one part can change together: a transaction is limited to one part.
	Name  string
}

// Row is a row that was read or is to be written.
type Row struct {
	Key
	Value   []byte
	Version int64 // Set by the store.
	Deleted bool  // In a feed: the row was deleted.
}

// Condition requires that a row has a version, or does not exist, for a transaction to be carried out.
type Condition struct {
	Key
	Version int64 // 0: the row must not exist.
}

// Transaction changes rows atomically.
type Transaction struct {
	Conditions []Condition
	Writes     []Row
	Deletes    []Key
	Patient    bool // No caller waits for the transaction. It gets the longest timeout, because it may queue in its part.
}

// Conflict is the error of a transaction whose conditions did not hold.
type Conflict struct {
	Rows []Row // Current rows of the conditions, without those that don't exist.
}

// Error implements error.
func (*Conflict) Error() string { return "store: conflict" }

// Range selects rows of one table and part by name, in ascending order.
type Range struct {
	Table, Part string
	From        string // First name, inclusive.
	To          string // Last name, exclusive; empty for no end.
	// Limit is the maximum number of rows; 0 for the store's own limit. For ReadAll it is that of the first page.
	Limit int
}

// Page is the answer to a read or to a feed.
type Page struct {
	Rows    []Row
	More    bool  // The range has more rows than are in the page.
	Version int64 // Newest version in the store at the time of the answer.
}

// Store is the platform's store. Implementations limit the duration of every call, in addition to ctx.
type Store interface {
	// Commit carries out a transaction and returns the new version of its rows.
	Commit(ctx context.Context, tx *Transaction) (int64, error)
	// Read returns the rows of a range, all as of the same moment.
	Read(ctx context.Context, r Range) (Page, error)
	// Watch returns the changes of a table after the version since, in order. If there are none yet, it waits for them
	// for up to wait.
	Watch(ctx context.Context, table string, since int64, wait time.Duration) (Page, error)
}

const (
	// firstPageRows is the number of rows of the first page of a long read: about 50 KB, which take 0.2 s at 2 Mbit/s, the
	// slowest link seen.
	firstPageRows = 32
	// minPageRows and maxPageRows limit the rows of later pages. The platform returns 500 at most.
	minPageRows, maxPageRows = 16, 500
	// A page that takes less than fastPage doubles the next page, and one that takes more than slowPage halves it. This
	// keeps pages below 0.7 s on any link; after 0.7 s without an answer the path to the store counts as down.
	fastPage, slowPage = 100 * time.Millisecond, 300 * time.Millisecond
)

// ReadAll reads a range page by page and adapts the size of the pages to the speed of the link. The result
// has the version of the first page, so that a feed from that version misses no change.
func ReadAll(ctx context.Context, s Store, r Range) (Page, error) {
	var all Page
	r.Limit = cmp.Or(r.Limit, firstPageRows)
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
		r.Limit = nextPageRows(r.Limit, time.Since(began))
	}
}

// nextPageRows returns the number of rows of the next page, from the limit and the duration of the last one.
func nextPageRows(limit int, took time.Duration) int {
	switch {
	case took < fastPage:
		return min(2*limit, maxPageRows)
	case took > slowPage:
		return max(limit/2, min(limit, minPageRows))
	}
	return limit
}
