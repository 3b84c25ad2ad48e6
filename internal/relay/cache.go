package relay

import (
	"context"
	"sync"
	"time"

	"github.com/pulleyring/pulleyring/internal/interval"
	"github.com/pulleyring/pulleyring/internal/store"
)

// Cache is a store that keeps what was read from it last, for other boxes of the hall that follow the same rows. It implements store.Peer; its own reads are
// always new ones. Fill in the store before use.
type Cache struct {
	store.Store

	mu      sync.Mutex
	entries map[store.Range]*cachedPage
}

// cachedPage is a page as it was read last.
type cachedPage struct {
	page    store.Page
	digest  uint64
	asked   time.Time     // When the read began.
	changed chan struct{} // Closed once a read has other rows.
}

// entriesMost bounds the ranges that are kept.
const entriesMost = 16

// Read implements store.Store.
func (c *Cache) Read(ctx context.Context, r store.Range) (store.Page, error) {
	asked := time.Now()
	page, err := c.Store.Read(ctx, r)
	if err == nil {
		c.keep(r, page, asked)
	}
	return page, err
}

// keep takes in a page unless a later one was.
func (c *Cache) keep(r store.Range, page store.Page, asked time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	digest := page.Digest()
	e := c.entries[r]
	switch {
	case e == nil && len(c.entries) >= entriesMost:
		return
	case e == nil:
		if c.entries == nil {
			c.entries = map[store.Range]*cachedPage{}
		}
		e = &cachedPage{changed: make(chan struct{})}
		c.entries[r] = e
	case asked.Before(e.asked):
		return
	case digest != e.digest:
		close(e.changed)
		e.changed = make(chan struct{})
	}
	e.page, e.digest, e.asked = page, digest, asked
}

// Copy implements store.Replica.
func (c *Cache) Copy(ctx context.Context, q store.Query) (store.Copy, error) {
	began := time.Now()
	for {
		found, changed, err := c.find(&q)
		found.Waited = time.Since(began)
		if err != nil || found.Digest != q.Known || found.Waited >= q.Wait {
			return found, err
		}
		interval.SleepOrWoken(ctx, q.Wait-found.Waited, changed)
		if ctx.Err() != nil {
			return store.Copy{}, store.ErrUnknown
		}
	}
}

// find answers a query at once; changed is closed once other rows are read.
func (c *Cache) find(q *store.Query) (found store.Copy, changed <-chan struct{}, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.entries[q.Range]
	if e == nil || time.Since(e.asked) > q.MaxAge {
		return store.Copy{}, nil, store.ErrUnreachable
	}
	found = store.Copy{Digest: e.digest, Age: time.Since(e.asked)}
	if e.digest != q.Known {
		found.Page = e.page
	}
	return found, e.changed, nil
}
