package ingress

import (
	"net/http"
	"time"
)

// patient is a request whose handler waits for something that may take long.
type patient struct {
	leave     func()
	dismissed bool
}

// Patient registers a request whose handler waits for something that may take long, and that can answer at any time with
// what is known so far. When new clients find all connections taken by requests that were received whole, leave is called
// for the one that has waited for the longest time. done must be called before the response is written; the connection of
// a dismissed request is closed after it.
func Patient(w http.ResponseWriter, r *http.Request, leave func()) (done func()) {
	c := connOf(r)
	if c == nil {
		return func() {}
	}
	p := &patient{leave: leave}
	c.pool.mu.Lock()
	element := c.pool.patients.PushBack(p)
	c.pool.mu.Unlock()
	return func() {
		c.pool.mu.Lock()
		defer c.pool.mu.Unlock()
		if p.dismissed {
			c.pool.leaving--
			w.Header().Set("Connection", "close")
			return
		}
		c.pool.patients.Remove(element)
	}
}

const (
	// dismissalPause is the pause after a dismissal, in which the handler writes its response.
	dismissalPause = time.Millisecond
	// maxDismissals limits the dismissals for one new connection. Some clients may take long to read their responses.
	maxDismissals = 64
)

// dismiss asks the request that has waited for the longest time to leave. It reports false if there is none.
func (p *pool) dismiss() bool {
	first := p.patients.Front()
	if first == nil {
		return false
	}
	longest := p.patients.Remove(first).(*patient)
	longest.dismissed = true
	longest.leave()
	p.leaving++
	p.note(reasonDismissed)
	return true
}

// waitForDismissed asks waiting requests to leave until one of their connections is closed. It reports false if that
// takes too long or there are none. The pool's mutex is not held during its pauses.
func (p *pool) waitForDismissed() bool {
	for range maxDismissals {
		if !p.dismiss() && p.leaving == 0 {
			return false
		}
		p.mu.Unlock()
		time.Sleep(dismissalPause)
		p.mu.Lock()
		if p.open < p.Connections {
			return true
		}
	}
	return false
}
