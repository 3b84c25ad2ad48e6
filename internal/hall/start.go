package hall

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/settlement"
	"github.com/pulleyring/pulleyring/internal/table"
	"github.com/pulleyring/pulleyring/internal/worker"
	"github.com/pulleyring/pulleyring/pkg/contract"
)

// stepTimeout is the timeout for one command to a worker.
const stepTimeout = time.Second

// startsPerCommit is the most jobs that one transaction starts in a rack.
const startsPerCommit = 64

// startInRack starts gangs in one rack: it holds their devices, commits their rows together, and then starts them.
func (c *Controller) startInRack(ctx context.Context, rack string, list []*pendingStart) {
	defer c.releaseRack(rack)
	if len(list) > startsPerCommit {
		for _, p := range list[startsPerCommit:] {
			c.stepDone(p.job.Key())
		}
		list = list[:startsPerCommit]
	}
	ctx, cancel := context.WithTimeout(ctx, c.Settings.Lease.Hold)
	defer cancel()
	ready := c.holdAll(ctx, list)
	if len(ready) == 0 {
		return
	}
	revision, err := c.commitStarts(ctx, rack, ready)
	if err != nil {
		c.handleCommitError(ready, err)
		return
	}
	c.Rows.PutRack(rack, revision)
	for _, p := range ready {
		c.Rows.Put(p.next, revision)
		c.recordEvent(p.job.Key(), p.attempt, "committed: "+p.reason.String())
		go func() {
			defer c.Wake()
			defer c.stepDone(p.job.Key())
			c.launch(context.WithoutCancel(ctx), &p.next)
		}()
	}
}

func (c *Controller) releaseRack(rack string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.busyRacks, rack)
	signal(c.wake)
}

// handleCommitError releases the held devices after a failed commit. If the outcome of the commit is unknown, it
// releases nothing: the next refresh shows whether the attempts start, and if they don't, the holds expire.
func (c *Controller) handleCommitError(held []*pendingStart, err error) {
	c.Log.Debug("hall: unable to commit starts; the jobs wait for a later pass: " + err.Error())
	for _, p := range held {
		if !errors.Is(err, table.ErrUnknown) {
			c.release(p)
		}
		c.endStep(p.job.Key(), pauseAfterFailedHold)
	}
	c.MarkStale()
}

// holdAll holds the devices of all starts and returns the starts that got all of theirs.
func (c *Controller) holdAll(ctx context.Context, list []*pendingStart) []*pendingStart {
	var group sync.WaitGroup
	ok := make([]bool, len(list))
	for i, p := range list {
		group.Go(func() { ok[i] = c.hold(ctx, p) })
	}
	group.Wait()
	var held []*pendingStart
	for i, p := range list {
		if ok[i] {
			held = append(held, p)
			continue
		}
		c.release(p)
		c.endStep(p.job.Key(), pauseAfterFailedHold)
	}
	return held
}

// hold asks every worker of a start to hold its devices, and reports whether all do.
func (c *Controller) hold(ctx context.Context, p *pendingStart) bool {
	var group sync.WaitGroup
	errs := make([]error, len(p.placements))
	workers := c.workersByName()
	for i, placement := range p.placements {
		command := c.holdCommand(p, placement)
		group.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, stepTimeout)
			defer cancel()
			errs[i] = c.Workers.Hold(ctx, workers[placement.Worker], command)
		})
	}
	group.Wait()
	for _, err := range errs {
		if err != nil {
			c.recordEvent(p.job.Key(), p.attempt, "could not be held: "+err.Error())
			return false
		}
	}
	next, err := p.job.Job.Place(p.attempt, p.rack, p.placements, time.Now())
	p.next = next
	return err == nil
}

