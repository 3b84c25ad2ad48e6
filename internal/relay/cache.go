package relay

import (
	"context"
	"sync"
	"time"

	"github.com/pulleyring/pulleyring/internal/interval"
	"github.com/pulleyring/pulleyring/internal/store"
)

// Cache wraps a store and keeps the last page read of each range. Other boxes of the hall that need the same rows get
// them by Copy. Cache implements store.Peer. Its Read always reads from the store. Set Store before use.
type Cache struct {
	store.Store

	mu      sync.Mutex
	entries map[store.Range]*cachedPage
}

// cachedPage is the last page that was read of a range.
type cachedPage struct {
	page      store.Page
	digest    uint64
	readStart time.Time     // When the read began.
	changed   chan struct{} // Closed when a later read returns different rows.
}

// maxEntries limits the number of ranges in the cache.
const maxEntries = 16

// Read implements store.Store.
func (c *Cache) Read(ctx context.Context, r store.Range) (store.Page, error) {
	asked := time.Now()
	page, err := c.Store.Read(ctx, r)
	if err == nil {
		c.put(r, page, asked)
	}
	return page, err
}

// put stores a page, unless the page in the cache comes from a later read.
func (c *Cache) put(r store.Range, page store.Page, asked time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	digest := page.Digest()
	e := c.entries[r]
	switch {
	case e == nil && len(c.entries) >= maxEntries:
		return
	case e == nil:
		if c.entries == nil {
			c.entries = map[store.Range]*cachedPage{}
		}
		e = &cachedPage{changed: make(chan struct{})}
		c.entries[r] = e
	case asked.Before(e.readStart):
		return
	case digest != e.digest:
		close(e.changed)
		e.changed = make(chan struct{})
	}
	e.page, e.digest, e.readStart = page, digest, asked
}

// Copy implements store.Replica.
func (c *Cache) Copy(ctx context.Context, q store.Query) (store.Copy, error) {
	began := time.Now()
	for {
		waited := time.Since(began) // Before the lookup: the process may be suspended at any moment.
		found, changed, err := c.lookup(&q)
		found.Waited = waited
		if err != nil || found.Digest != q.Known || found.Waited >= q.Wait {
			return found, err
		}
		interval.SleepOrWoken(ctx, q.Wait-found.Waited, changed)
		if ctx.Err() != nil {
			return store.Copy{}, store.ErrUnknown
		}
	}
}

// lookup answers a query without waiting. changed is closed when a later read returns different rows. The error is
// store.ErrUnreachable if the range is not in the cache or was read longer than the query's MaxAge ago.
func (c *Cache) lookup(q *store.Query) (found store.Copy, changed <-chan struct{}, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.entries[q.Range]
	if e == nil || time.Since(e.readStart) > q.MaxAge {
		return store.Copy{}, nil, store.ErrUnreachable
	}
	found = store.Copy{Digest: e.digest, Age: time.Since(e.readStart)}
	if e.digest != q.Known {
		found.Page = e.page
	}
	return found, e.changed, nil
}
