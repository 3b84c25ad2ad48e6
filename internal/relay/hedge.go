package relay

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/interval"
	"github.com/pulleyring/pulleyring/internal/store"
)

// hedgeDelay is how long a read through another box may take before the next path is tried too. Most answers take some
// 10 ms, and those of a store at its slowest about 400 ms.
const hedgeDelay = 200 * time.Millisecond

// maxHedgedRows is the largest page that is asked for over several paths. Larger pages take longer on a slow link, and a
// second copy would take as long again.
const maxHedgedRows = 32

// peerRead is the outcome of a read through another box.
type peerRead struct {
	number int // Number of the box in the order of the tries.
	page   store.Page
	err    error
}

// readThroughPeers reads through other boxes. If one does not answer soon, for instance because it is frozen, the next
// one is asked too, and the first answer counts: unlike a transaction, a read may be repeated at any time. It reads over
// the direct path once that works again, or if no other box reaches the store.
func (s *Store) readThroughPeers(ctx context.Context, r store.Range) (store.Page, error) {
	peers := s.peers()
	within, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan peerRead, len(peers))
	answered := make([]bool, len(peers))
	asked, pending, refusals := 0, 0, 0
	hedged := r.Limit > 0 && r.Limit <= maxHedgedRows
	var unknown error
	for {
		if asked < len(peers) && (pending == 0 || hedged) && within.Err() == nil {
			go s.readThrough(within, peers[asked], asked, r, answers)
			asked++
			pending++
		}
		if pending == 0 {
			break
		}
		a, ok := awaitRead(answers)
		if !ok {
			if hedged && s.directWorks() {
				return s.Direct.Read(ctx, r)
			}
			if hedged && asked < len(peers) {
				s.Figures.Count("relay_read_hedged")
			}
			continue
		}
		pending--
		answered[a.number] = true
		s.Directory.recordResult(within, peers[a.number], a.err, s.Log)
		switch {
		case errors.Is(a.err, store.ErrUnknown):
			unknown = a.err
		case errors.Is(a.err, store.ErrUnreachable):
		case errors.Is(a.err, store.ErrRefused):
			if refusals++; refusals >= maxRefusals {
				return store.Page{}, a.err
			}
		default:
			s.recordSlower(within, peers[:a.number], answered)
			return a.page, a.err
		}
	}
	if unknown != nil {
		return store.Page{}, unknown
	}
	return s.Direct.Read(ctx, r)
}

// recordSlower records that boxes which were asked earlier than the one that answered have not answered.
func (s *Store) recordSlower(ctx context.Context, earlier []*peer, answered []bool) {
	for n, p := range earlier {
		if !answered[n] {
			s.Directory.recordResult(ctx, p, store.ErrUnknown, s.Log)
		}
	}
}

// readThrough reads through one box and sends the outcome to answers.
func (s *Store) readThrough(ctx context.Context, p *peer, number int, r store.Range, answers chan<- peerRead) {
	began := time.Now()
	page, err := s.Network.Peer(p.address).Read(ctx, r)
	s.Figures.ObserveDuration("relay_call", time.Since(began))
	answers <- peerRead{number, page, err}
}

// awaitRead waits for the outcome of a read; ok is false if there is none within hedgeDelay.
func awaitRead(answers <-chan peerRead) (a peerRead, ok bool) {
	elapsed, stop := interval.After(hedgeDelay)
	defer stop()
	select {
	case a = <-answers:
		return a, true
	case <-elapsed:
		return peerRead{}, false
	}
}
