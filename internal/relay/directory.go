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

// PeerDirectory keeps the addresses of some other boxes of the site: those whose rows follow this box's own, and the
// candidates of its hall. The rows lie in random order. A box reads and keeps the same amount however many boxes
// there are. Set the exported fields before use.
type PeerDirectory struct {
	Box          string        // Name of this box.
	Hall         string        // Hall of this box.
	Address      string        // IP:port where it forwards calls; empty if it forwards none.
	TakeoverTime time.Duration // How long this box would need for a takeover as scheduler; ranks the boxes.
	Watchers     int           // Number of boxes of a hall that watch the store for the others.
	// OnDuplicate is called with the address of a duplicate box when its row is found in place of this box's; may be nil.
	OnDuplicate func(address string)

	announced bool // This box's row was written, or may have been.

	mu              sync.Mutex
	peers           []*peer
	firstPeerOffset int          // Number of failed calls; each failure moves the first choice to the next peer.
	candidates      []*candidate // Announced candidates of the hall without this box, best first.
	candidatesKnown bool         // The candidates were read at least once.
}

// peer is another box through which the store can be called.
type peer struct {
	announcement
	retryAt time.Time // This box makes no call through the peer before this time.
	failed  bool      // The last call through the peer failed.
}

// refresh applies a newer row of the same address. The address itself is not written again: calls read it without the
// lock.
func (p *peer) refresh(a *announcement) {
	p.box, p.hall, p.written, p.takeoverTime, p.version = a.box, a.hall, a.written, a.takeoverTime, a.version
}

// announcement is the content of a box's row.
type announcement struct {
	box, address string
	hall         string
	written      time.Time // By that box's own clock.
	takeoverTime time.Duration
	version      int64 // Version of its row.
}

// The rows have parts of their own, so that their transactions never wait behind those of a scheduler.
const (
	tableBoxes = "boxes"
	partBoxes  = "boxes"
	// announcedFields is the number of fields in the value of a row.
	announcedFields = 4
)

const (
	// announceInterval is the pause between two rounds in which a box writes its own address and reads those of the
	// others. Each round costs paid calls to the store, but a box that is cut off needs addresses that are current.
	announceInterval = 20 * time.Second
	// firstReadDelay is the pause before the first read. It gives boxes that start together time to write their rows.
	firstReadDelay = 2 * time.Second
	// announceRetry is the pause after a failed announcement. It doubles with each failure, up to maxAnnounceRetry.
	announceRetry    = time.Second
	maxAnnounceRetry = 8 * time.Second
	// staleRowAge is the age above which the row of another box is deleted.
	staleRowAge = 10 * time.Minute
	// peerBackoff is how long a box gets no further calls after it failed to forward one.
	peerBackoff = time.Second
	// peersKept is the number of other boxes whose addresses a box keeps for forwarding.
	peersKept = 16
)

// run writes this box's address and reads those of the others periodically until ctx ends.
func (b *PeerDirectory) run(ctx context.Context, s store.Store, log *zap.Logger) {
	go b.refreshCandidatesPeriodically(ctx, s, log)
	if !b.announceUntilAccepted(ctx, s, log) {
		return
	}
	interval.Sleep(ctx, firstReadDelay)
	b.refreshPeers(ctx, s, log)
	for pause := b.firstInterval(); interval.Sleep(ctx, pause); pause = announceInterval {
		b.refreshPeers(ctx, s, log) // Before the next write, which would hide the row of a duplicate box.
		if !b.announceUntilAccepted(ctx, s, log) {
			return
		}
	}
}

// firstInterval returns the time between the first two announcements. It depends on the box's name, so that boxes that
// start together announce themselves at different times from then on.
func (b *PeerDirectory) firstInterval() time.Duration {
	return announceInterval - b.Phase(announceInterval/2)
}

// announceUntilAccepted repeats the announcement until the store accepts it. It returns false if ctx ends before that.
// A write without an answer counts as accepted: the store is busy when many boxes start, and mostly carries it out.
// The next read finds out, and writes the row again if it is missing.
func (b *PeerDirectory) announceUntilAccepted(ctx context.Context, s store.Store, log *zap.Logger) bool {
	for retry := announceRetry; ctx.Err() == nil; retry = min(2*retry, maxAnnounceRetry) {
		err := b.announce(ctx, s, b.ownKey())
		if err == nil || errors.Is(err, store.ErrUnknown) {
			b.announced = true
			return true
		}
		log.Warn("relay: unable to write the box's address; retrying", logsink.Error(err))
		interval.Sleep(ctx, retry+b.Phase(retry))
	}
	return false
}

// Phase returns a duration from 0 to period that depends only on the box's name, so that boxes that wait for it don't
// all act at the same time.
func (b *PeerDirectory) Phase(period time.Duration) time.Duration {
	return time.Duration(float64(period) * float64(b.hash()) / math.MaxUint64)
}

func (b *PeerDirectory) hash() uint64 { return xxhash.Sum64String(b.Box) }

// ownKey returns the key of this box's row. The hash in it puts the rows in random order, so that neighbouring rows
// belong to boxes of different halls.
func (b *PeerDirectory) ownKey() store.Key {
	return store.Key{Table: tableBoxes, Part: partBoxes, Name: fmt.Sprintf("%016x/%s", b.hash(), b.Box)}
}

