package relay

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/interval"
	"github.com/pulleyring/pulleyring/internal/logsink"
	"github.com/pulleyring/pulleyring/internal/store"
	"go.uber.org/zap"
)

// Book is the addresses of the site's boxes. Each box keeps a row with its own in the store and reads those of the others.
// Fill in the exported fields before use.
type Book struct {
	Box      string        // Name of this box.
	Address  string        // IP:port where it passes on calls; empty for a box that does not.
	Takeover time.Duration // How long a take-over as scheduler would take it; the boxes are ranked by that.

	mu    sync.Mutex
	peers []*peer
	next  int // The peer to begin with; a failure moves it on to the next one.
}

// peer is another box.
type peer struct {
	announcement
	renewed   time.Time // When its row was last found to have changed.
	restUntil time.Time // It is not called before.
	resting   bool      // Its last call failed.
}

// The rows lie in a part of their own, so that they never wait behind a scheduler's.
// announcement is what a box tells the others of itself.
type announcement struct {
	box, address string
	written      time.Time // By that box's own time of day.
	takeover     time.Duration
	version      int64 // Of its row.
}

const (
	tableBoxes = "boxes"
	partBoxes  = "boxes"
)

const (
	// announceEvery is how often a box writes its address and reads the others': a call each costs money, and a box that is
	// cut off needs one that it knows.
	announceEvery = 20 * time.Second
	// announceFirst is the pause before the first reading, in which the boxes of a site that starts write theirs.
	announceFirst = 2 * time.Second
	// announceRetry is the pause after a failed call.
	announceRetry = time.Second
	// forgetAfter is the age at which the row of a box that is gone is deleted.
	forgetAfter = 10 * time.Minute
	// presumedGone is the age of what a box last announced from which it is not ranked any more: two announcements missed.
	presumedGone = 50 * time.Second
	// peerRest is how long a box that could not pass on a call is not asked again.
	peerRest = time.Second
)

// keep writes the box's address and reads the others' until ctx ends.
func (b *Book) keep(ctx context.Context, s store.Store, log *zap.Logger) {
	pause := announceFirst
	for ctx.Err() == nil {
		if err := b.announce(ctx, s); err != nil {
			log.Warn("relay: unable to announce the box's address", logsink.Error(err))
			interval.Sleep(ctx, announceRetry)
			continue
		}
		interval.Sleep(ctx, pause)
		if err := b.read(ctx, s, log); err != nil {
			log.Warn("relay: unable to read the boxes' addresses", logsink.Error(err))
		}
		pause = announceEvery
	}
}

func (b *Book) ownKey() store.Key { return store.Key{Table: tableBoxes, Part: partBoxes, Name: b.Box} }

// announce writes the box's row: its address and when it was written, in Unix milliseconds.
func (b *Book) announce(ctx context.Context, s store.Store) error {
	if b.Address == "" {
		return nil
	}
	value := fmt.Sprintf("%s %d %d", b.Address, time.Now().UnixMilli(), b.Takeover.Milliseconds())
	_, err := s.Commit(ctx, &store.Transaction{Writes: []store.Row{{Key: b.ownKey(), Value: []byte(value)}}})
	return err
}

// read takes in the other boxes' rows and deletes those of boxes that are long gone.
func (b *Book) read(ctx context.Context, s store.Store, log *zap.Logger) error {
	page, err := store.ReadAll(ctx, s, store.Range{Table: tableBoxes, Part: partBoxes})
	if err != nil {
		return err
	}
	var old store.Transaction
	found := make([]*peer, 0, len(page.Rows))
	for i := range page.Rows {
		row := &page.Rows[i]
		a := decodeAnnouncement(row)
		switch {
		case row.Name == b.Box:
		case time.Since(a.written) > forgetAfter:
			old.Conditions = append(old.Conditions, store.Condition{Key: row.Key, Version: row.Version})
			old.Deletes = append(old.Deletes, row.Key)
		default:
			found = append(found, &peer{announcement: a})
		}
	}
	b.take(found, log)
	if len(old.Deletes) == 0 {
		return nil
	}
	_, err = s.Commit(ctx, &old)
	var conflict *store.Conflict
	if errors.As(err, &conflict) {
		return nil // Another box was faster.
	}
	return err
}

// decodeAnnouncement returns an empty address and the beginning of time for a row that can't be read.
func decodeAnnouncement(row *store.Row) announcement {
	a := announcement{box: row.Name, version: row.Version}
	address, rest, _ := strings.Cut(string(row.Value), " ")
	at, takeover, _ := strings.Cut(rest, " ")
	ms, err := strconv.ParseInt(at, 10, 64)
	if err != nil {
		return a
	}
	a.address, a.written = address, time.UnixMilli(ms)
	if ms, err = strconv.ParseInt(takeover, 10, 64); err == nil {
		a.takeover = time.Duration(ms) * time.Millisecond
	}
	return a
}

// take replaces the list of boxes; what is known of those that stay is kept.
func (b *Book) take(found []*peer, log *zap.Logger) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := map[string]*peer{}
	for _, p := range b.peers {
		known[p.address] = p
	}
	var added []string
	for i, p := range found {
		old := known[p.address]
		if old == nil {
			p.renewed = time.Now()
			added = append(added, p.box)
			continue
		}
		if old.version != p.version {
			old.renewed = time.Now()
		}
		old.announcement = p.announcement
		found[i] = old
	}
	if len(added) > 0 || len(found) != len(b.peers) {
		log.Info("relay: boxes are known", zap.Int("boxes", len(found)), zap.Strings("new", added))
	}
	b.peers = found
}

// FitterBoxes counts the boxes that have renewed their rows lately and are fitter to schedule than this one; boxes that are
// equally fit are ranked by their names.
func (b *Book) FitterBoxes() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, p := range b.peers {
		if time.Since(p.renewed) > presumedGone {
			continue
		}
		if p.takeover < b.Takeover || p.takeover == b.Takeover && p.box < b.Box {
			n++
		}
	}
	return n
}

// choose returns up to n boxes that are not resting; a single one once n are, as the store is likely out then. Boxes begin with
// different ones, so that those that are cut off together do not all call the same.
func (b *Book) choose(n int) []*peer {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	resting := 0
	var chosen []*peer
	begin := int(xxhash.Sum64String(b.Box)%uint64(max(len(b.peers), 1))) + b.next
	for i := range b.peers {
		p := b.peers[(begin+i)%len(b.peers)]
		switch {
		case now.Before(p.restUntil):
			resting++
		case len(chosen) < n:
			chosen = append(chosen, p)
		}
	}
	if resting >= n && len(chosen) > 1 {
		return chosen[:1]
	}
	return chosen
}

// note takes in what became of a call at another box; one that fails rests, and calls go on to the next.
func (b *Book) note(ctx context.Context, p *peer, err error, log *zap.Logger) {
	failed := errors.Is(err, store.ErrRefused) || errors.Is(err, store.ErrUnknown)
	if failed && errors.Is(ctx.Err(), context.Canceled) {
		return // The caller gave up.
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if failed {
		p.restUntil = time.Now().Add(peerRest)
		b.next++
	}
	if failed != p.resting {
		p.resting = failed
		log.Info("relay: whether another box passes calls on", zap.String("peer", p.box), zap.Bool("passes", !failed), logsink.Error(err))
	}
}
