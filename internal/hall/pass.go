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

// decide makes one decision pass and starts to carry out the decisions.
func (c *Controller) decide(ctx context.Context) {
	began := time.Now()
	site, orders := c.Config.Site(), c.Config.Orders()
	site = withGrants(site, orders.Granted, began)
	loads := c.Loads() // Before locking: Loads reads the loads of all halls, this one's included.
	c.mu.Lock()
	c.dropEndedPauses(began)
	v := c.buildView(site, orders, loads, began)
	outcome := c.Policy.Decide(v)
	c.reservedRacks = outcome.RackReservations
	c.load = loadOf(c.Hall, v)
	c.recordWaitReasons(v, outcome.Waits)
	starts := c.prepareStarts(v, outcome.Decisions)
	c.mu.Unlock()
	if c.Metrics != nil && c.Metrics.Pass != nil {
		c.Metrics.Pass(time.Since(began))
	}
	for rack, list := range starts {
		go c.startInRack(ctx, rack, list)
	}
	c.applyDecisions(ctx, outcome.Decisions)
	c.settleExpired(ctx, v)
	c.move(ctx, v, loads, outcome.Waits)
}

// withGrants returns the site with the workspace limits that operators raised.
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

func (c *Controller) recordWaitReasons(v *decider.View, waits []decider.Wait) {
	c.waitReasons = make(map[string]*decider.Reason, len(waits))
	for _, w := range waits {
		c.waitReasons[v.Waiting[w.Job].Key] = w.Reason
	}
}

// prepareStarts assigns devices to the decided starts and returns them by rack. The caller holds c.mu. Racks with
// starts in progress wait for a later pass, because only one transaction at a time can write a rack's row.
func (c *Controller) prepareStarts(v *decider.View, decisions []decider.Decision) map[string][]*pendingStart {
	taken := c.takenDevices()
	racks := map[string][]*pendingStart{}
	for _, d := range decisions {
		if d.Kind != decider.Start {
			continue
		}
		j := c.Rows.Job(d.Job)
		rack := v.Racks[v.Workers[d.Members[0].Worker].Rack].Name
		if j == nil || j.State != settlement.Waiting || c.busyRacks[rack] {
			continue
		}
		p := &pendingStart{job: j, rack: rack, reason: d.Reason, attempt: fmt.Sprintf("%s#%d.%s", j.Key(), j.Number+1, xid.New())}
		if !p.assignDevices(v, d.Members, taken) {
			continue
		}
		c.pendingStarts[d.Job] = p
		c.busy[d.Job] = true
		racks[rack] = append(racks[rack], p)
	}
	for rack := range racks {
		c.busyRacks[rack] = true
	}
	return racks
}

// takenDevices returns the devices that job rows and pending starts use, by worker.
func (c *Controller) takenDevices() map[string]map[int]bool {
	taken := map[string]map[int]bool{}
	add := func(placements []settlement.Placement) {
		for _, s := range placements {
			if taken[s.Worker] == nil {
				taken[s.Worker] = map[int]bool{}
			}
			for _, d := range s.Devices {
				taken[s.Worker][d] = true
			}
		}
	}
	for _, j := range c.Rows.Jobs() {
		if !j.Unsettled { // Nothing of an unsettled job runs any more.
			add(j.Placements)
		}
	}
	for _, p := range c.pendingStarts {
		add(p.placements)
	}
	return taken
}

// assignDevices chooses the devices at each worker and numbers the members. It reports false, and marks no device as
// taken, if the devices of any worker don't suffice.
func (p *pendingStart) assignDevices(v *decider.View, members []decider.Member, taken map[string]map[int]bool) bool {
	next := 0
	for _, m := range members {
		w := v.Workers[m.Worker]
		s := settlement.Placement{Worker: w.Name}
		s.Devices = devices(w.Capacity.Accelerators, m.Count*p.job.Submission.Shape.Accelerators, taken[w.Name])
		if s.Devices == nil {
			return false
		}
		for range m.Count {
			s.Members = append(s.Members, next)
			next++
		}
		p.placements = append(p.placements, s)
	}
	for _, s := range p.placements {
		if taken[s.Worker] == nil {
			taken[s.Worker] = map[int]bool{}
		}
		for _, d := range s.Devices {
			taken[s.Worker][d] = true
		}
	}
	return true
}

