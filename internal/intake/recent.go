package intake

import (
	"sync"
	"time"

	"github.com/pulleyring/pulleyring/pkg/request"
)

// recentLimit is the number of requests that a box keeps for `show requests`.
const recentLimit = 1000

// Recent is a request that this box answered recently.
type Recent struct {
	request.Identity
	Workspace string
	Kind      string
	Outcome   request.Outcome
	Received  time.Time
	Took      time.Duration
}

// recentRequests is a ring buffer of the latest requests.
type recentRequests struct {
	mu   sync.Mutex
	list []Recent
	next int // Index of the oldest entry once the ring is full.
}

func (b *recentRequests) add(r Recent) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.list) < recentLimit {
		b.list = append(b.list, r)
		return
	}
	b.list[b.next] = r
	b.next = (b.next + 1) % recentLimit
}

// Recent returns the requests that this box answered recently, oldest first.
func (in *Intake) Recent() []Recent {
	in.recent.mu.Lock()
	defer in.recent.mu.Unlock()
	b := &in.recent
	if len(b.list) < recentLimit {
		return append([]Recent(nil), b.list...)
	}
	return append(append([]Recent(nil), b.list[b.next:]...), b.list[:b.next]...)
}
