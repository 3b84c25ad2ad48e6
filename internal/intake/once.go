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

// Times of at-most-once requests that are no settings.
const (
	fenceTimeout  = time.Second
	fenceInterval = 200 * time.Millisecond
	settleWithin  = 10 * time.Second
	sweepInterval = time.Second
	clockMargin   = 5 * time.Second // By which the clocks of two boxes differ at the most.
	sweepMargin   = 5 * time.Second // Added to the time that the sending box has for a request.
)

// sent is an at-most-once request whose row says where it is sent.
type sent struct {
	record      settlement.Record
	version     int64 // Of its request row.
	openVersion int64 // Of its open row.
	// slept is how long the machine had been suspended in all by the instant in its row, or, where that is read from the row, by then: the time of day goes on.
	slept time.Duration
}

// settleOnce records where a request will be sent, sends it once, and settles it.
func (in *Intake) settleOnce(ctx context.Context, o Order) request.Reply {
	u, ok := in.pick(ctx, "")
	if !ok {
		return in.refuse(ctx, o, "no upstream has room")
	}
	version, reply, blocked := in.place(ctx, o)
	if blocked {
		in.Router.Done(u.Name, true)
		return reply
	}
	record := in.finalRecord(o, request.Accepted, 1)
	record.Sending = &settlement.Sending{Box: in.Box, Upstream: u.Name, Attempt: attemptName(o)}
	s, err := in.recordSending(ctx, o, record, version)
	if err != nil {
		in.Router.Done(u.Name, true)
		switch {
		case errors.Is(err, table.ErrQueueFull):
			return in.refuse(ctx, o, "too much waits for the table")
		case errors.Is(err, table.ErrUnavailable):
			return in.refuse(ctx, o, "the table is out")
		}
		return in.afterConflict(ctx, o, err)
	}
	return in.sendOnce(ctx, o, s, u)
}

// sendOnce sends a recorded request. An upstream that surely did not run it makes another one possible, recorded anew.
func (in *Intake) sendOnce(ctx context.Context, o Order, s *sent, u contract.Upstream) request.Reply {
	for try := 1; ; try++ {
		in.note(o.Identity, s.record.Sending.Attempt, "sent once to "+u.Name)
		answer, err := in.send(ctx, u, o, s.record.Sending.Attempt)
		if !errors.Is(err, upstream.ErrNotRun) || try == mostTries {
			return in.settleSent(ctx, s, answer, err)
		}
		next, ok := in.pick(ctx, u.Name)
		if !ok {
			return in.settleSent(ctx, s, answer, err)
		}
		if err := in.redirect(ctx, o, s, next); err != nil {
			in.Router.Done(next.Name, true)
			return in.afterConflict(ctx, o, err)
		}
		u = next
	}
}

