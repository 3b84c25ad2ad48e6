package emulator

import (
	"cmp"
	"context"
	"encoding/base64"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/interval"
	"github.com/pulleyring/pulleyring/internal/store"
)

// Store emulates the platform's store. Make it with NewStore.
type Store struct {
	mu            sync.Mutex
	random        *rand.Rand
	version       int64
	rows          map[store.Key]map[string]store.Row // By table and part, then by name.
	history       []store.Row                        // All changes, in order.
	oldestVersion int64                              // Feeds that begin before this version are refused.
	changed       chan struct{}

	latency      time.Duration
	commitDelay  time.Duration // Extra time that a transaction takes.
	outage       outageMode
	cut          map[string]outageMode // By box.
	lossRate     float64               // Share of writes that take effect but get no answer.
	feedsStalled bool                  // Feeds deliver no changes.
	failedParts  map[string]bool       // Parts whose calls get no answer and have no effect.

	rowBytes     int                  // Maximum size of a row's value; 0 for maxRowBytes.
	rowTime      time.Duration        // Time to transfer a row over a box's link.
	linkIdleAt   map[string]time.Time // By box: the time at which its link becomes idle.
	reads        map[string]int       // Answered reads, by table.
	queueEmptyAt map[string]time.Time // By part: the time at which its queue of transactions becomes empty.
}

// outageMode is the way in which the store fails.
type outageMode int

const (
	available outageMode = iota
	busy
	silent
)

// storeLatency is the time that a transaction takes, as the platform's pages give it.
const storeLatency = 5 * time.Millisecond

// NewStore returns an empty store; seed determines its random faults.
func NewStore(seed uint64) *Store {
	return &Store{
		random: rand.New(rand.NewPCG(seed, 1)), rows: map[store.Key]map[string]store.Row{}, changed: make(chan struct{}),
		cut: map[string]outageMode{}, latency: storeLatency, queueEmptyAt: map[string]time.Time{}, linkIdleAt: map[string]time.Time{}, reads: map[string]int{},
	}
}

// SetBusy makes the store refuse every call.
func (s *Store) SetBusy() { s.update(func() { s.outage = busy }) }

// SetSilent makes the store answer no call and carry out none.
func (s *Store) SetSilent() { s.update(func() { s.outage = silent }) }

// SetUp ends outages, cuts, slowness, lost answers and stalled feeds.
func (s *Store) SetUp() {
	s.update(func() {
		s.outage, s.latency, s.lossRate, s.cut, s.feedsStalled = available, storeLatency, 0, map[string]outageMode{}, false
		s.failedParts, s.commitDelay = nil, 0
	})
}

// SetLatency sets how long a call takes.
func (s *Store) SetLatency(d time.Duration) { s.update(func() { s.latency = d }) }

// SetCommitDelay sets the extra time that a transaction takes.
func (s *Store) SetCommitDelay(d time.Duration) { s.update(func() { s.commitDelay = d }) }

// SetRowTime sets the time to transfer a row over a box's link to the store. Answers arrive in the order in which the
// store sent them.
func (s *Store) SetRowTime(perRow time.Duration) { s.update(func() { s.rowTime = perRow }) }

// transfer waits until a box's link has transferred an answer with a number of rows.
func (s *Store) transfer(ctx context.Context, box string, rows int) error {
	s.mu.Lock()
	now := time.Now()
	if s.linkIdleAt[box].Before(now) {
		s.linkIdleAt[box] = now
	}
	s.linkIdleAt[box] = s.linkIdleAt[box].Add(time.Duration(rows) * s.rowTime)
	wait := s.linkIdleAt[box].Sub(now)
	s.mu.Unlock()
	if wait > 0 && !interval.Sleep(ctx, wait) {
		return store.ErrUnknown
	}
	return nil
}

// SetLossRate sets the share of writes that take effect but get no answer.
func (s *Store) SetLossRate(share float64) { s.update(func() { s.lossRate = share }) }

