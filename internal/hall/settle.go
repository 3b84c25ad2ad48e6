package hall

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/decider"
	"github.com/pulleyring/pulleyring/internal/interval"
	"github.com/pulleyring/pulleyring/internal/link"
	"github.com/pulleyring/pulleyring/internal/object"
	"github.com/pulleyring/pulleyring/internal/settlement"
	"github.com/pulleyring/pulleyring/internal/table"
	"github.com/pulleyring/pulleyring/internal/worker"
	"github.com/pulleyring/pulleyring/pkg/request"
)

// writeTimeout bounds one attempt at a row; what stays open is judged anew from the rows.
const writeTimeout = 10 * time.Second

// settlePause is the mean pause after a settlement that could not be written.
const settlePause = 500 * time.Millisecond

// halt writes that an attempt is to stop and then stops it; nothing is stopped that no row says to stop.
func (k *Keeper) halt(ctx context.Context, e *Entry, halt settlement.Halt) {
	next, err := e.Job.Stop(halt)
	if err != nil {
		return
	}
	revision, err := k.write(ctx, e, next, table.Reclaim)
	if err != nil {
		return
	}
	k.note(e.Key(), e.Attempt, "told to stop: "+halt.Reason)
	k.stopSeats(ctx, &Entry{Job: next, Version: revision})
}

// write commits a job's row in place of the version that the entry has.
func (k *Keeper) write(ctx context.Context, e *Entry, next settlement.Job, priority table.Priority) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	key := settlement.JobKey(k.Hall, e.Identity)
	revision, err := k.Committer.Do(ctx, table.Op{
		Priority: priority,
		Checks:   []table.Check{{Key: key, Version: e.Version}},
		Writes:   []table.Write{table.Put(key, next)},
	})
	if err != nil {
		k.Stale()
		return 0, err
	}
	k.Book.Put(next, revision)
	return revision, nil
}

// stopSeats checkpoints the members where there is time for it and stops them.
func (k *Keeper) stopSeats(ctx context.Context, e *Entry) {
	workers := k.workersByName()
	if e.Submission.Checkpoints && !e.Halt.AtOnce {
		k.stepSeats(ctx, workers, e.Seats, worker.Checkpoint, e.Attempt, 0)
	}
	if !k.stepSeats(ctx, workers, e.Seats, worker.Stop, e.Attempt, 0) {
		interval.Sleep(ctx, stepTimeout/2) // Some could not be reached; the next try comes after a pause.
	}
}

// requeue writes that the job waits again, with what its checkpoint holds.
func (k *Keeper) requeue(ctx context.Context, e *Entry, sights []settlement.Sight) {
	done := 0.0
	if e.Submission.Checkpoints {
		done = settlement.Saved(sights)
	}
	next, err := e.Job.Requeue(done, ranAny(sights))
	if err != nil {
		return
	}
	next.Failures = k.noteFailures(e, sights)
	if counts, late := k.judgeLoss(e, sights); counts && len(next.Failures) == len(e.Failures) {
		next.Losses++
		if late {
			next.LateLosses++
		}
	}
	if _, err := k.write(ctx, e, next, table.Settle); err == nil {
		k.note(e.Key(), e.Attempt, "waits again")
	}
}

func ranAny(sights []settlement.Sight) bool {
	for _, s := range sights {
		if !s.Known || s.Task.State.Ran() || s.Task.State == worker.Unknown {
			return true
		}
	}
	return false
}

// noteFailures tells the health which workers failed a member and returns the job's list with them.
func (k *Keeper) noteFailures(e *Entry, sights []settlement.Sight) []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	list := e.Failures
	for i, s := range sights {
		if s.Known && s.Task.State == worker.Failed {
			k.known[e.Key()] = true
			k.health.Failed(e.Seats[i].Worker, e.Key(), time.Now())
			list = append(list[:len(list):len(list)], e.Seats[i].Worker)
		}
	}
	return list
}

