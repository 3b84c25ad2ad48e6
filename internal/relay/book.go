package relay

import (
	"cmp"
	"context"
	"fmt"
	"slices"
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
	Box      string               // Name of this box.
	Hall     string               // Where it is.
	Address  string               // IP:port where it passes on calls; empty for a box that does not.
	Takeover time.Duration        // How long a take-over as scheduler would take it; the boxes are ranked by that.
	Twin     func(address string) // Told where a box of the same name is, once its row is found in place of this one's; nil for nobody.

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
	hall         string
	written      time.Time // By that box's own time of day.
	takeover     time.Duration
	version      int64 // Of its row.
}

const (
	tableBoxes = "boxes"
	partBoxes  = "boxes"
	// announcedFields is how many fields a row has.
	announcedFields = 4
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

// announce writes the box's row: its address, when it was written, in Unix milliseconds, how long a take-over would take it, in
// milliseconds, and its hall.
func (b *Book) announce(ctx context.Context, s store.Store) error {
	if b.Address == "" {
		return nil
	}
	value := fmt.Sprintf("%s %d %d %s", b.Address, time.Now().UnixMilli(), b.Takeover.Milliseconds(), b.Hall)
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
			if b.Address != "" && a.address != b.Address && b.Twin != nil {
				b.Twin(a.address)
			}
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
	fields := strings.SplitN(string(row.Value), " ", announcedFields)
	if len(fields) < announcedFields {
		return a
	}
	at, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return a
	}
	takeover, err := strconv.ParseInt(fields[2], 10, 64)
	if err != nil {
		return a
	}
	a.address, a.written, a.takeover, a.hall = fields[0], time.UnixMilli(at), time.Duration(takeover)*time.Millisecond, fields[3]
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

// Rank is the number of boxes that come before this one as schedulers, of those that have renewed their rows lately: the fittest of
// each hall first, then the next of each, and so on; equally fit ones by their names. With the fittest of all halls taken together the
// first ones were all of one hall among boxes of a kind, and once that was lost nothing began for 3.0 s instead of 1.3 s (script hall_lost).
func (b *Book) Rank() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	live := []announcement{{box: b.Box, hall: b.Hall, takeover: b.Takeover}}
	for _, p := range b.peers {
		if time.Since(p.renewed) <= presumedGone {
			live = append(live, p.announcement)
		}
	}
	slices.SortFunc(live, func(x, y announcement) int {
		return cmp.Or(cmp.Compare(x.takeover, y.takeover), cmp.Compare(x.box, y.box))
	})
	inHall := map[string]int{}
	ranks := make([]int, len(live))
	own := 0
	for i := range live {
		ranks[i] = inHall[live[i].hall]
		inHall[live[i].hall]++
		if live[i].box == b.Box {
			own = i
		}
	}
	before := 0
	for i := range live {
		if ranks[i] < ranks[own] || ranks[i] == ranks[own] && i < own {
			before++
		}
	}
	return before
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
