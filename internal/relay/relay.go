// Package relay keeps a box in touch with the platform's store while the box's own path to it is out: calls then go
// through another box. A box passes on calls of others only over its own path, so a call takes one hop at most.
package relay

import (
	"context"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/interval"
	"github.com/pulleyring/pulleyring/internal/measure"
	"github.com/pulleyring/pulleyring/internal/store"
	"go.uber.org/zap"
)

// Names of the two paths, for logs and figures.
const (
	PathDirect = "store_direct" // The box's own.
	PathAny    = "store"        // Its own or another box's.
)

// Network reaches the stores that other boxes pass calls on to.
type Network interface {
	// Peer returns the store behind a box's address.
	Peer(address string) store.Peer
}

// Store is the platform's store over the box's own path, or over other boxes while that one is out. Fill in the exported
// fields before use.
type Store struct {
	Direct  Watched
	Network Network // nil for no other boxes.
	Book    Book
	Log     *zap.Logger
	Figures *measure.Figures // nil for none.

	probes int // Tries so far.
}

const (
	// probeParts is the number of parts that are tried in turn.
	probeParts = 16
	// probeEvery is how often a box whose own path is out tries it: its return matters little while others pass calls on.
	probeEvery = 300 * time.Millisecond
	// probeTimeout bounds such a try; the store at its slowest answers after about 400 ms.
	probeTimeout = 700 * time.Millisecond
	// mostPeers bounds the boxes that are tried until one passes a call on: where a third of the boxes are cut off, six in a row
	// without a path are one case in 700, and the store itself is likely out. With two, one call in nine found none and
	// went over the own path after all; reads then took 1.2 s, and the scheduler saw jobs 3 s late.
	mostPeers = 6
	// mostRefusals bounds the boxes over which the store itself refuses a call until that counts as its answer: a store that has too much
	// to do gets no more calls from it. One box may have been turned away without knowing it yet.
	mostRefusals = 2
)

// Run tries the box's own path while it is out, and keeps the addresses of the boxes, until ctx ends.
func (s *Store) Run(ctx context.Context) {
	go interval.Every(ctx, probeEvery, s.probe)
	s.Book.keep(ctx, s, s.Log)
}

func (s *Store) probe(ctx context.Context) {
	if s.Direct.Healthy() && !s.Direct.Suspect() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	// Any part may be out by itself, so each try asks another one; there need not be a row.
	part := partBoxes + "/" + strconv.Itoa(s.probes%probeParts)
	s.probes++
	_, _ = s.Direct.Read(ctx, store.Range{Table: tableBoxes, Part: part, Limit: 1}) // What became of it is taken in by Direct.
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
func (s *Store) Read(ctx context.Context, r store.Range) (page store.Page, err error) {
	err = s.call(ctx, func(on store.Store) error {
		page, err = on.Read(ctx, r)
		return err
	})
	return page, err
}

// Watch implements store.Store.
func (s *Store) Watch(ctx context.Context, table string, since int64, wait time.Duration) (page store.Page, err error) {
	err = s.call(ctx, func(on store.Store) error {
		page, err = on.Watch(ctx, table, since, wait)
		return err
	})
	return page, err
}

// call makes a call over the box's own path, or over other boxes if that path is out or its last call got no answer. A call that may have taken effect
// is not repeated here: that is for the caller to judge.
func (s *Store) call(ctx context.Context, f func(on store.Store) error) error {
	if s.Direct.Healthy() && !s.Direct.Suspect() {
		err := f(&s.Direct)
		if !errors.Is(err, store.ErrRefused) || s.Direct.Healthy() {
			return err
		}
	}
	refusals := 0
	for _, p := range s.peers() {
		began := time.Now()
		err := f(s.Network.Peer(p.address))
		s.Figures.Took("relay_call", time.Since(began))
		s.Book.note(ctx, p, err, s.Log)
		if !errors.Is(err, store.ErrRefused) {
			return err
		}
		if !errors.Is(err, store.ErrUnreachable) {
			refusals++
		}
		if refusals >= mostRefusals {
			return err
		}
	}
	return f(&s.Direct) // Nobody else reaches the store either; it may be back.
}

func (s *Store) peers() []*peer {
	if s.Network == nil {
		return nil
	}
	return s.Book.choose(mostPeers)
}

// Shared returns what other boxes may call through this one: the store over the box's own path alone, and what the box itself has read last.
func (s *Store) Shared(read store.Replica) store.Peer { return &shared{read, &s.Direct, s.Figures} }

// shared refuses at once while the box's own path is out, or its last call got no answer.
type shared struct {
	store.Replica
	direct  *Watched
	figures *measure.Figures
}

// take reports whether a call is passed on.
func (s *shared) take() error {
	if !s.direct.Healthy() || s.direct.Suspect() {
		s.figures.Count("relay_refused")
		return store.ErrUnreachable
	}
	s.figures.Count("relay_passed_on")
	return nil
}

// Commit implements store.Store.
func (s *shared) Commit(ctx context.Context, tx *store.Transaction) (int64, error) {
	if err := s.take(); err != nil {
		return 0, err
	}
	return s.direct.Commit(ctx, tx)
}

// Read implements store.Store.
func (s *shared) Read(ctx context.Context, r store.Range) (store.Page, error) {
	if err := s.take(); err != nil {
		return store.Page{}, err
	}
	return s.direct.Read(ctx, r)
}

// Watch implements store.Store.
func (s *shared) Watch(ctx context.Context, table string, since int64, wait time.Duration) (store.Page, error) {
	if err := s.take(); err != nil {
		return store.Page{}, err
	}
	return s.direct.Watch(ctx, table, since, wait)
}
