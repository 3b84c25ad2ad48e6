package intake

import (
	"context"
	"sync"

	"github.com/pulleyring/pulleyring/pkg/request"
)

// waiters are the callers that wait for an outcome in this box.
type waiters struct {
	mu   sync.Mutex
	list map[request.Identity][]waiter
}

// waiter is one caller that waits.
type waiter struct {
	round   int // Outcomes of earlier submissions of the id are not for it.
	replies chan request.Reply
}

// add returns a channel on which the outcome of a request arrives, of that submission or a later one, and a function
// that ends the wait.
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
	for _, o := range w.list[id] {
		if o.replies != c {
			rest = append(rest, o)
		}
	}
	if len(rest) == 0 {
		delete(w.list, id)
		return
	}
	w.list[id] = rest
}

// deliver hands the outcome of a submission to everyone who waits for it.
func (w *waiters) deliver(id request.Identity, round int, reply request.Reply) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, o := range w.list[id] {
		if round < o.round {
			continue
		}
		select {
		case o.replies <- reply:
		default: // It has one already.
		}
	}
}

// ids returns the requests that are waited for.
func (w *waiters) ids() []request.Identity {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := make([]request.Identity, 0, len(w.list))
	for id := range w.list {
		list = append(list, id)
	}
	return list
}

// wait returns the outcome when it arrives, or the reply so far where ctx ends first.
func wait(ctx context.Context, c <-chan request.Reply, sofar request.Reply) request.Reply {
	select {
	case r := <-c:
		return r
	case <-ctx.Done():
		return sofar
	}
}
