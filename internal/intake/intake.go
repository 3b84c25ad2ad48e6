package intake

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/config"
	"github.com/pulleyring/pulleyring/internal/interval"
	"github.com/pulleyring/pulleyring/internal/link"
	"github.com/pulleyring/pulleyring/internal/object"
	"github.com/pulleyring/pulleyring/internal/settings"
	"github.com/pulleyring/pulleyring/internal/settlement"
	"github.com/pulleyring/pulleyring/internal/table"
	"github.com/pulleyring/pulleyring/internal/timeline"
	"github.com/pulleyring/pulleyring/internal/upstream"
	"github.com/pulleyring/pulleyring/pkg/request"
	"go.uber.org/zap"
)

// Times that are no settings.
const (
	acceptWithin = 10 * time.Second // Longest wait for the table before a caller is told.
	refuseWithin = time.Second      // The same where the caller asked not to wait for an outage.
	retryAfter   = 2                // Seconds after which a refused caller may come back.
	pollInterval = 2 * time.Second  // Between looks at the rows of requests that are waited for.
	pollRows     = 200
)

// ErrAbsent says that no request of that id is known to its caller.
var ErrAbsent = errors.New("intake: no such request")

// Intake takes requests in one box. Fill in the exported fields before use.
type Intake struct {
	Box       string
	Settings  *settings.Box
	Table     table.Service
	Committer *table.Committer
	Objects   object.Store
	Upstreams upstream.Service
	Router    *upstream.Router
	Admission *Admission
	Config    *config.Keeper
	Recorder  *timeline.Recorder
	Log       *zap.Logger
	Loads     func() []link.Load    // Of all halls.
	News      func(prefix string)   // Tells boxes that rows changed.
	Alive     func(box string) bool // Whether a box is believed alive.
	Sweeps    func() bool           // Whether this box looks after requests that others left open.
	Slept     func() time.Duration  // How long the machine has been suspended in all; nil where nothing tells.
	Metrics   Metrics

	waiters waiters
	mu      sync.Mutex
	running map[request.Identity]*flight
	notes   chan settlement.Record
	once    sync.Once
	open    openBook
	placed  placedBook
	recent  recentBook
	layout  layoutCache
}

// Metrics is told what happens; nil functions are not called.
type Metrics struct {
	Settled func(o request.Outcome, took time.Duration)
	Retried func()
	Dropped func() // An answer that belongs to another request or came too late.
}

// Order is one submission with who sent it and how often.
type Order struct {
	request.Identity
	Round      int // 1 for the first submission of the id; callers count up after an answer that they did not get.
	Received   time.Time
	Submission request.Submission
}

func (in *Intake) init() {
	in.once.Do(func() {
		in.running = map[request.Identity]*flight{}
		in.notes = make(chan settlement.Record, max(1, in.Settings.Limits.UnrecordedSettled))
	})
}

// Run does the work in the background until ctx ends.
func (in *Intake) Run(ctx context.Context) {
	in.init()
	var group sync.WaitGroup
	group.Go(func() { in.noteLoop(ctx) })
	group.Go(func() { interval.Every(ctx, pollInterval, in.poll) })
	group.Go(func() { interval.Every(ctx, sweepInterval, in.sweep) })
	group.Wait()
}

// Submit takes one request and returns what its caller may be told by the time ctx ends.
func (in *Intake) Submit(ctx context.Context, o Order) request.Reply {
	in.init()
	began := time.Now()
	reply := in.submit(ctx, o)
	reply.ID = o.ID
	in.recent.add(Recent{
		Identity: o.Identity, Workspace: o.Submission.Workspace, Kind: o.Submission.Kind, Outcome: reply.Outcome,
		Received: o.Received, Took: time.Since(began),
	})
	if in.Metrics.Settled != nil {
		in.Metrics.Settled(reply.Outcome, time.Since(began))
	}
	return reply
}

func (in *Intake) submit(ctx context.Context, o Order) request.Reply {
	if o.Round > 1 {
		if reply, known := in.earlier(ctx, o); known {
			return reply
		}
	}
	if o.Submission.Gang > 0 {
		return in.submitGang(ctx, o)
	}
	return in.submitSmall(ctx, o)
}

// earlier looks for the outcome of earlier submissions of the same id.
func (in *Intake) earlier(ctx context.Context, o Order) (request.Reply, bool) {
	record, _, err := in.read(ctx, o.Identity)
	switch {
	case errors.Is(err, ErrAbsent):
		return request.Reply{}, false
	case err != nil:
		return unresolved("the table can't be asked what became of earlier submissions"), true
	case record.Replaces(o.Round):
		return request.Reply{}, false
	}
	return in.reply(ctx, record), true
}

// Ask returns what is known of a request of a caller.
func (in *Intake) Ask(ctx context.Context, id request.Identity) (request.Reply, error) {
	in.init()
	if in.inFlight(id) {
		return request.Reply{ID: id.ID, Outcome: request.Accepted}, nil
	}
	record, _, err := in.read(ctx, id)
	if errors.Is(err, ErrAbsent) {
		return request.Reply{}, err
	}
	if err != nil {
		reply := unresolved("the table can't be asked")
		reply.ID = id.ID
		return reply, nil
	}
	return in.reply(ctx, record), nil
}

// Await returns the outcome of a request, or what is known of it when ctx ends.
func (in *Intake) Await(ctx context.Context, id request.Identity) (request.Reply, error) {
	in.init()
	c, stop := in.waiters.add(id, 0)
	defer stop()
	reply, err := in.Ask(context.WithoutCancel(ctx), id)
	if err != nil || reply.Outcome != request.Accepted {
		return reply, err
	}
	return wait(ctx, c, reply), nil
}

