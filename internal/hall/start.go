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

// stepTimeout bounds one message to a worker.
const stepTimeout = time.Second

// rowsPerCommit bounds the jobs that one transaction places in a rack.
const rowsPerCommit = 64

// place starts gangs in one rack: hold at the workers, commit together, then start.
func (k *Keeper) place(ctx context.Context, rack string, list []*placement) {
	defer k.rackIdle(rack)
	if len(list) > rowsPerCommit {
		for _, p := range list[rowsPerCommit:] {
			k.idle(p.entry.Key())
		}
		list = list[:rowsPerCommit]
	}
	ctx, cancel := context.WithTimeout(ctx, k.Settings.Lease.Hold)
	defer cancel()
	held := k.holdAll(ctx, list)
	if len(held) == 0 {
		return
	}
	revision, err := k.commitStarts(ctx, rack, held)
	if err != nil {
		k.startFailed(held, err)
		return
	}
	k.Book.PutRack(rack, revision)
	for _, p := range held {
		k.Book.Put(p.next, revision)
		k.note(p.entry.Key(), p.attempt, "committed: "+p.reason.String())
		go func() {
			defer k.Wake()
			defer k.idle(p.entry.Key())
			k.launch(context.WithoutCancel(ctx), &p.next)
		}()
	}
}

func (k *Keeper) rackIdle(rack string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.rackBusy, rack)
	signal(k.wake)
}

// startFailed releases what was held. Where the outcome of the commit is not known nothing is released: the row may say
// that the attempt starts, and the next refresh shows it; if it does not, the holds lapse by themselves.
func (k *Keeper) startFailed(held []*placement, err error) {
	k.Log.Debug("hall: a start was not committed: " + err.Error())
	for _, p := range held {
		if !errors.Is(err, table.ErrUnknown) {
			k.release(p)
		}
		k.rest(p.entry.Key(), restAfterHold)
	}
	k.Stale()
}

// holdAll holds the devices of every placement and returns those that hold all of theirs.
func (k *Keeper) holdAll(ctx context.Context, list []*placement) []*placement {
	var group sync.WaitGroup
	ok := make([]bool, len(list))
	for i, p := range list {
		group.Go(func() { ok[i] = k.hold(ctx, p) })
	}
	group.Wait()
	var held []*placement
	for i, p := range list {
		if ok[i] {
			held = append(held, p)
			continue
		}
		k.release(p)
		k.rest(p.entry.Key(), restAfterHold)
	}
	return held
}

// hold asks every worker of a placement to hold its devices, and reports whether all do.
func (k *Keeper) hold(ctx context.Context, p *placement) bool {
	var group sync.WaitGroup
	errs := make([]error, len(p.seats))
	workers := k.workersByName()
	for i, seat := range p.seats {
		order := k.order(p, seat)
		group.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, stepTimeout)
			defer cancel()
			errs[i] = k.Workers.Hold(ctx, workers[seat.Worker], order)
		})
	}
	group.Wait()
	for _, err := range errs {
		if err != nil {
			k.note(p.entry.Key(), p.attempt, "could not be held: "+err.Error())
			return false
		}
	}
	next, err := p.entry.Job.Place(p.attempt, p.rack, p.seats, time.Now())
	p.next = next
	return err == nil
}

func (k *Keeper) order(p *placement, seat settlement.Seat) worker.Order {
	s := p.entry.Submission
	return worker.Order{
		Attempt: p.attempt, Identity: p.entry.Identity, Members: seat.Members, Gang: s.Gang, Number: p.entry.Number + 1,
		Shape: s.Shape, Devices: seat.Devices, LeaseMS: k.Settings.Lease.Hold.Milliseconds(), Kind: s.Kind,
		Payload: s.Payload, From: p.entry.Done,
	}
}

// release stops what a placement may hold, so that its devices come free before the hold lapses.
func (k *Keeper) release(p *placement) {
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	workers := k.workersByName()
	k.stepSeats(ctx, workers, p.seats, worker.Stop, p.attempt, 0)
}

// commitStarts writes the rack's row and the jobs' rows in one transaction.
func (k *Keeper) commitStarts(ctx context.Context, rack string, held []*placement) (int64, error) {
	rackKey := settlement.RackKey(k.Hall, rack)
	row := settlement.Rack{}
	op := table.Op{Priority: table.Start, Checks: []table.Check{{Key: rackKey, Version: k.Book.RackVersion(rack)}}}
	for _, p := range held {
		row.Attempts = append(row.Attempts, p.attempt)
		key := settlement.JobKey(k.Hall, p.entry.Identity)
		op.Checks = append(op.Checks, table.Check{Key: key, Version: p.entry.Version})
		op.Writes = append(op.Writes, table.Put(key, p.next))
	}
	op.Writes = append(op.Writes, table.Put(rackKey, row))
	return k.Committer.Do(ctx, op)
}

// launch arms every member of a committed attempt and tells them to go once all are armed. Where that fails, what is
// known of the seats decides what follows.
func (k *Keeper) launch(ctx context.Context, j *settlement.Job) {
	workers := k.workersByName()
	if !k.stepSeats(ctx, workers, k.unfinished(j), worker.Arm, j.Attempt, 0) {
		k.note(j.Identity.String(), j.Attempt, "could not be armed")
		signal(k.renewNow)
		return
	}
	if !k.stepSeats(ctx, workers, j.Seats, worker.Go, j.Attempt, k.Settings.Lease.Run) {
		// Those that were told to go begin within worker.BeginDelay; they must not begin alone.
		k.stepSeats(ctx, workers, j.Seats, worker.Stop, j.Attempt, 0)
		k.note(j.Identity.String(), j.Attempt, "could not be started whole")
		signal(k.renewNow)
		return
	}
	k.note(j.Identity.String(), j.Attempt, "started")
	if k.Metrics != nil && k.Metrics.Start != nil {
		k.Metrics.Start(time.Since(j.Received))
	}
}

// unfinished are the seats of an attempt that are not known to have ended well. A member that was told to go alone, as its box died, may have ended
// before the next box finds the others armed: it can't be armed any more, and a gang that was to be armed whole was never settled.
func (k *Keeper) unfinished(j *settlement.Job) []settlement.Seat {
	var list []settlement.Seat
	for _, seat := range j.Seats {
		if k.watch.task(seat.Worker, j.Attempt).State != worker.Finished {
			list = append(list, seat)
		}
	}
	return list
}

// stepSeats carries all seats of an attempt a step on, at once, and reports whether all did. What the workers answer
// is taken in.
func (k *Keeper) stepSeats(ctx context.Context, workers map[string]contract.Worker, seats []settlement.Seat, verb worker.Verb, attempt string, lease time.Duration) bool {
	var group sync.WaitGroup
	errs := make([]error, len(seats))
	for i, seat := range seats {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, stepTimeout)
			defer cancel()
			var task worker.Task
			task, errs[i] = k.Workers.Step(ctx, workers[seat.Worker], verb, attempt, lease)
			if errs[i] == nil {
				task.Attempt = attempt
				k.watch.takeTask(seat.Worker, task)
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
