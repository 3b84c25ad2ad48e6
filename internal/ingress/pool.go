package ingress

import (
	"container/list"
	"sync"
	"time"

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

	mu sync.Mutex
	// Connections that may be closed, the oldest first: with a request that is not received whole or not begun, and
	// between two requests.
	pending, idle list.List
	// Those of pending whose requests hold more than their share of the memory.
	large    list.List
	released sync.Cond // Signalled when a connection is closed or its server has ended.
	open     int
	held     int64          // Memory that all connections hold.
	closing  int64          // Memory of connections that are closed and whose server has not ended yet.
	counts   map[string]int // Refusals by reason since the last log line.
	logged   time.Time
}

// state is what a pool keeps of a connection. The pool's mutex guards it.
type state struct {
	element *list.Element // Nil while a whole request is handled, and after the end.
	list    *list.List
	since   time.Time // Since when the connection has been in its list.
	charged int64
	closed  bool // It was closed by the pool or has ended.
}

// share is the part of the memory that each connection may hold without being closed for it.
func (p *pool) share() int64 { return p.Bytes / int64(max(p.Connections, 1)) }

// add adds a new connection. It reports false if there is no room, because all connections wait for responses.
func (p *pool) add(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.Connections > 0 && p.open >= p.Connections {
		if !p.close(p.oldestConnection(c), reasonConnections) {
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
	p.released.Broadcast()
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
	p.released.Broadcast()
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
	for !c.state.closed && p.Bytes > 0 && bytes > c.state.charged && p.held+bytes-c.state.charged > p.Bytes {
		if p.held-p.closing+bytes-c.state.charged <= p.Bytes {
			p.released.Wait()
			continue
		}
		if !p.close(oldest(&p.large, c), reasonMemory) {
			p.note(reasonBusy)
			return false
		}
	}
	if c.state.closed {
		return false
	}
	p.held += bytes - c.state.charged
	c.state.charged = bytes
	if c.state.list == &p.pending && bytes > p.share() {
		p.move(c, &p.large)
	}
	return true
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
	c.state.charged = 0
	p.move(c, &p.idle)
}

// oldestConnection returns the connection without progress for the longest time, other than c, or nil if there is none.
func (p *pool) oldestConnection(c *conn) *conn {
	now := time.Now()
	var victim *conn
	var most time.Duration
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
	return victim
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
