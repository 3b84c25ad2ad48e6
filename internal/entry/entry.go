// Package entry takes, shows and cancels jobs. Every box is one; what it is told it writes to the store before it answers.
package entry

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/interval"
	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/internal/ledger"
	"github.com/pulleyring/pulleyring/internal/logsink"
	"github.com/pulleyring/pulleyring/internal/measure"
	"github.com/pulleyring/pulleyring/internal/queue"
	"github.com/pulleyring/pulleyring/internal/store"
	"go.uber.org/zap"
)

// Errors of calls.
var (
	// ErrNotReady says that the box has no configuration yet; nothing was done.
	ErrNotReady = errors.New("entry: no configuration yet")
	// ErrNoQueue says that no queue takes the call.
	ErrNoQueue = errors.New("entry: no such queue")
	// ErrUnknownKey says that the key belongs to no workspace.
	ErrUnknownKey = errors.New("entry: unknown key")
	// ErrNoJob says that there is no such job.
	ErrNoJob = errors.New("entry: no such job")
	// ErrUnavailable says that the store can't be reached and that nothing was done.
	ErrUnavailable = errors.New("entry: the store can't be reached")
	// ErrClosed says that every hall is emptied: nothing was done, as nothing could start.
	ErrClosed = errors.New("entry: every hall is emptied")
	// ErrUndecided says that the call may have taken effect or may do so later.
	ErrUndecided = errors.New("entry: no answer from the store")
)

// Invalid is the error of a job that can't be carried out.
type Invalid struct {
	Reason string
}

// Error implements error.
func (e *Invalid) Error() string { return e.Reason }

// Entry serves calls of clients. All fields but the limits are required.
type Entry struct {
	Ledger        *ledger.Ledger
	Configuration func() *queue.Configuration
	Healthy       func() bool // Whether the store's last calls were answered.
	Out           func() bool // Whether the store has answered nothing for a while.
	Closed        func() bool // Whether every hall is emptied, so that nothing can start.
	Log           *zap.Logger
	Figures       *measure.Figures // nil for none.

	mu        sync.Mutex
	known     map[job.ID]string // Workspaces of jobs that are surely in the store.
	summary   *ledger.Summary
	summaryAt time.Time
}

const (
	// storeRetry is the pause before a call that the store refused is tried again.
	storeRetry = 60 * time.Millisecond
	// storePatience bounds the tries of a call that a store refuses which otherwise answers, as it does while a part of it
	// has too much to do: about half of what a client waits, so that it can still come back.
	storePatience = 1200 * time.Millisecond
	// summaryAge is how old the counts may be that a client is told: the pages allow 2 s in all, and the scheduler writes them within
	// 0.3 s. At 0.5 s reading them was 6% of all calls to the store.
	summaryAge = 1200 * time.Millisecond
	// maxKnown bounds the jobs that are remembered as being in the store, about 100 bytes each.
	maxKnown = 20000
)

// Caller is who calls, at which queue.
type Caller struct {
	Queue     *queue.Queue
	Workspace string // Empty for an anonymous caller.
}

// Admit finds the queue of a call and checks its key.
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

// Submit accepts a job: once it returns nil the job is kept and will be carried out.
func (e *Entry) Submit(ctx context.Context, c Caller, r *job.Request) error {
	q := c.Queue
	r.Terms = job.Terms{
		Queue: q.Name, Service: q.Service, Workspace: c.Workspace, Priority: q.Priority,
		Attempts: q.Attempts, Stretch: q.Stretch, Objective: q.Objective,
	}
	r.Accepted = time.Now().UnixMilli()
	began := time.Now()
	if e.refuseClosed(ctx, r) {
		e.logCall("submit", r.ID, c, began, ErrClosed)
		return ErrClosed
	}
	err := e.write(ctx, func(ctx context.Context) error { return e.Ledger.Submit(ctx, r) })
	e.logCall("submit", r.ID, c, began, err)
	if errors.Is(err, ledger.ErrCancelled) {
		return nil // It was cancelled before it came, and so it ends.
	}
	if errors.Is(err, ledger.ErrOther) {
		return &Invalid{"the name belongs to another job"}
	}
	if err == nil {
		e.remember(r.ID, r.Terms.Workspace)
	}
	return err
}

// refuseClosed reports whether a job is to be refused because every hall is emptied. One that is to run later waits, and one that
// was accepted before stays accepted.
func (e *Entry) refuseClosed(ctx context.Context, r *job.Request) bool {
	if !e.Closed() || r.Schedule.Times > 0 {
		return false
	}
	if _, known := e.workspaceOf(r.ID); known {
		return false
	}
	kept, err := e.Ledger.Request(ctx, r.ID)
	return err == nil && kept == nil
}

