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

// candidate is a box of the same hall that announces itself as fit to schedule.
type candidate struct {
	announcement
	row     string    // Name of its row; the rows lie in the order in which the boxes go first.
	renewed time.Time // When its row was last found to have changed.
}

const (
	// candidatesFirst is the pause before a box that starts reads the candidates, and candidatesSpread the time over which boxes that start together do so.
	candidatesFirst  = 200 * time.Millisecond
	candidatesSpread = time.Second
	// candidatesWanted is how many boxes of a hall announce themselves as candidates: those that watch the lease, and some that stand in for them.
	candidatesWanted = 8
	// candidatesRead bounds the rows of candidates that are read, gone ones among them.
	candidatesRead = 32
	// presumedGone is the age of what a candidate last announced from which it does not count any more: two announcements missed.
	presumedGone = 50 * time.Second
)

// followCandidates keeps the candidates of the hall until ctx ends.
func (b *Book) followCandidates(ctx context.Context, s store.Store, log *zap.Logger) {
	interval.Sleep(ctx, candidatesFirst+b.Phase(candidatesSpread))
	for pause := b.firstPause(); ctx.Err() == nil; pause = announceEvery {
		if err := b.refreshCandidates(ctx, s, log); err != nil {
			log.Warn("relay: unable to read who is fit to schedule", logsink.Error(err))
		}
		interval.Sleep(ctx, pause)
	}
}

func (b *Book) candidatePart() string { return "hall/" + b.Hall }

// candidateKey names the box's row among the candidates of its hall: the fittest first, equally fit ones in the order in which boxes that start
// together read the candidates, so that few announce themselves in vain.
func (b *Book) candidateKey() store.Key {
	return store.Key{Table: tableBoxes, Part: b.candidatePart(), Name: fmt.Sprintf("%010d/%016x/%s", b.Takeover.Milliseconds(), b.hash(), b.Box)}
}

// refreshCandidates reads the candidates of the hall, and announces the box as one where too few go before it.
func (b *Book) refreshCandidates(ctx context.Context, s store.Store, log *zap.Logger) error {
	page, err := s.Read(ctx, store.Range{Table: tableBoxes, Part: b.candidatePart(), Limit: candidatesRead})
	if err != nil {
		return err
	}
	gone := b.takeCandidates(page.Rows, log)
	if b.Rank() >= candidatesWanted {
		return nil
	}
	if err := b.announce(ctx, s, b.candidateKey()); err != nil {
		return err
	}
	return deleteRows(ctx, s, gone)
}

// takeCandidates replaces the list of candidates, and returns the deletion of the rows of those that are gone, or have a newer row.
func (b *Book) takeCandidates(rows []store.Row, log *zap.Logger) *store.Transaction {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := map[string]*candidate{}
	for _, c := range b.candidates {
		known[c.row] = c
	}
	newest := map[string]*candidate{} // By box: one that has become less fit has two rows for a while.
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
	b.candidates, b.ranked = nil, true
	for i := range rows {
		row := &rows[i]
		if row.Name == own {
			continue
		}
		c := newest[decodeAnnouncement(row).box]
		if c == nil || c.row != row.Name || !c.lives() {
			deleteUnchanged(gone, row)
		}
		if c != nil && c.row == row.Name {
			b.candidates = append(b.candidates, c)
		}
	}
	b.logCandidates(known, log)
	return gone
}

// logCandidates logs the candidates that live once others than before do.
func (b *Book) logCandidates(known map[string]*candidate, log *zap.Logger) {
	var names []string
	changed := len(known) != len(b.candidates)
	for _, c := range b.candidates {
		changed = changed || known[c.row] == nil
		if c.lives() {
			names = append(names, c.box)
		}
	}
	if changed {
		log.Info("relay: who is fit to schedule in the hall", zap.Strings("boxes", names))
	}
}

// lives reports whether the candidate has renewed its row lately.
func (c *candidate) lives() bool { return time.Since(c.renewed) <= presumedGone }

// Ranked reports whether the candidates of the hall are known.
func (b *Book) Ranked() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ranked
}

// IsWatcher reports whether this box is one of those of its hall that watch the store for the others.
func (b *Book) IsWatcher() bool { return b.Ranked() && b.Rank() < b.Watchers }

// Rank is the number of boxes of the hall that come before this one as schedulers: 0 before the candidates are known.
func (b *Book) Rank() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	own := b.candidateKey().Name
	before := 0
	for _, c := range b.candidates {
		if c.row < own && c.lives() {
			before++
		}
	}
	return before
}

// watcher returns the address of one of the boxes that watch the store for the others of the hall, by turns with n; empty where none is known.
func (b *Book) watcher(n int) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var addresses []string
	for _, c := range b.candidates {
		if len(addresses) < b.Watchers && c.address != "" && c.lives() {
			addresses = append(addresses, c.address)
		}
	}
	if len(addresses) == 0 {
		return ""
	}
	return addresses[n%len(addresses)]
}