// Cut makes the store answer no call of a box.
func (s *Store) Cut(box string) { s.update(func() { s.cut[box] = silent }) }

// Refuse makes the store refuse one box's calls.
func (s *Store) Refuse(box string) { s.update(func() { s.cut[box] = busy }) }

// FailPart makes the calls of one part fail without an answer and without effect; feeds continue.
func (s *Store) FailPart(part string) {
	s.update(func() {
		if s.failedParts == nil {
			s.failedParts = map[string]bool{}
		}
		s.failedParts[part] = true
	})
}

// partError returns the error of a call to a failed part, as after a reset connection; nil if the part works.
func (s *Store) partError(part string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failedParts[part] {
		return store.ErrUnknown
	}
	return nil
}

// StallFeeds makes feeds deliver no changes, as before a loss of history.
func (s *Store) StallFeeds() { s.update(func() { s.feedsStalled = true }) }

// Rows returns the number of rows of a table.
func (s *Store) Rows(table string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for part, rows := range s.rows {
		if part.Table == table {
			n += len(rows)
		}
	}
	return n
}

// partKey returns the key of a row without its name.
func partKey(k store.Key) store.Key { return store.Key{Table: k.Table, Part: k.Part} }

// Parts lists the non-empty parts of a table that come after a given part, in order.
func (s *Store) Parts(table, after string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	parts := map[string]bool{}
	for part, rows := range s.rows {
		if part.Table == table && part.Part > after && len(rows) > 0 {
			parts[part.Part] = true
		}
	}
	return slices.Sorted(maps.Keys(parts))
}

// Reads returns the number of answered reads of a table.
func (s *Store) Reads(table string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads[table]
}

// Compact drops the history, so that feeds must start again.
func (s *Store) Compact() { s.update(func() { s.oldestVersion, s.history = s.version, nil }) }

// CommitAsOperator carries out a transaction of the operator, whose connection to the store never fails.
func (s *Store) CommitAsOperator(tx *store.Transaction) { s.update(func() { s.change(tx) }) }

func (s *Store) update(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// For returns the store as one box sees it.
func (s *Store) For(box string, gate *Gate) store.Store { return &storeView{s, box, gate} }

type storeView struct {
	store *Store
	box   string
	gate  *Gate
}

// callTimeout bounds a call, with the value of the real adapter.
const callTimeout = 1200 * time.Millisecond

// begin applies the store's latency and faults to a call. It returns the call's context with its timeout, and an
// error if the call fails.
func (v *storeView) begin(ctx context.Context, wait time.Duration) (context.Context, context.CancelFunc, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout+wait)
	if !v.gate.pass(ctx) {
		return ctx, cancel, store.ErrUnknown
	}
	v.store.mu.Lock()
	o, latency := max(v.store.outage, v.store.cut[v.box]), v.store.latency
	v.store.mu.Unlock()
	switch o {
	case busy:
		return ctx, cancel, store.ErrRefused
	case silent:
		<-ctx.Done()
		return ctx, cancel, store.ErrUnknown
	}
	if wait > 0 {
		latency = storeLatency
	}
	if !interval.Sleep(ctx, latency) {
		return ctx, cancel, store.ErrUnknown
	}
	return ctx, cancel, nil
}

// maxQueue is the time that queued transactions of a part may take before the part refuses more.
const maxQueue = time.Second

// waitInQueue waits until the part has finished earlier transactions; it returns store.ErrRefused if its queue is
// full.
func (s *Store) waitInQueue(ctx context.Context, part string) error {
	s.mu.Lock()
	now := time.Now()
	begin := now
	if s.queueEmptyAt[part].After(now) {
		begin = s.queueEmptyAt[part]
	}
	if begin.Sub(now) > maxQueue {
		s.mu.Unlock()
		return store.ErrRefused
	}
	wait := begin.Sub(now) + s.commitDelay
	s.queueEmptyAt[part] = begin.Add(s.latency)
	s.mu.Unlock()
	if !interval.Sleep(ctx, wait) {
		return store.ErrUnknown
	}
	return nil
}

