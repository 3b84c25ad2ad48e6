package relay

import (
	"context"
	"fmt"
	"time"

	"github.com/pulleyring/pulleyring/internal/interval"
	"github.com/pulleyring/pulleyring/internal/logsink"
	"github.com/pulleyring/pulleyring/internal/store"
	"go.uber.org/zap"
)

// candidate is another box of the same hall that announces itself as a possible scheduler.
type candidate struct {
	announcement
	row     string    // Name of the candidate's row; the rows sort by name, the best candidate first.
	renewed time.Time // When this box last saw a new version of the row.
}

const (
	// candidatesDelay is the minimum pause before a started box reads the candidates for the first time. A part of
	// candidatesSpread is added that depends on the box's name, so that boxes that start together read at different
	// times.
	candidatesDelay  = 200 * time.Millisecond
	candidatesSpread = time.Second
	// candidatesWanted is the number of boxes of a hall that announce themselves as candidates: enough for those that
	// watch the lease and some spare ones.
	candidatesWanted = 8
	// maxCandidateRows limits the candidate rows that are read at a time, including those of candidates that are gone.
	maxCandidateRows = 32
	// candidateExpiry is how long a candidate counts as live after its row was last seen to change. It allows for two
	// missed announcements.
	candidateExpiry = 50 * time.Second
)

// refreshCandidatesPeriodically calls refreshCandidates at every announceInterval until ctx ends.
func (b *PeerDirectory) refreshCandidatesPeriodically(ctx context.Context, s store.Store, log *zap.Logger) {
	interval.Sleep(ctx, candidatesDelay+b.Phase(candidatesSpread))
	for pause := b.firstInterval(); ctx.Err() == nil; pause = announceInterval {
		if err := b.refreshCandidates(ctx, s, log); err != nil {
			log.Warn("relay: unable to refresh the candidates of the hall; retrying at the next interval", logsink.Error(err))
		}
		interval.Sleep(ctx, pause)
	}
}

// candidatePart returns the name of the part of the store's table that holds the rows of the hall's candidates.
func (b *PeerDirectory) candidatePart() string { return "hall/" + b.Hall }

// candidateKey returns the key of this box's row among the candidates of its hall. The rows sort by takeover time, the
// shortest first. Rows with equal times sort by the hash of the box's name. Boxes that start together also read the
// candidates in the order of their hashes, so that few announce themselves and are then displaced by a better one.
func (b *PeerDirectory) candidateKey() store.Key {
	return store.Key{Table: tableBoxes, Part: b.candidatePart(), Name: fmt.Sprintf("%010d/%016x/%s", b.TakeoverTime.Milliseconds(), b.hash(), b.Box)}
}

// refreshCandidates reads the candidates of the hall. If fewer than candidatesWanted live candidates are preferred to
// this box, it announces this box as a candidate and deletes the rows of candidates that are gone.
func (b *PeerDirectory) refreshCandidates(ctx context.Context, s store.Store, log *zap.Logger) error {
	page, err := s.Read(ctx, store.Range{Table: tableBoxes, Part: b.candidatePart(), Limit: maxCandidateRows})
	if err != nil {
		return err
	}
	gone := b.updateCandidates(page.Rows, log)
	if b.Rank() >= candidatesWanted {
		return nil
	}
	if err := b.announce(ctx, s, b.candidateKey()); err != nil {
		return err
	}
	return deleteRows(ctx, s, gone)
}

// updateCandidates replaces the list of candidates. It returns a transaction that deletes the rows of candidates that
// are gone or have a newer row.
func (b *PeerDirectory) updateCandidates(rows []store.Row, log *zap.Logger) *store.Transaction {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := map[string]*candidate{}
	for _, c := range b.candidates {
		known[c.row] = c
	}
	newest := map[string]*candidate{} // By box. A box whose takeover time changed has two rows for a while.
	for i := range rows {
		a := decodeAnnouncement(&rows[i])
		c := known[rows[i].Name]
		if c == nil {
			c = &candidate{row: rows[i].Name}
		}
		if c.version != a.version {
			c.renewed = time.Now()
		}
		c.announcement = a
		if other := newest[a.box]; a.box != b.Box && (other == nil || other.version < a.version) {
			newest[a.box] = c
		}
	}
	gone := &store.Transaction{}
	own := b.candidateKey().Name
	b.candidates, b.candidatesKnown = nil, true
	for i := range rows {
		row := &rows[i]
		if row.Name == own {
			continue
		}
		c := newest[decodeAnnouncement(row).box]
		if c == nil || c.row != row.Name || !c.isLive() {
			deleteUnchanged(gone, row)
		}
		if c != nil && c.row == row.Name {
			b.candidates = append(b.candidates, c)
		}
	}
	b.logCandidates(known, log)
	return gone
}

// logCandidates logs the names of the live candidates if the list of candidates differs from known.
func (b *PeerDirectory) logCandidates(known map[string]*candidate, log *zap.Logger) {
	var names []string
	changed := len(known) != len(b.candidates)
	for _, c := range b.candidates {
		changed = changed || known[c.row] == nil
		if c.isLive() {
			names = append(names, c.box)
		}
	}
	if changed {
		log.Info("relay: the candidates of the hall changed", zap.Strings("boxes", names))
	}
}

// isLive reports whether the candidate's row was seen to change within candidateExpiry.
func (c *candidate) isLive() bool { return time.Since(c.renewed) <= candidateExpiry }

// CandidatesKnown reports whether the candidates of the hall were read at least once.
func (b *PeerDirectory) CandidatesKnown() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.candidatesKnown
}

// IsWatcher reports whether this box watches the store for the other boxes of its hall.
func (b *PeerDirectory) IsWatcher() bool { return b.CandidatesKnown() && b.Rank() < b.Watchers }

// Rank returns the number of live candidates of the hall that are preferred to this box as scheduler. It returns 0
// while the candidates are not known.
func (b *PeerDirectory) Rank() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	own := b.candidateKey().Name
	before := 0
	for _, c := range b.candidates {
		if c.row < own && c.isLive() {
			before++
		}
	}
	return before
}

// watcherAddress returns the address of a box that watches the store for the hall; successive values of n go through
// all of them in turn. It returns an empty string if none is known.
func (b *PeerDirectory) watcherAddress(n int) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var addresses []string
	for _, c := range b.candidates {
		if len(addresses) < b.Watchers && c.address != "" && c.isLive() {
			addresses = append(addresses, c.address)
		}
	}
	if len(addresses) == 0 {
		return ""
	}
	return addresses[n%len(addresses)]
}
