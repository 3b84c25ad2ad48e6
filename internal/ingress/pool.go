package ingress

import (
	"container/list"
	"sync"
	"time"

	"github.com/pulleyring/pulleyring/internal/interval"
	"github.com/pulleyring/pulleyring/internal/measure"
	"go.uber.org/zap"
)

// idleWeight is the number by which the age of an idle connection is divided before it is compared with that of a
// connection with an unfinished request.
const idleWeight = 8

// logInterval is the shortest time between two log lines about refused clients.
const logInterval = time.Second

// pool holds the connections of a server and what they hold. When a limit is reached, it closes the connection that has
// made no progress for the longest time, so that new clients get in. A connection whose request was received whole is
// not closed before the response is complete.
type pool struct {
	Limits
	name    string // Prefix of the names of the metrics.
	log     *zap.Logger
	metrics *measure.Metrics

	decoding chan struct{} // Holds an element while a large body is decoded.

	mu sync.Mutex
	// Connections that may be closed, the oldest first: with a request that is not received whole or not begun, and
	// between two requests.
	pending, idle list.List
	// Those of pending whose requests hold more than their share of the memory.
	large list.List
	// Connections that wait for the memory of others that were closed, in order; those with large bodies come last.
	waiting, waitingLarge list.List
	patients              list.List // Requests of type *patient that were not asked to leave, the longest wait first.
	leaving               int       // Requests that were asked to leave and still wait.
	open                  int
	held                  int64          // Memory that all connections hold.
	closing               int64          // Memory of connections that are closed and whose server has not ended yet.
	counts                map[string]int // Refusals by reason since the last log line.
	logged                time.Time
}

// state is what a pool keeps of a connection. The pool's mutex guards it.
type state struct {
	element *list.Element // Nil while a whole request is handled, and after the end.
	list    *list.List
	since   time.Time // Since when the connection has been in its list.
	charged int64
	closed  bool          // It was closed by the pool or has ended.
	waiting *list.Element // Nil unless the connection waits for memory.
	woken   chan struct{} // Closed to wake a waiting connection.
	// The request has a large body, or one of unknown length.
	hasLargeBody bool
}

// share is the part of the memory that each connection may hold without being closed for it.
func (p *pool) share() int64 { return p.Bytes / int64(max(p.Connections, 1)) }

// add adds a new connection. It waits while all others are younger than MinAge, or until one that waits for an outcome has
// left, and reports false if there is no room because all others wait for responses.
func (p *pool) add(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.Connections > 0 && p.open >= p.Connections {
		victim, age := p.oldestConnection(c)
		switch {
		case victim != nil && age >= p.MinAge:
			p.close(victim, reasonConnections)
		case p.waitForDismissed():
		case victim != nil:
			p.mu.Unlock()
			time.Sleep(p.MinAge - age)
			p.mu.Lock()
		default:
			p.note(reasonBusy)
			return false
		}
	}
	p.open++
	p.move(c, &p.pending)
	p.publish()
	return true
}

// remove forgets a connection whose server has ended.
func (p *pool) remove(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forget(c)
	p.held -= c.state.charged
	p.closing -= c.state.charged
	c.state.charged = 0
	p.wakeFirst()
	p.publish()
}

// forget takes a connection that is being closed out of the lists. Its memory is held until its server has ended.
func (p *pool) forget(c *conn) {
	if c.state.closed {
		return
	}
	c.state.closed = true
	p.move(c, nil)
	p.open--
	p.closing += c.state.charged
	p.wake(c)
}

// move puts a connection at the end of a list, or takes it out of its list.
func (p *pool) move(c *conn, l *list.List) {
	if c.state.element != nil {
		c.state.list.Remove(c.state.element)
	}
	c.state.element, c.state.list, c.state.since = nil, l, time.Now()
	if l != nil {
		c.state.element = l.PushBack(c)
	}
}