// announce writes a row of this box under key: its address, the time of writing (Unix time in ms), the expected time
// of a takeover (ms) and its hall. It does nothing for a box without an address.
func (b *PeerDirectory) announce(ctx context.Context, s store.Store, key store.Key) error {
	if b.Address == "" {
		return nil
	}
	value := fmt.Sprintf("%s %d %d %s", b.Address, time.Now().UnixMilli(), b.TakeoverTime.Milliseconds(), b.Hall)
	_, err := s.Commit(ctx, &store.Transaction{Writes: []store.Row{{Key: key, Value: []byte(value)}}, Patient: true})
	return err
}

// refreshPeers reads the rows that follow this box's own, deletes the stale ones, and writes this box's row again if it
// is missing.
func (b *PeerDirectory) refreshPeers(ctx context.Context, s store.Store, log *zap.Logger) {
	rows, err := b.readPeerRows(ctx, s)
	if err != nil {
		log.Warn("relay: unable to read the addresses of other boxes; keeping the known ones", logsink.Error(err))
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
			if b.Address != "" && a.address != b.Address && b.OnDuplicate != nil {
				b.OnDuplicate(a.address)
			}
		case time.Since(a.written) > staleRowAge:
			deleteUnchanged(&old, row)
		default:
			found = append(found, &peer{announcement: a})
		}
	}
	b.replacePeers(found, log)
	if !own && b.announced {
		err = b.announce(ctx, s, b.ownKey())
	}
	if err == nil {
		err = deleteRows(ctx, s, &old)
	}
	if err != nil {
		log.Warn("relay: unable to restore the box's address or to delete stale ones; retrying at the next interval", logsink.Error(err))
	}
}

// readPeerRows reads this box's row and the peersKept rows that follow it. After the last row it continues with the
// first.
func (b *PeerDirectory) readPeerRows(ctx context.Context, s store.Store) ([]store.Row, error) {
	own := b.ownKey().Name
	page, err := s.Read(ctx, store.Range{Table: tableBoxes, Part: partBoxes, From: own, Limit: peersKept + 1})
	if err != nil || len(page.Rows) > peersKept {
		return page.Rows, err
	}
	first, err := s.Read(ctx, store.Range{Table: tableBoxes, Part: partBoxes, To: own, Limit: peersKept + 1 - len(page.Rows)})
	return append(page.Rows, first.Rows...), err
}

// deleteUnchanged adds the deletion of a row to tx, on condition that the row has not changed.
func deleteUnchanged(tx *store.Transaction, row *store.Row) {
	tx.Conditions = append(tx.Conditions, store.Condition{Key: row.Key, Version: row.Version})
	tx.Deletes = append(tx.Deletes, row.Key)
}

// deleteRows commits the deletions in tx, if any. A conflict is no error: another box has changed or deleted the rows.
func deleteRows(ctx context.Context, s store.Store, tx *store.Transaction) error {
	if len(tx.Deletes) == 0 {
		return nil
	}
	_, err := s.Commit(ctx, tx)
	var conflict *store.Conflict
	if errors.As(err, &conflict) {
		return nil // Another box has changed or deleted them.
	}
	return err
}

// decodeAnnouncement decodes a row. For a malformed value it returns an announcement with just the name of the box and
// the version; its zero time makes the row count as stale.
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
	a.address, a.written, a.takeoverTime, a.hall = fields[0], time.UnixMilli(at), time.Duration(takeover)*time.Millisecond, fields[3]
	return a
}

// replacePeers replaces the list of peers, and keeps the call results of those that were in it before.
func (b *PeerDirectory) replacePeers(found []*peer, log *zap.Logger) {
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
		old.refresh(&p.announcement)
		found[i] = old
	}
	if len(added) > 0 || len(found) != len(b.peers) {
		log.Info("relay: the list of known boxes changed", zap.Int("boxes", len(found)), zap.Strings("new", added))
	}
	b.peers = found
}

// choosePeers returns up to n peers that are not backing off. If n or more are backing off, the store itself is likely
// unreachable, and it returns at most one. Each box starts at a different peer, so that boxes that are cut off together
// don't all call the same one.
func (b *PeerDirectory) choosePeers(n int) []*peer {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	backingOff := 0
	var chosen []*peer
	begin := int(b.hash()%uint64(max(len(b.peers), 1))) + b.firstPeerOffset
	for i := range b.peers {
		p := b.peers[(begin+i)%len(b.peers)]
		switch {
		case now.Before(p.retryAt):
			backingOff++
		case len(chosen) < n:
			chosen = append(chosen, p)
		}
	}
	if backingOff >= n && len(chosen) > 1 {
		return chosen[:1]
	}
	return chosen
}

// recordResult records the outcome of a call through a peer. After a failure the peer is not called for peerBackoff,
// and the next call starts at the following peer.
func (b *PeerDirectory) recordResult(ctx context.Context, p *peer, err error, log *zap.Logger) {
	failed := store.IsFailure(err)
	if failed && errors.Is(ctx.Err(), context.Canceled) {
		return // The caller gave up.
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if failed {
		p.retryAt = time.Now().Add(peerBackoff)
		b.firstPeerOffset++
	}
	if failed != p.failed {
		p.failed = failed
		log.Info("relay: another box started or stopped forwarding calls", zap.String("peer", p.box), zap.Bool("passes", !failed), logsink.Error(err))
	}
}
