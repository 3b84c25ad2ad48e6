package standin

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/interval"
)

// Balancer is the load balancer in front of the boxes: an http.RoundTripper that sends requests round robin to the
// boxes that report ready. It checks each box every Interval.
type Balancer struct {
	HTTP     http.RoundTripper
	Interval time.Duration

	mu    sync.Mutex
	boxes []*balancedBox
	next  int
	cut   int
}

type balancedBox struct {
	address string // IP:port.
	ready   bool
	planned bool // Its planned stop has begun.
}

// Add puts a box behind the balancer.
func (b *Balancer) Add(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.boxes = append(b.boxes, &balancedBox{address: address, ready: true})
}

// Planned records that a box's planned stop has begun. Requests to it that fail from now on are counted, see Cut.
func (b *Balancer) Planned(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, x := range b.boxes {
		if x.address == address {
			x.planned = true
		}
	}
}

// Cut returns the number of requests that failed at boxes during their planned stop.
func (b *Balancer) Cut() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.cut
}

// Run checks every Interval which boxes are ready, until ctx ends.
func (b *Balancer) Run(ctx context.Context) {
	interval.Every(ctx, b.Interval, b.checkBoxes)
}

func (b *Balancer) checkBoxes(ctx context.Context) {
	b.mu.Lock()
	boxes := append([]*balancedBox(nil), b.boxes...)
	b.mu.Unlock()
	for _, x := range boxes {
		ready := b.isReady(ctx, x.address)
		b.mu.Lock()
		x.ready = ready
		b.mu.Unlock()
	}
}

func (b *Balancer) isReady(ctx context.Context, address string) bool {
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

func (b *Balancer) pick() *balancedBox {
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
