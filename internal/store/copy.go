package store

import (
	"context"
	"hash/fnv"
	"strconv"
	"time"
)

// Query asks a box for rows as it read them last.
type Query struct {
	Range  Range
	Known  uint64        // Digest of the rows that the caller has; 0 for none.
	Wait   time.Duration // How long to wait for other rows than those; 0 not to wait.
	MaxAge time.Duration // The rows must have been read within that.
}

// Copy is the answer to a query.
type Copy struct {
	Page   Page // Left out where the caller has the same rows.
	Digest uint64
	Age    time.Duration // How long ago it was asked for the rows.
	Waited time.Duration // How long the answer was held back.
}

// Digest tells rows in a page from others by their names and versions; it is never 0.
func (p *Page) Digest() uint64 {
	sum := fnv.New64a()
	for i := range p.Rows {
		// A hash takes everything.
		_, _ = sum.Write(strconv.AppendInt([]byte(p.Rows[i].Name+"\x00"), p.Rows[i].Version, 10))
	}
	return sum.Sum64() | 1
}

// Replica answers queries. Its error is ErrUnreachable where the rows are not followed, or were read too long ago.
type Replica interface {
	Copy(ctx context.Context, q Query) (Copy, error)
}

// Peer is the store as another box passes it on.
type Peer interface {
	Store
	Replica
}
