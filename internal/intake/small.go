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

// Limits of small requests that are not configurable.
const (
	maxTries     = 4                      // Upstream calls for one request, the first included.
	firstBackoff = 5 * time.Millisecond   // Doubled for each further retry.
	pickTimeout  = 250 * time.Millisecond // Longest wait for an upstream with free capacity.
	pickInterval = 5 * time.Millisecond   // Between two checks for free capacity.
)

// flight is a small request in flight in this box.
type flight struct {
	done  chan struct{}
	reply request.Reply
}

func (in *Intake) inFlight(id request.Identity) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.running[id] != nil
}

// submitSmall settles a small request. A second submission of the same request waits for the first and gets its
// reply.
func (in *Intake) submitSmall(ctx context.Context, req Request) request.Reply {
	in.mu.Lock()
	f := in.running[req.Identity]
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
	in.running[req.Identity] = f
	in.mu.Unlock()
	defer func() {
		in.mu.Lock()
		delete(in.running, req.Identity)
		in.mu.Unlock()
		close(f.done)
	}()
	f.reply = in.settleSmall(ctx, req)
	return f.reply
}

func (in *Intake) settleSmall(ctx context.Context, req Request) request.Reply {
	if !in.Admission.Acquire(in.Config.Site(), req.Submission.Workspace) {
		return in.refuse(ctx, req, "too many requests of the workspace are in flight")
	}
	defer in.Admission.Release(req.Submission.Workspace)
	// A request that was started is completed even if its caller disconnects.
	limit := in.Settings.Limits.UpstreamTimeout
	if d := req.Submission.DeadlineSeconds; d > 0 {
		limit = min(limit, time.Until(req.Submission.Deadline(req.Received)))
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
	defer cancel()
	if req.Submission.AtMostOnce {
		return in.settleOnce(ctx, req)
	}
	return in.settleRepeatable(ctx, req)
}

// settleRepeatable sends a request until it is answered or the retries are used up.
func (in *Intake) settleRepeatable(ctx context.Context, req Request) request.Reply {
	in.Router.RecordFirstTry()
	sent := false // Whether any attempt may have run.
	last := ""
	backoff := firstBackoff
	for try := range maxTries {
		if try > 0 {
			if !in.mayRetry(ctx, backoff) {
				break
			}
			backoff *= 2
		}
		u, ok := in.pick(ctx, last)
		if !ok {
			if !sent {
				return in.refuse(ctx, req, "no upstream has room")
			}
			break
		}
		last = u.Name
		answer, err := in.send(ctx, u, req, attemptName(req))
		switch {
		case err == nil:
			return in.done(req, answer, try+1)
		case errors.Is(err, upstream.ErrFailed):
			return in.failed(req, try+1)
		case !errors.Is(err, upstream.ErrNotRun):
			sent = true
		}
	}
	if !sent {
		return in.refuse(ctx, req, "no upstream took it")
	}
	return unresolved("no upstream answered in time")
}

func (in *Intake) mayRetry(ctx context.Context, backoff time.Duration) bool {
	if !in.Router.TakeRetry() {
		return false
	}
	if in.Metrics.Retried != nil {
		in.Metrics.Retried()
	}
	return interval.Sleep(ctx, backoff/2+rand.N(backoff))
}

// pick returns an upstream with free capacity, other than the one named not, and reserves a place there. It waits up to
// pickTimeout and returns false if there is none.
func (in *Intake) pick(ctx context.Context, not string) (contract.Upstream, bool) {
	end := time.Now().Add(pickTimeout)
	for {
		if u, ok := in.Router.Acquire(not); ok {
			return u, true
		}
		if time.Now().After(end) || !interval.Sleep(ctx, pickInterval) {
			return contract.Upstream{}, false
		}
	}
}

func attemptName(req Request) string { return fmt.Sprintf("%s.%s", req.Identity, xid.New()) }

// send makes one call to an upstream that pick returned and checks that the answer belongs to the call.
func (in *Intake) send(ctx context.Context, u contract.Upstream, req Request, attempt string) (upstream.Answer, error) {
	call := upstream.Call{Attempt: attempt, Identity: req.Identity, Kind: req.Submission.Kind, Payload: req.Submission.Payload}
	answer, err := in.Upstreams.Run(ctx, u, call)
	in.Router.Release(u.Name, err == nil || errors.Is(err, upstream.ErrFailed))
	if err == nil && !in.belongs(answer, call) {
		return upstream.Answer{}, errors.New("intake: the answer belongs to another request")
	}
	return answer, err
}

// belongs reports whether an answer belongs to a call. It counts an answer that does not as dropped.
func (in *Intake) belongs(a upstream.Answer, c upstream.Call) bool {
	if a.Attempt == c.Attempt && a.Identity == c.Identity {
		return true
	}
	if in.Metrics.Dropped != nil {
		in.Metrics.Dropped()
	}
	return false
}

func (in *Intake) done(req Request, answer upstream.Answer, tries int) request.Reply {
	record := in.finalRecord(req, request.Done, tries)
	record.Answer = answer.Body
	in.queueRecord(record)
	return record.Reply()
}

func (in *Intake) failed(req Request, tries int) request.Reply {
	record := in.finalRecord(req, request.Failed, tries)
	record.Reason = "the work failed at the upstream"
	in.queueRecord(record)
	return record.Reply()
}

func (in *Intake) finalRecord(req Request, outcome request.Outcome, tries int) settlement.Record {
	return settlement.Record{
		Identity: req.Identity, Submission: withoutPayload(req.Submission), Round: req.Round, Received: req.Received,
		Outcome: outcome, Attempt: tries,
	}
}

// queueRecord queues the record of a repeatable request for the table. If the queue is full, as in a long outage, the
// record is dropped. That breaks no guarantee, because the request may be repeated.
func (in *Intake) queueRecord(r settlement.Record) {
	select {
	case in.records <- r:
	default:
	}
}

// recordWriters is the number of records of repeatable requests that are committed concurrently.
const recordWriters = 200

// recordLoop commits the records of repeatable requests with the lowest priority.
func (in *Intake) recordLoop(ctx context.Context) {
	slots := make(chan struct{}, recordWriters)
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-in.records:
			slots <- struct{}{}
			go func() {
				defer func() { <-slots }()
				key := settlement.RequestKey(r.Identity)
				_, _ = in.Committer.Do(ctx, table.Op{ // Fails if a row exists; that row has precedence.
					Priority: table.Note,
					Checks:   []table.Check{{Key: key}},
					Writes:   []table.Write{table.Put(key, r)},
				})
			}()
		}
	}
}

// Unrecorded returns the number of settled requests whose records are queued.
func (in *Intake) Unrecorded() int {
	in.init()
	return len(in.records)
}
