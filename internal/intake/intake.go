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

// Limits that are not configurable.
const (
	acceptTimeout = 10 * time.Second // Timeout of the commit that accepts a request.
	refuseTimeout = time.Second      // For callers that do not wait during an outage; also for reads and refusals.
	retryAfter    = 2                // Seconds after which a refused caller may try again.
	pollInterval  = 2 * time.Second  // Interval between reads of the rows of requests that callers wait for.
	pollRows      = 200              // Rows that one call to the table reads.
)

// ErrAbsent is returned if the caller has no request with the given ID.
var ErrAbsent = errors.New("intake: no such request")

// Intake accepts the requests of one box. Set the exported fields before use.
type Intake struct {
	Box            string
	Settings       *settings.Box
	Table          table.Service
	Committer      *table.Committer
	Objects        object.Store
	Upstreams      upstream.Service
	Router         *upstream.Router
	Admission      *Admission
	Config         *config.Keeper
	Recorder       *timeline.Recorder
	Log            *zap.Logger
	Loads          func() []link.Load    // Returns the last known load of each hall.
	NotifyChange   func(prefix string)   // Notifies the boxes that rows with the prefix changed.
	Alive          func(box string) bool // Reports whether a box is considered alive.
	SettlesPending func() bool           // Reports whether this box settles requests that other boxes left pending.
	Suspended      func() time.Duration  // Returns the total time that the machine was suspended; nil if unknown.
	Metrics        Metrics

	waiters waiters
	mu      sync.Mutex
	running map[request.Identity]*flight
	records chan settlement.Record
	once    sync.Once
	pending pendingRows
	placed  recentPlacements
	recent  recentRequests
	layout  layoutCache
}

// Metrics holds the functions that count events; nil functions are not called.
type Metrics struct {
	Settled func(o request.Outcome, took time.Duration) // Called for each reply to a submission.
	Retried func()                                      // Called for each retry of a repeatable request.
	Dropped func()                                      // Called for each answer of another request or attempt.
}

// Request is one submission of a request, with the identity of the request and the number of the submission.
type Request struct {
	request.Identity
	Round      int // Number of the submission, from 1; a caller that got no answer submits again with the next one.
	Received   time.Time
	Submission request.Submission
}

func (in *Intake) init() {
	in.once.Do(func() {
		in.running = map[request.Identity]*flight{}
		in.records = make(chan settlement.Record, max(1, in.Settings.Limits.UnrecordedSettled))
	})
}

// Run runs the background loops until ctx ends.
func (in *Intake) Run(ctx context.Context) {
	in.init()
	var group sync.WaitGroup
	group.Go(func() { in.recordLoop(ctx) })
	group.Go(func() { interval.Every(ctx, pollInterval, in.poll) })
	group.Go(func() { interval.Every(ctx, sweepInterval, in.sweep) })
	group.Wait()
}

// Submit processes a request and returns its outcome, or what is known of it when ctx ends.
func (in *Intake) Submit(ctx context.Context, req Request) request.Reply {
	in.init()
	began := time.Now()
	reply := in.submit(ctx, req)
	reply.ID = req.ID
	in.recent.add(Recent{
		Identity: req.Identity, Workspace: req.Submission.Workspace, Kind: req.Submission.Kind, Outcome: reply.Outcome,
		Received: req.Received, Took: time.Since(began),
	})
	if in.Metrics.Settled != nil {
		in.Metrics.Settled(reply.Outcome, time.Since(began))
	}
	return reply
}

func (in *Intake) submit(ctx context.Context, req Request) request.Reply {
	if req.Round > 1 {
		if reply, known := in.earlierReply(ctx, req); known {
			return reply
		}
	}
	if req.Submission.Gang > 0 {
		return in.submitGang(ctx, req)
	}
	return in.submitSmall(ctx, req)
}

// earlierReply returns the reply to an earlier submission of the same request. It returns false if there was none, or
// if it was not run and may be replaced.
func (in *Intake) earlierReply(ctx context.Context, req Request) (request.Reply, bool) {
	record, _, err := in.read(ctx, req.Identity)
	switch {
	case errors.Is(err, ErrAbsent):
		return request.Reply{}, false
	case err != nil:
		return unresolved("the table can't be asked what became of earlier submissions"), true
	case record.Replaces(req.Round):
		return request.Reply{}, false
	}
	return in.reply(ctx, record), true
}

