package relay

import (
	"context"
	"fmt"
	"math"
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

// Book is the addresses of some of the site's boxes: those that follow this one in the order of their rows, which is random, and the fittest of its
// hall. What a box reads and keeps of the others does not grow with their number. Fill in the exported fields before use.
type Book struct {
	Box      string               // Name of this box.
	Hall     string               // Where it is.
	Address  string               // IP:port where it passes on calls; empty for a box that does not.
	Takeover time.Duration        // How long a take-over as scheduler would take it; the boxes are ranked by that.
	Watchers int                  // How many boxes of a hall watch the store for the others.
	Twin     func(address string) // Told where a box of the same name is, once its row is found in place of this one's; nil for nobody.

	announced bool // Its row was written, or may have been.

	mu         sync.Mutex
	peers      []*peer
	next       int          // The peer to begin with; a failure moves it on to the next one.
	candidates []*candidate // The fittest other boxes of the hall that announce themselves, in order.
	ranked     bool         // They were read.
}

// peer is another box.
type peer struct {
	announcement
	restUntil time.Time // It is not called before.
	resting   bool      // Its last call failed.
}

// announcement is what a box tells the others of itself.
type announcement struct {
	box, address string
	hall         string
	written      time.Time // By that box's own time of day.
	takeover     time.Duration
	version      int64 // Of its row.
}

// The rows lie in parts of their own, so that they never wait behind a scheduler's.
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
	// announceRetry is the pause after a failed call; it doubles up to announceRetryMost.
	announceRetry     = time.Second
	announceRetryMost = 8 * time.Second
	// forgetAfter is the age at which the row of a box that is gone is deleted.
	forgetAfter = 10 * time.Minute
	// peerRest is how long a box that could not pass on a call is not asked again.
	peerRest = time.Second
	// neighbours is how many other boxes a box knows to call the store through.
	neighbours = 16
)

// keep writes the box's address and reads the others' until ctx ends.
func (b *Book) keep(ctx context.Context, s store.Store, log *zap.Logger) {
	go b.followCandidates(ctx, s, log)
	if !b.announceUntilTaken(ctx, s, log) {
		return
	}
	interval.Sleep(ctx, announceFirst)
	b.read(ctx, s, log)
	for pause := b.firstPause(); interval.Sleep(ctx, pause); pause = announceEvery {
		b.read(ctx, s, log) // Before the own row is written: another box of this name may have written it since.
		if !b.announceUntilTaken(ctx, s, log) {
			return
		}
	}
}

// firstPause is the time between the first two announcements: boxes that start together announce themselves at different times from then on.
func (b *Book) firstPause() time.Duration { return announceEvery - b.Phase(announceEvery/2) }

// announceUntilTaken announces the box until the store takes it, and reports whether ctx goes on. One without an answer mostly lands, as the store has much to do
// when many boxes start; the next reading tells whether it did.
func (b *Book) announceUntilTaken(ctx context.Context, s store.Store, log *zap.Logger) bool {
	for retry := announceRetry; ctx.Err() == nil; retry = min(2*retry, announceRetryMost) {
		err := b.announce(ctx, s, b.ownKey())
		if err == nil || errors.Is(err, store.ErrUnknown) {
			b.announced = true
			return true
		}
		log.Warn("relay: unable to announce the box's address", logsink.Error(err))
		interval.Sleep(ctx, retry+b.Phase(retry))
	}
	return false
}

// Phase is the share of a time that is this box's own, so that boxes do the same at different times.
func (b *Book) Phase(of time.Duration) time.Duration {
	return time.Duration(float64(of) * float64(b.hash()) / math.MaxUint64)
}

func (b *Book) hash() uint64 { return xxhash.Sum64String(b.Box) }

// ownKey names the box's row. Rows lie in random order, so that those next to each other are of any hall.
func (b *Book) ownKey() store.Key {
	return store.Key{Table: tableBoxes, Part: partBoxes, Name: fmt.Sprintf("%016x/%s", b.hash(), b.Box)}
}

