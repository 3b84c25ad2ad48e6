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

// writeTimeout is the timeout for writing a row. After a failure, the next pass decides again from the rows.
const writeTimeout = 10 * time.Second

// settleRetryPause is the mean pause after a settlement could not be written.
const settleRetryPause = 500 * time.Millisecond

// stop commits that an attempt must stop, and then stops it. It stops nothing if the commit fails.
func (c *Controller) stop(ctx context.Context, j *CachedJob, stop settlement.Halt) {
	next, err := j.Job.Stop(stop)
	if err != nil {
		return
	}
	revision, err := c.write(ctx, j, next, table.Reclaim)
	if err != nil {
		return
	}
	c.recordEvent(j.Key(), j.Attempt, "told to stop: "+stop.Reason)
	c.stopWorkers(ctx, &CachedJob{Job: next, Version: revision})
}

// write replaces a job's row if it still has the version of j, and returns the new version.
func (c *Controller) write(ctx context.Context, j *CachedJob, next settlement.Job, priority table.Priority) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	key := settlement.JobKey(c.Hall, j.Identity)
	revision, err := c.Committer.Do(ctx, table.Op{
		Priority: priority,
		Checks:   []table.Check{{Key: key, Version: j.Version}},
		Writes:   []table.Write{table.Put(key, next)},
	})
	if err != nil {
		c.MarkStale()
		return 0, err
	}
	c.Rows.Put(next, revision)
	return revision, nil
}

// stopWorkers stops an attempt at all its workers, after a checkpoint if the job has checkpoints and need not stop
// at once.
func (c *Controller) stopWorkers(ctx context.Context, j *CachedJob) {
	workers := c.workersByName()
	if j.Submission.Checkpoints && !j.Halt.AtOnce {
		c.sendStep(ctx, workers, j.Placements, worker.Checkpoint, j.Attempt, 0)
	}
	if !c.sendStep(ctx, workers, j.Placements, worker.Stop, j.Attempt, 0) {
		interval.Sleep(ctx, stepTimeout/2) // Some workers could not be reached; the next pass retries.
	}
}

// requeue commits that the job waits again, with the progress of its last checkpoint.
func (c *Controller) requeue(ctx context.Context, j *CachedJob, states []settlement.WorkerState) {
	done := 0.0
	if j.Submission.Checkpoints {
		done = settlement.CheckpointedWork(states)
	}
	next, err := j.Job.Requeue(done, mayHaveRun(states))
	if err != nil {
		return
	}
	next.Failures = c.recordFailures(j, states)
	if counts, late := c.classifyLoss(j, states); counts && len(next.Failures) == len(j.Failures) {
		next.Losses++
		if late {
			next.LateLosses++
		}
	}
	if _, err := c.write(ctx, j, next, table.Settle); err == nil {
		c.recordEvent(j.Key(), j.Attempt, "waits again")
	}
}

// mayHaveRun reports whether any member ran or may have run.
func mayHaveRun(states []settlement.WorkerState) bool {
	for _, s := range states {
		if !s.Known || s.Task.State.Ran() || s.Task.State == worker.Unknown {
			return true
		}
	}
	return false
}

// recordFailures adds failed members to the health of their workers. It returns the job's list of failures, extended
// by these workers.
func (c *Controller) recordFailures(j *CachedJob, states []settlement.WorkerState) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := j.Failures
	for i, s := range states {
		if s.Known && s.Task.State == worker.Failed {
			c.failuresLoaded[j.Key()] = true
			c.health.RecordFailure(j.Placements[i].Worker, j.Key(), time.Now())
			list = append(list[:len(list):len(list)], j.Placements[i].Worker)
		}
	}
	return list
}