// Ask returns what is known of a request, or ErrAbsent.
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

// Await returns the outcome of a request, or what is known of it when ctx ends, or ErrAbsent.
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
	ctx, cancel := context.WithTimeout(ctx, refuseTimeout)
	defer cancel()
	rows, err := in.Table.Read(ctx, []string{settlement.RequestKey(id)})
	if err != nil {
		return nil, 0, errors.Wrap(err, "intake: unable to read the request row")
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

// reply returns the reply to the caller from a request row. It fetches the answer if that is in the object store.
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

// refuse returns the reply to a submission that is not run. The first submission is not run if nothing was sent. For
// a later one, another box may still hold an earlier submission, so a not_run row is committed first to stop that
// one. A repeatable small request has no row that could stop it or show that it ran, so its later submissions are
// unresolved.
func (in *Intake) refuse(ctx context.Context, req Request, reason string) request.Reply {
	if req.Round <= 1 {
		return notRun(reason)
	}
	if req.Submission.Gang == 0 && !req.Submission.AtMostOnce {
		return unresolved(reason + "; an earlier submission may have run")
	}
	ctx, cancel := context.WithTimeout(ctx, refuseTimeout)
	defer cancel()
	record := settlement.Record{
		Identity: req.Identity, Submission: withoutPayload(req.Submission), Round: req.Round, Received: req.Received,
		Outcome: request.NotRun, Reason: reason,
	}
	version, reply, blocked := in.replaceableVersion(ctx, req)
	if blocked {
		return reply
	}
	key := settlement.RequestKey(req.Identity)
	_, err := in.Committer.Do(ctx, table.Op{
		Priority: table.Settle,
		Checks:   []table.Check{{Key: key, Version: version}},
		Writes:   []table.Write{table.Put(key, record)},
	})
	if err == nil {
		return notRun(reason)
	}
	return in.replyAfterFailedCommit(ctx, req, err)
}

// replaceableVersion returns the version of the row that a new request row replaces: 0, or that of a not_run row of
// an earlier round. If the row may not be replaced or can't be read, blocked is true and reply is the reply to the
// caller.
func (in *Intake) replaceableVersion(ctx context.Context, req Request) (version int64, reply request.Reply, blocked bool) {
	if req.Round <= 1 {
		return 0, request.Reply{}, false
	}
	record, version, err := in.read(ctx, req.Identity)
	switch {
	case errors.Is(err, ErrAbsent):
		return 0, request.Reply{}, false
	case err != nil:
		return 0, unresolved("the table can't be asked what became of earlier submissions"), true
	case record.Replaces(req.Round):
		return version, request.Reply{}, false
	}
	return 0, in.reply(ctx, record), true
}

// replyAfterFailedCommit returns the reply to the caller after a commit failed: after a conflict, the one in the row.
func (in *Intake) replyAfterFailedCommit(ctx context.Context, req Request, err error) request.Reply {
	var conflict *table.Conflict
	if !errors.As(err, &conflict) {
		return unresolved("the table did not say whether the request was taken")
	}
	record, _, err := in.read(context.WithoutCancel(ctx), req.Identity)
	if err != nil {
		return unresolved("the request is known already, and the table can't be asked for its outcome")
	}
	return in.reply(ctx, record)
}

func withoutPayload(s request.Submission) request.Submission {
	s.Payload = nil
	return s
}

// Deliver passes an outcome that another box settled to the callers that wait for it in this box.
func (in *Intake) Deliver(s *link.Settled) {
	s.Reply.ID = s.Identity.ID
	in.waiters.deliver(s.Identity, s.Round, s.Reply)
}

// poll reads the rows of the requests that callers wait for, in case the message with the outcome was lost.
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

// addEvent adds an event of a request to the timeline.
func (in *Intake) addEvent(id request.Identity, attempt, text string) {
	in.Recorder.Add(timeline.Event{Part: "intake", Hall: in.Settings.Hall, Job: id.String(), Attempt: attempt, Text: text})
}