// finish settles a job whose attempt has ended.
func (k *Keeper) finish(ctx context.Context, e *Entry, sights []settlement.Sight, outcome request.Outcome) {
	var answer json.RawMessage
	if outcome == request.Done {
		answer = settlement.Answers(sights)
		k.learn(e, sights)
	}
	if outcome == request.Failed {
		k.noteFailures(e, sights)
	}
	if outcome != request.Done {
		k.note(e.Key(), e.Attempt, "ended: "+seen(e, sights))
	}
	v := verdict{outcome: outcome, answer: answer, reason: outcomeReason(e, outcome)}
	if outcome == request.Unresolved && k.mayBeListed(e, sights) {
		left := e.Job
		left.Unsettled = true
		v.left = &left
	}
	k.settle(ctx, e, v)
}

// unsettledFor is how long the row of a gang stays after its caller was told that nobody can find out whether it ran.
const unsettledFor = 24 * time.Hour

// mayBeListed reports whether a worker that can't be asked may still list how an attempt ended there, once it is back.
func (k *Keeper) mayBeListed(e *Entry, sights []settlement.Sight) bool {
	silent := func(s settlement.Sight) bool { return s.Expired && !s.Traceless }
	return slices.ContainsFunc(sights, silent) && time.Since(e.Stopping) < unsettledFor
}

// seen puts what is known of the seats into words.
func seen(e *Entry, sights []settlement.Sight) string {
	text := ""
	for i, s := range sights {
		state := string(s.Task.State)
		switch {
		case s.Expired:
			state = "lost, its lease is over"
		case s.Lost:
			state = "lost"
		case !s.Known:
			state = "not heard lately"
		}
		text += e.Seats[i].Worker + " " + state + "; "
	}
	return text
}

// learn takes the run time of a finished job into the estimates.
func (k *Keeper) learn(e *Entry, sights []settlement.Sight) {
	longest := 0.0
	for _, s := range sights {
		longest = max(longest, s.Task.RanSeconds)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, seat := range e.Seats {
		k.health.Succeeded(seat.Worker, e.Key())
	}
	k.estimates.Observe(e.Submission.Workspace, e.Submission.Kind, e.Submission.DeclaredSeconds, e.Done+longest)
}

// verdict is what a job is settled with.
type verdict struct {
	outcome request.Outcome
	answer  json.RawMessage
	reason  string
	left    *settlement.Job // What stays of the job's row; nil drops it.
}

// settle writes a job's outcome, drops its row, and tells the box where its caller waits.
func (k *Keeper) settle(ctx context.Context, e *Entry, v verdict) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	reply, revision, err := k.trySettle(ctx, e, v)
	if err != nil {
		k.Log.Debug("hall: a settlement is open: "+err.Error(), k.field(e))
		k.Stale()
		interval.Sleep(ctx, settlePause/2+rand.N(settlePause))
		return
	}
	if v.left != nil {
		k.Book.Put(*v.left, revision) // Which keeps it where settledAt drops what is older.
	}
	k.settledAt(e, revision, reply)
}

// settledAt notes a committed settlement and tells the box where the caller waits.
func (k *Keeper) settledAt(e *Entry, revision int64, reply request.Reply) {
	k.Book.Drop(e.Key(), revision)
	k.mu.Lock()
	k.health.Forget(e.Key())
	k.mu.Unlock()
	k.note(e.Key(), e.Attempt, "settled: "+string(reply.Outcome))
	k.Settled(e.Box, link.Settled{Identity: e.Identity, Reply: reply, Round: e.Round})
}

