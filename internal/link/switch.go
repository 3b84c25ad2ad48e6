package link

import (
	"context"
	"sync"

	"github.com/pkg/errors"
)

// Switch is a network in memory for tests: boxes plug in by name and can be cut off. The zero value is ready to use.
type Switch struct {
	mu    sync.Mutex
	boxes map[string]Handler
	cut   map[string]bool
}

// Port is one box's side of a Switch.
type Port struct {
	Owner  string
	Switch *Switch
}

// errCut says that one of both boxes is cut off or absent.
var errCut = errors.New("link: cut off")

// Plug connects a box.
func (s *Switch) Plug(name string, h Handler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.boxes == nil {
		s.boxes = map[string]Handler{}
		s.cut = map[string]bool{}
	}
	s.boxes[name] = h
}

// Cut cuts a box off or connects it again.
func (s *Switch) Cut(name string, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cut == nil {
		s.cut = map[string]bool{}
	}
	s.cut[name] = cut
}

// Send implements Network.
func (p Port) Send(ctx context.Context, to Entry, m *Message) (*Reply, error) {
	p.Switch.mu.Lock()
	h := p.Switch.boxes[to.Name]
	cut := p.Switch.cut[to.Name] || p.Switch.cut[p.Owner]
	p.Switch.mu.Unlock()
	if h == nil || cut {
		return nil, errCut
	}
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	return h(ctx, p.Owner, m), nil
}