// charge sets the memory that a connection's request holds. It reports false if there is no room for it, or if the
// connection has been closed. A request counts as half of the limit at most, so that even the largest one is served
// when there are no others.
func (p *pool) charge(c *conn, bytes int64) bool {
	if p.Bytes > 0 {
		bytes = min(bytes, p.Bytes/2)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.needsRoom(c, bytes) {
		closed := p.held-p.closing+bytes-c.state.charged <= p.limit(c)
		if closed && p.wait(c) || !closed && p.close(oldest(&p.large, c), reasonMemory) {
			continue
		}
		p.note(reasonBusy)
		return false
	}
	if c.state.closed {
		return false
	}
	p.held += bytes - c.state.charged
	c.state.charged = bytes
	if c.state.list == &p.pending && bytes > p.share() {
		p.move(c, &p.large)
	}
	p.wakeFirst()
	return true
}

// needsRoom reports whether others must release memory before a connection's request can hold this much.
func (p *pool) needsRoom(c *conn, bytes int64) bool {
	return !c.state.closed && p.Bytes > 0 && bytes > c.state.charged && p.held+bytes-c.state.charged > p.limit(c)
}

// largeShare is the part of the memory that requests with large bodies may fill. The rest is for others.
const largeShare = 0.75

// limit returns the memory that all requests may hold once a connection's request holds more.
func (p *pool) limit(c *conn) int64 {
	if c.state.hasLargeBody {
		return int64(largeShare * float64(p.Bytes))
	}
	return p.Bytes
}

// setLargeBody marks the request of a connection as one with a large body, or with one of unknown length.
func (p *pool) setLargeBody(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.state.hasLargeBody = true
}

// maxRoomWait is how long a request waits for memory of connections that were closed.
const maxRoomWait = time.Second

// wait waits until a connection's memory was released. It reports false if that takes too long. The pool's mutex is not
// held meanwhile.
func (p *pool) wait(c *conn) bool {
	woken := make(chan struct{})
	c.state.woken, c.state.waiting = woken, p.waitingFor(c).PushBack(c)
	p.mu.Unlock()
	elapsed, stop := interval.After(maxRoomWait)
	defer stop()
	inTime := true
	select {
	case <-woken:
	case <-elapsed:
		inTime = false
	}
	p.mu.Lock()
	p.wake(c)
	return inTime
}

// waitingFor returns the list in which a connection waits.
func (p *pool) waitingFor(c *conn) *list.List {
	if c.state.hasLargeBody {
		return &p.waitingLarge
	}
	return &p.waiting
}

// wakeFirst wakes the connection that comes first of those that wait for memory, if there is any memory.
func (p *pool) wakeFirst() {
	first := p.waiting.Front()
	if first == nil {
		first = p.waitingLarge.Front()
	}
	if first != nil && p.held < p.limit(first.Value.(*conn)) {
		p.wake(first.Value.(*conn))
	}
}

// wake wakes a connection if it waits for memory.
func (p *pool) wake(c *conn) {
	if c.state.waiting != nil {
		p.waitingFor(c).Remove(c.state.waiting)
		close(c.state.woken)
		c.state.waiting = nil
	}
}

// begin marks a connection as one with an unfinished request.
func (p *pool) begin(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !c.state.closed && c.state.list == &p.idle {
		p.move(c, &p.pending)
	}
}

// protect keeps a connection from being closed, as its request was received whole. It reports false if the connection
// has been closed, so that the request must not be handled.
func (p *pool) protect(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.state.closed {
		return false
	}
	p.move(c, nil)
	return true
}

// finish marks a connection as idle after a response.
func (p *pool) finish(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.state.closed {
		return
	}
	p.held -= c.state.charged
	c.state.charged, c.state.hasLargeBody = 0, false
	p.move(c, &p.idle)
	p.wakeFirst()
}

// oldestConnection returns the connection without progress for the longest time, other than c, and that time; nil if
// there is none. The time of an idle connection counts less.
func (p *pool) oldestConnection(c *conn) (victim *conn, most time.Duration) {
	now := time.Now()
	for _, l := range []*list.List{&p.pending, &p.large, &p.idle} {
		candidate := oldest(l, c)
		if candidate == nil {
			continue
		}
		age := now.Sub(candidate.state.since)
		if l == &p.idle {
			age /= idleWeight
		}
		if victim == nil || age > most {
			victim, most = candidate, age
		}
	}
	return victim, most
}

// close closes a connection. It reports false if c is nil.
func (p *pool) close(c *conn, reason string) bool {
	if c == nil {
		return false
	}
	p.note(reason)
	p.forget(c)
	c.abort()
	return true
}

// oldest returns the first connection of a list that is not c, or nil.
func oldest(l *list.List, c *conn) *conn {
	e := l.Front()
	if e != nil && e.Value.(*conn) == c {
		e = e.Next()
	}
	if e == nil {
		return nil
	}
	return e.Value.(*conn)
}

// Reasons for which a client is refused or its connection is closed; they are parts of metric names.
const (
	reasonConnections = "closed_for_connections" // Too many connections.
	reasonMemory      = "closed_for_memory"      // Too much memory.
	reasonBusy        = "refused_busy"           // Too much memory or too many connections, all of them with whole requests.
	reasonDismissed   = "dismissed"              // Too many connections: a request that waited was answered early.
	reasonHeader      = "refused_header"
	reasonBody        = "refused_body_size"
	reasonSlowHeader  = "closed_slow_header"
	reasonSlowBody    = "closed_slow_body"
	reasonSlowReader  = "closed_slow_reader"
)

// count counts a refusal.
func (p *pool) count(reason string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.note(reason)
}

// note counts a refusal. It writes the counts since the last line to the log, at most once per logInterval.
func (p *pool) note(reason string) {
	p.metrics.Count(p.name + "_" + reason)
	if p.counts == nil {
		p.counts = map[string]int{}
	}
	p.counts[reason]++
	if time.Since(p.logged) < logInterval {
		return
	}
	p.logged = time.Now()
	p.log.Warn("ingress: refusing or disconnecting clients", zap.String("listener", p.name), zap.Any("counts", p.counts),
		zap.Int("connections", p.open), zap.Int64("bytes_held", p.held))
	clear(p.counts)
}

// publish sets the gauges.
func (p *pool) publish() {
	p.metrics.Set(p.name+"_connections", int64(p.open))
	p.metrics.Set(p.name+"_bytes_held", p.held)
}
