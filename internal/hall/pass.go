package hall

import (
	"context"
	"fmt"
	"time"

	"github.com/pulleyring/pulleyring/internal/decider"
	"github.com/pulleyring/pulleyring/internal/settlement"
	"github.com/pulleyring/pulleyring/pkg/contract"
	"github.com/pulleyring/pulleyring/pkg/request"
	"github.com/rs/xid"
)

// pass asks the decider and sets going what it decides.
func (k *Keeper) pass(ctx context.Context) {
	began := time.Now()
	site, orders := k.Config.Site(), k.Config.Orders()
	site = withGrants(site, orders.Granted, began)
	loads := k.Loads() // Before the lock: it reads the loads of all keepers, this one's included.
	k.mu.Lock()
	k.wakeRested(began)
	v := k.view(site, orders, loads, began)
	outcome := k.Policy.Decide(v)
	k.setAsides = outcome.SetAsides
	k.load = loadOf(k.Hall, v)
	k.noteWaits(v, outcome.Waits)
	placements := k.prepare(v, outcome.Decisions)
	k.mu.Unlock()
	if k.Metrics != nil && k.Metrics.Pass != nil {
		k.Metrics.Pass(time.Since(began))
	}
	for rack, list := range placements {
		go k.place(ctx, rack, list)
	}
	k.carryOut(ctx, outcome.Decisions)
	k.expire(ctx, v)
	k.move(ctx, v, loads, outcome.Waits)
}

// withGrants returns the site with the limits that operators raised.
func withGrants(site *contract.Site, granted func(string, time.Time) int, now time.Time) *contract.Site {
	raised := *site
	raised.Workspaces = append([]contract.Workspace(nil), site.Workspaces...)
	for i := range raised.Workspaces {
		w := &raised.Workspaces[i]
		if w.LimitAccelerators > 0 {
			w.LimitAccelerators += granted(w.Name, now)
		}
	}
	return &raised
}

func (k *Keeper) noteWaits(v *decider.View, waits []decider.Wait) {
	k.waits = make(map[string]*decider.Reason, len(waits))
	for _, w := range waits {
		k.waits[v.Waiting[w.Job].Key] = w.Reason
	}
}

// prepare turns decisions to start into placements with devices, by rack; the lock is held. A rack with a placement
// under way is left for a later pass, because its row can be written by one transaction at a time only.
func (k *Keeper) prepare(v *decider.View, decisions []decider.Decision) map[string][]*placement {
	taken := k.takenDevices()
	racks := map[string][]*placement{}
	for _, d := range decisions {
		if d.Kind != decider.Start {
			continue
		}
		e := k.Book.Job(d.Job)
		rack := v.Racks[v.Workers[d.Members[0].Worker].Rack].Name
		if e == nil || e.State != settlement.Waiting || k.rackBusy[rack] {
			continue
		}
		p := &placement{entry: e, rack: rack, reason: d.Reason, attempt: fmt.Sprintf("%s#%d.%s", e.Key(), e.Number+1, xid.New())}
		if !p.seat(v, d.Members, taken) {
			continue
		}
		k.starts[d.Job] = p
		k.busy[d.Job] = true
		racks[rack] = append(racks[rack], p)
	}
	for rack := range racks {
		k.rackBusy[rack] = true
	}
	return racks
}

// takenDevices returns the devices that rows and placements under way hold, by worker.
func (k *Keeper) takenDevices() map[string]map[int]bool {
	taken := map[string]map[int]bool{}
	add := func(seats []settlement.Seat) {
		for _, s := range seats {
			if taken[s.Worker] == nil {
				taken[s.Worker] = map[int]bool{}
			}
			for _, d := range s.Devices {
				taken[s.Worker][d] = true
			}
		}
	}
	for _, e := range k.Book.Jobs() {
		if !e.Unsettled { // Nothing of it runs any more.
			add(e.Seats)
		}
	}
	for _, p := range k.starts {
		add(p.seats)
	}
	return taken
}

// seat picks the devices for each worker and numbers the members; it takes all or nothing.
func (p *placement) seat(v *decider.View, members []decider.Member, taken map[string]map[int]bool) bool {
	next := 0
	for _, m := range members {
		w := v.Workers[m.Worker]
		s := settlement.Seat{Worker: w.Name}
		s.Devices = devices(w.Capacity.Accelerators, m.Count*p.entry.Submission.Shape.Accelerators, taken[w.Name])
		if s.Devices == nil {
			return false
		}
		for range m.Count {
			s.Members = append(s.Members, next)
			next++
		}
		p.seats = append(p.seats, s)
	}
	for _, s := range p.seats {
		if taken[s.Worker] == nil {
			taken[s.Worker] = map[int]bool{}
		}
		for _, d := range s.Devices {
			taken[s.Worker][d] = true
		}
	}
	return true
}

