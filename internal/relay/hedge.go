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

// hedgedRead is a read through other boxes that is under way.
type hedgedRead struct {
	*Store
	peers    []*peer
	answers  chan peerRead
	answered []bool // Which of the peers have answered.
	asked    int    // Number of peers that were asked, in order.
	pending  int    // Number of these that have not answered.
	refusals int
	unknown  error // Set if a peer gave no answer.
}

// readThroughPeers reads through other boxes. If one does not answer soon, for instance because it is frozen, the next
// one is asked too, and the first answer counts: unlike a transaction, a read may be repeated at any time. It reads over
// the direct path once that works again, or if no other box reaches the store.
func (s *Store) readThroughPeers(ctx context.Context, r store.Range) (store.Page, error) {
	within, cancel := context.WithCancel(ctx)
	defer cancel()
	peers := s.peers()
	h := &hedgedRead{Store: s, peers: peers, answers: make(chan peerRead, len(peers)), answered: make([]bool, len(peers))}
	hedged := r.Limit > 0 && r.Limit <= maxHedgedRows
	for h.askNext(within, r, hedged) {
		a, ok := awaitRead(h.answers)
		switch {
		case ok && h.decides(within, &a):
			return a.page, a.err
		case !ok && hedged && s.directWorks():
			return s.Direct.Read(ctx, r)
		}
	}
	if h.unknown != nil {
		return store.Page{}, h.unknown
	}
	return s.Direct.Read(ctx, r)
}

// askNext asks the next peer, unless an answer is pending and the read is not hedged. It reports whether any answer is
// pending.
func (h *hedgedRead) askNext(ctx context.Context, r store.Range, hedged bool) bool {
	if h.asked < len(h.peers) && (h.pending == 0 || hedged) && ctx.Err() == nil {
		if h.pending > 0 {
			h.Figures.Count("relay_read_hedged")
		}
		go h.readThrough(ctx, h.peers[h.asked], h.asked, r, h.answers)
		h.asked++
		h.pending++
	}
	return h.pending > 0
}

// decides records an answer and reports whether it is the outcome of the read. Peers that were asked before the one that
// read the page, and have not answered, count as failed.
func (h *hedgedRead) decides(ctx context.Context, a *peerRead) bool {
	h.pending--
	h.answered[a.number] = true
	h.Directory.recordResult(ctx, h.peers[a.number], a.err, h.Log)
	switch {
	case errors.Is(a.err, store.ErrUnknown):
		h.unknown = a.err
		return false
	case errors.Is(a.err, store.ErrUnreachable):
		return false
	case errors.Is(a.err, store.ErrRefused):
		h.refusals++
		return h.refusals >= maxRefusals
	}
	for n, p := range h.peers[:a.number] {
		if !h.answered[n] {
			h.Directory.recordResult(ctx, p, store.ErrUnknown, h.Log)
		}
	}
	return true
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
