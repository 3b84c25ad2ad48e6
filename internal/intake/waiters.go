package intake

import (
	"context"
	"sync"

	"github.com/pulleyring/pulleyring/pkg/request"
)

// waiters holds the callers that wait for an outcome in this box.
type waiters struct {
	mu   sync.Mutex
	list map[request.Identity][]waiter
}

// waiter is one waiting caller.
type waiter struct {
	round   int // Outcomes of submissions with a lower number are not delivered to it.
	replies chan request.Reply
}

// add registers a waiter. It returns a channel on which the outcome of the given or a later submission arrives, and a
// function that removes the waiter.
func (w *waiters) add(id request.Identity, round int) (<-chan request.Reply, func()) {
	c := make(chan request.Reply, 1)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.list == nil {
		w.list = map[request.Identity][]waiter{}
	}
	w.list[id] = append(w.list[id], waiter{round, c})
	return c, func() { w.remove(id, c) }
}

func (w *waiters) remove(id request.Identity, c chan request.Reply) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var rest []waiter
	for _, entry := range w.list[id] {
		if entry.replies != c {
			rest = append(rest, entry)
		}
	}
	if len(rest) == 0 {
		delete(w.list, id)
		return
	}
	w.list[id] = rest
}

// deliver sends the outcome of a submission to all its waiters.
func (w *waiters) deliver(id request.Identity, round int, reply request.Reply) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, entry := range w.list[id] {
		if round < entry.round {
			continue
		}
		select {
		case entry.replies <- reply:
		default: // The waiter already has an outcome.
		}
	}
}

// ids returns the requests that callers wait for.
func (w *waiters) ids() []request.Identity {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := make([]request.Identity, 0, len(w.list))
	for id := range w.list {
		list = append(list, id)
	}
	return list
}

// wait returns the outcome that arrives on c, or soFar if ctx ends first.
func wait(ctx context.Context, c <-chan request.Reply, soFar request.Reply) request.Reply {
	select {
	case r := <-c:
		return r
	case <-ctx.Done():
		return soFar
	}
}
