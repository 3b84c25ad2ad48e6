// Package entry submits, shows and cancels jobs for clients. It runs on every box, and answers a submission or a
// cancellation only after it is written to the store.
package entry

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/admission"
	"github.com/pulleyring/pulleyring/internal/interval"
	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/internal/ledger"
	"github.com/pulleyring/pulleyring/internal/logsink"
	"github.com/pulleyring/pulleyring/internal/measure"
	"github.com/pulleyring/pulleyring/internal/queue"
	"github.com/pulleyring/pulleyring/internal/store"
	"go.uber.org/zap"
	"golang.org/x/time/rate"
)

// Errors of calls.
var (
	// ErrNotReady means that the box has no configuration yet and that nothing was done.
	ErrNotReady = errors.New("entry: no configuration yet")
	// ErrNoQueue means that no queue is configured for the host and path of the call.
	ErrNoQueue = errors.New("entry: no such queue")
	// ErrUnknownKey means that the key belongs to no workspace and the queue does not accept anonymous callers.
	ErrUnknownKey = errors.New("entry: unknown key")
	// ErrNoJob means that the job does not exist or belongs to another workspace.
	ErrNoJob = errors.New("entry: no such job")
	// ErrUnavailable means that the store can't be reached and that nothing was done.
	ErrUnavailable = errors.New("entry: the store can't be reached")
	// ErrClosed means that every hall is emptied, so that no job could start, and that nothing was done.
	ErrClosed = errors.New("entry: every hall is emptied")
	// ErrFull means that the caller's workspace has too many or too large jobs, and that nothing was done.
	ErrFull = errors.New("entry: the jobs of the workspace take too much memory")
	// ErrUndecided means that the call got no answer from the store: it may have taken effect, or may do so later.
	ErrUndecided = errors.New("entry: no answer from the store")
)

// InvalidJobError is the error of a job that is not acceptable as submitted.
type InvalidJobError struct {
	Reason string
}

// Error implements error.
func (e *InvalidJobError) Error() string { return e.Reason }

// HopelessError is the error of a job that would end too late to be of any value under the present load. Nothing was
// done.
type HopelessError struct {
	RetryAfter time.Duration // Whole seconds after which the caller should try again.
}

// Error implements error.
func (e *HopelessError) Error() string {
	return "entry: under the present load the job would end too late to be of any value"
}

// Entry serves the calls of clients. All exported fields are required, except those for which the comment says
// otherwise.
type Entry struct {
	Ledger           *ledger.Ledger
	Configuration    func() *queue.Configuration
	StoreHealthy     func() bool // Reports whether the store answered the last calls.
	StoreUnreachable func() bool // Reports whether the store has not answered any call for a while.
	AllHallsEmptied  func() bool // Reports whether every hall is emptied, so that no job can start.
	// Load returns the summary of the load as last read; nil to refuse no job for load.
	Load             func() *admission.Summary
	RefusalsDisabled func() bool // Reports whether no job may be refused for load.
	Log              *zap.Logger
	Figures          *measure.Metrics // May be nil.
	// JobMemory is the memory that all jobs together may take on the scheduler's box, in bytes; 0 for no limit.
	JobMemory int64

	mu         sync.Mutex
	workspaces map[job.ID]string // Cached workspaces of stored jobs; saves reading a job's request at each call.
	// Number of attempts to submit a job that are under way or got no answer from the store. They may still be stored.
	attempts  map[job.ID]int
	summary   *ledger.Summary // Cached for Pending; read at summaryAt.
	summaryAt time.Time

	budgets       budgets
	checks        *rate.Limiter // Looks for jobs that may have to be refused.
	checksOnce    sync.Once
	refusalLogged time.Time // When a refusal for memory was last logged.
}

