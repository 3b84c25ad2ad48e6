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

// Priority is the priority of a queued operation; lower values are sent first.
type Priority int

// Priorities of operations, highest first.
const (
	Settle  Priority = iota // Outcomes of requests that ran.
	Reclaim                 // Returning borrowed capacity to its guarantee, and operators' commands.
	Start                   // Placements.
	Accept                  // New requests.
	Note                    // Records of repeatable requests whose callers already have the outcome.
	priorityCount
)

// ErrQueueFull is returned for an operation that is refused because the queue is full; nothing was sent.
var ErrQueueFull = errors.New("table: too much waits for the table, nothing was done")

// Limits of the committer that are not configurable.
const (
	maxRowsPerTxn   = 100 // Rows written by one transaction.
	firstBackoff    = 20 * time.Millisecond
	maxBackoff      = 2 * time.Second
	commitTimeout   = 2 * time.Second // Of one call to the table.
	commitsInFlight = 4               // Transactions that a box sends at the same time.
	// abandonGrace is how long a caller whose context ended still waits for an operation that is being sent.
	abandonGrace = 200 * time.Millisecond
	// maxWaiting is the largest number of queued operations of priority Accept. Settlements need no limit of their
	// own: there are never more of them than accepted requests.
	maxWaiting = 4096
)

// Op is a set of writes that are applied together or not at all. Every row that it writes must be among its checks.
type Op struct {
	Priority Priority
	Checks   []Check
	Writes   []Write
}

// Committer batches the operations of one box into transactions and limits the rate of transactions.
type Committer struct {
	Service Service
	Limiter *rate.Limiter // Transactions a second; nil means no limit.

	mu      sync.Mutex
	waiting [priorityCount][]*queuedOp
	queued  int
	wake    chan struct{}
	once    sync.Once

	Stats CommitStats
}

// CommitStats holds the counters of a Committer.
type CommitStats struct {
	mu        sync.Mutex
	Txns      int64 // Transactions sent, retries included.
	Rows      int64 // Rows written by transactions that were applied.
	Conflicts int64 // Operations refused because a row had another version.
	Unknown   int64 // Attempts to commit after which the outcome was unknown.
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

// queuedOp is an operation that is queued or being sent.
type queuedOp struct {
	Op
	ctx  context.Context
	done chan result
}

// result is the outcome of an operation.
type result struct {
	revision int64
	err      error
}

// Do commits one operation and returns the new revision of its rows. After a *Conflict, ErrUnavailable or
// ErrQueueFull nothing was written. ErrUnknown means that ctx ended before the outcome was known; the operation may
// still be applied later.
func (c *Committer) Do(ctx context.Context, op Op) (int64, error) {
	c.init()
	p := &queuedOp{Op: op, ctx: ctx, done: make(chan result, 1)}
	c.mu.Lock()
	if op.Priority == Accept && len(c.waiting[Accept]) >= maxWaiting {
		c.mu.Unlock()
		return 0, ErrQueueFull
	}
	c.waiting[op.Priority] = append(c.waiting[op.Priority], p)
	c.queued++
	c.mu.Unlock()
	c.signal()
	select {
	case r := <-p.done:
		return r.revision, r.err
	case <-ctx.Done():
		return c.abandon(p)
	}
}

// Waiting returns the number of queued operations.
func (c *Committer) Waiting() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queued
}

// Run sends queued operations until ctx ends.
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

// abandon ends an operation whose caller's context has ended. A queued operation is removed from the queue. One that
// is being sent gets abandonGrace to return its outcome, or to be queued again because the service did nothing; after
// that its outcome is unknown.
func (c *Committer) abandon(p *queuedOp) (int64, error) {
	if c.removeQueued(p) {
		return 0, ErrUnavailable
	}
	timeout, stop := interval.After(abandonGrace)
	defer stop()
	select {
	case r := <-p.done:
		return r.revision, r.err
	case <-timeout:
	}
	if c.removeQueued(p) {
		return 0, ErrUnavailable
	}
	return 0, ErrUnknown
}

