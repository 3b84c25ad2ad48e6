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

// ReadAll reads a range page by page. The version is that of the first page, so that a feed from there misses nothing.
func ReadAll(ctx context.Context, s Store, r Range) (Page, error) {
	var all Page
	for {
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
	}
}
