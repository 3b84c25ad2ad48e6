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

// placement is a start under way: its devices are taken although no row says so yet.
type placement struct {
	entry   *Entry
	rack    string
	attempt string
	seats   []settlement.Seat
	reason  *decider.Reason
	next    settlement.Job // The job's row as it will be committed.
}

// layoutCache keeps the pledge plan for a configuration and a set of failed workers.
type layoutCache struct {
	version int64
	failed  string
	layout  pledge.Layout
}

// view puts together what the decider sees; the lock is held.
func (k *Keeper) view(site *contract.Site, orders config.Orders, loads []link.Load, now time.Time) *decider.View {
	v := &decider.View{
		Now: now, Site: site, Claims: orders.Claimed(now), Estimates: &k.estimates,
		SetAsides: k.setAsides, UsedBefore: usedElsewhere(k.Hall, loads),
	}
	index := k.addWorkers(v, orders)
	v.Layout = k.layoutFor(site, v)
	k.watchWorkers(now)
	suspect := k.suspect(now)
	for _, e := range k.Book.Jobs() {
		if e.Unsettled {
			continue
		}
		if e.State == settlement.Waiting && e.Losses > 0 && e.Losses < decider.LossesToGiveUp && e.Key() != suspect && k.starts[e.Key()] == nil {
			continue // Its turn comes.
		}
		k.addJob(v, e, index)
	}
	return v
}

// addWorkers fills in racks and workers and returns the index of each worker's name.
func (k *Keeper) addWorkers(v *decider.View, orders config.Orders) map[string]int {
	index := map[string]int{}
	h, _ := v.Site.Hall(k.Hall)
	hallDrained := orders.Drained("hall", k.Hall)
	for r, rack := range h.Racks {
		drained := hallDrained || orders.Drained("rack", rack.Name)
		row := decider.Rack{Name: rack.Name}
		for _, w := range rack.Workers {
			usable, probe := k.health.Standing(w.Name, v.Now)
			usable = usable && !drained && !orders.Drained("worker", w.Name) && k.watch.reachable(w.Name, k.fresh())
			index[w.Name] = len(v.Workers)
			row.Workers = append(row.Workers, len(v.Workers))
			v.Workers = append(v.Workers, decider.Worker{Name: w.Name, Rack: r, Capacity: w.Capacity, Usable: usable, Probe: probe})
		}
		v.Racks = append(v.Racks, row)
	}
	return index
}

// layoutFor returns the pledge plan around workers that can't be used, from the cache where nothing changed.
func (k *Keeper) layoutFor(site *contract.Site, v *decider.View) pledge.Layout {
	failed := map[string]bool{}
	var names []string
	for _, w := range v.Workers {
		if !w.Usable {
			failed[w.Name] = true
			names = append(names, w.Name)
		}
	}
	id := strings.Join(names, " ")
	if k.layout.layout != nil && k.layout.version == site.Version && k.layout.failed == id {
		return k.layout.layout
	}
	var condition *pledge.Condition
	if len(failed) > 0 {
		condition = &pledge.Condition{Failed: failed}
	}
	layout, _ := pledge.Plan(site, condition) // What does not fit while workers are lost waits for them.
	k.layout = layoutCache{site.Version, id, layout}
	return layout
}

func (k *Keeper) addJob(v *decider.View, e *Entry, index map[string]int) {
	job := k.deciderJob(e)
	if p := k.starts[job.Key]; p != nil && e.State == settlement.Waiting {
		v.Running = append(v.Running, decider.Running{Job: job, Members: members(p.seats, index), Started: v.Now})
		return
	}
	if e.State != settlement.Waiting {
		v.Running = append(v.Running, decider.Running{
			Job: job, Members: members(e.Seats, index), Started: e.Started, Stopping: e.State == settlement.Stopping,
		})
		return
	}
	if _, resting := k.resting[job.Key]; !resting && !k.busy[job.Key] {
		v.Waiting = append(v.Waiting, job)
	}
}

// members returns the decider's form of seats; workers that the configuration no longer has are left out.
func members(seats []settlement.Seat, index map[string]int) []decider.Member {
	var list []decider.Member
	for _, s := range seats {
		if i, ok := index[s.Worker]; ok {
			list = append(list, decider.Member{Worker: i, Count: len(s.Members)})
		}
	}
	return list
}

func (k *Keeper) deciderJob(e *Entry) decider.Job {
	key := e.Key()
	if len(e.Failures) > 0 && !k.known[key] {
		k.known[key] = true
		for _, w := range e.Failures { // Another box saw them; its health is gone, the row is not.
			k.health.Failed(w, key, time.Now())
		}
	}
	return decider.Job{
		Key: key, Workspace: e.Submission.Workspace, Kind: e.Submission.Kind, Gang: e.Submission.Gang, Shape: e.Submission.Shape,
		DeclaredSeconds: e.Submission.DeclaredSeconds, Urgent: e.Submission.Urgent, AtMostOnce: e.Submission.AtMostOnce,
		Checkpoints: e.Submission.Checkpoints, Arrived: e.Received, Done: e.Done, Stops: e.Stops, FailedOn: k.health.FailedOn(key), Losses: e.Losses,
	}
}

// usedElsewhere returns the accelerators that workspaces use in other halls, as their preferred boxes said last.
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

// loadOf sums up a view for the boxes that choose halls for new jobs.
func loadOf(hall string, v *decider.View) link.Load {
	l := link.Load{Hall: hall, PledgeFree: map[string]int{}, Used: map[string]int{}, Unfinished: map[string]int{}}
	free, open := make([]int, len(v.Workers)), make([]int, len(v.Workers))
	for i, w := range v.Workers {
		open[i] = w.Capacity.Accelerators
		if w.Usable {
			free[i] = w.Capacity.Accelerators
			l.Capacity += free[i]
		}
		for _, s := range v.Layout[w.Name] {
			l.PledgeFree[s.Workspace] += s.Shape.Accelerators
			open[i] -= s.Shape.Accelerators
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
		for _, k := range rack.Workers {
			sum += max(free[k], 0)
			firm += max(min(free[k], open[k]), 0)
		}
		l.Free += sum
		l.Largest = max(l.Largest, sum)
		l.Firm = max(l.Firm, firm)
	}
	for _, j := range v.Waiting {
		l.Waiting += j.Accelerators()
		l.Unfinished[j.Workspace]++
	}
	return l
}

// devices picks the devices of a worker for a number of members: the shortest run of neighbours that is long enough,
// else the lowest free ones; nil where too few are free.
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
