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
	// The interval of readiness probes of the boxes, and the number of consecutive failures after which a box gets
	// no new connections. Both are from the users' pages.
	probeInterval, maxMissedProbes = time.Second, 2
	// pollsAfterEnd is the number of times a client polls a job that has reached its final state, to see that the
	// state stays.
	pollsAfterEnd = 3
)

// submittedJob is a job that a client submits, with what the client knows of it.
type submittedJob struct {
	standin.Job
	id          job.ID
	once        bool          // The client does not retry after a refusal.
	cancelAfter time.Duration // Time between acceptance and cancellation; 0 to never cancel.

	accepted, refused, undecided bool // Outcomes of the attempts to submit the job.
	acceptedAt, cancelledAt      time.Time
	submittedAt                  time.Time // When the first submission that was not refused was sent; zero if there was none.
	cancelSent                   bool      // A request to cancel the job was sent.
	state                        string
	pollingDone                  bool // The client has stopped polling.
}

// errNoAnswer reports that a connection ended before the answer to a request.
var errNoAnswer = errors.New("rig: the connection ended before the answer")

// verb is the kind of a client's call.
type verb int

const (
	submitting verb = iota
	polling
	cancelling
)

// call records one call of a client.
type call struct {
	standin.Answer
	verb        verb
	job         *submittedJob
	box         string // Box at the other end of the connection; empty if there was no connection.
	sent, ended time.Time
	written     time.Time // When the whole request was written; zero if it was not.
	// Earlier attempts whose connections ended without an answer; the HTTP client retries idempotent requests.
	brokenTries []call
}

// probe records whether a box accepted an API key.
type probe struct {
	box      string
	sent     time.Time
	version  int // Version of the configuration that introduced the key.
	accepted bool
}

// connection is a connection to a box.
type connection struct {
	net.Conn
	box string
}

// dial connects a client to one of the boxes that get new connections, or to any box if none does.
func (p *play) dial(ctx context.Context, seed int) (net.Conn, error) {
	p.mu.Lock()
	var ready []*boxInstance
	for _, b := range p.boxes {
		if b.inRotation {
			ready = append(ready, b)
		}
	}
	if len(ready) == 0 {
		ready = p.boxes
	}
	b := ready[seed%len(ready)]
	p.mu.Unlock()
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", b.front)
	if err != nil {
		return nil, errors.Wrap(err, "rig: unable to connect to a box")
	}
	return &connection{c, b.name}, nil
}

// balance probes the boxes for readiness and for the API keys that they accept, until ctx ends.
func (p *play) balance(ctx context.Context) {
	client := &http.Client{Timeout: probeInterval}
	interval.Every(ctx, probeInterval, func(context.Context) {
		for _, b := range p.boxes {
			p.group.Go(func() { p.probe(client, b) })
		}
	})
}

func (p *play) probe(c *http.Client, b *boxInstance) {
	ready := standin.Ready(c, b.ready)
	p.mu.Lock()
	b.missedProbes++
	if ready {
		b.missedProbes = 0
	}
	b.inRotation = b.missedProbes < maxMissedProbes
	version := p.version
	p.mu.Unlock()
	for _, v := range []int{version, version - 1} {
		sent := time.Now()
		accepted, known := standin.AcceptsKey(c, b.front, standin.GuestKey(v))
		if known && v > 0 {
			p.mu.Lock()
			p.probes = append(p.probes, probe{b.name, sent, v, accepted})
			p.mu.Unlock()
		}
	}
}

// submit starts a client that submits a job until it is accepted or finally refused, and then polls it to its end.
// The client keeps its connection for as long as that stays open.
func (p *play) submit(ctx context.Context, s *Step) {
	j := &submittedJob{Job: standin.Job{Tasks: s.Count, Work: s.Work, Each: taskResources}}
	for _, word := range s.Args[2:] {
		switch word {
		case "gang":
			j.Gang = true
		case "ordered":
			j.Ordered = true
		case "once":
			j.once = true
		default:
			j.cancelAfter, _ = time.ParseDuration(word) // Checked by checkOptions.
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
		for polls := 0; ctx.Err() == nil && polls < pollsAfterEnd; interval.Sleep(ctx, pollInterval) {
			if p.nextCall(ctx, c, j) {
				polls++
			}
		}
		p.mu.Lock()
		j.pollingDone = ctx.Err() == nil
		p.mu.Unlock()
	})
}

// nextCall makes the client's next call, and reports whether the client knows that the job has ended or was finally
// refused.
func (p *play) nextCall(ctx context.Context, c *standin.Client, j *submittedJob) bool {
	v := polling
	switch {
	case !j.accepted:
		v = submitting
	case j.cancelAfter > 0 && j.cancelledAt.IsZero() && time.Since(j.acceptedAt) > j.cancelAfter && !standin.Final(j.state):
		v = cancelling
	}
	x := call{verb: v, job: j, sent: time.Now()}
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			if x.box != "" {
				x.brokenTries = append(x.brokenTries, call{box: x.box, sent: x.sent, written: x.written, ended: time.Now(), Answer: standin.Answer{Err: errNoAnswer}})
			}
			if c, ok := i.Conn.(*connection); ok {
				x.box, x.written = c.box, time.Time{}
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
	return j.recordAnswer(&x)
}

// recordAnswer records the answer to a call, and reports whether the client knows that the job has ended or was finally
// refused.
func (j *submittedJob) recordAnswer(x *call) bool {
	if x.verb == submitting && !x.Refused() && j.submittedAt.IsZero() {
		j.submittedAt = x.sent
	}
	switch {
	case x.verb == submitting && x.Status == http.StatusOK:
		j.accepted, j.acceptedAt = true, x.ended
	case x.verb == submitting && x.Refused():
		j.refused = true
		return j.once && !j.undecided
	case x.verb == submitting:
		j.undecided = true
	case x.verb == cancelling:
		j.cancelSent = true
		if x.Status/100 == 2 || x.Status == http.StatusGone {
			j.cancelledAt = x.ended
		}
	case x.State != "":
		j.state = x.State
	}
	return standin.Final(j.state)
}
