package rig

import (
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// mode is how a proxy treats connections.
type mode string

const (
	modePass   mode = "pass"
	modeClose  mode = "close"  // Open connections are ended in order, new ones are refused.
	modeReset  mode = "reset"  // Open connections are reset, new ones too.
	modeSilent mode = "silent" // Bytes are held back, connections stay.
	modeOneWay mode = "oneway" // The answers are held back.
	modeSlow   mode = "slow"   // Answers come late.
	modeKeep   mode = "keep"   // Open connections go on, new ones are silent.
)

// proxy passes connections on to a target. Make it with newProxy.
type proxy struct {
	target, address string

	mu       sync.Mutex
	changed  *sync.Cond
	mode     mode
	delay    time.Duration
	listener net.Listener
	pairs    map[*pair]bool
}

// pair is a connection with the one that it is passed on over.
type pair struct {
	client, target *net.TCPConn
	silent         bool // It was opened while new ones were held back.
	over           bool
}

func newProxy(target string) (*proxy, error) {
	p := &proxy{target: target, address: loopback(0), mode: modePass, pairs: map[*pair]bool{}}
	p.changed = sync.NewCond(&p.mu)
	return p, p.listen()
}

// listen opens the proxy's address, at first any free one and from then on the same.
func (p *proxy) listen() error {
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		return errors.Wrap(err, "rig: a proxy is unable to listen")
	}
	p.listener, p.address = l, l.Addr().String()
	go p.accept(l)
	return nil
}

func (p *proxy) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go p.connect(c.(*net.TCPConn))
	}
}

func (p *proxy) connect(client *net.TCPConn) {
	t, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	c := &pair{client: client, target: t.(*net.TCPConn)}
	p.mu.Lock()
	p.pairs[c] = true
	c.silent = p.mode == modeKeep
	if p.mode == modeReset || p.mode == modeClose {
		p.finish(c)
	}
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.carry(c, c.target, c.client, false) })
	both.Go(func() { p.carry(c, c.client, c.target, true) })
	both.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.finish(c)
}

// finish ends a pair, by the mode in order or with a reset. The caller holds the lock.
func (p *proxy) finish(c *pair) {
	if c.over {
		return
	}
	c.over = true
	if p.mode == modeReset {
		_ = c.client.SetLinger(0) // It is closed in any case.
	}
	_ = c.client.Close()
	_ = c.target.Close()
	delete(p.pairs, c)
	p.changed.Broadcast()
}

// carry passes bytes on in one direction until their end.
func (p *proxy) carry(c *pair, to, from *net.TCPConn, request bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if !p.await(c, request) {
			return
		}
		if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
			return
		}
		if err != nil {
			if errors.Is(err, io.EOF) {
				_ = to.CloseWrite() // The other side may have ended already.
			}
			return
		}
	}
}

// await waits until bytes may go on and reports whether the pair still lives.
func (p *proxy) await(c *pair, request bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mode == modeSlow && !request {
		delay := p.delay
		p.mu.Unlock()
		time.Sleep(delay)
		p.mu.Lock()
	}
	for !c.over && (c.silent || p.mode == modeSilent || p.mode == modeOneWay && !request) {
		p.changed.Wait()
	}
	return !c.over
}

// set changes the mode: the line is a mode, with the delay after "slow".
func (p *proxy) set(line string) error {
	word, argument, _ := strings.Cut(line, " ")
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.mode
	p.mode = mode(word)
	switch p.mode {
	case modeClose, modeReset:
		if p.mode == modeClose {
			_ = p.listener.Close()
		}
		for c := range p.pairs {
			p.finish(c)
		}
	case modeSlow:
		var err error
		if p.delay, err = time.ParseDuration(argument); err != nil {
			return errors.Wrap(err, "rig: a proxy's delay")
		}
	case modePass:
		for c := range p.pairs {
			c.silent = false
		}
	case modeSilent, modeOneWay, modeKeep:
	default:
		return errors.Errorf("rig: a proxy knows no mode %q", word)
	}
	p.changed.Broadcast()
	if before == modeClose && p.mode != modeClose {
		return p.listen()
	}
	return nil
}

// runProxy serves until ctx ends; its modes come as lines.
func runProxy(ctx context.Context, target string, lines <-chan string, out *printer) error {
	p, err := newProxy(target)
	if err != nil {
		return err
	}
	out.print(Line{Event: eventListening, Address: p.address})
	for {
		select {
		case <-ctx.Done():
			return nil
		case line := <-lines:
			if err := p.set(line); err != nil {
				return err
			}
			out.print(Line{Event: "mode", Address: line})
		}
	}
}
