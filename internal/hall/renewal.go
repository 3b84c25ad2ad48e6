package hall

import (
	"context"
	"sync"
	"time"

	"github.com/pulleyring/pulleyring/internal/settlement"
	"github.com/pulleyring/pulleyring/internal/worker"
	"github.com/pulleyring/pulleyring/pkg/contract"
)

// renewIfActive renews the leases at all workers and records their reports, if this box decides for the hall.
func (c *Controller) renewIfActive(ctx context.Context) {
	if c.active() {
		c.renewAll(ctx)
		c.Wake()
	}
}

// renewAll sends one renewal to each worker.
func (c *Controller) renewAll(ctx context.Context) {
	// Read the clocks before the rows: the leases renewed by these rows end at most run_ms after these clocks.
	clocks := c.monitor.clocks()
	healthy := c.healthyAttempts()
	checked := c.checked() // Before the jobs are listed, so that they are at least as new.
	current := map[string]bool{}
	for _, j := range c.Rows.Jobs() {
		current[j.Attempt] = true
	}
	c.failUnlistedWorkers()
	var group sync.WaitGroup
	for _, w := range c.workers() {
		group.Go(func() {
			c.renew(ctx, w, worker.Renewal{
				Clock:    clocks[w.Name],
				Attempts: healthy[w.Name],
				Forget:   c.monitor.orphanedTasks(w.Name, current, checked),
				LeaseMS:  c.Settings.Lease.Run.Milliseconds(),
			})
		})
	}
	group.Wait()
}

// failUnlistedWorkers records a failed report for workers that rows name but the configuration does not, because
// they can't be asked.
func (c *Controller) failUnlistedWorkers() {
	listed := c.workersByName()
	for _, j := range c.Rows.Jobs() {
		for _, placement := range j.Placements {
			if _, ok := listed[placement.Worker]; !ok {
				c.monitor.recordFailure(placement.Worker, time.Now(), c.Settings.Lease.Run)
			}
		}
	}
}

// healthyAttempts returns, by worker, the started attempts whose members are all healthy. Only these are renewed, so
// that a gang that lost a member ends as a whole. If the cached rows are too old, it returns none.
func (c *Controller) healthyAttempts() map[string][]string {
	list := map[string][]string{}
	if age(c.checked()) > c.Settings.Lease.Unchecked {
		return list
	}
	for _, j := range c.Rows.Jobs() {
		if j.State != settlement.Starting || !c.healthy(j) {
			continue
		}
		for _, placement := range j.Placements {
			list[placement.Worker] = append(list[placement.Worker], j.Attempt)
		}
	}
	return list
}

// age returns the time since at, by the monotonic or the wall clock, whichever shows more. One of them may stop
// while the machine is suspended.
func age(at time.Time) time.Duration {
	return max(time.Since(at), time.Now().Round(0).Sub(at.Round(0)))
}

func (c *Controller) healthy(j *CachedJob) bool {
	for _, s := range c.monitor.workerStates(j, c.timeLimits()) {
		if s.Known && !s.Task.State.Live() && s.Task.State != worker.Finished {
			return false
		}
		if s.Lost || s.Expired {
			return false
		}
	}
	return c.reportedWithin(j, c.Settings.Lease.Run/2)
}

// reportedWithin reports whether every worker of an attempt reported within d. It also returns true if the attempt
// or the monitor started less than d ago.
func (c *Controller) reportedWithin(j *CachedJob, d time.Duration) bool {
	c.monitor.mu.Lock()
	since := c.monitor.since
	c.monitor.mu.Unlock()
	if time.Since(j.Started) <= d || time.Since(since) <= d {
		return true
	}
	for _, placement := range j.Placements {
		if !c.monitor.reachable(placement.Worker, d) {
			return false
		}
	}
	return true
}

func (c *Controller) renew(ctx context.Context, w contract.Worker, renewal worker.Renewal) {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	asked := time.Now()
	report, err := c.Workers.Renew(ctx, w, renewal)
	if err != nil {
		c.monitor.recordFailure(w.Name, asked, c.Settings.Lease.Run)
		return
	}
	c.monitor.recordReport(w.Name, asked, report)
}

// orphanedTasks returns, and forgets, the ended tasks of a worker that no row has named for orphanRetention. current
// holds the attempts that rows name, as of checked. A task must be kept that long because a row that this box has
// not read yet may name it, and its answer must last until that row settles it.
func (m *workerMonitor) orphanedTasks(name string, current map[string]bool, checked time.Time) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	w := m.worker(name)
	var list []string
	for attempt, t := range w.tasks {
		if current[attempt] || t.State.Live() {
			delete(w.orphanedSince, attempt)
			continue
		}
		first, seen := w.orphanedSince[attempt]
		if !seen {
			w.orphanedSince[attempt] = time.Now()
			continue
		}
		if checked.Sub(first) > orphanRetention {
			list = append(list, attempt)
			delete(w.orphanedSince, attempt)
			delete(w.tasks, attempt)
		}
	}
	return list
}