const (
	// storeRetryPause is the pause before a call that failed at the store is repeated.
	storeRetryPause = 60 * time.Millisecond
	// storeRetryLimit is how long a call that the store refuses is repeated. A store of which one part is overloaded
	// refuses some calls and answers others. The limit is about half the time that a client waits, so that the client can
	// still retry.
	storeRetryLimit = 1200 * time.Millisecond
	// outageHold is how long a call whose write got no answer goes on after no path to the store works. The store counts
	// as unreachable after 0.7 s without an answer, so that an outage of 1.5 s, the longest that callers must not notice,
	// is over and known to be over by then. A caller that waits 3 s still has 1 s left to try another box.
	outageHold = 1300 * time.Millisecond
	// repeatCheckTimeout limits the reads that find out whether a job was accepted before. If they take longer, it is
	// admitted. The store answers after about 400 ms at its slowest.
	repeatCheckTimeout = 500 * time.Millisecond
	// maxSummaryAge is the maximum age of the summary from which Pending answers. Clients may be shown counts that are up
	// to 2 s old, and the scheduler takes up to 0.3 s to write them. At 0.5 s reading the summary was 6% of all calls to
	// the store.
	maxSummaryAge = 1200 * time.Millisecond
	// maxCachedWorkspaces limits the number of jobs in Entry.workspaces. Each takes about 100 bytes.
	maxCachedWorkspaces = 20000
	// maxCachedAttempts limits the number of jobs in Entry.attempts. Only those without an answer from the store remain in
	// it for longer than a call.
	maxCachedAttempts = 20000
)

// Caller identifies the client of a call and the queue that it calls.
type Caller struct {
	Queue     *queue.Queue
	Workspace string // Empty for an anonymous caller.
}

// Admit returns the queue and the workspace of a call, from its host, path and key. It returns ErrNotReady, ErrNoQueue
// or ErrUnknownKey if the call is not admitted.
func (e *Entry) Admit(host, path, key string) (Caller, error) {
	c := e.Configuration()
	if c == nil {
		return Caller{}, ErrNotReady
	}
	q := c.Find(host, path)
	if q == nil {
		return Caller{}, ErrNoQueue
	}
	workspace, known := c.Authenticate(key)
	if !known && !q.Anonymous {
		return Caller{}, ErrUnknownKey
	}
	return Caller{q, workspace}, nil
}

// Submit submits a job. Once it returns nil, the job is stored and will be carried out, unless it is cancelled. It sets
// the terms and the time of acceptance in r.
func (e *Entry) Submit(ctx context.Context, c Caller, r *job.Request) error {
	q := c.Queue
	r.Terms = job.Terms{
		Queue: q.Name, Service: q.Service, Workspace: c.Workspace, Priority: q.Priority,
		Attempts: q.Attempts, Stretch: q.Stretch, Objective: q.Objective,
	}
	r.Accepted = time.Now().UnixMilli()
	began := time.Now()
	if e.refusedAsEmptied(ctx, r) {
		e.logCall("submit", r.ID, c, began, ErrClosed)
		return ErrClosed
	}
	if d := e.refusedAsHopeless(ctx, r); d.Refuse {
		err := &HopelessError{d.RetryAfter}
		e.logCall("submit", r.ID, c, began, err)
		return err
	}
	if err := e.checkRoom(ctx, r); err != nil {
		e.countCall("submit", began, err)
		return err
	}
	e.beginAttempt(r.ID)
	err := e.writeRepeatedly(ctx, func(ctx context.Context) error { return e.Ledger.Submit(ctx, r) })
	if !errors.Is(err, ErrUndecided) {
		defer e.endAttempt(r.ID)
	}
	e.logCall("submit", r.ID, c, began, err)
	if errors.Is(err, ledger.ErrCancelled) {
		return nil // It was cancelled before it was submitted.
	}
	if errors.Is(err, ledger.ErrTooLarge) {
		return &InvalidJobError{"the job is too large: shorten its labels and racks"}
	}
	if errors.Is(err, ledger.ErrNameTaken) {
		return &InvalidJobError{"the name belongs to another job"}
	}
	if err == nil {
		e.cacheWorkspace(r.ID, r.Terms.Workspace)
	}
	return err
}

// refusedAsEmptied reports whether a job must be refused because every hall is emptied. It returns false for a job with
// a schedule, which can wait, and for one that was accepted before.
func (e *Entry) refusedAsEmptied(ctx context.Context, r *job.Request) bool {
	if !e.AllHallsEmptied() || r.Schedule.Times > 0 {
		return false
	}
	return e.isNew(ctx, r.ID)
}

// isNew reports whether a job was not accepted before and no earlier attempt at this box may still be stored. It
// returns false if that can't be read from the store.
func (e *Entry) isNew(ctx context.Context, id job.ID) bool {
	if e.maybeStored(id) {
		return false
	}
	kept, err := e.Ledger.Request(ctx, id)
	return err == nil && kept == nil && !e.maybeStored(id) // An attempt may have begun during the read.
}

