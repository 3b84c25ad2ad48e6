package table

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/interval"
	"github.com/rs/xid"
	"golang.org/x/time/rate"
)

// Priority orders what waits for the table; lower values go first.
type Priority int

// The priorities of the table budget.
const (
	Settle  Priority = iota // Outcomes of what ran.
	Reclaim                 // Giving guarantees back and operators' commands.
	Start                   // Placements.
	Accept                  // New requests.
	Note                    // Records of repeatable requests whose callers were told already.
	priorities
)

// ErrQueueFull says that an operation was refused before anything was sent.
var ErrQueueFull = errors.New("table: too much waits for the table, nothing was done")

// Limits of the committer that are no settings.
const (
	maxRowsPerTxn   = 100
	firstBackoff    = 20 * time.Millisecond
	maxBackoff      = 2 * time.Second
	commitTimeout   = 2 * time.Second
	commitsInFlight = 4
	// abandonGrace is how long an owner that gave up waits for an operation that is being sent.
	abandonGrace = 200 * time.Millisecond
	// maxWaiting bounds the acceptances that wait; settlements are bounded by what was accepted.
	maxWaiting = 4096
)

// Op is one all-or-nothing change; each row that it writes must be among its checks.
type Op struct {
	Priority Priority
	Checks   []Check
	Writes   []Write
}

// Committer groups the operations of one box into few transactions under a budget.
type Committer struct {
	Service Service
	Limiter *rate.Limiter // Transactions a second; nil means no limit.

	mu      sync.Mutex
	waiting [priorities][]*pending
	count   int
	wake    chan struct{}
	once    sync.Once

	Stats CommitStats
}

// CommitStats counts what the committer did.
type CommitStats struct {
	mu        sync.Mutex
	Txns      int64 // Transactions sent, retries included.
	Rows      int64 // Rows written by transactions that were applied.
	Conflicts int64 // Operations that met another version.
	Unknown   int64 // Transactions whose first answer was lost.
}

// Snapshot returns a copy of the counts.
func (s *CommitStats) Snapshot() (txns, rows, conflicts, unknown int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Txns, s.Rows, s.Conflicts, s.Unknown
}

func (s *CommitStats) add(txns, rows, conflicts, unknown int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Txns += txns
	s.Rows += rows
	s.Conflicts += conflicts
	s.Unknown += unknown
}

type pending struct {
	Op
	ctx  context.Context
	done chan result
}

// result is the end of an operation.
type result struct {
	revision int64
	err      error
}

// Do commits one operation and returns the revision that its rows have now. The error is a *Conflict, ErrUnavailable
// or ErrQueueFull where surely nothing was written, and ErrUnknown where ctx ended while the outcome was open; the
// operation may then still be applied later.
func (c *Committer) Do(ctx context.Context, op Op) (int64, error) {
	c.init()
	p := &pending{Op: op, ctx: ctx, done: make(chan result, 1)}
	c.mu.Lock()
	if op.Priority == Accept && len(c.waiting[Accept]) >= maxWaiting {
		c.mu.Unlock()
		return 0, ErrQueueFull
	}
	c.waiting[op.Priority] = append(c.waiting[op.Priority], p)
	c.count++
	c.mu.Unlock()
	c.signal()
	select {
	case r := <-p.done:
		return r.revision, r.err
	case <-ctx.Done():
		return c.abandon(p)
	}
}

// Waiting returns how many operations wait to be sent.
func (c *Committer) Waiting() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count
}

// Run sends what waits until ctx ends.
func (c *Committer) Run(ctx context.Context) {
	c.init()
	var group sync.WaitGroup
	for range commitsInFlight {
		group.Go(func() { c.loop(ctx) })
	}
	group.Wait()
}

func (c *Committer) init() {
	c.once.Do(func() { c.wake = make(chan struct{}, commitsInFlight) })
}

func (c *Committer) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// abandon takes back an operation that waits. One that is being sent has a moment to come back, either with its outcome
// or because the service surely did nothing; after that it is unknown to its owner.
func (c *Committer) abandon(p *pending) (int64, error) {
	if c.takeBack(p) {
		return 0, ErrUnavailable
	}
	over, stop := interval.After(abandonGrace)
	defer stop()
	select {
	case r := <-p.done:
		return r.revision, r.err
	case <-over:
	}
	if c.takeBack(p) {
		return 0, ErrUnavailable
	}
	return 0, ErrUnknown
}

func (c *Committer) takeBack(p *pending) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	queue := c.waiting[p.Priority]
	for i, q := range queue {
		if q == p {
			c.waiting[p.Priority] = append(queue[:i:i], queue[i+1:]...)
			c.count--
			return true
		}
	}
	return false
}

func (c *Committer) loop(ctx context.Context) {
	backoff := firstBackoff
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		}
		for c.Waiting() > 0 {
			if c.Limiter != nil && c.Limiter.Wait(ctx) != nil {
				return
			}
			batch := c.take()
			if len(batch) == 0 {
				break
			}
			if c.send(ctx, batch) {
				backoff = firstBackoff
				continue
			}
			if !interval.Sleep(ctx, backoff/2+rand.N(backoff)) {
				return
			}
			backoff = min(2*backoff, maxBackoff)
		}
	}
}

