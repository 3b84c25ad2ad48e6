package rig

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/interval"
	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/platform/standin"
)

const (
	// probeEvery is how often boxes are asked whether they are ready, and after missesMost misses in a row they get no new connections (the
	// users' pages).
	probeEvery, missesMost = time.Second, 2
	// askedAfterEnd is how often a client asks for a state once it was told the last one.
	askedAfterEnd = 3
)

// handedIn is a job and what its client knows of it.
type handedIn struct {
	standin.Job
	id          job.ID
	once        bool          // It is not handed in again after a refusal.
	cancelAfter time.Duration // It is cancelled so long after it was accepted; 0 for never.

	accepted, refused, unknown bool // What became of the tries to hand it in.
	at, cancelled              time.Time
	asked                      bool // It was sent to be cancelled.
	state                      string
	settled                    bool // Its client asks no more.
}

// verb is what a call of a client is for.
type verb int

const (
	submitting verb = iota
	asking
	cancelling
)

// call is what a client saw of a call.
type call struct {
	standin.Answer
	verb        verb
	job         *handedIn
	box         string // That the connection leads to; empty where there was none.
	sent, ended time.Time
	written     time.Time // When the whole request was written; zero if it was not.
}

// probe is how a box answered to a key.
type probe struct {
	box     string
	sent    time.Time
	version int // Of the configuration that the key came with.
	taken   bool
}

// connection is one that leads to a box.
type connection struct {
	net.Conn
	box string
}

// dial connects a client to one of the boxes that take new connections, to any if none does.
func (p *play) dial(ctx context.Context, seed int) (net.Conn, error) {
	p.mu.Lock()
	var in []*boxAt
	for _, b := range p.boxes {
		if b.in {
			in = append(in, b)
		}
	}
	if len(in) == 0 {
		in = p.boxes
	}
	b := in[seed%len(in)]
	p.mu.Unlock()
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", b.front)
	if err != nil {
		return nil, errors.Wrap(err, "rig: no connection to a box")
	}
	return &connection{c, b.name}, nil
}

// balance asks the boxes whether they are ready and which keys they take, until ctx ends.
func (p *play) balance(ctx context.Context) {
	patient := &http.Client{Timeout: probeEvery}
	interval.Every(ctx, probeEvery, func(context.Context) {
		for _, b := range p.boxes {
			p.group.Go(func() { p.probe(patient, b) })
		}
	})
}

func (p *play) probe(c *http.Client, b *boxAt) {
	ready := standin.Ready(c, b.ready)
	p.mu.Lock()
	b.missed++
	if ready {
		b.missed = 0
	}
	b.in = b.missed < missesMost
	version := p.version
	p.mu.Unlock()
	for _, v := range []int{version, version - 1} {
		sent := time.Now()
		taken, known := standin.Knows(c, b.front, standin.GuestKey(v))
		if known && v > 0 {
			p.mu.Lock()
			p.probes = append(p.probes, probe{b.name, sent, v, taken})
			p.mu.Unlock()
		}
	}
}

// submit has a client hand a job in until it is accepted or refused for good, and follow it to its end. It keeps its connection for as long
// as that is open.
func (p *play) submit(ctx context.Context, s *Step) {
	j := &handedIn{Job: standin.Job{Tasks: s.Count, Work: s.Work, Each: slot}}
	for _, word := range s.Args[2:] {
		switch word {
		case "gang":
			j.Gang = true
		case "ordered":
			j.Ordered = true
		case "once":
			j.once = true
		default:
			j.cancelAfter, _ = time.ParseDuration(word) // It was read before.
		}
	}
	p.mu.Lock()
	p.jobs = append(p.jobs, j)
	number := len(p.jobs)
	j.id = job.ID(fmt.Sprintf("%016x", number))
	p.mu.Unlock()
	tries := 0
	transport := &http.Transport{MaxConnsPerHost: 1, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		tries++
		return p.dial(ctx, number+tries)
	}}
	c := &standin.Client{HTTP: &http.Client{Transport: transport}}
	p.group.Go(func() {
		defer transport.CloseIdleConnections()
		for after := 0; ctx.Err() == nil && after < askedAfterEnd; interval.Sleep(ctx, pollEvery) {
			if p.turn(ctx, c, j) {
				after++
			}
		}
		p.mu.Lock()
		j.settled = ctx.Err() == nil
		p.mu.Unlock()
	})
}

// turn is a client's next call, and reports whether it knows the end.
func (p *play) turn(ctx context.Context, c *standin.Client, j *handedIn) bool {
	v := asking
	switch {
	case !j.accepted:
		v = submitting
	case j.cancelAfter > 0 && j.cancelled.IsZero() && time.Since(j.at) > j.cancelAfter && !standin.Final(j.state):
		v = cancelling
	}
	x := call{verb: v, job: j, sent: time.Now()}
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			if c, ok := i.Conn.(*connection); ok {
				x.box = c.box
			}
		},
		WroteRequest: func(i httptrace.WroteRequestInfo) {
			if i.Err == nil {
				x.written = time.Now()
			}
		},
	})
	switch v {
	case submitting:
		x.Answer = c.Submit(traced, j.id, &j.Job)
	case cancelling:
		x.Answer = c.Cancel(traced, j.id)
	default:
		x.Answer = c.State(traced, j.id)
	}
	x.ended = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if ctx.Err() == nil {
		p.calls = append(p.calls, x)
	}
	return j.take(&x)
}

// take takes in what a call was answered and reports whether the client knows the end.
func (j *handedIn) take(x *call) bool {
	switch {
	case x.verb == submitting && x.Status == http.StatusOK:
		j.accepted, j.at = true, x.ended
	case x.verb == submitting && x.Refused():
		j.refused = true
		return j.once && !j.unknown
	case x.verb == submitting:
		j.unknown = true
	case x.verb == cancelling:
		j.asked = true
		if x.Status/100 == 2 || x.Status == http.StatusGone {
			j.cancelled = x.ended
		}
	case x.State != "":
		j.state = x.State
	}
	return standin.Final(j.state)
}
