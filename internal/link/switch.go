package link

import (
	"context"
	"sync"

	"github.com/pkg/errors"
)

// Switch is an in-memory network for tests. Boxes connect by name and can be disconnected. The zero value is ready to
// use.
type Switch struct {
	mu           sync.Mutex
	handlers     map[string]Handler
	disconnected map[string]bool
}

// Port implements Network for one box of a Switch.
type Port struct {
	Owner  string
	Switch *Switch
}

// errDisconnected is returned if the sender is disconnected or the receiver is disconnected or unknown.
var errDisconnected = errors.New("link: box is not connected")

// Connect connects the named box. The handler processes the messages that are sent to it.
func (s *Switch) Connect(name string, handler Handler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.handlers == nil {
		s.handlers = map[string]Handler{}
		s.disconnected = map[string]bool{}
	}
	s.handlers[name] = handler
}

// SetDisconnected disconnects or reconnects the named box.
func (s *Switch) SetDisconnected(name string, disconnected bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.disconnected == nil {
		s.disconnected = map[string]bool{}
	}
	s.disconnected[name] = disconnected
}

// Send implements Network.
func (p Port) Send(ctx context.Context, to Entry, m *Message) (*Reply, error) {
	p.Switch.mu.Lock()
	handler := p.Switch.handlers[to.Name]
	disconnected := p.Switch.disconnected[to.Name] || p.Switch.disconnected[p.Owner]
	p.Switch.mu.Unlock()
	if handler == nil || disconnected {
		return nil, errDisconnected
	}
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	return handler(ctx, p.Owner, m), nil
}
