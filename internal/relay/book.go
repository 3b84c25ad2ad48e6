package relay

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/interval"
	"github.com/pulleyring/pulleyring/internal/logsink"
	"github.com/pulleyring/pulleyring/internal/store"
	"go.uber.org/zap"
)

// Book is the addresses of the site's boxes. Each box keeps a row with its own in the store and reads those of the others.
// Fill in the exported fields before use.
type Book struct {
	Box     string // Name of this box.
	Address string // IP:port where it passes on calls; empty for a box that does not.

	mu    sync.Mutex
	peers []*peer
	next  int // The peer to begin with; a failure moves it on to the next one.
}

// peer is another box.
type peer struct {
	box, address string
	restUntil    time.Time // It is not called before.
	resting      bool      // Its last call failed.
}

// The rows lie in a part of their own, so that they never wait behind a scheduler's.
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
	value := b.Address + " " + strconv.FormatInt(time.Now().UnixMilli(), 10)
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
		address, written := decodeAddress(row.Value)
		switch {
		case row.Name == b.Box:
		case time.Since(written) > forgetAfter:
			old.Conditions = append(old.Conditions, store.Condition{Key: row.Key, Version: row.Version})
			old.Deletes = append(old.Deletes, row.Key)
		default:
			found = append(found, &peer{box: row.Name, address: address})
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

// decodeAddress returns an empty address and the beginning of time for a row that can't be read.
func decodeAddress(value []byte) (string, time.Time) {
	address, at, _ := strings.Cut(string(value), " ")
	ms, err := strconv.ParseInt(at, 10, 64)
	if err != nil {
		return "", time.Time{}
	}
	return address, time.UnixMilli(ms)
}

// take replaces the list of boxes; what is known of those that stay is kept.
func (b *Book) take(found []*peer, log *zap.Logger) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := map[string]*peer{}
	for _, p := range b.peers {
		known[p.address] = p
	}
	for i, p := range found {
		if old := known[p.address]; old != nil {
			found[i] = old
			continue
		}
		log.Info("relay: another box is known", zap.String("peer", p.box), zap.String("address", p.address))
	}
	b.peers = found
}

// choose returns up to n boxes that are not resting.
func (b *Book) choose(n int) []*peer {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	var chosen []*peer
	for i := range b.peers {
		p := b.peers[(b.next+i)%len(b.peers)]
		if now.After(p.restUntil) && len(chosen) < n {
			chosen = append(chosen, p)
		}
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
