package intake

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/interval"
	"github.com/pulleyring/pulleyring/internal/object"
	"github.com/pulleyring/pulleyring/internal/settlement"
	"github.com/pulleyring/pulleyring/internal/table"
	"github.com/pulleyring/pulleyring/internal/upstream"
	"github.com/pulleyring/pulleyring/pkg/contract"
	"github.com/pulleyring/pulleyring/pkg/request"
)

// Times of at-most-once requests that are not configurable.
const (
	fenceTimeout  = time.Second            // Timeout of one Fence call to an upstream.
	fenceInterval = 200 * time.Millisecond // Between two Fence calls for the same attempt.
	settleTimeout = 10 * time.Second       // Timeout of committing an outcome.
	sweepInterval = time.Second            // Between two sweeps of the pending requests.
	clockMargin   = 5 * time.Second        // Largest difference between the clocks of two boxes.
	sweepMargin   = 5 * time.Second        // Added to the upstream timeout before other boxes may settle a request.
)

// sentRequest is an at-most-once request whose row records where it is sent.
type sentRequest struct {
	record         settlement.Record
	version        int64 // Version of its request row.
	pendingVersion int64 // Version of its pending request row.
	// suspendedBefore is the total time for which the machine had been suspended when the request was recorded. If
	// the row was read from the table, it is the total at the time of the read: the wall clock includes any
	// suspension before.
	suspendedBefore time.Duration
}

// settleOnce records where a request will be sent, sends it once, and settles it.
func (in *Intake) settleOnce(ctx context.Context, req Request) request.Reply {
	u, ok := in.pick(ctx, "")
	if !ok {
		return in.refuse(ctx, req, "no upstream has room")
	}
	version, reply, blocked := in.replaceableVersion(ctx, req)
	if blocked {
		in.Router.Release(u.Name, true)
		return reply
	}
	record := in.finalRecord(req, request.Accepted, 1)
	record.Sending = &settlement.Sending{Box: in.Box, Upstream: u.Name, Attempt: attemptName(req)}
	s, err := in.recordSending(ctx, req, record, version)
	if err != nil {
		in.Router.Release(u.Name, true)
		switch {
		case errors.Is(err, table.ErrQueueFull):
			return in.refuse(ctx, req, "too much waits for the table")
		case errors.Is(err, table.ErrUnavailable):
			return in.refuse(ctx, req, "the table is out")
		}
		return in.replyAfterFailedCommit(ctx, req, err)
	}
	return in.sendOnce(ctx, req, s, u)
}

// sendOnce sends a recorded request. If the upstream certainly did not run it, another upstream is recorded and
// tried, up to maxTries in all.
func (in *Intake) sendOnce(ctx context.Context, req Request, s *sentRequest, u contract.Upstream) request.Reply {
	for try := 1; ; try++ {
		in.addEvent(req.Identity, s.record.Sending.Attempt, "sent once to "+u.Name)
		answer, err := in.send(ctx, u, req, s.record.Sending.Attempt)
		if !errors.Is(err, upstream.ErrNotRun) || try == maxTries {
			return in.settleResult(ctx, s, answer, err)
		}
		next, ok := in.pick(ctx, u.Name)
		if !ok {
			return in.settleResult(ctx, s, answer, err)
		}
		if err := in.redirect(ctx, req, s, next); err != nil {
			in.Router.Release(next.Name, true)
			return in.replyAfterFailedCommit(ctx, req, err)
		}
		u = next
	}
}

// redirect records another upstream for a request that certainly did not run.
func (in *Intake) redirect(ctx context.Context, req Request, s *sentRequest, u contract.Upstream) error {
	record := s.record
	record.Attempt++
	record.Sending = &settlement.Sending{Box: in.Box, Upstream: u.Name, Attempt: attemptName(req)}
	key := settlement.RequestKey(req.Identity)
	revision, err := in.Committer.Do(ctx, table.Op{
		Priority: table.Start,
		Checks:   []table.Check{{Key: key, Version: s.version}},
		Writes:   []table.Write{table.Put(key, record)},
	})
	if err != nil {
		return err
	}
	s.record, s.version = record, revision
	return nil
}

