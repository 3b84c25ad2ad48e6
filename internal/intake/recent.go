package intake

import (
	"sync"
	"time"

	"github.com/pulleyring/pulleyring/pkg/request"
)

// recentKept is the number of requests that a box remembers for `show requests`.
const recentKept = 1000

// Recent is a request that this box answered lately.
type Recent struct {
	request.Identity
	Workspace string
	Kind      string
	Outcome   request.Outcome
	Received  time.Time
	Took      time.Duration
}

// recentBook keeps the latest requests in a ring.
type recentBook struct {
	mu   sync.Mutex
	list []Recent
	next int
}

func (b *recentBook) add(r Recent) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.list) < recentKept {
		b.list = append(b.list, r)
		return
	}
	b.list[b.next] = r
	b.next = (b.next + 1) % recentKept
}

// Recent returns the requests that this box answered lately, oldest first.
func (in *Intake) Recent() []Recent {
	in.recent.mu.Lock()
	defer in.recent.mu.Unlock()
	b := &in.recent
	if len(b.list) < recentKept {
		return append([]Recent(nil), b.list...)
	}
	return append(append([]Recent(nil), b.list[b.next:]...), b.list[:b.next]...)
}