// partOf returns the part that a transaction changes.
func partOf(tx *store.Transaction) string {
	for _, w := range tx.Writes {
		return w.Part
	}
	for _, d := range tx.Deletes {
		return d.Part
	}
	return ""
}

// Limits of the platform's store, by its documentation.
const (
	maxRowBytes         = 65536
	maxKeyBytes         = 200
	maxTransactionRows  = 100
	maxTransactionBytes = 1 << 20
	maxPageRows         = 500
	maxPageBytes        = 1 << 20
	maxTables           = 100
	rowOverhead         = 64 // Of a row in a body, beside its key and value.
)

// SetRowBytes sets the maximum size of a row's value.
func (s *Store) SetRowBytes(n int) { s.update(func() { s.rowBytes = n }) }

// encodedBytes returns the size of a row in a body, where the value is encoded as base64.
func encodedBytes(r *store.Row) int {
	return rowOverhead + len(r.Table) + len(r.Part) + len(r.Name) + base64.StdEncoding.EncodedLen(len(r.Value))
}

// excess returns a store.ErrInvalid that tells which limit a transaction exceeds; nil if it exceeds none.
func (s *Store) excess(tx *store.Transaction) error {
	size, part := 0, partOf(tx)
	if n := len(tx.Conditions) + len(tx.Writes) + len(tx.Deletes); n > maxTransactionRows {
		return errors.WithMessagef(store.ErrInvalid, "%d rows", n)
	}
	check := func(r *store.Row) error {
		size += encodedBytes(r)
		switch {
		case r.Part != part:
			return errors.WithMessagef(store.ErrInvalid, "parts %q and %q", part, r.Part)
		case len(r.Name) > maxKeyBytes:
			return errors.WithMessagef(store.ErrInvalid, "a key of %d bytes", len(r.Name))
		case len(r.Value) > s.maxRowBytes():
			return errors.WithMessagef(store.ErrInvalid, "a row of %d bytes in %s", len(r.Value), r.Table)
		}
		return nil
	}
	for i := range tx.Writes {
		if err := check(&tx.Writes[i]); err != nil {
			return err
		}
	}
	for _, c := range tx.Conditions {
		if err := check(&store.Row{Key: c.Key}); err != nil {
			return err
		}
	}
	for _, k := range tx.Deletes {
		if err := check(&store.Row{Key: k}); err != nil {
			return err
		}
	}
	if size > maxTransactionBytes {
		return errors.WithMessagef(store.ErrInvalid, "a transaction of %d bytes", size)
	}
	return s.excessTables(tx)
}

func (s *Store) maxRowBytes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return cmp.Or(s.rowBytes, maxRowBytes)
}

// excessTables returns a store.ErrInvalid if a transaction makes a table beyond the limit.
func (s *Store) excessTables(tx *store.Transaction) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	tables := map[string]bool{}
	for part := range s.rows {
		tables[part.Table] = true
	}
	for i := range tx.Writes {
		tables[tx.Writes[i].Table] = true
	}
	if len(tables) > maxTables {
		return errors.WithMessagef(store.ErrInvalid, "%d tables", len(tables))
	}
	return nil
}

// Commit implements store.Store.
func (v *storeView) Commit(ctx context.Context, tx *store.Transaction) (int64, error) {
	ctx, cancel, err := v.begin(ctx, 0)
	defer cancel()
	if err != nil {
		return 0, err
	}
	if err := v.store.partError(partOf(tx)); err != nil {
		return 0, err
	}
	if err := v.store.waitInQueue(ctx, partOf(tx)); err != nil {
		return 0, err
	}
	if err := v.store.excess(tx); err != nil {
		return 0, err
	}
	version, conflict, lost := v.store.apply(tx)
	if lost {
		<-ctx.Done()
		return 0, store.ErrUnknown
	}
	if err := v.store.transfer(ctx, v.box, 0); err != nil {
		return 0, err
	}
	if conflict != nil {
		return 0, conflict
	}
	if !v.gate.pass(ctx) {
		return 0, store.ErrUnknown
	}
	return version, nil
}

