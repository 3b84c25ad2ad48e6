package rig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Modes of a proxy: how it treats connections.
const (
	modePass   = "pass"
	modeClose  = "close"  // Open connections are ended in order, new ones are refused.
	modeReset  = "reset"  // Open connections are reset, new ones too.
	modeSilent = "silent" // Bytes are held back, connections stay.
	modeOneWay = "oneway" // The answers are held back.
	modeSlow   = "slow"   // Answers come late, by the time after it.
	modeKeep   = "keep"   // Open connections go on, new ones are silent.
	modeRefuse = "refuse" // Open connections are ended in order, calls on new ones are answered that nothing was done.
	modeStale  = "stale"  // Open connections are silent for good, new ones go on.
	modeTo     = "to"     // It passes on to another address from now on.
)

// proxy passes connections on to a target. Make it with newProxy.
type proxy struct {
	target, address string

	mu       sync.Mutex
	changed  *sync.Cond
	mode     string
	delay    time.Duration
	listener net.Listener
	pairs    map[*pair]bool // Those that are open.
}

// pair is a connection with the one that it is passed on over.
type pair struct {
	client, target *net.TCPConn
	silent         bool // It was opened while new ones were held back.
	stale          bool // It is silent for good.
}

func newProxy(target string, port int) (*proxy, error) {
	p := &proxy{target: target, address: loopback(port), mode: modePass, pairs: map[*pair]bool{}}
	p.changed = sync.NewCond(&p.mu)
	return p, p.listen()
}

// listen opens the proxy's address.
func (p *proxy) listen() error {
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		return errors.Wrap(err, "rig: a proxy is unable to listen")
	}
	p.listener = l
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.connect(c.(*net.TCPConn))
		}
	}()
	return nil
}

// connect passes one connection on until its end.
func (p *proxy) connect(client *net.TCPConn) {
	p.mu.Lock()
	to, refuse := p.target, p.mode == modeRefuse
	p.mu.Unlock()
	if refuse {
		refuseCall(client)
		return
	}
	target, err := net.Dial("tcp", to)
	if err != nil { // The process behind has ended: nobody listens from now on.
		_ = client.Close()
		_ = p.set(modeClose)
		return
	}
	c := &pair{client: client, target: target.(*net.TCPConn)}
	p.mu.Lock()
	p.pairs[c], c.silent = true, p.mode == modeKeep
	if p.mode == modeReset || p.mode == modeClose {
		p.finish(c)
	}
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.carry(c, c.target, c.client) })
	both.Go(func() { p.carry(c, c.client, c.target) })
	both.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.finish(c)
}

// refuseCall answers the first call of a connection that nothing was done.
func refuseCall(client *net.TCPConn) {
	defer client.Close()
	if r, err := http.ReadRequest(bufio.NewReader(client)); err == nil {
		_, _ = io.Copy(io.Discard, r.Body) // What is refused is read, so that the answer is seen.
		fmt.Fprint(client, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
	}
}

// finish ends a pair, by the mode in order or with a reset. The caller holds the lock.
func (p *proxy) finish(c *pair) {
	delete(p.pairs, c)
	if p.mode == modeReset {
		_ = c.client.SetLinger(0) // It is closed in any case.
	}
	_ = c.client.Close()
	_ = c.target.Close()
	p.changed.Broadcast()
}

// carry passes bytes, and their end, on in one direction.
func (p *proxy) carry(c *pair, to, from *net.TCPConn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if !p.await(c, from == c.client) {
			return
		}
		if _, failed := to.Write(buffer[:n]); err != nil || failed != nil {
			_ = to.CloseWrite() // The other side may have ended already.
			return
		}
	}
}

// await waits until bytes may go on and reports whether the pair is still open.
func (p *proxy) await(c *pair, request bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mode == modeSlow && !request {
		delay := p.delay
		p.mu.Unlock()
		time.Sleep(delay)
		p.mu.Lock()
	}
	for p.pairs[c] && (c.stale || c.silent || p.mode == modeSilent || p.mode == modeOneWay && !request) {
		p.changed.Wait()
	}
	return p.pairs[c]
}

// set changes the mode.
func (p *proxy) set(line string) (err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.mode
	word, argument, _ := strings.Cut(line, " ")
	p.mode = word
	switch p.mode {
	case modeStale:
		p.mode = modePass
		for c := range p.pairs {
			c.stale = true
		}
	case modeTo:
		p.target, p.mode = argument, modePass
	case modeClose, modeReset, modeRefuse:
		if p.mode == modeClose {
			_ = p.listener.Close()
		}
		for c := range p.pairs {
			p.finish(c)
		}
	case modeSlow:
		p.delay, err = time.ParseDuration(argument)
	case modePass:
		for c := range p.pairs {
			c.silent = false
		}
	case modeSilent, modeOneWay, modeKeep:
	default:
		err = errors.Errorf("rig: a proxy knows no mode %q", word)
	}
	p.changed.Broadcast()
	if err == nil && before == modeClose && p.mode != modeClose {
		err = p.listen()
	}
	return err
}
