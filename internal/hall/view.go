package hall

import (
	"slices"
	"strings"
	"time"

	"github.com/pulleyring/pulleyring/internal/config"
	"github.com/pulleyring/pulleyring/internal/decider"
	"github.com/pulleyring/pulleyring/internal/link"
	"github.com/pulleyring/pulleyring/internal/pledge"
	"github.com/pulleyring/pulleyring/internal/settlement"
	"github.com/pulleyring/pulleyring/pkg/contract"
)

// pendingStart is a start in progress. Its devices are taken, although no row names them yet.
type pendingStart struct {
	job        *CachedJob
	rack       string
	attempt    string
	placements []settlement.Placement
	reason     *decider.Reason
	next       settlement.Job // The job's row as it will be committed.
}

// layoutCache holds the plan of reserved capacity for a version of the configuration and a set of unusable workers.
type layoutCache struct {
	version int64
	failed  string
	layout  pledge.Layout
}

// buildView returns the decider's view of the hall. The caller holds c.mu.
func (c *Controller) buildView(site *contract.Site, orders config.Orders, loads []link.Load, now time.Time) *decider.View {
	v := &decider.View{
		Now: now, Site: site, Reclaiming: orders.Claimed(now), Estimates: &c.estimates,
		RackReservations: c.reservedRacks, UsedBefore: usedElsewhere(c.Hall, loads),
	}
	index := c.addWorkers(v, orders)
	v.Layout = c.layoutFor(site, v)
	c.sampleWorkers(now)
	suspect := c.nextSuspect(now)
	for _, j := range c.Rows.Jobs() {
		if j.Unsettled {
			continue
		}
		if j.State == settlement.Waiting && j.Losses > 0 && j.Losses < decider.MaxWorkerLosses && j.Key() != suspect && c.pendingStarts[j.Key()] == nil {
			continue // Jobs with losses start one at a time.
		}
		c.addJob(v, j, index)
	}
	return v
}

// addWorkers adds the racks and workers to the view, and returns the index of each worker by name.
func (c *Controller) addWorkers(v *decider.View, orders config.Orders) map[string]int {
	index := map[string]int{}
	h, _ := v.Site.Hall(c.Hall)
	hallDrained := orders.Drained("hall", c.Hall)
	for r, rack := range h.Racks {
		drained := hallDrained || orders.Drained("rack", rack.Name)
		row := decider.Rack{Name: rack.Name}
		for _, w := range rack.Workers {
			usable, probe := c.health.Standing(w.Name, v.Now)
			usable = usable && !drained && !orders.Drained("worker", w.Name) && c.monitor.reachable(w.Name, c.reportMaxAge())
			index[w.Name] = len(v.Workers)
			row.Workers = append(row.Workers, len(v.Workers))
			v.Workers = append(v.Workers, decider.Worker{Name: w.Name, Rack: r, Capacity: w.Capacity, Usable: usable, Probe: probe})
		}
		v.Racks = append(v.Racks, row)
	}
	return index
}

// layoutFor returns the plan of reserved capacity without unusable workers. It uses the cached plan if nothing
// changed.
func (c *Controller) layoutFor(site *contract.Site, v *decider.View) pledge.Layout {
	failed := map[string]bool{}
	var names []string
	for _, w := range v.Workers {
		if !w.Usable {
			failed[w.Name] = true
			names = append(names, w.Name)
		}
	}
	id := strings.Join(names, " ")
	if c.layoutCache.layout != nil && c.layoutCache.version == site.Version && c.layoutCache.failed == id {
		return c.layoutCache.layout
	}
	var condition *pledge.Constraints
	if len(failed) > 0 {
		condition = &pledge.Constraints{Failed: failed}
	}
	// Guarantees that don't fit while workers are unusable wait for them.
	layout, _ := pledge.Plan(site, condition)
	c.layoutCache = layoutCache{site.Version, id, layout}
	return layout
}

func (c *Controller) addJob(v *decider.View, j *CachedJob, index map[string]int) {
	job := c.deciderJob(j)
	if p := c.pendingStarts[job.Key]; p != nil && j.State == settlement.Waiting {
		v.Running = append(v.Running, decider.Running{Job: job, Members: members(p.placements, index), Started: v.Now})
		return
	}
	if j.State != settlement.Waiting {
		v.Running = append(v.Running, decider.Running{
			Job: job, Members: members(j.Placements, index), Started: j.Started, Stopping: j.State == settlement.Stopping,
		})
		return
	}
	if _, paused := c.pausedUntil[job.Key]; !paused && !c.busy[job.Key] {
		v.Waiting = append(v.Waiting, job)
	}
}

