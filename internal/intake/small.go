package intake

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/interval"
	"github.com/pulleyring/pulleyring/internal/settlement"
	"github.com/pulleyring/pulleyring/internal/table"
	"github.com/pulleyring/pulleyring/internal/upstream"
	"github.com/pulleyring/pulleyring/pkg/contract"
	"github.com/pulleyring/pulleyring/pkg/request"
	"github.com/rs/xid"
)

// Limits of small requests that are no settings.
const (
	mostTries     = 4
	firstBackoff  = 5 * time.Millisecond
	placeWithin   = 250 * time.Millisecond // Longest wait for a place at an upstream.
	placeInterval = 5 * time.Millisecond
)

// flight is a small request under way in this box.
type flight struct {
	done  chan struct{}
	reply request.Reply
}

func (in *Intake) inFlight(id request.Identity) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.running[id] != nil
}

// submitSmall settles a small request; a second submission of the same id joins the first.
func (in *Intake) submitSmall(ctx context.Context, o Order) request.Reply {
	in.mu.Lock()
	f := in.running[o.Identity]
	if f != nil {
		in.mu.Unlock()
		select {
		case <-f.done:
			return f.reply
		case <-ctx.Done():
			return request.Reply{Outcome: request.Unresolved, Reason: "it is still under way"}
		}
	}
	f = &flight{done: make(chan struct{})}
	in.running[o.Identity] = f
	in.mu.Unlock()
	defer func() {
		in.mu.Lock()
		delete(in.running, o.Identity)
		in.mu.Unlock()
		close(f.done)
	}()
	f.reply = in.settleSmall(ctx, o)
	return f.reply
}

func (in *Intake) settleSmall(ctx context.Context, o Order) request.Reply {
	if !in.Admission.Enter(in.Config.Site(), o.Submission.Workspace) {
		return in.refuse(ctx, o, "too many requests of the workspace are in flight")
	}
	defer in.Admission.Leave(o.Submission.Workspace)
	// What was begun is brought to its end even where the caller leaves.
	limit := in.Settings.Limits.UpstreamTimeout
	if d := o.Submission.DeadlineSeconds; d > 0 {
		limit = min(limit, time.Until(o.Submission.Deadline(o.Received)))
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
	defer cancel()
	if o.Submission.AtMostOnce {
		return in.settleOnce(ctx, o)
	}
	return in.settleRepeatable(ctx, o)
}

// settleRepeatable sends a request until it is answered, within the budget of retries.
func (in *Intake) settleRepeatable(ctx context.Context, o Order) request.Reply {
	in.Router.First()
	sent := false // Whether any try may have run.
	last := ""
	backoff := firstBackoff
	for try := range mostTries {
		if try > 0 {
			if !in.mayRetry(ctx, backoff) {
				break
			}
			backoff *= 2
		}
		u, ok := in.pick(ctx, last)
		if !ok {
			if !sent {
				return in.refuse(ctx, o, "no upstream has room")
			}
			break
		}
		last = u.Name
		answer, err := in.send(ctx, u, o, attemptName(o))
		switch {
		case err == nil:
			return in.done(o, answer, try+1)
		case errors.Is(err, upstream.ErrFailed):
			return in.failed(o, try+1)
		case !errors.Is(err, upstream.ErrNotRun):
			sent = true
		}
	}
	if !sent {
		return in.refuse(ctx, o, "no upstream took it")
	}
	return unresolved("no upstream answered in time")
}

func (in *Intake) mayRetry(ctx context.Context, backoff time.Duration) bool {
	if !in.Router.Retry() {
		return false
	}
	if in.Metrics.Retried != nil {
		in.Metrics.Retried()
	}
	return interval.Sleep(ctx, backoff/2+rand.N(backoff))
}

// pick waits a little for a place at an upstream.
func (in *Intake) pick(ctx context.Context, not string) (contract.Upstream, bool) {
	end := time.Now().Add(placeWithin)
	for {
		if u, ok := in.Router.Pick(not); ok {
			return u, true
		}
		if time.Now().After(end) || !interval.Sleep(ctx, placeInterval) {
			return contract.Upstream{}, false
		}
	}
}

func attemptName(o Order) string { return fmt.Sprintf("%s.%s", o.Identity, xid.New()) }

// send makes one call at a place that was picked and checks that the answer belongs to it.
func (in *Intake) send(ctx context.Context, u contract.Upstream, o Order, attempt string) (upstream.Answer, error) {
	call := upstream.Call{Attempt: attempt, Identity: o.Identity, Kind: o.Submission.Kind, Payload: o.Submission.Payload}
	answer, err := in.Upstreams.Run(ctx, u, call)
	in.Router.Done(u.Name, err == nil || errors.Is(err, upstream.ErrFailed))
	if err == nil && !in.belongs(answer, call) {
		return upstream.Answer{}, errors.New("intake: the answer belongs to another request")
	}
	return answer, err
}

// belongs reports whether an answer is that of a call; others are dropped and counted.
func (in *Intake) belongs(a upstream.Answer, c upstream.Call) bool {
	if a.Attempt == c.Attempt && a.Identity == c.Identity {
		return true
	}
	if in.Metrics.Dropped != nil {
		in.Metrics.Dropped()
	}
	return false
}

func (in *Intake) done(o Order, answer upstream.Answer, tries int) request.Reply {
	record := in.finalRecord(o, request.Done, tries)
	record.Answer = answer.Body
	in.remember(record)
	return record.Reply()
}

func (in *Intake) failed(o Order, tries int) request.Reply {
	record := in.finalRecord(o, request.Failed, tries)
	record.Reason = "the work failed at the upstream"
	in.remember(record)
	return record.Reply()
}

func (in *Intake) finalRecord(o Order, outcome request.Outcome, tries int) settlement.Record {
	return settlement.Record{
		Identity: o.Identity, Submission: withoutPayload(o.Submission), Round: o.Round, Received: o.Received,
		Outcome: outcome, Attempt: tries,
	}
}

// remember queues the record of a repeatable request for the table. Where too many wait, as in a long outage, it is
// dropped: the request may be repeated, so losing its record loses no promise.
func (in *Intake) remember(r settlement.Record) {
	select {
	case in.notes <- r:
	default:
	}
}

// noteWriters is the number of records of repeatable requests that wait for the table at once.
const noteWriters = 200

// noteLoop writes the records of repeatable requests with the least priority.
func (in *Intake) noteLoop(ctx context.Context) {
	slots := make(chan struct{}, noteWriters)
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-in.notes:
			slots <- struct{}{}
			go func() {
				defer func() { <-slots }()
				key := settlement.RequestKey(r.Identity)
				_, _ = in.Committer.Do(ctx, table.Op{ // A row that stands there already is the outcome that counts.
					Priority: table.Note,
					Checks:   []table.Check{{Key: key}},
					Writes:   []table.Write{table.Put(key, r)},
				})
			}()
		}
	}
}

// Unrecorded returns the number of settled requests whose record waits.
func (in *Intake) Unrecorded() int {
	in.init()
	return len(in.notes)
}