// read returns the row of a request with its version, or ErrAbsent.
func (in *Intake) read(ctx context.Context, id request.Identity) (*settlement.Record, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, refuseWithin)
	defer cancel()
	rows, err := in.Table.Read(ctx, []string{settlement.RequestKey(id)})
	if err != nil {
		return nil, 0, errors.Wrap(err, "intake: unable to read")
	}
	if rows[0].Version == 0 {
		return nil, 0, ErrAbsent
	}
	var record settlement.Record
	if err := settlement.Decode(rows[0], &record); err != nil {
		return nil, 0, err
	}
	return &record, rows[0].Version, nil
}

// reply returns what a caller is told from a row, its answer fetched where it lies in the object store.
func (in *Intake) reply(ctx context.Context, r *settlement.Record) request.Reply {
	reply := r.Reply()
	if r.AnswerObject == "" {
		return reply
	}
	raw, err := in.Objects.Get(ctx, r.AnswerObject)
	if err != nil {
		reply = unresolved("the object store can't be asked for the answer")
		reply.ID = r.ID
		return reply
	}
	reply.Answer = raw
	return reply
}

func unresolved(reason string) request.Reply {
	return request.Reply{Outcome: request.Unresolved, Reason: reason, RetryAfterSeconds: retryAfter}
}

func notRun(reason string) request.Reply {
	return request.Reply{Outcome: request.NotRun, Reason: reason, RetryAfterSeconds: retryAfter}
}

// refuse tells a caller that a submission was not run. For a first submission it is enough that nothing was sent; a
// later one may cross an earlier one that another box still holds, so a row must first forbid that one to run. No row
// forbids a repeatable small request to run, and none tells whether an earlier submission of it has run.
func (in *Intake) refuse(ctx context.Context, o Order, reason string) request.Reply {
	if o.Round <= 1 {
		return notRun(reason)
	}
	if o.Submission.Gang == 0 && !o.Submission.AtMostOnce {
		return unresolved(reason + "; an earlier submission may have run")
	}
	ctx, cancel := context.WithTimeout(ctx, refuseWithin)
	defer cancel()
	record := settlement.Record{
		Identity: o.Identity, Submission: withoutPayload(o.Submission), Round: o.Round, Received: o.Received,
		Outcome: request.NotRun, Reason: reason,
	}
	version, reply, blocked := in.place(ctx, o)
	if blocked {
		return reply
	}
	key := settlement.RequestKey(o.Identity)
	_, err := in.Committer.Do(ctx, table.Op{
		Priority: table.Settle,
		Checks:   []table.Check{{Key: key, Version: version}},
		Writes:   []table.Write{table.Put(key, record)},
	})
	if err == nil {
		return notRun(reason)
	}
	return in.afterConflict(ctx, o, err)
}

// place returns the version that a new row of the request must replace: 0, or that of a not_run row of an earlier
// round. Blocked is set where another row stands there; the reply then says what to tell.
func (in *Intake) place(ctx context.Context, o Order) (version int64, reply request.Reply, blocked bool) {
	if o.Round <= 1 {
		return 0, request.Reply{}, false
	}
	record, version, err := in.read(ctx, o.Identity)
	switch {
	case errors.Is(err, ErrAbsent):
		return 0, request.Reply{}, false
	case err != nil:
		return 0, unresolved("the table can't be asked what became of earlier submissions"), true
	case record.Replaces(o.Round):
		return version, request.Reply{}, false
	}
	return 0, in.reply(ctx, record), true
}

// afterConflict turns the error of a commit into what the caller is told.
func (in *Intake) afterConflict(ctx context.Context, o Order, err error) request.Reply {
	var conflict *table.Conflict
	if !errors.As(err, &conflict) {
		return unresolved("the table did not say whether the request was taken")
	}
	record, _, err := in.read(context.WithoutCancel(ctx), o.Identity)
	if err != nil {
		return unresolved("the request is known already, and the table can't be asked for its outcome")
	}
	return in.reply(ctx, record)
}

func withoutPayload(s request.Submission) request.Submission {
	s.Payload = nil
	return s
}

// Deliver hands an outcome that another box settled to the callers that wait for it here.
func (in *Intake) Deliver(s *link.Settled) {
	s.Reply.ID = s.Identity.ID
	in.waiters.deliver(s.Identity, s.Round, s.Reply)
}

// poll looks at the rows of requests that are waited for, in case the word of their settlement was lost.
func (in *Intake) poll(ctx context.Context) {
	ids := in.waiters.ids()
	for len(ids) > 0 {
		n := min(len(ids), pollRows)
		keys := make([]string, n)
		for i, id := range ids[:n] {
			keys[i] = settlement.RequestKey(id)
		}
		rows, err := in.Table.Read(ctx, keys)
		if err != nil {
			return
		}
		for i, row := range rows {
			var record settlement.Record
			if row.Version > 0 && settlement.Decode(row, &record) == nil && record.Outcome != request.Accepted {
				in.waiters.deliver(ids[i], record.Round, in.reply(ctx, &record))
			}
		}
		ids = ids[n:]
	}
}

// note adds an event to the time line.
func (in *Intake) note(id request.Identity, attempt, text string) {
	in.Recorder.Add(timeline.Event{Part: "intake", Hall: in.Settings.Hall, Job: id.String(), Attempt: attempt, Text: text})
}