// announce writes a row of the box: its address, when it was written, in Unix milliseconds, how long a take-over would take it, in
// milliseconds, and its hall.
func (b *Book) announce(ctx context.Context, s store.Store, key store.Key) error {
	if b.Address == "" {
		return nil
	}
	value := fmt.Sprintf("%s %d %d %s", b.Address, time.Now().UnixMilli(), b.Takeover.Milliseconds(), b.Hall)
	_, err := s.Commit(ctx, &store.Transaction{Writes: []store.Row{{Key: key, Value: []byte(value)}}, Patient: true})
	return err
}

// read takes in the rows of the boxes next to this one, deletes those of boxes that are long gone, and writes the box's own again where it was lost.
func (b *Book) read(ctx context.Context, s store.Store, log *zap.Logger) {
	rows, err := b.readNeighbours(ctx, s)
	if err != nil {
		log.Warn("relay: unable to read the boxes' addresses", logsink.Error(err))
		return
	}
	var old store.Transaction
	own := false
	found := make([]*peer, 0, len(rows))
	for i := range rows {
		row := &rows[i]
		a := decodeAnnouncement(row)
		switch {
		case a.box == b.Box:
			own = true
			if b.Address != "" && a.address != b.Address && b.Twin != nil {
				b.Twin(a.address)
			}
		case time.Since(a.written) > forgetAfter:
			deleteUnchanged(&old, row)
		default:
			found = append(found, &peer{announcement: a})
		}
	}
	b.take(found, log)
	if !own && b.announced {
		err = b.announce(ctx, s, b.ownKey())
	}
	if err == nil {
		err = deleteRows(ctx, s, &old)
	}
	if err != nil {
		log.Warn("relay: unable to write the boxes' addresses", logsink.Error(err))
	}
}

// readNeighbours reads the own row and those that follow it, from the first one again after the last.
func (b *Book) readNeighbours(ctx context.Context, s store.Store) ([]store.Row, error) {
	own := b.ownKey().Name
	page, err := s.Read(ctx, store.Range{Table: tableBoxes, Part: partBoxes, From: own, Limit: neighbours + 1})
	if err != nil || len(page.Rows) > neighbours {
		return page.Rows, err
	}
	first, err := s.Read(ctx, store.Range{Table: tableBoxes, Part: partBoxes, To: own, Limit: neighbours + 1 - len(page.Rows)})
	return append(page.Rows, first.Rows...), err
}

// deleteUnchanged adds a row to those that are to be deleted if they have not changed.
func deleteUnchanged(tx *store.Transaction, row *store.Row) {
	tx.Conditions = append(tx.Conditions, store.Condition{Key: row.Key, Version: row.Version})
	tx.Deletes = append(tx.Deletes, row.Key)
}

func deleteRows(ctx context.Context, s store.Store, tx *store.Transaction) error {
	if len(tx.Deletes) == 0 {
		return nil
	}
	_, err := s.Commit(ctx, tx)
	var conflict *store.Conflict
	if errors.As(err, &conflict) {
		return nil // Another box was faster.
	}
	return err
}

// decodeAnnouncement returns an empty address and the beginning of time for a row that can't be read.
func decodeAnnouncement(row *store.Row) announcement {
	a := announcement{box: row.Name[strings.LastIndexByte(row.Name, '/')+1:], version: row.Version}
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
			added = append(added, p.box)
			continue
		}
		old.announcement = p.announcement
		found[i] = old
	}
	if len(added) > 0 || len(found) != len(b.peers) {
		log.Info("relay: boxes are known", zap.Int("boxes", len(found)), zap.Strings("new", added))
	}
	b.peers = found
}

// choose returns up to n boxes that are not resting; a single one once n are, as the store is likely out then. Boxes begin with
// different ones, so that those that are cut off together do not all call the same.
func (b *Book) choose(n int) []*peer {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	resting := 0
	var chosen []*peer
	begin := int(b.hash()%uint64(max(len(b.peers), 1))) + b.next
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