// take removes the next group: by priority, no row twice, at most maxRowsPerTxn rows.
func (c *Committer) take() []*pending {
	c.mu.Lock()
	defer c.mu.Unlock()
	var batch []*pending
	rows := 0
	used := map[string]bool{}
	for i, queue := range c.waiting {
		var rest []*pending
		for _, p := range queue {
			if rows+len(p.Writes) > maxRowsPerTxn && rows > 0 || overlaps(used, p.Op) {
				rest = append(rest, p)
				continue
			}
			mark(used, p.Op)
			rows += len(p.Writes)
			batch = append(batch, p)
		}
		c.waiting[i] = rest
	}
	c.count -= len(batch)
	return batch
}

func overlaps(used map[string]bool, op Op) bool {
	for _, k := range op.Checks {
		if used[k.Key] {
			return true
		}
	}
	return false
}

func mark(used map[string]bool, op Op) {
	for _, k := range op.Checks {
		used[k.Key] = true
	}
}

// send commits a group; operations in conflict leave it and the others are sent again. It returns false where the
// service surely did nothing; the operations wait again then, so that their owners may still take them back.
func (c *Committer) send(ctx context.Context, batch []*pending) bool {
	for len(batch) > 0 {
		txn := Txn{ID: xid.New().String()}
		for _, p := range batch {
			txn.Checks = append(txn.Checks, p.Checks...)
			txn.Writes = append(txn.Writes, p.Writes...)
		}
		revision, err := c.settle(ctx, txn)
		var conflict *Conflict
		switch {
		case err == nil:
			c.Stats.add(0, int64(len(txn.Writes)), 0, 0)
			finish(batch, result{revision, nil})
			return true
		case errors.As(err, &conflict):
			batch = c.split(batch, conflict)
		case errors.Is(err, ErrUnavailable):
			c.putBack(batch)
			return false
		default:
			finish(batch, result{0, err})
			return true
		}
	}
	return true
}

// putBack lets the operations of a group wait again, before those that came later.
func (c *Committer) putBack(batch []*pending) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var groups [priorities][]*pending
	for _, p := range batch {
		if p.ctx.Err() != nil { // Its owner has left, or is about to, and is told that nothing was done.
			p.done <- result{0, ErrUnavailable}
			continue
		}
		groups[p.Priority] = append(groups[p.Priority], p)
		c.count++
	}
	for i, g := range groups {
		c.waiting[i] = append(g, c.waiting[i]...)
	}
}

// split answers the operations in conflict and returns the others.
func (c *Committer) split(batch []*pending, conflict *Conflict) []*pending {
	lost := map[string]bool{}
	for _, k := range conflict.Keys {
		lost[k] = true
	}
	var rest []*pending
	for _, p := range batch {
		if overlaps(lost, p.Op) {
			p.done <- result{0, conflict}
			continue
		}
		rest = append(rest, p)
	}
	c.Stats.add(0, 0, int64(len(batch)-len(rest)), 0)
	if len(rest) == len(batch) { // A conflict that names no row of ours would repeat for ever.
		finish(batch, result{0, conflict})
		return nil
	}
	return rest
}

// settle sends one transaction until its outcome is known or ctx ends. The same id is sent again after a lost
// answer: because every written row is checked, it can be applied once only, and a conflict that the first
// sending caused is told apart by the id in the rows.
func (c *Committer) settle(ctx context.Context, txn Txn) (int64, error) {
	backoff := firstBackoff
	unsure := false
	for {
		revision, err := c.try(ctx, txn)
		var conflict *Conflict
		switch {
		case err == nil:
			return revision, nil
		case errors.As(err, &conflict):
			if !unsure {
				return 0, err
			}
			revision, readErr := c.applied(ctx, txn)
			if readErr == nil && revision > 0 {
				return revision, nil
			}
			if readErr == nil {
				return 0, err
			}
		case errors.Is(err, ErrUnavailable):
			if !unsure {
				return 0, ErrUnavailable
			}
		default:
			c.Stats.add(0, 0, 0, 1)
			unsure = true
		}
		if !interval.Sleep(ctx, backoff/2+rand.N(backoff)) {
			return 0, ErrUnknown
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

func (c *Committer) try(ctx context.Context, txn Txn) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	c.Stats.add(1, 0, 0, 0)
	return c.Service.Commit(ctx, txn)
}

// applied reads back the revision at which an earlier sending of txn was applied, or 0.
func (c *Committer) applied(ctx context.Context, txn Txn) (int64, error) {
	keys := make([]string, len(txn.Writes))
	for i, w := range txn.Writes {
		keys[i] = w.Key
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	rows, err := c.Service.Read(ctx, keys)
	if err != nil {
		return 0, err
	}
	for _, r := range rows {
		if r.Txn == txn.ID {
			return r.Version, nil
		}
	}
	return 0, nil
}

func finish(batch []*pending, r result) {
	for _, p := range batch {
		p.done <- r
	}
}