func (c *Committer) removeQueued(p *queuedOp) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	queue := c.waiting[p.Priority]
	for i, q := range queue {
		if q == p {
			c.waiting[p.Priority] = append(queue[:i:i], queue[i+1:]...)
			c.queued--
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
			batch := c.nextBatch()
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

// nextBatch removes the next batch from the queue, in order of priority. No row is in a batch twice, and the batch
// writes at most maxRowsPerTxn rows unless its first operation alone writes more.
func (c *Committer) nextBatch() []*queuedOp {
	c.mu.Lock()
	defer c.mu.Unlock()
	var batch []*queuedOp
	rows := 0
	used := map[string]bool{}
	for i, queue := range c.waiting {
		var rest []*queuedOp
		for _, p := range queue {
			if rows+len(p.Writes) > maxRowsPerTxn && rows > 0 || overlaps(used, p.Op) {
				rest = append(rest, p)
				continue
			}
			markUsed(used, p.Op)
			rows += len(p.Writes)
			batch = append(batch, p)
		}
		c.waiting[i] = rest
	}
	c.queued -= len(batch)
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

func markUsed(used map[string]bool, op Op) {
	for _, k := range op.Checks {
		used[k.Key] = true
	}
}

// send commits a batch. Operations in conflict are removed and the others are sent again. If the service is
// unavailable and did nothing, send queues the operations again, so that their callers can still abandon them, and
// returns false.
func (c *Committer) send(ctx context.Context, batch []*queuedOp) bool {
	for len(batch) > 0 {
		txn := Txn{ID: xid.New().String()}
		for _, p := range batch {
			txn.Checks = append(txn.Checks, p.Checks...)
			txn.Writes = append(txn.Writes, p.Writes...)
		}
		revision, err := c.commitUntilKnown(ctx, txn)
		var conflict *Conflict
		switch {
		case err == nil:
			c.Stats.add(0, int64(len(txn.Writes)), 0, 0)
			finish(batch, result{revision, nil})
			return true
		case errors.As(err, &conflict):
			batch = c.removeConflicting(batch, conflict)
		case errors.Is(err, ErrUnavailable):
			c.requeue(batch)
			return false
		default:
			finish(batch, result{0, err})
			return true
		}
	}
	return true
}

// requeue returns the operations of a batch to the front of their queues.
func (c *Committer) requeue(batch []*queuedOp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var groups [priorityCount][]*queuedOp
	for _, p := range batch {
		if p.ctx.Err() != nil { // Its caller has left or is about to; nothing was written.
			p.done <- result{0, ErrUnavailable}
			continue
		}
		groups[p.Priority] = append(groups[p.Priority], p)
		c.queued++
	}
	for i, g := range groups {
		c.waiting[i] = append(g, c.waiting[i]...)
	}
}

// removeConflicting returns the conflict to the operations that it concerns, and returns the remaining operations.
func (c *Committer) removeConflicting(batch []*queuedOp, conflict *Conflict) []*queuedOp {
	conflicting := map[string]bool{}
	for _, k := range conflict.Keys {
		conflicting[k] = true
	}
	var rest []*queuedOp
	for _, p := range batch {
		if overlaps(conflicting, p.Op) {
			p.done <- result{0, conflict}
			continue
		}
		rest = append(rest, p)
	}
	c.Stats.add(0, 0, int64(len(batch)-len(rest)), 0)
	if len(rest) == len(batch) { // A conflict that names none of the rows would repeat forever.
		finish(batch, result{0, conflict})
		return nil
	}
	return rest
}

// commitUntilKnown sends a transaction until its outcome is known or ctx ends. If a response is lost, it sends the
// transaction again with the same ID. It can be applied only once, because every written row is checked. If an
// earlier attempt was applied, the next one conflicts with it; the transaction ID in the rows then shows that the
// transaction was applied.
func (c *Committer) commitUntilKnown(ctx context.Context, txn Txn) (int64, error) {
	backoff := firstBackoff
	outcomeUnknown := false
	for {
		revision, err := c.tryCommit(ctx, txn)
		var conflict *Conflict
		switch {
		case err == nil:
			return revision, nil
		case errors.As(err, &conflict):
			if !outcomeUnknown {
				return 0, err
			}
			revision, readErr := c.appliedRevision(ctx, txn)
			if readErr == nil && revision > 0 {
				return revision, nil
			}
			if readErr == nil {
				return 0, err
			}
		case errors.Is(err, ErrUnavailable):
			if !outcomeUnknown {
				return 0, ErrUnavailable
			}
		default:
			c.Stats.add(0, 0, 0, 1)
			outcomeUnknown = true
		}
		if !interval.Sleep(ctx, backoff/2+rand.N(backoff)) {
			return 0, ErrUnknown
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

func (c *Committer) tryCommit(ctx context.Context, txn Txn) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	c.Stats.add(1, 0, 0, 0)
	return c.Service.Commit(ctx, txn)
}

// appliedRevision returns the revision at which an earlier attempt to commit txn was applied, or 0 if none was.
func (c *Committer) appliedRevision(ctx context.Context, txn Txn) (int64, error) {
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

func finish(batch []*queuedOp, r result) {
	for _, p := range batch {
		p.done <- r
	}
}