// Cancel cancels a job, also one that has not come yet.
func (e *Entry) Cancel(ctx context.Context, c Caller, id job.ID) error {
	began := time.Now()
	err := e.write(ctx, func(ctx context.Context) error { return e.Ledger.Cancel(ctx, id) })
	e.logCall("cancel", id, c, began, err)
	return err
}

// write carries out a write that may be repeated. A write that the store surely did not do is given up soon, so that the
// client can go elsewhere. Once a try got no answer, only another answer can settle what became of it: it is repeated for
// as long as the client waits, and counts as undecided after that.
func (e *Entry) write(ctx context.Context, f func(ctx context.Context) error) error {
	if e.Out() {
		return ErrUnavailable
	}
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
		if !undecided && (!e.Healthy() || time.Since(began) > storePatience) {
			return ErrUnavailable
		}
		if ctx.Err() != nil || !interval.Sleep(ctx, storeRetry) {
			break
		}
	}
	if undecided {
		return ErrUndecided
	}
	return ErrUnavailable
}

// Status is what a caller is shown of a job.
type Status struct {
	State  job.State
	Reason string // Why it has failed, in words; empty for any other state, and where that can't be read now.
}

// Status returns how a job stands.
func (e *Entry) Status(ctx context.Context, c Caller, id job.ID) (Status, error) {
	state, err := e.State(ctx, c, id)
	status := Status{State: state}
	if err != nil || state != job.Failed {
		return status, err
	}
	failure, err := e.Ledger.Failure(ctx, id)
	if err != nil {
		e.Log.Warn("entry: no reason of a failure", zap.String("job", string(id)), logsink.Error(err))
	}
	status.Reason = failure.Text()
	return status, nil
}

// State returns the state that a job is in.
func (e *Entry) State(ctx context.Context, c Caller, id job.ID) (job.State, error) {
	began := time.Now()
	state, err := e.state(ctx, c, id)
	if err != nil && !errors.Is(err, ErrNoJob) {
		e.Log.Warn("entry: no state", zap.String("job", string(id)), logsink.Error(err))
		err = ErrUnavailable
	}
	e.figure("state", began, err)
	e.Log.Debug("entry: state", zap.String("job", string(id)), zap.Stringer("state", state), zap.Duration("took", time.Since(began)))
	return state, err
}

func (e *Entry) state(ctx context.Context, c Caller, id job.ID) (job.State, error) {
	workspace, known := e.workspaceOf(id)
	if !known {
		if err := e.learn(ctx, id); err != nil {
			return job.Queued, err
		}
		workspace, _ = e.workspaceOf(id)
	}
	if workspace != "" && c.Workspace != "" && workspace != c.Workspace {
		return job.Queued, ErrNoJob
	}
	state, found, err := e.Ledger.State(ctx, id)
	if err == nil && !found && known {
		err = e.learn(ctx, id) // It is queued, or it was forgotten since.
	}
	return state, err
}

// learn reads a job's request and remembers whose it is.
func (e *Entry) learn(ctx context.Context, id job.ID) error {
	r, err := e.Ledger.Request(ctx, id)
	if err != nil {
		return err
	}
	if r == nil {
		e.mu.Lock()
		delete(e.known, id)
		e.mu.Unlock()
		return ErrNoJob
	}
	e.remember(id, r.Terms.Workspace)
	return nil
}

// workspaceOf is whose a job is that is remembered as being in the store; false for any other.
func (e *Entry) workspaceOf(id job.ID) (string, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	workspace, known := e.known[id]
	return workspace, known
}

func (e *Entry) remember(id job.ID, workspace string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.known == nil || len(e.known) >= maxKnown {
		e.known = map[job.ID]string{}
	}
	e.known[id] = workspace
}

// Pending returns the number of a queue's accepted jobs of which nothing was started.
func (e *Entry) Pending(ctx context.Context, c Caller) (int, error) {
	e.mu.Lock()
	s, age := e.summary, time.Since(e.summaryAt)
	e.mu.Unlock()
	if s == nil || age > summaryAge {
		var err error
		if s, err = e.Ledger.Summary(ctx); err != nil {
			e.Log.Warn("entry: no summary", logsink.Error(err))
			return 0, ErrUnavailable
		}
		e.mu.Lock()
		e.summary, e.summaryAt = s, time.Now()
		e.mu.Unlock()
	}
	return s.Pending[c.Queue.Name], nil
}

func (e *Entry) logCall(what string, id job.ID, c Caller, began time.Time, err error) {
	e.figure(what, began, err)
	e.Log.Info("entry: "+what, zap.String("job", string(id)), zap.String("queue", c.Queue.Name),
		zap.String("workspace", c.Workspace), zap.Duration("took", time.Since(began)), logsink.Error(err))
}

func (e *Entry) figure(what string, began time.Time, err error) {
	e.Figures.Took("entry_"+what, time.Since(began))
	if err != nil {
		e.Figures.Count("entry_" + what + "_failed")
	}
}
