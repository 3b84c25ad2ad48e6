// Package relay lets a box call the platform's store through another box while its direct path to the store is down. A
// box forwards the calls of others only over its own direct path, so that a call takes one hop at most.
package relay

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/interval"
	"github.com/pulleyring/pulleyring/internal/measure"
	"github.com/pulleyring/pulleyring/internal/store"
	"go.uber.org/zap"
)

// Names of the paths to the store, for logs and metrics.
const (
	PathDirect = "store_direct" // The box's direct path.
	PathAny    = "store"        // The direct path or one through another box.
)

// Network gives access to the store through other boxes.
type Network interface {
	// Peer returns the store as it is reached through the box at an address.
	Peer(address string) store.Peer
}

// Store calls the platform's store over the direct path, or through other boxes while that path is down. Set the
// exported fields before use.
type Store struct {
	Direct    MonitoredStore
	Network   Network // nil to call no other boxes.
	Directory PeerDirectory
	Log       *zap.Logger
	Figures   *measure.Metrics // May be nil.
}

const (
	// probedParts is the number of parts that the probes read from in turn.
	probedParts = 16
	// probeInterval is the time between probes of a direct path that is down. It need not be shorter, as other boxes
	// forward calls meanwhile.
	probeInterval = 300 * time.Millisecond
	// probeTimeout limits a probe. The store at its slowest answers after about 400 ms.
	probeTimeout = 700 * time.Millisecond
	// maxPeerAttempts limits the boxes that are tried for one call. If a third of all boxes are cut off, six boxes chosen
	// at random are all cut off in one case of 700. Six failures therefore mean that the store itself is likely down.
	// With two attempts, one call in nine found no path and waited on the direct one; reads took 1.2 s, and the scheduler
	// saw jobs 3 s late.
	maxPeerAttempts = 6
	// maxRefusals is the number of boxes through which the store itself must refuse a call before the refusal is
	// returned, so that an overloaded store gets no further calls. One refusal is not enough: that box may be cut off
	// and not have noticed yet.
	maxRefusals = 2
)

// Run probes the direct path while it is down, and keeps the directory of boxes up to date, until ctx ends.
func (s *Store) Run(ctx context.Context) {
	go s.probe(ctx)
	s.Directory.run(ctx, s, s.Log)
}

// probe reads a row over the direct path every probeInterval while that path is down, until ctx ends. It does not wait
// for earlier probes: one that was sent during an outage gets no answer after it.
func (s *Store) probe(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	round, end := context.WithCancel(ctx)
	defer func() { end() }()
	for n := 0; ctx.Err() == nil; interval.Sleep(ctx, probeInterval) {
		if s.directWorks() {
			continue
		}
		if round.Err() != nil {
			round, end = context.WithCancel(ctx)
		}
		// A single part may be down, so each probe reads from another one. The row need not exist.
		part := partBoxes + "/" + strconv.Itoa(n%probedParts)
		n++
		ctx, end := round, end
		group.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, probeTimeout)
			defer cancel()
			if _, err := s.Direct.Read(ctx, store.Range{Table: tableBoxes, Part: part, Limit: 1}); err == nil {
				end() // Calls that are cancelled don't count as failed.
			}
		})
	}
}

// Commit implements store.Store.
func (s *Store) Commit(ctx context.Context, tx *store.Transaction) (version int64, err error) {
	err = s.call(ctx, func(on store.Store) error {
		version, err = on.Commit(ctx, tx)
		return err
	})
	return version, err
}

// Read implements store.Store.
func (s *Store) Read(ctx context.Context, r store.Range) (store.Page, error) {
	if s.directWorks() {
		page, err := s.Direct.Read(ctx, r)
		if !errors.Is(err, store.ErrRefused) || s.Direct.Healthy() {
			return page, err
		}
	}
	return s.readThroughPeers(ctx, r)
}

// directWorks reports whether calls go over the direct path.
func (s *Store) directWorks() bool { return s.Direct.Healthy() && !s.Direct.Suspect() }

// Watch implements store.Store.
func (s *Store) Watch(ctx context.Context, table string, since int64, wait time.Duration) (page store.Page, err error) {
	err = s.call(ctx, func(on store.Store) error {
		page, err = on.Watch(ctx, table, since, wait)
		return err
	})
	return page, err
}

// call makes a call over the direct path, or through other boxes if that path is down or its last call got no answer.
// A call that may have taken effect is not repeated here; the caller decides whether to repeat it.
func (s *Store) call(ctx context.Context, f func(on store.Store) error) error {
	if s.directWorks() {
		err := f(&s.Direct)
		if !errors.Is(err, store.ErrRefused) || s.Direct.Healthy() {
			return err
		}
	}
	refusals := 0
	for _, p := range s.peers() {
		began := time.Now()
		err := f(s.Network.Peer(p.address))
		s.Figures.ObserveDuration("relay_call", time.Since(began))
		s.Directory.recordResult(ctx, p, err, s.Log)
		if !errors.Is(err, store.ErrRefused) || errors.Is(err, store.ErrInvalid) {
			return err
		}
		if !errors.Is(err, store.ErrUnreachable) {
			refusals++
		}
		if refusals >= maxRefusals {
			return err
		}
	}
	return f(&s.Direct) // No other box reaches the store; the direct path may work again.
}

// peers returns the boxes through which a call is tried, in order.
func (s *Store) peers() []*peer {
	if s.Network == nil {
		return nil
	}
	return s.Directory.choosePeers(maxPeerAttempts)
}

// Shared returns the store as this box serves it to other boxes. It forwards their calls over the direct path alone. It
// answers their queries for copies from read, which holds the pages that this box has read.
func (s *Store) Shared(read store.Replica) store.Peer { return &shared{read, &s.Direct, s.Figures} }

// shared forwards the calls of other boxes to the direct path. It refuses them at once while that path is down or its
// last call got no answer.
type shared struct {
	store.Replica
	direct  *MonitoredStore
	figures *measure.Metrics
}

// checkDirectPath returns store.ErrUnreachable if calls can't be forwarded now.
func (s *shared) checkDirectPath() error {
	if !s.direct.Healthy() || s.direct.Suspect() {
		s.figures.Count("relay_refused")
		return store.ErrUnreachable
	}
	s.figures.Count("relay_passed_on")
	return nil
}

// Commit implements store.Store.
func (s *shared) Commit(ctx context.Context, tx *store.Transaction) (int64, error) {
	if err := s.checkDirectPath(); err != nil {
		return 0, err
	}
	return s.direct.Commit(ctx, tx)
}

// Read implements store.Store.
func (s *shared) Read(ctx context.Context, r store.Range) (store.Page, error) {
	if err := s.checkDirectPath(); err != nil {
		return store.Page{}, err
	}
	return s.direct.Read(ctx, r)
}

// Watch implements store.Store.
func (s *shared) Watch(ctx context.Context, table string, since int64, wait time.Duration) (store.Page, error) {
	if err := s.checkDirectPath(); err != nil {
		return store.Page{}, err
	}
	return s.direct.Watch(ctx, table, since, wait)
}
