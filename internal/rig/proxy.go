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
	modePass   = "pass"   // Forwards everything.
	modeClose  = "close"  // Closes open connections, refuses new ones.
	modeReset  = "reset"  // Resets open and new connections.
	modeSilent = "silent" // Keeps connections open but forwards nothing.
	modeOneWay = "oneway" // Forwards requests but holds answers back.
	modeSlow   = "slow"   // Delays answers by the duration that follows.
	modeKeep   = "keep"   // Forwards open connections but nothing on new ones.
	modeRefuse = "refuse" // Closes open connections, answers calls on new ones with status 503.
	modeStale  = "stale"  // Forwards nothing more on open connections, but forwards new ones.
	modeTo     = "to"     // Forwards new connections to the address that follows.
)

// proxy forwards connections to a target. Create it with newProxy.
type proxy struct {
	target, address string

	mu       sync.Mutex
	changed  *sync.Cond
	mode     string
	delay    time.Duration
	listener net.Listener
	open     map[*proxiedConnection]bool // Open connections.
}

// proxiedConnection is a client's connection with the connection to the target.
type proxiedConnection struct {
	client, target *net.TCPConn
	silent         bool // It was opened in modeKeep and forwards nothing.
	stale          bool // It forwards nothing more until its end.
}

func newProxy(target string, port int) (*proxy, error) {
	p := &proxy{target: target, address: loopback(port), mode: modePass, open: map[*proxiedConnection]bool{}}
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

// connect forwards one connection until its end.
func (p *proxy) connect(client *net.TCPConn) {
	p.mu.Lock()
	address, refuse := p.target, p.mode == modeRefuse
	p.mu.Unlock()
	if refuse {
		refuseCall(client)
		return
	}
	target, err := net.Dial("tcp", address)
	if err != nil { // The target process has ended: refuse connections from now on, as its own port would.
		_ = client.Close()
		_ = p.setMode(modeClose)
		return
	}
	c := &proxiedConnection{client: client, target: target.(*net.TCPConn)}
	p.mu.Lock()
	p.open[c], c.silent = true, p.mode == modeKeep
	if p.mode == modeReset || p.mode == modeClose {
		p.finish(c)
	}
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.forward(c, c.target, c.client) })
	both.Go(func() { p.forward(c, c.client, c.target) })
	both.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.finish(c)
}

// refuseCall answers the first request of a connection with status 503.
func refuseCall(client *net.TCPConn) {
	defer client.Close()
	if r, err := http.ReadRequest(bufio.NewReader(client)); err == nil {
		_, _ = io.Copy(io.Discard, r.Body) // The body must be read, or the client may miss the answer.
		fmt.Fprint(client, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
	}
}

// finish closes a pair, with a reset in modeReset. The caller holds the lock.
func (p *proxy) finish(c *proxiedConnection) {
	delete(p.open, c)
	if p.mode == modeReset {
		_ = c.client.SetLinger(0) // On an error the connection is closed without a reset.
	}
	_ = c.client.Close()
	_ = c.target.Close()
	p.changed.Broadcast()
}

// forward forwards the bytes of one direction until their end.
func (p *proxy) forward(c *proxiedConnection, to, from *net.TCPConn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if !p.awaitForwarding(c, from == c.client) {
			return
		}
		if _, failed := to.Write(buffer[:n]); err != nil || failed != nil {
			_ = to.CloseWrite() // The other side may have closed already.
			return
		}
	}
}

// awaitForwarding waits until the mode lets bytes pass and reports whether the pair is still open.
func (p *proxy) awaitForwarding(c *proxiedConnection, request bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mode == modeSlow && !request {
		delay := p.delay
		p.mu.Unlock()
		time.Sleep(delay)
		p.mu.Lock()
	}
	for p.open[c] && (c.stale || c.silent || p.mode == modeSilent || p.mode == modeOneWay && !request) {
		p.changed.Wait()
	}
	return p.open[c]
}

// setMode changes the mode by a command line.
func (p *proxy) setMode(line string) (err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	earlier := p.mode
	word, argument, _ := strings.Cut(line, " ")
	p.mode = word
	switch p.mode {
	case modeStale:
		p.mode = modePass
		for c := range p.open {
			c.stale = true
		}
	case modeTo:
		p.target, p.mode = argument, modePass
	case modeClose, modeReset, modeRefuse:
		if p.mode == modeClose {
			_ = p.listener.Close()
		}
		for c := range p.open {
			p.finish(c)
		}
	case modeSlow:
		p.delay, err = time.ParseDuration(argument)
	case modePass:
		for c := range p.open {
			c.silent = false
		}
	case modeSilent, modeOneWay, modeKeep:
	default:
		err = errors.Errorf("rig: unknown mode of a proxy: %q", word)
	}
	p.changed.Broadcast()
	if err == nil && earlier == modeClose && p.mode != modeClose {
		err = p.listen()
	}
	return err
}