// redirect records another upstream for a request that surely did not run.
func (in *Intake) redirect(ctx context.Context, o Order, s *sent, u contract.Upstream) error {
	record := s.record
	record.Attempt++
	record.Sending = &settlement.Sending{Box: in.Box, Upstream: u.Name, Attempt: attemptName(o)}
	key := settlement.RequestKey(o.Identity)
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

// recordSending commits the row that must stand before an at-most-once request is sent.
func (in *Intake) recordSending(ctx context.Context, o Order, record settlement.Record, version int64) (*sent, error) {
	slept := in.slept() // It is not sent before.
	requestKey, openKey := settlement.RequestKey(o.Identity), settlement.OpenKey(o.Identity)
	open := settlement.Open{Identity: o.Identity, Box: in.Box, Expires: time.Now().Add(in.Settings.Limits.UpstreamTimeout + sweepMargin)}
	limit := acceptWithin
	if o.Submission.OnOutage == "refuse" {
		limit = refuseWithin
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	revision, err := in.Committer.Do(ctx, table.Op{
		Priority: table.Accept,
		Checks:   []table.Check{{Key: requestKey, Version: version}, {Key: openKey}},
		Writes:   []table.Write{table.Put(requestKey, record), table.Put(openKey, open)},
	})
	return &sent{record: record, version: revision, openVersion: revision, slept: slept}, err
}

// settleSent turns what came back from the only sending into an outcome.
func (in *Intake) settleSent(ctx context.Context, s *sent, answer upstream.Answer, err error) request.Reply {
	switch {
	case err == nil:
		return in.settleRow(ctx, s, request.Done, answer.Body, "")
	case errors.Is(err, upstream.ErrFailed):
		return in.settleRow(ctx, s, request.Failed, nil, "the work failed at the upstream")
	case errors.Is(err, upstream.ErrNotRun):
		return in.settleRow(ctx, s, request.NotRun, nil, "the upstream did not take it")
	}
	return in.findOut(ctx, s)
}

// findOut asks the upstream what became of an attempt and forbids it to start, until it is known or ctx ends.
func (in *Intake) findOut(ctx context.Context, s *sent) request.Reply {
	for {
		if reply, known := in.tryFindOut(ctx, s); known {
			return reply
		}
		if !interval.Sleep(ctx, fenceInterval) {
			return unresolved("the upstream can't be asked whether it ran")
		}
	}
}

// tryFindOut asks once and settles what it learns.
func (in *Intake) tryFindOut(ctx context.Context, s *sent) (request.Reply, bool) {
	u, ok := in.Config.Site().Upstream(s.record.Sending.Upstream)
	if !ok { // It may come back with another configuration; until then nobody can know.
		return request.Reply{}, false
	}
	within, cancel := context.WithTimeout(context.WithoutCancel(ctx), fenceTimeout)
	defer cancel()
	fate, answer, err := in.Upstreams.Fence(within, u, s.record.Sending.Attempt, in.age(s))
	if err != nil {
		return request.Reply{}, false
	}
	switch fate {
	case upstream.Ran:
		if answer.Identity != s.record.Identity || answer.Attempt != s.record.Sending.Attempt {
			return in.settleRow(ctx, s, request.Failed, nil, "it ran and its answer is lost"), true
		}
		return in.settleRow(ctx, s, request.Done, answer.Body, ""), true
	case upstream.Never:
		return in.settleRow(ctx, s, request.NotRun, nil, "it never reached the upstream"), true
	case upstream.Lost:
		return in.settleRow(ctx, s, request.Unresolved, nil, settlement.ReasonForgotten), true
	}
	return request.Reply{}, false
}

// age returns how long ago a request was sent at the most, as the upstream hears it; the instant in its row is by the clock of the box that took it. A question that comes later
// than fenceTimeout is not waited for any more.
func (in *Intake) age(s *sent) time.Duration {
	age := time.Since(s.record.Received) + max(in.slept()-s.slept, 0) + fenceTimeout
	if s.record.Sending.Box != in.Box {
		age += clockMargin
	}
	return age
}

// slept is how long the machine has been suspended in all, as far as anything tells.
func (in *Intake) slept() time.Duration {
	if in.Slept == nil {
		return 0
	}
	return in.Slept()
}

// settleRow commits the outcome of an at-most-once request; its caller is told only what the table holds.
func (in *Intake) settleRow(ctx context.Context, s *sent, outcome request.Outcome, answer json.RawMessage, reason string) request.Reply {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleWithin)
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
	requestKey, openKey := settlement.RequestKey(record.Identity), settlement.OpenKey(record.Identity)
	_, err = in.Committer.Do(ctx, table.Op{
		Priority: table.Settle,
		Checks:   []table.Check{{Key: requestKey, Version: s.version}, {Key: openKey, Version: s.openVersion}},
		Writes:   []table.Write{table.Put(requestKey, record), table.Drop(openKey)},
	})
	if err != nil {
		return in.afterConflict(ctx, Order{Identity: record.Identity}, err)
	}
	in.note(record.Identity, "", "settled: "+string(outcome))
	reply := record.Reply()
	reply.Answer = answer
	in.waiters.deliver(record.Identity, record.Round, reply)
	return reply
}

// openBook follows the rows of unfinished at-most-once requests.
type openBook struct {
	revision int64
	rows     map[string]table.Row
}

// sweep finishes at-most-once requests whose box is gone or is late.
func (in *Intake) sweep(ctx context.Context) {
	if !in.Sweeps() || in.Config.Site() == nil {
		return
	}
	rows, err := in.openRows(ctx)
	if err != nil {
		return
	}
	for _, row := range rows {
		var open settlement.Open
		if settlement.Decode(row, &open) != nil {
			continue
		}
		abandoned := !in.Alive(open.Box) || time.Now().After(open.Expires)
		if abandoned && !in.inFlight(open.Identity) {
			in.finishOpen(ctx, row, open)
		}
	}
}

// openRows brings the book up to date and returns its rows.
func (in *Intake) openRows(ctx context.Context) ([]table.Row, error) {
	b := &in.open // Only the sweep reads and writes it.
	if b.rows == nil {
		b.rows = map[string]table.Row{}
	}
	rows, revision, err := in.Table.Changes(ctx, settlement.OpenPrefix, b.revision, pollRows)
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

// finishOpen finds out what became of a request that its box left open.
func (in *Intake) finishOpen(ctx context.Context, row table.Row, open settlement.Open) {
	record, version, err := in.read(ctx, open.Identity)
	if err != nil || record.Sending == nil {
		return
	}
	s := &sent{record: *record, version: version, openVersion: row.Version, slept: in.slept()}
	if reply, known := in.tryFindOut(ctx, s); known {
		in.note(open.Identity, record.Sending.Attempt, "finished for "+strings.TrimSpace(open.Box)+": "+string(reply.Outcome))
	}
}
