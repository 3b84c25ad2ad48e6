package store

import (
	"context"
	"hash/fnv"
	"strconv"
	"time"
)

// Query asks another box for the rows of a range, as that box last read them.
type Query struct {
	Range  Range
	Known  uint64        // Digest of the rows that the caller has; 0 if it has none.
	Wait   time.Duration // How long to wait while the rows have that digest; 0 not to wait.
	MaxAge time.Duration // Maximum time since the rows were read.
}

// Copy is the answer to a query.
type Copy struct {
	Page   Page // Empty if the caller has the same rows.
	Digest uint64
	Age    time.Duration // Time since the read of the rows began.
	Waited time.Duration // How long the answer was delayed.
}

// Digest returns a hash of the names and versions of the rows in the page. It is never 0.
func (p *Page) Digest() uint64 {
	sum := fnv.New64a()
	for i := range p.Rows {
		// A hash never returns an error.
		_, _ = sum.Write(strconv.AppendInt([]byte(p.Rows[i].Name+"\x00"), p.Rows[i].Version, 10))
	}
	return sum.Sum64() | 1
}

// Replica serves copies of rows that it has read. Copy returns ErrUnreachable if the range was not read, or was read
// longer ago than the query's MaxAge.
type Replica interface {
	Copy(ctx context.Context, q Query) (Copy, error)
}

// Peer is the store as it is reached through another box.
type Peer interface {
	Store
	Replica
}
