package entry

import (
	"context"
	"sync"
	"time"

	"github.com/pulleyring/pulleyring/internal/job"
	"go.uber.org/zap"
	"golang.org/x/time/rate"
)

// Limits of what the jobs of one workspace may take at one box, as parts of JobMemory: at once, and per second after that.
// They hold until the scheduler reports what is full, which takes one to two seconds, or longer while there is none.
const (
	burstShare, refillShare = 0.25, 0.0125
	// largeBurstShare and largeRefillShare are for what large jobs take beyond ordinaryFootprint: the store accepts
	// hundreds of jobs per second, each of which can take 200 KB.
	largeBurstShare, largeRefillShare = 0.1, 0.01
	// ordinaryFootprint is that of a job with the longest payload and some 20 tasks.
	ordinaryFootprint = 10 << 10
	// maxBudgets limits the number of workspaces in budgets.
	maxBudgets = 1000
)

// budgets limits the memory of the jobs that a box accepts, by workspace.
type budgets struct {
	mu          sync.Mutex
	byWorkspace map[string]*budget
}

type budget struct{ all, large *rate.Limiter }

// take reports whether a workspace may submit a job with this footprint now. memory is Entry.JobMemory.
func (b *budgets) take(workspace string, footprint, memory int64) bool {
	if memory <= 0 {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byWorkspace == nil || len(b.byWorkspace) >= maxBudgets {
		b.byWorkspace = map[string]*budget{}
	}
	limits := b.byWorkspace[workspace]
	if limits == nil {
		limits = &budget{newLimiter(memory, burstShare, refillShare), newLimiter(memory, largeBurstShare, largeRefillShare)}
		b.byWorkspace[workspace] = limits
	}
	now := time.Now()
	return takeFrom(limits.large, footprint-ordinaryFootprint, now) && takeFrom(limits.all, footprint, now)
}

func newLimiter(memory int64, burst, refill float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(refill*float64(memory)), int(burst*float64(memory)))
}

// takeFrom takes bytes from a limiter. A job beyond its burst counts as the whole burst, so that it is accepted at times.
func takeFrom(l *rate.Limiter, bytes int64, now time.Time) bool {
	return bytes <= 0 || l.AllowN(now, min(int(bytes), l.Burst()))
}

// checkRoom returns ErrFull if a job must be refused because the jobs of its workspace take as much memory as they may, or
// because this box has just accepted many of them. A job that was accepted before is not refused. If it can't be told now
// whether it was, the error is ErrUndecided.
func (e *Entry) checkRoom(ctx context.Context, r *job.Request) error {
	full := e.Load != nil && e.Load().IsFull(r.Terms.Workspace, time.Now())
	if !full && e.budgets.take(r.Terms.Workspace, r.Footprint(), e.JobMemory) {
		return nil
	}
	err := e.checkNew(ctx, r.ID)
	e.noteRefusal("jobs", r.Terms.Workspace, err)
	return err
}

// checkKnown returns ErrFull if a cancellation must be refused because it belongs to no job and too many such
// cancellations are kept for requests that may still arrive. If it can't be told now whether there is such a job, the
// error is ErrUndecided.
func (e *Entry) checkKnown(ctx context.Context, c Caller, id job.ID) error {
	if e.Load == nil || !e.Load().AreCancellationsFull(time.Now()) {
		return nil
	}
	err := e.checkNew(ctx, id)
	e.noteRefusal("cancellations", c.Workspace, err)
	return err
}

// checksPerS is the number of jobs per second that a box looks for in the store before it refuses them. Each takes three
// reads, and the boxes share the calls that the store takes.
const checksPerS = 50

// checkNew returns nil if a job was accepted before, or may have been by this box, ErrFull if it certainly was not, and
// ErrUndecided if that can't be told now.
func (e *Entry) checkNew(ctx context.Context, id job.ID) error {
	if e.maybeStored(id) {
		return nil
	}
	e.checksOnce.Do(func() { e.checks = rate.NewLimiter(checksPerS, checksPerS) })
	if !e.checks.Allow() {
		return ErrUndecided
	}
	kept, err := e.Ledger.Request(ctx, id)
	switch {
	case err != nil:
		return ErrUndecided
	case kept != nil || e.maybeStored(id): // An attempt may have begun during the read.
		return nil
	}
	return ErrFull
}

// noteRefusal counts a refusal, if err is one. It writes one line per refusalLogInterval to the log.
func (e *Entry) noteRefusal(what, workspace string, err error) {
	if err == nil {
		return
	}
	e.Figures.Count("refused_full_" + what)
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Since(e.refusalLogged) < refusalLogInterval {
		return
	}
	e.refusalLogged = time.Now()
	e.Log.Warn("entry: refusing what would take too much memory", zap.String("what", what), zap.String("workspace", workspace))
}

const refusalLogInterval = time.Second
