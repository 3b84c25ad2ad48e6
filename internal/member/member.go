// Package member tracks which boxes of a site are alive and selects the preferred box of each hall.
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

// Entry describes a box in the platform's list of boxes.
type Entry = link.Entry

// List is the platform's list of live and leaving boxes. Client implements it over HTTP, package standin in memory.
type List interface {
	// Announce registers a box with the platform as alive or, if entry.Leaving is set, as leaving.
	Announce(ctx context.Context, entry Entry) error
	// Boxes returns the listed boxes. The list may lag behind their real state.
	Boxes(ctx context.Context) ([]Entry, error)
}

// Client reads and updates the platform's list of boxes over HTTP.
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

// Intervals that can't be configured.
const (
	listInterval = time.Second
	// steadyAfter is how long a box must have sent heartbeats without a gap before it can be preferred. A box that
	// keeps failing and returning would otherwise move its halls between boxes each time.
	steadyAfter = time.Second
	// forgetAfter is the time since the last heartbeat after which a box that is no longer listed is removed.
	forgetAfter = 30 * time.Second
)

// peer is the last known state of another box.
type peer struct {
	link.Heartbeat
	lastHeartbeat time.Time // Arrival of the last heartbeat; zero before the first.
	steadySince   time.Time // Start of the current sequence of heartbeats without a gap.
	listed        bool
}

// Members keeps track of the boxes of a site. Fill in the exported fields before Run.
type Members struct {
	Self    Entry
	Timing  settings.Timing
	List    List
	Network link.Network
	// Describe returns the content of this box's next heartbeat, without the entry.
	Describe func() link.Heartbeat
	// OnHeartbeat is called with each received heartbeat; it may be nil.
	OnHeartbeat func(h *link.Heartbeat)

	mu    sync.Mutex
	peers map[string]*peer
}

// Run announces the box and exchanges heartbeats until ctx ends.
func (m *Members) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { interval.Every(ctx, listInterval, m.refreshList) })
	group.Go(func() { interval.Every(ctx, m.Timing.Heartbeat, m.sendHeartbeats) })
	group.Wait()
}

func (m *Members) refreshList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listInterval)
	defer cancel()
	m.mu.Lock()
	self := m.Self
	m.mu.Unlock()
	_ = m.List.Announce(ctx, self) // The list may be unavailable; heartbeats carry the same entry.
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
			m.updatePeer(e).listed = true
		}
	}
	for name, p := range m.peers {
		if !p.listed && time.Since(p.lastHeartbeat) > forgetAfter {
			delete(m.peers, name)
		}
	}
}

// updatePeer returns the peer with the name of the entry and adds it if it is new. The entry is stored only if the peer
// is not alive: the list may lag behind the entry in the peer's own heartbeats.
func (m *Members) updatePeer(entry Entry) *peer {
	if m.peers == nil {
		m.peers = map[string]*peer{}
	}
	p := m.peers[entry.Name]
	if p == nil {
		p = &peer{}
		m.peers[entry.Name] = p
	}
	if time.Since(p.lastHeartbeat) > m.Timing.DeadAfter {
		p.Entry = entry
	}
	return p
}

// sendHeartbeats sends a heartbeat to every known box, concurrently so that a slow box does not delay the others.
func (m *Members) sendHeartbeats(ctx context.Context) {
	heartbeat := m.Describe()
	m.mu.Lock()
	heartbeat.Entry = m.Self
	var targets []Entry
	for _, p := range m.peers {
		targets = append(targets, p.Entry)
	}
	m.mu.Unlock()
	for _, to := range targets {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, m.Timing.DeadAfter)
			defer cancel()
			// Not retried on failure: peers count this box as dead only after DeadAfter without heartbeats.
			_, _ = m.Network.Send(ctx, to, &link.Message{Heartbeat: &heartbeat})
		}()
	}
}

// Receive records a heartbeat of another box and calls Heard with it.
func (m *Members) Receive(heartbeat *link.Heartbeat) {
	m.mu.Lock()
	if heartbeat.Entry.Name == m.Self.Name {
		m.mu.Unlock()
		return
	}
	p := m.updatePeer(heartbeat.Entry)
	now := time.Now()
	if now.Sub(p.lastHeartbeat) > m.Timing.DeadAfter {
		p.steadySince = now
	}
	p.Heartbeat = *heartbeat
	p.lastHeartbeat = now
	m.mu.Unlock()
	if m.OnHeartbeat != nil {
		m.OnHeartbeat(heartbeat)
	}
}

// SelfEntry returns the entry that this box announces to others.
func (m *Members) SelfEntry() Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Self
}

// Leave marks this box as leaving. From then on it is not preferred for any hall or key.
func (m *Members) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.Self.Leaving = true
}

// Peers returns the last heartbeat of every other box that counts as alive, sorted by name.
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

func (m *Members) alive(p *peer) bool { return time.Since(p.lastHeartbeat) <= m.Timing.DeadAfter }

// Alive reports whether the named box counts as alive: this box, or one with a heartbeat within DeadAfter.
func (m *Members) Alive(name string) bool {
	if name == m.Self.Name {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[name]
	return p != nil && m.alive(p)
}

// Count returns the number of boxes that count as alive, including this one.
func (m *Members) Count() int { return len(m.Peers()) + 1 }

// Preferred returns the box that should make the decisions for a hall. It is selected by rendezvous hashing among the
// live boxes in the hall, or among all live boxes if the hall has none. The result is only a hint: two boxes may
// disagree about it for a while.
func (m *Members) Preferred(hall string) Entry { return m.selectBox(hall, hall) }

// PreferredFor returns the box that should handle a key that is not a hall, selected among all live boxes.
func (m *Members) PreferredFor(key string) Entry { return m.selectBox(key, "") }

func (m *Members) selectBox(key, hall string) Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	candidates := m.candidates()
	inHall := map[string]Entry{}
	for name, e := range candidates {
		if hall != "" && e.Hall == hall {
			inHall[name] = e
		}
	}
	if len(inHall) > 0 {
		candidates = inHall
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

// candidates returns the boxes that may be preferred, by name: those that are alive, steady and not leaving.
func (m *Members) candidates() map[string]Entry {
	list := map[string]Entry{}
	if !m.Self.Leaving {
		list[m.Self.Name] = m.Self
	}
	for name, p := range m.peers {
		if m.alive(p) && !p.Entry.Leaving && time.Since(p.steadySince) >= steadyAfter {
			list[name] = p.Entry
		}
	}
	return list
}
