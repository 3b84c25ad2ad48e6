package emulator

import (
	"context"
	"sync"
	"time"

	"github.com/pulleyring/pulleyring/internal/store"
)

// Network lets boxes call the store through each other. Its zero value is ready to use.
type Network struct {
	mu    sync.Mutex
	boxes map[string]*sharedStore
	cut   map[string]bool // Boxes that are cut off from all other boxes.
}

// sharedStore is the store that a box offers to others, behind that box's gate.
type sharedStore struct {
	store.Peer
	gate *Gate
}

// Serve makes a store available to other boxes at an address, behind the gate of the box that serves it.
func (n *Network) Serve(address string, s store.Peer, gate *Gate) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.boxes == nil {
		n.boxes, n.cut = map[string]*sharedStore{}, map[string]bool{}
	}
	n.boxes[address] = &sharedStore{s, gate}
}

// Cut cuts a box off from all others.
func (n *Network) Cut(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[address] = true
}

// Heal ends all cuts.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cut)
}

// For returns the network as the box at an address sees it.
func (n *Network) For(address string, gate *Gate) *NetworkView { return &NetworkView{n, address, gate} }

// NetworkView is the network as one box sees it.
type NetworkView struct {
	network *Network
	own     string
	gate    *Gate
}

// Peer implements relay.Network.
func (v *NetworkView) Peer(address string) store.Peer { return &link{v, address} }

// link carries a box's calls to another box. It implements store.Peer.
type link struct {
	view *NetworkView
	peer string
}

// linkTimeout bounds a call through another box, with the value of the real client.
const linkTimeout = 1400 * time.Millisecond

// open waits until the calling box may proceed and returns the other box's store if that box can be reached.
func (l *link) open(ctx context.Context) (*sharedStore, error) {
	if !l.view.gate.pass(ctx) {
		return nil, store.ErrUnknown
	}
	n := l.view.network
	n.mu.Lock()
	peer, cut := n.boxes[l.peer], n.cut[l.peer] || n.cut[l.view.own]
	n.mu.Unlock()
	if peer == nil {
		return nil, store.ErrUnreachable
	}
	if cut {
		<-ctx.Done()
		return nil, store.ErrUnknown
	}
	if !peer.gate.await(ctx) {
		return nil, store.ErrUnknown
	}
	return peer, nil
}

// Commit implements store.Store.
func (l *link) Commit(ctx context.Context, tx *store.Transaction) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, linkTimeout)
	defer cancel()
	peer, err := l.open(ctx)
	if err != nil {
		return 0, err
	}
	return peer.Commit(ctx, tx)
}

// Read implements store.Store.
func (l *link) Read(ctx context.Context, r store.Range) (store.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, linkTimeout)
	defer cancel()
	peer, err := l.open(ctx)
	if err != nil {
		return store.Page{}, err
	}
	return peer.Read(ctx, r)
}

// Watch implements store.Store.
func (l *link) Watch(ctx context.Context, table string, since int64, wait time.Duration) (store.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+linkTimeout)
	defer cancel()
	peer, err := l.open(ctx)
	if err != nil {
		return store.Page{}, err
	}
	return peer.Watch(ctx, table, since, wait)
}

// Copy implements store.Replica.
func (l *link) Copy(ctx context.Context, q store.Query) (store.Copy, error) {
	ctx, cancel := context.WithTimeout(ctx, q.Wait+linkTimeout)
	defer cancel()
	peer, err := l.open(ctx)
	if err != nil {
		return store.Copy{}, err
	}
	found, err := peer.Copy(ctx, q)
	if !peer.gate.await(ctx) { // The other box may have been frozen while the query waited.
		return store.Copy{}, store.ErrUnknown
	}
	return found, err
}