// applyDecisions starts to carry out all decisions except starts.
func (c *Controller) applyDecisions(ctx context.Context, decisions []decider.Decision) {
	for _, d := range decisions {
		j := c.Rows.Job(d.Job)
		if j == nil {
			continue
		}
		switch d.Kind {
		case decider.Stop:
			halt := settlement.Halt{Reason: d.Reason.String(), AtOnce: d.AtOnce}
			c.runStep(j.Key(), func() { c.stop(ctx, j, halt) })
		case decider.Fail:
			c.runStep(j.Key(), func() { c.settle(ctx, j, result{outcome: j.OutcomeWhileWaiting(), reason: d.Reason.String()}) })
		}
	}
}

// settleExpired settles jobs whose deadline passed while they waited.
func (c *Controller) settleExpired(ctx context.Context, v *decider.View) {
	for i := range v.Waiting {
		j := c.Rows.Job(v.Waiting[i].Key)
		if j == nil || j.State != settlement.Waiting {
			continue
		}
		deadline := j.Submission.Deadline(j.Received)
		if !deadline.IsZero() && v.Now.After(deadline) {
			c.runStep(j.Key(), func() {
				c.settle(ctx, j, result{outcome: j.OutcomeWhileWaiting(), reason: "its deadline passed before it could start"})
			})
		}
	}
}

// runStep runs one step of a job in a goroutine, unless the job is busy or paused.
func (c *Controller) runStep(key string, step func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy[key] || time.Now().Before(c.pausedUntil[key]) {
		return
	}
	c.busy[key] = true
	go func() {
		defer c.Wake()
		defer c.stepDone(key)
		step()
	}()
}

// Pauses of a job between two steps, so that a step that fails immediately is not retried immediately.
const (
	pauseAfterStep       = 50 * time.Millisecond
	pauseAfterFailedHold = 500 * time.Millisecond // The devices were refused, or the commit failed.
)

func (c *Controller) stepDone(key string) { c.endStep(key, pauseAfterStep) }

// endStep marks a job as no longer busy and pauses it for a duration.
func (c *Controller) endStep(key string, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.busy, key)
	delete(c.pendingStarts, key)
	c.pausedUntil[key] = time.Now().Add(d)
}

// dropEndedPauses removes pauses that have ended. The caller holds c.mu.
func (c *Controller) dropEndedPauses(now time.Time) {
	for key, until := range c.pausedUntil {
		if !now.Before(until) {
			delete(c.pausedUntil, key)
		}
	}
}

// checkAttempts checks the state of every attempt and starts the next step that it needs.
func (c *Controller) checkAttempts(ctx context.Context) {
	for _, j := range c.Rows.Jobs() {
		if j.State == settlement.Waiting || c.isBusy(j.Key()) {
			continue
		}
		states := c.monitor.workerStates(j, c.timeLimits())
		step := settlement.NextStep(&j.Job, states)
		switch step {
		case settlement.NoAction:
			if j.State == settlement.Stopping {
				c.runStep(j.Key(), func() { c.stopWorkers(ctx, j) })
			}
		case settlement.StartMembers:
			c.runStep(j.Key(), func() { c.launch(ctx, &j.Job) })
		case settlement.StopMembers:
			halt := settlement.Halt{Reason: "a member was lost or failed", AtOnce: true, Lost: true}
			c.runStep(j.Key(), func() { c.stop(ctx, j, halt) })
		case settlement.RunAgain:
			c.runStep(j.Key(), func() { c.requeue(ctx, j, states) })
		default:
			outcome, _ := step.Outcome()
			if j.Unsettled && outcome == request.Unresolved && c.mayStillReport(j, states) {
				continue
			}
			c.runStep(j.Key(), func() { c.finish(ctx, j, states, outcome) })
		}
	}
}

func (c *Controller) isBusy(key string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.busy[key] || time.Now().Before(c.pausedUntil[key])
}

// outcomeReason returns the reason that callers are given for an outcome, or "".
func outcomeReason(j *CachedJob, outcome request.Outcome) string {
	if outcome == request.Unresolved {
		return settlement.ReasonWorkerLost
	}
	if j.Halt != nil && outcome != request.Done {
		return j.Halt.Reason
	}
	if outcome == request.Failed {
		return "it ran in part and may not be repeated"
	}
	return ""
}
