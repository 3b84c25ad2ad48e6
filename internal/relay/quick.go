package relay

import (
	"context"
	"sync"
	"time"

	"github.com/pulleyring/pulleyring/internal/store"
)

// QuickReads is a store whose reads give up soon, so that the next try takes another path if this one leads through a
// box that does not answer. The timeout follows the time of the last read and doubles with each failure, up to
// maxTimeout, for slow links. Set Store before use.
type QuickReads struct {
	store.Store

	mu      sync.Mutex
	timeout time.Duration
}

// quickTimeout is the first timeout of a read. The store at its slowest answers after about 400 ms.
const quickTimeout = 500 * time.Millisecond

// Read implements store.Store.
func (q *QuickReads) Read(ctx context.Context, r store.Range) (store.Page, error) {
	q.mu.Lock()
	timeout := max(q.timeout, quickTimeout)
	q.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	began := time.Now()
	page, err := q.Store.Read(ctx, r)
	q.mu.Lock()
	defer q.mu.Unlock()
	if err == nil {
		q.timeout = min(timeoutFactor*time.Since(began), maxTimeout)
	} else {
		q.timeout = min(2*timeout, maxTimeout)
	}
	return page, err
}