// finish settles a job whose attempt has ended.
func (c *Controller) finish(ctx context.Context, j *CachedJob, states []settlement.WorkerState, outcome request.Outcome) {
	var answer json.RawMessage
	if outcome == request.Done {
		answer = settlement.Answers(states)
		c.recordRunTime(j, states)
	}
	if outcome == request.Failed {
		c.recordFailures(j, states)
	}
	if outcome != request.Done {
		c.recordEvent(j.Key(), j.Attempt, "ended: "+describeStates(j, states))
	}
	r := result{outcome: outcome, answer: answer, reason: outcomeReason(j, outcome)}
	if outcome == request.Unresolved && c.mayStillReport(j, states) {
		remaining := j.Job
		remaining.Unsettled = true
		r.remainingRow = &remaining
	}
	c.settle(ctx, j, r)
}

// unsettledRetention is how long a gang's row is kept after its caller was told that the outcome can't be found out.
const unsettledRetention = 24 * time.Hour

// mayStillReport reports whether an unreachable worker may still report how the attempt ended there, once it is
// back.
func (c *Controller) mayStillReport(j *CachedJob, states []settlement.WorkerState) bool {
	unreachable := func(s settlement.WorkerState) bool { return s.Expired && !s.NoTrace }
	return slices.ContainsFunc(states, unreachable) && time.Since(j.StopSeen) < unsettledRetention
}

// describeStates describes the state of an attempt at each of its workers, for the timeline.
func describeStates(j *CachedJob, states []settlement.WorkerState) string {
	text := ""
	for i, s := range states {
		state := string(s.Task.State)
		switch {
		case s.Expired:
			state = "lost, its lease is over"
		case s.Lost:
			state = "lost"
		case !s.Known:
			state = "not heard lately"
		}
		text += j.Placements[i].Worker + " " + state + "; "
	}
	return text
}

// recordRunTime adds the run time of a finished job to the estimates.
func (c *Controller) recordRunTime(j *CachedJob, states []settlement.WorkerState) {
	longest := 0.0
	for _, s := range states {
		longest = max(longest, s.Task.RanSeconds)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, placement := range j.Placements {
		c.health.RecordSuccess(placement.Worker, j.Key())
	}
	c.estimates.Observe(j.Submission.Workspace, j.Submission.Kind, j.Submission.DeclaredSeconds, j.Done+longest)
}

// result is the outcome to settle a job with.
type result struct {
	outcome      request.Outcome
	answer       json.RawMessage
	reason       string
	remainingRow *settlement.Job // The job row to keep; nil deletes the row.
}

// settle commits a job's outcome and tells the box where its caller waits. It deletes the job's row, or replaces it
// by r.remainingRow.
func (c *Controller) settle(ctx context.Context, j *CachedJob, r result) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	reply, revision, err := c.trySettle(ctx, j, r)
	if err != nil {
		c.Log.Debug("hall: unable to commit a settlement; retrying in a later pass: "+err.Error(), c.jobField(j))
		c.MarkStale()
		interval.Sleep(ctx, settleRetryPause/2+rand.N(settleRetryPause))
		return
	}
	if r.remainingRow != nil {
		c.Rows.Put(*r.remainingRow, revision) // Its version keeps finishSettlement from dropping it.
	}
	c.finishSettlement(j, revision, reply)
}

// finishSettlement records a committed settlement and tells the box where the caller waits.
func (c *Controller) finishSettlement(j *CachedJob, revision int64, reply request.Reply) {
	c.Rows.Drop(j.Key(), revision)
	c.mu.Lock()
	c.health.Forget(j.Key())
	c.mu.Unlock()
	c.recordEvent(j.Key(), j.Attempt, "settled: "+string(reply.Outcome))
	c.NotifySettled(j.Box, link.Settled{Identity: j.Identity, Reply: reply, Round: j.Round})
}