func (k *Keeper) trySettle(ctx context.Context, e *Entry, v verdict) (request.Reply, int64, error) {
	requestKey := settlement.RequestKey(e.Identity)
	jobKey := settlement.JobKey(k.Hall, e.Identity)
	rows, err := k.Book.Table.Read(ctx, []string{requestKey})
	if err != nil {
		return request.Reply{}, 0, errors.Wrap(err, "hall: unable to read a request")
	}
	job := table.Drop(jobKey)
	if v.left != nil {
		job = table.Put(jobKey, *v.left)
	}
	op := table.Op{Priority: table.Settle, Checks: []table.Check{{Key: jobKey, Version: e.Version}}, Writes: []table.Write{job}}
	var record settlement.Record
	if err := settlement.Decode(rows[0], &record); err != nil {
		return request.Reply{}, 0, err
	}
	if !record.Outcome.Final() {
		record, err = record.Settle(v.outcome, v.answer, v.reason)
		if err != nil {
			return request.Reply{}, 0, err
		}
		record.Attempt = e.Number
		if err := k.storeLarge(ctx, &record); err != nil {
			return request.Reply{}, 0, err
		}
		op.Checks = append(op.Checks, table.Check{Key: requestKey, Version: rows[0].Version})
		op.Writes = append(op.Writes, table.Put(requestKey, record))
	}
	revision, err := k.Committer.Do(ctx, op)
	reply := record.Reply()
	reply.Answer = v.answer
	return reply, revision, err
}

// storeLarge moves an answer that is too large for a row to the object store.
func (k *Keeper) storeLarge(ctx context.Context, r *settlement.Record) error {
	key, err := object.PutLarge(ctx, k.Objects, r.Identity.String(), r.Answer, k.Settings.Limits.AnswerInlineBytes)
	if key != "" && err == nil {
		r.Answer, r.AnswerObject = nil, key
	}
	return err
}

// Limits of moves between halls.
const (
	movesPerPass = 20
	firstMove    = 3 * time.Second // Wait before the first move; each further one waits as much longer.
)

// move sends waiting jobs that another hall has room for there.
func (k *Keeper) move(ctx context.Context, v *decider.View, loads []link.Load, waits []decider.Wait) {
	moved := 0
	for _, w := range waits {
		if moved == movesPerPass {
			return
		}
		e := k.Book.Job(v.Waiting[w.Job].Key)
		if e == nil || e.State != settlement.Waiting || v.Now.Sub(e.Received) < firstMove*time.Duration(e.Moves+1) {
			continue
		}
		if to := k.roomElsewhere(loads, e); to != "" {
			moved++
			k.spawn(e.Key(), func() { k.moveTo(ctx, e, to) })
		}
	}
}

// roomElsewhere returns a hall that has room for a job now, and takes the room out of the loads.
func (k *Keeper) roomElsewhere(loads []link.Load, e *Entry) string {
	need := e.Submission.Gang * e.Submission.Shape.Accelerators
	for i := range loads {
		l := &loads[i]
		room := l.Largest
		if e.Submission.AtMostOnce && !e.Submission.Checkpoints {
			room = max(l.Firm, l.PledgeFree[e.Submission.Workspace])
		}
		if l.Hall == k.Hall || l.Waiting > 0 || room < need || need == 0 {
			continue
		}
		l.Largest, l.Firm = l.Largest-need, l.Firm-need
		return l.Hall
	}
	return ""
}

func (k *Keeper) moveTo(ctx context.Context, e *Entry, to string) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	requestKey := settlement.RequestKey(e.Identity)
	rows, err := k.Book.Table.Read(ctx, []string{requestKey})
	if err != nil {
		return
	}
	var record settlement.Record
	if settlement.Decode(rows[0], &record) != nil || record.Outcome.Final() {
		return
	}
	next := e.Job
	next.Moves++
	record.Hall = to
	from, target := settlement.JobKey(k.Hall, e.Identity), settlement.JobKey(to, e.Identity)
	revision, err := k.Committer.Do(ctx, table.Op{
		Priority: table.Start,
		Checks:   []table.Check{{Key: from, Version: e.Version}, {Key: target}, {Key: requestKey, Version: rows[0].Version}},
		Writes:   []table.Write{table.Drop(from), table.Put(target, next), table.Put(requestKey, record)},
	})
	if err != nil {
		k.Stale()
		return
	}
	k.Book.Drop(e.Key(), revision)
	k.note(e.Key(), "", "moved to "+to)
	k.News(settlement.HallPrefix(to))
}