// refusedAsHopeless decides whether a job is refused because it would end too late under the present load. A job that
// was accepted before is not refused, and none is while the state of the store is uncertain.
func (e *Entry) refusedAsHopeless(ctx context.Context, r *job.Request) admission.Decision {
	c := e.Configuration()
	if e.Load == nil || e.RefusalsDisabled() || c == nil || !e.StoreHealthy() {
		return admission.Decision{}
	}
	load := e.Load()
	d := admission.Decide(load, r, c.GuaranteedTo(r.Terms.Workspace), time.Now())
	if !d.Refuse {
		return d
	}
	// Reads that are cancelled, unlike those that exceed a deadline, do not count as failures of the store.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer time.AfterFunc(repeatCheckTimeout, cancel).Stop()
	if !e.isNew(ctx, r.ID) {
		return admission.Decision{}
	}
	e.Figures.Count("refused_hopeless")
	e.Log.Info("entry: refusing a job that would end too late", zap.String("job", string(r.ID)),
		zap.String("queue", r.Terms.Queue), zap.String("workspace", r.Terms.Workspace), zap.Int("priority", r.Terms.Priority),
		zap.Duration("expected_wait", d.Wait), zap.Duration("longest_run", d.Run), zap.Duration("max_wait", d.MaxWait), zap.Duration("retry_after", d.RetryAfter),
		zap.Duration("load_age", time.Since(time.UnixMilli(load.Made))))
	return d
}

// maybeStored reports whether this box knows that a job is stored, or that an attempt to submit it may still be stored.
func (e *Entry) maybeStored(id job.ID) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, stored := e.workspaces[id]
	return stored || e.attempts[id] > 0
}

// beginAttempt records an attempt to submit a job. It first empties the record if that holds maxCachedAttempts jobs.
func (e *Entry) beginAttempt(id job.ID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.attempts == nil || len(e.attempts) >= maxCachedAttempts {
		e.attempts = map[job.ID]int{}
	}
	e.attempts[id]++
}

// endAttempt forgets an attempt whose outcome is known.
func (e *Entry) endAttempt(id job.ID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.attempts[id]--; e.attempts[id] <= 0 {
		delete(e.attempts, id)
	}
}

// Cancel cancels a job. A job that is not submitted yet is cancelled in advance.
func (e *Entry) Cancel(ctx context.Context, c Caller, id job.ID) error {
	began := time.Now()
	if err := e.checkKnown(ctx, c, id); err != nil {
		e.countCall("cancel", began, err)
		return err
	}
	err := e.writeRepeatedly(ctx, func(ctx context.Context) error { return e.Ledger.Cancel(ctx, id) })
	e.logCall("cancel", id, c, began, err)
	return err
}

