package intake

import (
	"context"
	"sync"

	"github.com/pulleyring/pulleyring/pkg/request"
)

// waiters are the callers that wait for an outcome in this box.
type waiters struct {
	mu   sync.Mutex
	list map[request.Identity][]chan request.Reply
}

// add returns a channel on which the outcome of a request arrives, and a function that ends the wait.
func (w *waiters) add(id request.Identity) (<-chan request.Reply, func()) {
	c := make(chan request.Reply, 1)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.list == nil {
		w.list = map[request.Identity][]chan request.Reply{}
	}
	w.list[id] = append(w.list[id], c)
	return c, func() { w.remove(id, c) }
}

func (w *waiters) remove(id request.Identity, c chan request.Reply) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var rest []chan request.Reply
	for _, o := range w.list[id] {
		if o != c {
			rest = append(rest, o)
		}
	}
	if len(rest) == 0 {
		delete(w.list, id)
		return
	}
	w.list[id] = rest
}

// deliver hands an outcome to everyone who waits for it.
func (w *waiters) deliver(id request.Identity, reply request.Reply) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.list[id] {
		select {
		case c <- reply:
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