func (c *Controller) holdCommand(p *pendingStart, placement settlement.Placement) worker.Order {
	s := p.job.Submission
	return worker.Order{
		Attempt: p.attempt, Identity: p.job.Identity, Members: placement.Members, Gang: s.Gang, Number: p.job.Number + 1,
		Shape: s.Shape, Devices: placement.Devices, LeaseMS: c.Settings.Lease.Hold.Milliseconds(), Kind: s.Kind,
		Payload: s.Payload, From: p.job.Done,
	}
}

// release stops an attempt that may hold devices, so that they become free before the hold expires.
func (c *Controller) release(p *pendingStart) {
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	workers := c.workersByName()
	c.sendStep(ctx, workers, p.placements, worker.Stop, p.attempt, 0)
}

// commitStarts writes the rack's row and the job rows in one transaction.
func (c *Controller) commitStarts(ctx context.Context, rack string, held []*pendingStart) (int64, error) {
	rackKey := settlement.RackKey(c.Hall, rack)
	row := settlement.Rack{}
	op := table.Op{Priority: table.Start, Checks: []table.Check{{Key: rackKey, Version: c.Rows.RackVersion(rack)}}}
	for _, p := range held {
		row.Attempts = append(row.Attempts, p.attempt)
		key := settlement.JobKey(c.Hall, p.job.Identity)
		op.Checks = append(op.Checks, table.Check{Key: key, Version: p.job.Version})
		op.Writes = append(op.Writes, table.Put(key, p.next))
	}
	op.Writes = append(op.Writes, table.Put(rackKey, row))
	return c.Committer.Do(ctx, op)
}

// launch arms every member of a committed attempt, and starts them once all are armed. If that fails, checkAttempts
// decides what follows from the state of the members.
func (c *Controller) launch(ctx context.Context, j *settlement.Job) {
	workers := c.workersByName()
	if !c.sendStep(ctx, workers, c.unfinished(j), worker.Arm, j.Attempt, 0) {
		c.recordEvent(j.Identity.String(), j.Attempt, "could not be armed")
		signal(c.renewNow)
		return
	}
	if !c.sendStep(ctx, workers, j.Placements, worker.Go, j.Attempt, c.Settings.Lease.Run) {
		// Members that got the command start within worker.BeginDelay; they must not start alone.
		c.sendStep(ctx, workers, j.Placements, worker.Stop, j.Attempt, 0)
		c.recordEvent(j.Identity.String(), j.Attempt, "could not be started whole")
		signal(c.renewNow)
		return
	}
	c.recordEvent(j.Identity.String(), j.Attempt, "started")
	if c.Metrics != nil && c.Metrics.Start != nil {
		c.Metrics.Start(time.Since(j.Received))
	}
}

// unfinished returns the placements of an attempt that are not known to have finished. If a box dies while it starts
// a gang, a member may run alone and finish before the next box arms the others. Finished members can't be armed
// again, and a gang that waited for that was never settled.
func (c *Controller) unfinished(j *settlement.Job) []settlement.Placement {
	var list []settlement.Placement
	for _, placement := range j.Placements {
		if c.monitor.task(placement.Worker, j.Attempt).State != worker.Finished {
			list = append(list, placement)
		}
	}
	return list
}

// sendStep sends a command to all workers of an attempt in parallel, records their answers, and reports whether all
// succeeded.
func (c *Controller) sendStep(ctx context.Context, workers map[string]contract.Worker, placements []settlement.Placement, verb worker.Verb, attempt string, lease time.Duration) bool {
	var group sync.WaitGroup
	errs := make([]error, len(placements))
	for i, placement := range placements {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, stepTimeout)
			defer cancel()
			var task worker.Task
			task, errs[i] = c.Workers.Step(ctx, workers[placement.Worker], verb, attempt, lease)
			if errs[i] == nil {
				task.Attempt = attempt
				c.monitor.recordTask(placement.Worker, task)
			}
		})
	}
	group.Wait()
	for _, err := range errs {
		if err != nil {
			return false
		}
	}
	return true
}
