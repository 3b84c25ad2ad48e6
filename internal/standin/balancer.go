package standin

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/interval"
)

// Balancer is the platform's balancer before the boxes: an http.RoundTripper that sends each request to the next box
// that says it is ready. It looks at each box every Interval.
type Balancer struct {
	HTTP     http.RoundTripper
	Interval time.Duration

	mu    sync.Mutex
	boxes []*balanced
	next  int
	cut   int
}

type balanced struct {
	address string // IP:port.
	ready   bool
	planned bool // A planned stop has begun.
}

// Add puts a box behind the balancer.
func (b *Balancer) Add(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.boxes = append(b.boxes, &balanced{address: address, ready: true})
}

// Planned notes that the box is being stopped as planned; requests that break off there from now on count as cut.
func (b *Balancer) Planned(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, x := range b.boxes {
		if x.address == address {
			x.planned = true
		}
	}
}

// Cut returns the number of requests that broke off at boxes that were being stopped as planned.
func (b *Balancer) Cut() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.cut
}

// Run looks at the boxes until ctx ends.
func (b *Balancer) Run(ctx context.Context) {
	interval.Every(ctx, b.Interval, b.look)
}

func (b *Balancer) look(ctx context.Context) {
	b.mu.Lock()
	boxes := append([]*balanced(nil), b.boxes...)
	b.mu.Unlock()
	for _, x := range boxes {
		ready := b.ready(ctx, x.address)
		b.mu.Lock()
		x.ready = ready
		b.mu.Unlock()
	}
}

func (b *Balancer) ready(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, b.Interval)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/ready", nil)
	if err != nil {
		return false
	}
	resp, err := b.HTTP.RoundTrip(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// RoundTrip implements http.RoundTripper.
func (b *Balancer) RoundTrip(req *http.Request) (*http.Response, error) {
	x := b.pick()
	if x == nil {
		return nil, errors.New("standin: no box is ready")
	}
	sent := req.Clone(req.Context())
	sent.URL.Host = x.address
	resp, err := b.HTTP.RoundTrip(sent)
	if err != nil && req.Context().Err() == nil {
		b.mu.Lock()
		defer b.mu.Unlock()
		if x.planned {
			b.cut++
		}
	}
	return resp, err
}

func (b *Balancer) pick() *balanced {
	b.mu.Lock()
	defer b.mu.Unlock()
	for range b.boxes {
		b.next++
		if x := b.boxes[b.next%len(b.boxes)]; x.ready {
			return x
		}
	}
	return nil
}
