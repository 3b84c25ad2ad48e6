// Package member knows which boxes live and which of them is preferred for a hall.
package member

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/interval"
	"github.com/pulleyring/pulleyring/internal/link"
	"github.com/pulleyring/pulleyring/internal/settings"
	"github.com/pulleyring/pulleyring/internal/wire"
)

// Entry is a box in the platform's list.
type Entry = link.Entry

// List is the platform's list of live and leaving boxes; implementations are the HTTP client and the stand-in.
type List interface {
	// Announce tells the platform that a box lives or leaves.
	Announce(ctx context.Context, entry Entry) error
	// Boxes returns the list, which lags.
	Boxes(ctx context.Context) ([]Entry, error)
}

// Client speaks to the platform's list over HTTP.
type Client struct {
	Base string // Base URL, http://IP:port.
	HTTP *http.Client
}

// Announce implements List.
func (c *Client) Announce(ctx context.Context, entry Entry) error {
	return errors.Wrap(wire.Post(ctx, c.HTTP, c.Base+"/boxes", entry, nil), "member: unable to announce")
}

// Boxes implements List.
func (c *Client) Boxes(ctx context.Context) ([]Entry, error) {
	var reply struct {
		Boxes []Entry `json:"boxes"`
	}
	err := wire.Get(ctx, c.HTTP, c.Base+"/boxes", &reply)
	return reply.Boxes, errors.Wrap(err, "member: unable to read the list")
}

// Intervals that are no settings.
const (
	listInterval = time.Second
	// steadyAfter is how long a box must be heard without a gap before it can be preferred, so that a box that comes
	// and goes does not make halls change hands each time.
	steadyAfter = time.Second
	// forgetAfter is the silence after which a box that is no longer listed is forgotten.
	forgetAfter = 30 * time.Second
)

// peer is another box.
type peer struct {
	link.Heartbeat
	heard  time.Time // Last heartbeat; zero before the first.
	since  time.Time // Begin of the present run of heartbeats without a gap.
	listed bool
}

// Members keeps track of the boxes of a site. Fill in the exported fields before Run.
type Members struct {
	Self    Entry
	Timing  settings.Timing
	List    List
	Network link.Network
	// Describe returns what the own heartbeats say besides the entry.
	Describe func() link.Heartbeat
	// Heard is called with each heartbeat that arrives; it may be nil.
	Heard func(h *link.Heartbeat)

	mu    sync.Mutex
	peers map[string]*peer
}

// Run announces the box and exchanges heartbeats until ctx ends.
func (m *Members) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { interval.Every(ctx, listInterval, m.refreshList) })
	group.Go(func() { interval.Every(ctx, m.Timing.Heartbeat, m.beat) })
	group.Wait()
}

func (m *Members) refreshList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listInterval)
	defer cancel()
	m.mu.Lock()
	self := m.Self
	m.mu.Unlock()
	_ = m.List.Announce(ctx, self) // Heartbeats carry the same; the list may be out.
	boxes, err := m.List.Boxes(ctx)
	if err != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		p.listed = false
	}
	for _, e := range boxes {
		if e.Name != m.Self.Name {
			m.learn(e).listed = true
		}
	}
	for name, p := range m.peers {
		if !p.listed && time.Since(p.heard) > forgetAfter {
			delete(m.peers, name)
		}
	}
}

// learn returns the peer of an entry. An entry of the lagging list does not replace what the box said itself.
func (m *Members) learn(e Entry) *peer {
	if m.peers == nil {
		m.peers = map[string]*peer{}
	}
	p := m.peers[e.Name]
	if p == nil {
		p = &peer{}
		m.peers[e.Name] = p
	}
	if time.Since(p.heard) > m.Timing.DeadAfter {
		p.Entry = e
	}
	return p
}

// beat sends a heartbeat to every known box, each on its own so that a slow one delays no other.
func (m *Members) beat(ctx context.Context) {
	h := m.Describe()
	m.mu.Lock()
	h.Entry = m.Self
	var targets []Entry
	for _, p := range m.peers {
		targets = append(targets, p.Entry)
	}
	m.mu.Unlock()
	for _, to := range targets {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, m.Timing.DeadAfter)
			defer cancel()
			_, _ = m.Network.Send(ctx, to, &link.Message{Heartbeat: &h}) // Silence is what others judge by.
		}()
	}
}

// Receive takes in a heartbeat of another box.
func (m *Members) Receive(h *link.Heartbeat) {
	m.mu.Lock()
	if h.Entry.Name == m.Self.Name {
		m.mu.Unlock()
		return
	}
	p := m.learn(h.Entry)
	now := time.Now()
	if now.Sub(p.heard) > m.Timing.DeadAfter {
		p.since = now
	}
	p.Heartbeat = *h
	p.heard = now
	m.mu.Unlock()
	if m.Heard != nil {
		m.Heard(h)
	}
}

// Own returns what the box is to others.
func (m *Members) Own() Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Self
}

// Leave marks the box as leaving; it is preferred for nothing from now on.
func (m *Members) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.Self.Leaving = true
}

// Peers returns the last heartbeat of every other box that is believed alive.
func (m *Members) Peers() []link.Heartbeat {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []link.Heartbeat
	for _, p := range m.peers {
		if m.alive(p) {
			list = append(list, p.Heartbeat)
		}
	}
	slices.SortFunc(list, func(a, b link.Heartbeat) int { return strings.Compare(a.Entry.Name, b.Entry.Name) })
	return list
}

func (m *Members) alive(p *peer) bool { return time.Since(p.heard) <= m.Timing.DeadAfter }

// Alive reports whether a box is believed alive.
func (m *Members) Alive(name string) bool {
	if name == m.Self.Name {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[name]
	return p != nil && m.alive(p)
}

// Count returns the number of boxes believed alive, this one included.
func (m *Members) Count() int { return len(m.Peers()) + 1 }

// Preferred returns the box that should decide for a hall: by rendezvous hashing over the live boxes that stand in
// the hall, or over all where none does. It is a hint; two boxes may differ about it for a while.
func (m *Members) Preferred(hall string) Entry { return m.pick(hall, hall) }

// PreferredFor returns the box that should look after any other key.
func (m *Members) PreferredFor(key string) Entry { return m.pick(key, "") }

func (m *Members) pick(key, hall string) Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	candidates := m.candidates()
	near := map[string]Entry{}
	for name, e := range candidates {
		if hall != "" && e.Hall == hall {
			near[name] = e
		}
	}
	if len(near) > 0 {
		candidates = near
	}
	if len(candidates) == 0 {
		return m.Self
	}
	names := make([]string, 0, len(candidates))
	for name := range candidates {
		names = append(names, name)
	}
	slices.Sort(names)
	return candidates[rendezvous.New(names, xxhash.Sum64String).Lookup(key)]
}

// candidates returns the boxes that may be preferred.
func (m *Members) candidates() map[string]Entry {
	list := map[string]Entry{}
	if !m.Self.Leaving {
		list[m.Self.Name] = m.Self
	}
	for name, p := range m.peers {
		if m.alive(p) && !p.Entry.Leaving && time.Since(p.since) >= steadyAfter {
			list[name] = p.Entry
		}
	}
	return list
}