// writeRepeatedly calls f, which may safely be repeated, until it succeeds or fails with an error that does not come
// from the store. If the store refuses every attempt for storeRetryLimit, nothing was done, and the error is
// ErrUnavailable: the client can try another box. An attempt without an answer may have taken effect. After such an
// attempt, f is repeated until ctx ends or no path to the store has worked for outageHold, and the error is then
// ErrUndecided.
func (e *Entry) writeRepeatedly(ctx context.Context, f func(ctx context.Context) error) error {
	if e.StoreUnreachable() {
		return ErrUnavailable
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go e.cancelInOutage(ctx, cancel)
	began := time.Now()
	undecided := false
	for {
		err := f(ctx)
		switch {
		case errors.Is(err, store.ErrUnknown):
			undecided = true
		case !errors.Is(err, store.ErrRefused):
			return err
		}
		if !undecided && (!e.StoreHealthy() || time.Since(began) > storeRetryLimit) {
			return ErrUnavailable
		}
		if ctx.Err() != nil || !interval.Sleep(ctx, storeRetryPause) {
			break
		}
	}
	if undecided {
		return ErrUndecided
	}
	return ErrUnavailable
}

// cancelInOutage calls cancel once the store has been unreachable for outageHold without a break, so that the attempt
// in flight ends too. It returns when ctx ends.
func (e *Entry) cancelInOutage(ctx context.Context, cancel context.CancelFunc) {
	var since time.Time // When the store became unreachable; zero while it is reachable.
	for interval.Sleep(ctx, storeRetryPause) {
		switch {
		case !e.StoreUnreachable():
			since = time.Time{}
		case since.IsZero():
			since = time.Now()
		case time.Since(since) >= outageHold:
			cancel()
			return
		}
	}
}

// Status is the state of a job as it is shown to a caller.
type Status struct {
	State  job.State
	Reason string // Why the job failed; empty in other states, or if the reason can't be read now.
}

// Status returns the state of a job and, if it failed, also reads the reason from the store. State does without that
// read. The error is ErrNoJob or ErrUnavailable.
func (e *Entry) Status(ctx context.Context, c Caller, id job.ID) (Status, error) {
	state, err := e.State(ctx, c, id)
	status := Status{State: state}
	if err != nil || state != job.Failed {
		return status, err
	}
	failure, err := e.Ledger.Failure(ctx, id)
	if err != nil {
		e.Log.Warn("entry: unable to read why a job failed; answering without a reason", zap.String("job", string(id)), logsink.Error(err))
	}
	status.Reason = failure.Message()
	return status, nil
}

// State returns the state of a job without the reason of a failure, which Status adds. The error is ErrNoJob or
// ErrUnavailable.
func (e *Entry) State(ctx context.Context, c Caller, id job.ID) (job.State, error) {
	began := time.Now()
	state, err := e.state(ctx, c, id)
	if err != nil && !errors.Is(err, ErrNoJob) {
		e.Log.Warn("entry: unable to read a job's state; answering that the store is unavailable", zap.String("job", string(id)), logsink.Error(err))
		err = ErrUnavailable
	}
	e.countCall("state", began, err)
	e.Log.Debug("entry: state", zap.String("job", string(id)), zap.Stringer("state", state), zap.Duration("took", time.Since(began)))
	return state, err
}

// state implements State, but returns errors of the store unchanged.
func (e *Entry) state(ctx context.Context, c Caller, id job.ID) (job.State, error) {
	workspace, known := e.cachedWorkspace(id)
	if !known {
		if err := e.loadWorkspace(ctx, id); err != nil {
			return job.Queued, err
		}
		workspace, _ = e.cachedWorkspace(id)
	}
	if workspace != "" && c.Workspace != "" && workspace != c.Workspace {
		return job.Queued, ErrNoJob
	}
	state, found, err := e.Ledger.State(ctx, id)
	if err == nil && !found && known {
		err = e.loadWorkspace(ctx, id) // The job is queued, or it was deleted since it was cached.
	}
	return state, err
}

// loadWorkspace reads a job's request from the store and caches its workspace. It returns ErrNoJob if the store has no
// such request.
func (e *Entry) loadWorkspace(ctx context.Context, id job.ID) error {
	r, err := e.Ledger.Request(ctx, id)
	if err != nil {
		return err
	}
	if r == nil {
		e.mu.Lock()
		delete(e.workspaces, id)
		e.mu.Unlock()
		return ErrNoJob
	}
	e.cacheWorkspace(id, r.Terms.Workspace)
	return nil
}

// cachedWorkspace returns the workspace of a job, and false if it is not in the cache.
func (e *Entry) cachedWorkspace(id job.ID) (string, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	workspace, known := e.workspaces[id]
	return workspace, known
}

// cacheWorkspace records that a job is in the store and belongs to a workspace. It first empties the cache if
// that holds maxCachedWorkspaces jobs.
func (e *Entry) cacheWorkspace(id job.ID, workspace string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.workspaces == nil || len(e.workspaces) >= maxCachedWorkspaces {
		e.workspaces = map[job.ID]string{}
	}
	e.workspaces[id] = workspace
}

// Pending returns the number of accepted jobs in the caller's queue of which no task has started yet. The number may be
// up to maxSummaryAge old. The error is ErrUnavailable.
func (e *Entry) Pending(ctx context.Context, c Caller) (int, error) {
	e.mu.Lock()
	s, age := e.summary, time.Since(e.summaryAt)
	e.mu.Unlock()
	if s == nil || age > maxSummaryAge {
		var err error
		if s, err = e.Ledger.Summary(ctx); err != nil {
			e.Log.Warn("entry: unable to read the summary of the queues; answering that the store is unavailable", logsink.Error(err))
			return 0, ErrUnavailable
		}
		e.mu.Lock()
		e.summary, e.summaryAt = s, time.Now()
		e.mu.Unlock()
	}
	return s.Pending[c.Queue.Name], nil
}

func (e *Entry) logCall(what string, id job.ID, c Caller, began time.Time, err error) {
	e.countCall(what, began, err)
	e.Log.Info("entry: "+what, zap.String("job", string(id)), zap.String("queue", c.Queue.Name),
		zap.String("workspace", c.Workspace), zap.Duration("took", time.Since(began)), logsink.Error(err))
}

func (e *Entry) countCall(what string, began time.Time, err error) {
	e.Figures.ObserveDuration("entry_"+what, time.Since(began))
	if err != nil {
		e.Figures.Count("entry_" + what + "_failed")
	}
}