func (s *Store) apply(tx *store.Transaction) (version int64, conflict *store.Conflict, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost = s.random.Float64() < s.lossRate
	holds := true
	c := &store.Conflict{}
	for _, condition := range tx.Conditions {
		row, ok := s.rows[partKey(condition.Key)][condition.Name]
		if ok {
			c.Rows = append(c.Rows, row)
		}
		holds = holds && row.Version == condition.Version
	}
	if !holds {
		return 0, c, lost
	}
	return s.change(tx), nil, lost
}

// change applies a transaction without checking its conditions and returns its version. The caller holds the lock.
func (s *Store) change(tx *store.Transaction) int64 {
	s.version++
	for _, w := range tx.Writes {
		w.Version = s.version
		part := partKey(w.Key)
		if s.rows[part] == nil {
			s.rows[part] = map[string]store.Row{}
		}
		s.rows[part][w.Name] = w
		s.history = append(s.history, w)
	}
	for _, key := range tx.Deletes {
		if part := partKey(key); s.rows[part][key.Name].Version != 0 {
			delete(s.rows[part], key.Name)
			s.history = append(s.history, store.Row{Key: key, Version: s.version, Deleted: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version
}

// Read implements store.Store.
func (v *storeView) Read(ctx context.Context, r store.Range) (store.Page, error) {
	ctx, cancel, err := v.begin(ctx, 0)
	defer cancel()
	if err != nil {
		return store.Page{}, err
	}
	if err := v.store.partError(r.Part); err != nil {
		return store.Page{}, err
	}
	page := v.store.page(r)
	return page, v.store.transfer(ctx, v.box, len(page.Rows))
}

// page returns the current rows of a range.
func (s *Store) page(r store.Range) store.Page {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads[r.Table]++
	page := store.Page{Version: s.version}
	for name, row := range s.rows[store.Key{Table: r.Table, Part: r.Part}] {
		if name >= r.From && (r.To == "" || name < r.To) {
			page.Rows = append(page.Rows, row)
		}
	}
	slices.SortFunc(page.Rows, func(x, y store.Row) int {
		if x.Name < y.Name {
			return -1
		}
		return 1
	})
	limit := maxPageRows
	if r.Limit > 0 {
		limit = min(limit, r.Limit)
	}
	for i, size := 0, 0; i < len(page.Rows); i++ {
		if size += encodedBytes(&page.Rows[i]); i > 0 && size > maxPageBytes || i >= limit {
			page.Rows, page.More = page.Rows[:i], true
		}
	}
	return page
}

// Watch implements store.Store.
func (v *storeView) Watch(ctx context.Context, table string, since int64, wait time.Duration) (store.Page, error) {
	ctx, cancel, err := v.begin(ctx, wait)
	defer cancel()
	if err != nil {
		return store.Page{}, err
	}
	timeout, stop := interval.After(wait)
	defer stop()
	for {
		page, changed, gone := v.store.since(table, since)
		if gone {
			return store.Page{}, store.ErrHistoryGone
		}
		if len(page.Rows) > 0 {
			return page, nil
		}
		select {
		case <-ctx.Done():
			return store.Page{}, store.ErrUnknown
		case <-timeout:
			return page, nil
		case <-changed:
		}
	}
}

func (s *Store) since(table string, since int64) (page store.Page, changed <-chan struct{}, gone bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if since < s.oldestVersion {
		return store.Page{}, nil, true
	}
	page.Version = s.version
	if s.feedsStalled {
		return page, s.changed, false
	}
	first, _ := slices.BinarySearchFunc(s.history, since+1, func(row store.Row, version int64) int { return cmp.Compare(row.Version, version) })
	for i := range s.history[first:] {
		if row := &s.history[first+i]; row.Table == table {
			page.Rows = append(page.Rows, *row)
		}
	}
	return page, s.changed, false
}