// members converts placements to the decider's form. It leaves out workers that are not in the configuration any
// more.
func members(placements []settlement.Placement, index map[string]int) []decider.Member {
	var list []decider.Member
	for _, s := range placements {
		if i, ok := index[s.Worker]; ok {
			list = append(list, decider.Member{Worker: i, Count: len(s.Members)})
		}
	}
	return list
}

func (c *Controller) deciderJob(j *CachedJob) decider.Job {
	key := j.Key()
	if len(j.Failures) > 0 && !c.failuresLoaded[key] {
		c.failuresLoaded[key] = true
		// Another box recorded these failures in the row; its health records are gone.
		for _, w := range j.Failures {
			c.health.RecordFailure(w, key, time.Now())
		}
	}
	return decider.Job{
		Key: key, Workspace: j.Submission.Workspace, Kind: j.Submission.Kind, Gang: j.Submission.Gang, Shape: j.Submission.Shape,
		DeclaredSeconds: j.Submission.DeclaredSeconds, Urgent: j.Submission.Urgent, AtMostOnce: j.Submission.AtMostOnce,
		Checkpoints: j.Submission.Checkpoints, Arrived: j.Received, Done: j.Done, Stops: j.Stops, FailedOn: c.health.FailedOn(key), Losses: j.Losses,
	}
}

// usedElsewhere returns the accelerators that each workspace uses in other halls, as last reported by their boxes.
func usedElsewhere(hall string, loads []link.Load) map[string]int {
	used := map[string]int{}
	for _, l := range loads {
		if l.Hall == hall {
			continue
		}
		for workspace, n := range l.Used {
			used[workspace] += n
		}
	}
	return used
}

// loadOf summarizes a view as a load, from which boxes choose halls for new jobs.
func loadOf(hall string, v *decider.View) link.Load {
	l := link.Load{Hall: hall, PledgeFree: map[string]int{}, Used: map[string]int{}, Unfinished: map[string]int{}}
	free, unreserved := make([]int, len(v.Workers)), make([]int, len(v.Workers))
	for i, w := range v.Workers {
		unreserved[i] = w.Capacity.Accelerators
		if w.Usable {
			free[i] = w.Capacity.Accelerators
			l.Capacity += free[i]
		}
		for _, s := range v.Layout[w.Name] {
			l.PledgeFree[s.Workspace] += s.Shape.Accelerators
			unreserved[i] -= s.Shape.Accelerators
		}
	}
	for _, r := range v.Running {
		for _, m := range r.Members {
			free[m.Worker] -= m.Count * r.Job.Shape.Accelerators
		}
		l.Unfinished[r.Job.Workspace]++
		l.Used[r.Job.Workspace] += r.Job.Accelerators()
		l.PledgeFree[r.Job.Workspace] -= r.Job.Accelerators()
	}
	for _, rack := range v.Racks {
		sum, firm := 0, 0
		for _, w := range rack.Workers {
			sum += max(free[w], 0)
			firm += max(min(free[w], unreserved[w]), 0)
		}
		l.Free += sum
		l.LargestFree = max(l.LargestFree, sum)
		l.LargestUnreserved = max(l.LargestUnreserved, firm)
	}
	for _, j := range v.Waiting {
		l.Waiting += j.Accelerators()
		l.Unfinished[j.Workspace]++
	}
	return l
}

// devices chooses the devices of a worker for its members: the shortest sufficient run of consecutive free devices,
// or else the lowest free ones. It returns nil if too few are free.
func devices(capacity, needed int, taken map[int]bool) []int {
	if needed == 0 {
		return []int{}
	}
	var free []int
	for d := range capacity {
		if !taken[d] {
			free = append(free, d)
		}
	}
	if len(free) < needed {
		return nil
	}
	best, bestLength := -1, capacity+1
	for first := 0; first < len(free); {
		last := first
		for last+1 < len(free) && free[last+1] == free[last]+1 {
			last++
		}
		if length := last - first + 1; length >= needed && length < bestLength {
			best, bestLength = first, length
		}
		first = last + 1
	}
	if best < 0 {
		best = 0
	}
	return slices.Clone(free[best : best+needed])
}