func (c *Controller) trySettle(ctx context.Context, j *CachedJob, r result) (request.Reply, int64, error) {
	requestKey := settlement.RequestKey(j.Identity)
	jobKey := settlement.JobKey(c.Hall, j.Identity)
	rows, err := c.Rows.Table.Read(ctx, []string{requestKey})
	if err != nil {
		return request.Reply{}, 0, errors.Wrap(err, "hall: unable to read a request")
	}
	job := table.Delete(jobKey)
	if r.remainingRow != nil {
		job = table.Put(jobKey, *r.remainingRow)
	}
	op := table.Op{Priority: table.Settle, Checks: []table.Check{{Key: jobKey, Version: j.Version}}, Writes: []table.Write{job}}
	var record settlement.Record
	if err := settlement.Decode(rows[0], &record); err != nil {
		return request.Reply{}, 0, err
	}
	if !record.Outcome.Final() {
		record, err = record.Settle(r.outcome, r.answer, r.reason)
		if err != nil {
			return request.Reply{}, 0, err
		}
		record.Attempt = j.Number
		if err := c.storeLarge(ctx, &record); err != nil {
			return request.Reply{}, 0, err
		}
		op.Checks = append(op.Checks, table.Check{Key: requestKey, Version: rows[0].Version})
		op.Writes = append(op.Writes, table.Put(requestKey, record))
	}
	revision, err := c.Committer.Do(ctx, op)
	reply := record.Reply()
	reply.Answer = r.answer
	return reply, revision, err
}

// storeLarge moves an answer that is too large for a row to the object store.
func (c *Controller) storeLarge(ctx context.Context, r *settlement.Record) error {
	key, err := object.PutLarge(ctx, c.Objects, r.Identity.String(), r.Answer, c.Settings.Limits.AnswerInlineBytes)
	if key != "" && err == nil {
		r.Answer, r.AnswerObject = nil, key
	}
	return err
}

// Limits of moving jobs to other halls.
const (
	movesPerPass = 20
	moveDelay    = 3 * time.Second // Wait before the first move; each further move adds as much.
)

// move moves waiting jobs to halls that have free capacity for them.
func (c *Controller) move(ctx context.Context, v *decider.View, loads []link.Load, waits []decider.Wait) {
	moved := 0
	for _, w := range waits {
		if moved == movesPerPass {
			return
		}
		j := c.Rows.Job(v.Waiting[w.Job].Key)
		if j == nil || j.State != settlement.Waiting || v.Now.Sub(j.Received) < moveDelay*time.Duration(j.Moves+1) {
			continue
		}
		if to := c.hallWithCapacity(loads, j); to != "" {
			moved++
			c.runStep(j.Key(), func() { c.moveTo(ctx, j, to) })
		}
	}
}

// hallWithCapacity returns a hall with free capacity for a job and subtracts the job from that hall's load. It
// returns "" if there is none.
func (c *Controller) hallWithCapacity(loads []link.Load, j *CachedJob) string {
	need := j.Submission.Gang * j.Submission.Shape.Accelerators
	for i := range loads {
		l := &loads[i]
		room := l.LargestFree
		if j.Submission.AtMostOnce && !j.Submission.Checkpoints {
			room = max(l.LargestUnreserved, l.PledgeFree[j.Submission.Workspace])
		}
		if l.Hall == c.Hall || l.Waiting > 0 || room < need || need == 0 {
			continue
		}
		l.LargestFree, l.LargestUnreserved = l.LargestFree-need, l.LargestUnreserved-need
		return l.Hall
	}
	return ""
}

func (c *Controller) moveTo(ctx context.Context, j *CachedJob, to string) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	requestKey := settlement.RequestKey(j.Identity)
	rows, err := c.Rows.Table.Read(ctx, []string{requestKey})
	if err != nil {
		return
	}
	var record settlement.Record
	if settlement.Decode(rows[0], &record) != nil || record.Outcome.Final() {
		return
	}
	next := j.Job
	next.Moves++
	record.Hall = to
	from, target := settlement.JobKey(c.Hall, j.Identity), settlement.JobKey(to, j.Identity)
	revision, err := c.Committer.Do(ctx, table.Op{
		Priority: table.Start,
		Checks:   []table.Check{{Key: from, Version: j.Version}, {Key: target}, {Key: requestKey, Version: rows[0].Version}},
		Writes:   []table.Write{table.Delete(from), table.Put(target, next), table.Put(requestKey, record)},
	})
	if err != nil {
		c.MarkStale()
		return
	}
	c.Rows.Drop(j.Key(), revision)
	c.recordEvent(j.Key(), "", "moved to "+to)
	c.NotifyChanged(settlement.HallPrefix(to))
}