// recordSending commits the rows that must exist before an at-most-once request is sent.
func (in *Intake) recordSending(ctx context.Context, req Request, record settlement.Record, version int64) (*sentRequest, error) {
	suspendedBefore := in.suspendedTime() // Taken before the request is sent, so that its age is never underestimated.
	requestKey, pendingKey := settlement.RequestKey(req.Identity), settlement.PendingRequestKey(req.Identity)
	pending := settlement.PendingRequest{Identity: req.Identity, Box: in.Box, Expires: time.Now().Add(in.Settings.Limits.UpstreamTimeout + sweepMargin)}
	limit := acceptTimeout
	if req.Submission.OnOutage == "refuse" {
		limit = refuseTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	revision, err := in.Committer.Do(ctx, table.Op{
		Priority: table.Accept,
		Checks:   []table.Check{{Key: requestKey, Version: version}, {Key: pendingKey}},
		Writes:   []table.Write{table.Put(requestKey, record), table.Put(pendingKey, pending)},
	})
	return &sentRequest{record: record, version: revision, pendingVersion: revision, suspendedBefore: suspendedBefore}, err
}

// settleResult settles a request with the result of sending it. If the result is unclear, it asks the upstream.
func (in *Intake) settleResult(ctx context.Context, s *sentRequest, answer upstream.Answer, err error) request.Reply {
	switch {
	case err == nil:
		return in.settleRow(ctx, s, request.Done, answer.Body, "")
	case errors.Is(err, upstream.ErrFailed):
		return in.settleRow(ctx, s, request.Failed, nil, "the work failed at the upstream")
	case errors.Is(err, upstream.ErrNotRun):
		return in.settleRow(ctx, s, request.NotRun, nil, "the upstream did not take it")
	}
	return in.resolve(ctx, s)
}

// resolve asks the upstream for the outcome of an attempt, and forbids the attempt to start, until the outcome is
// known or ctx ends.
func (in *Intake) resolve(ctx context.Context, s *sentRequest) request.Reply {
	for {
		if reply, known := in.tryResolve(ctx, s); known {
			return reply
		}
		if !interval.Sleep(ctx, fenceInterval) {
			return unresolved("the upstream can't be asked whether it ran")
		}
	}
}

// tryResolve asks the upstream once and settles the request if the outcome is known. It reports whether it is.
func (in *Intake) tryResolve(ctx context.Context, s *sentRequest) (request.Reply, bool) {
	u, ok := in.Config.Site().Upstream(s.record.Sending.Upstream)
	if !ok { // The upstream was removed from the configuration. It can be asked only if it is added again.
		return request.Reply{}, false
	}
	within, cancel := context.WithTimeout(context.WithoutCancel(ctx), fenceTimeout)
	defer cancel()
	result, answer, err := in.Upstreams.Fence(within, u, s.record.Sending.Attempt, in.maxAge(s))
	if err != nil {
		return request.Reply{}, false
	}
	switch result {
	case upstream.Ran:
		if answer.Identity != s.record.Identity || answer.Attempt != s.record.Sending.Attempt {
			return in.settleRow(ctx, s, request.Failed, nil, "it ran and its answer is lost"), true
		}
		return in.settleRow(ctx, s, request.Done, answer.Body, ""), true
	case upstream.Never:
		return in.settleRow(ctx, s, request.NotRun, nil, "it never reached the upstream"), true
	case upstream.Lost:
		return in.settleRow(ctx, s, request.Unresolved, nil, settlement.ReasonUpstreamLostRecords), true
	}
	return request.Reply{}, false
}

// maxAge returns an upper limit of the time since a request was sent, as of the moment when the Fence call reaches
// the upstream. That call may take up to fenceTimeout. The time in the row is by the clock of the box that accepted
// the request, so clockMargin is added in another box.
func (in *Intake) maxAge(s *sentRequest) time.Duration {
	age := time.Since(s.record.Received) + max(in.suspendedTime()-s.suspendedBefore, 0) + fenceTimeout
	if s.record.Sending.Box != in.Box {
		age += clockMargin
	}
	return age
}

// suspendedTime returns the total time for which the machine has been suspended, or 0 if that is unknown.
func (in *Intake) suspendedTime() time.Duration {
	if in.Suspended == nil {
		return 0
	}
	return in.Suspended()
}

// settleRow commits the outcome of an at-most-once request and returns the reply to its caller. The caller gets an
// outcome only after it is in the table.
func (in *Intake) settleRow(ctx context.Context, s *sentRequest, outcome request.Outcome, answer json.RawMessage, reason string) request.Reply {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	record, err := s.record.Settle(outcome, answer, reason)
	if err != nil {
		return s.record.Reply()
	}
	key, err := object.PutLarge(ctx, in.Objects, record.Identity.String(), record.Answer, in.Settings.Limits.AnswerInlineBytes)
	if err != nil {
		return unresolved("the object store did not take the answer")
	}
	if key != "" {
		record.Answer, record.AnswerObject = nil, key
	}
	requestKey, pendingKey := settlement.RequestKey(record.Identity), settlement.PendingRequestKey(record.Identity)
	_, err = in.Committer.Do(ctx, table.Op{
		Priority: table.Settle,
		Checks:   []table.Check{{Key: requestKey, Version: s.version}, {Key: pendingKey, Version: s.pendingVersion}},
		Writes:   []table.Write{table.Put(requestKey, record), table.Delete(pendingKey)},
	})
	if err != nil {
		return in.replyAfterFailedCommit(ctx, Request{Identity: record.Identity}, err)
	}
	in.addEvent(record.Identity, "", "settled: "+string(outcome))
	reply := record.Reply()
	reply.Answer = answer
	in.waiters.deliver(record.Identity, record.Round, reply)
	return reply
}

// pendingRows is a copy of the pending request rows.
type pendingRows struct {
	revision int64 // Revision of the table up to which the copy is complete.
	rows     map[string]table.Row
}

// sweep settles pending at-most-once requests whose box is no longer alive or did not settle them in time.
func (in *Intake) sweep(ctx context.Context) {
	if !in.SettlesPending() || in.Config.Site() == nil {
		return
	}
	rows, err := in.pendingRows(ctx)
	if err != nil {
		return
	}
	for _, row := range rows {
		var pending settlement.PendingRequest
		if settlement.Decode(row, &pending) != nil {
			continue
		}
		abandoned := !in.Alive(pending.Box) || time.Now().After(pending.Expires)
		if abandoned && !in.inFlight(pending.Identity) {
			in.settlePending(ctx, row, pending)
		}
	}
}

// pendingRows updates the copy of the pending request rows and returns the rows.
func (in *Intake) pendingRows(ctx context.Context) ([]table.Row, error) {
	b := &in.pending // Only sweep uses it, so it needs no lock.
	if b.rows == nil {
		b.rows = map[string]table.Row{}
	}
	rows, revision, err := in.Table.Changes(ctx, settlement.PendingRequestPrefix, b.revision, pollRows)
	if err != nil {
		return nil, err
	}
	for _, row := range rows {
		if row.Deleted {
			delete(b.rows, row.Key)
			continue
		}
		b.rows[row.Key] = row
	}
	b.revision = revision
	list := make([]table.Row, 0, len(b.rows))
	for _, row := range b.rows {
		list = append(list, row)
	}
	return list, nil
}

// settlePending tries to settle a request that its box left pending.
func (in *Intake) settlePending(ctx context.Context, row table.Row, pending settlement.PendingRequest) {
	record, version, err := in.read(ctx, pending.Identity)
	if err != nil || record.Sending == nil {
		return
	}
	s := &sentRequest{record: *record, version: version, pendingVersion: row.Version, suspendedBefore: in.suspendedTime()}
	if reply, known := in.tryResolve(ctx, s); known {
		in.addEvent(pending.Identity, record.Sending.Attempt, "finished for "+strings.TrimSpace(pending.Box)+": "+string(reply.Outcome))
	}
}