// carryOut sets going the decisions other than starts.
func (k *Keeper) carryOut(ctx context.Context, decisions []decider.Decision) {
	for _, d := range decisions {
		e := k.Book.Job(d.Job)
		if e == nil {
			continue
		}
		switch d.Kind {
		case decider.Stop:
			halt := settlement.Halt{Reason: d.Reason.String(), AtOnce: d.AtOnce}
			k.spawn(e.Key(), func() { k.halt(ctx, e, halt) })
		case decider.GiveUp:
			k.spawn(e.Key(), func() { k.settle(ctx, e, verdict{outcome: e.Unrun(), reason: d.Reason.String()}) })
		}
	}
}

// expire settles jobs whose deadline passed while they waited.
func (k *Keeper) expire(ctx context.Context, v *decider.View) {
	for i := range v.Waiting {
		e := k.Book.Job(v.Waiting[i].Key)
		if e == nil || e.State != settlement.Waiting {
			continue
		}
		deadline := e.Submission.Deadline(e.Received)
		if !deadline.IsZero() && v.Now.After(deadline) {
			k.spawn(e.Key(), func() {
				k.settle(ctx, e, verdict{outcome: e.Unrun(), reason: "its deadline passed before it could start"})
			})
		}
	}
}

// spawn runs one step of a job on its own, unless the job has one under way.
func (k *Keeper) spawn(key string, step func()) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.busy[key] || time.Now().Before(k.resting[key]) {
		return
	}
	k.busy[key] = true
	go func() {
		defer k.Wake()
		defer k.idle(key)
		step()
	}()
}

// Rests of a job between two steps, so that what fails at once is not tried again at once.
const (
	restAfterStep = 50 * time.Millisecond
	restAfterHold = 500 * time.Millisecond // Its devices were refused, or their commit failed.
)

func (k *Keeper) idle(key string) { k.rest(key, restAfterStep) }

// rest ends a step of a job and keeps the job from the next one for a while.
func (k *Keeper) rest(key string, d time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.busy, key)
	delete(k.starts, key)
	k.resting[key] = time.Now().Add(d)
}

// wakeRested forgets the rests that are over; the lock is held.
func (k *Keeper) wakeRested(now time.Time) {
	for key, until := range k.resting {
		if !now.Before(until) {
			delete(k.resting, key)
		}
	}
}

// judgeAll looks at every attempt and sets going what it needs next.
func (k *Keeper) judgeAll(ctx context.Context) {
	for _, e := range k.Book.Jobs() {
		if e.State == settlement.Waiting || k.isBusy(e.Key()) {
			continue
		}
		sights := k.watch.sights(e, k.bounds())
		step := settlement.Judge(&e.Job, sights)
		switch step {
		case settlement.Keep:
			if e.State == settlement.Stopping {
				k.spawn(e.Key(), func() { k.stopSeats(ctx, e) })
			}
		case settlement.Push:
			k.spawn(e.Key(), func() { k.launch(ctx, &e.Job) })
		case settlement.End:
			halt := settlement.Halt{Reason: "a member was lost or failed", AtOnce: true, Lost: true}
			k.spawn(e.Key(), func() { k.halt(ctx, e, halt) })
		case settlement.Again:
			k.spawn(e.Key(), func() { k.requeue(ctx, e, sights) })
		default:
			outcome, _ := step.Outcome()
			if e.Unsettled && outcome == request.Unresolved && k.mayBeListed(e, sights) {
				continue
			}
			k.spawn(e.Key(), func() { k.finish(ctx, e, sights, outcome) })
		}
	}
}

func (k *Keeper) isBusy(key string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.busy[key] || time.Now().Before(k.resting[key])
}

// outcomeReason puts an outcome of an attempt into words.
func outcomeReason(e *Entry, outcome request.Outcome) string {
	if outcome == request.Unresolved {
		return settlement.ReasonUnknowable
	}
	if e.Halt != nil && outcome != request.Done {
		return e.Halt.Reason
	}
	if outcome == request.Failed {
		return "it ran in part and may not be repeated"
	}
	return ""
}
