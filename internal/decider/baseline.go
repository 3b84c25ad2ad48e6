package decider

import (
	"cmp"
	"math"
	"slices"

	"github.com/pulleyring/pulleyring/pkg/contract"
)

// shape abbreviates contract.Shape.
type shape = contract.Shape

// quotaPlanner is the state of a pass of the baseline policies. They treat a guarantee as a number of accelerators
// anywhere in the hall.
type quotaPlanner struct {
	*planner
	guaranteed   map[string]int // Guaranteed accelerators by workspace.
	borrowers    []int          // Indexes of running gangs that borrow, newest first.
	unguaranteed int            // Accelerators beyond the guarantees, less those that unstoppable gangs use.
}

// newQuotaPlanner returns the state at the start of a pass, with the borrowers found.
func newQuotaPlanner(v *View) *quotaPlanner {
	q := &quotaPlanner{planner: newPlanner(v), guaranteed: map[string]int{}}
	for i := range v.Workers {
		q.unguaranteed += v.Workers[i].Capacity.Accelerators
	}
	for _, w := range v.Site.Workspaces {
		q.guaranteed[w.Name] = w.Guaranteed()
		q.unguaranteed -= w.Guaranteed()
	}
	q.findBorrowers()
	return q
}

// findBorrowers lists the running gangs that exceed the guarantee of their workspace, counted unstoppable gangs first
// and then by start time.
func (q *quotaPlanner) findBorrowers() {
	running := q.view.Running
	order := make([]int, 0, len(running))
	for i := range running {
		if !q.stopping[i] {
			order = append(order, i)
		}
	}
	slices.SortFunc(order, func(x, y int) int {
		a, b := &running[x], &running[y]
		return cmp.Or(compareBool(a.Job.MayBorrow(), b.Job.MayBorrow()), a.Started.Compare(b.Started), cmp.Compare(a.Job.Key, b.Job.Key))
	})
	used := map[string]int{}
	for _, i := range order {
		j := &running[i].Job
		used[j.Workspace] += j.Accelerators()
		if used[j.Workspace] <= q.guaranteed[j.Workspace] {
			continue
		}
		if j.MayBorrow() {
			q.borrowers = append(q.borrowers, i)
		} else {
			q.unguaranteed -= j.Accelerators()
		}
	}
	slices.Reverse(q.borrowers)
}

// withinGuarantee reports whether a job fits the guarantee of its workspace.
func (q *quotaPlanner) withinGuarantee(j *Job) bool {
	return j.Accelerators() > 0 && q.used[j.Workspace]+j.Accelerators() <= q.guaranteed[j.Workspace]
}

// mayStart reports whether the limits and guarantees allow the job to start.
func (q *quotaPlanner) mayStart(j *Job) bool {
	if q.overLimit(j) {
		return false
	}
	return j.MayBorrow() || q.withinGuarantee(j) || j.Accelerators() <= q.unguaranteed
}

// startCounted starts a job and subtracts it from unguaranteed if it cannot be stopped and exceeds its guarantee.
func (q *quotaPlanner) startCounted(j *Job, members []Member, code Code) {
	if !j.MayBorrow() && !q.withinGuarantee(j) {
		q.unguaranteed -= j.Accelerators()
	}
	q.start(j, members, &Reason{Code: code})
}

// reclaim preempts the newest borrowers on the rack where the fewest must stop. It returns false if no rack can be
// freed.
func (q *quotaPlanner) reclaim(index int, j *Job) bool {
	var best *plan
	for rack := range q.view.Racks {
		p := q.planOnRack(rack, j)
		if p != nil && (best == nil || len(p.victims) < len(best.victims)) {
			best = p
		}
	}
	if best == nil {
		return false
	}
	for _, i := range best.victims {
		q.stop(i, true, j.Key, &Reason{Code: ReclaimedFor, Who: j.Key})
	}
	q.borrowers = slices.DeleteFunc(q.borrowers, func(i int) bool { return slices.Contains(best.victims, i) })
	q.reserveDevices(j, best.members)
	q.recordWait(index, &Reason{Code: AwaitsReclaim})
	return true
}

// planOnRack returns a plan that preempts borrowers on one rack, newest first, until the gang fits, or nil.
func (q *quotaPlanner) planOnRack(rack int, j *Job) *plan {
	p := &plan{rack: rack}
	freed := map[int]int{}
	if q.tryPlan(p, j, freed) {
		return p
	}
	for _, i := range q.borrowers {
		if !q.runsOn(i, rack) {
			continue
		}
		p.victims = append(p.victims, i)
		for _, m := range q.view.Running[i].Members {
			freed[m.Worker] += m.Count * q.view.Running[i].Job.Shape.Accelerators
		}
		if q.tryPlan(p, j, freed) {
			return p
		}
	}
	return nil
}

// runsOn reports whether a running gang has members on a rack.
func (q *quotaPlanner) runsOn(i, rack int) bool {
	for _, m := range q.view.Running[i].Members {
		if q.view.Workers[m.Worker].Rack == rack {
			return true
		}
	}
	return false
}

// tryPlan sets the plan's members if the gang fits the free devices and those of stopping gangs and victims. It reports
// whether it fits.
func (q *quotaPlanner) tryPlan(p *plan, j *Job, freed map[int]int) bool {
	p.members = q.spread(p.rack, j, func(worker int) (room shape) {
		s := &q.workers[worker]
		room = s.free.Add(s.leaving)
		for _, i := range p.victims {
			if freed[worker] > 0 {
				room = room.Add(q.heldBy(i, worker))
			}
		}
		return room
	})
	return p.members != nil
}

// waitingByArrival returns the indexes of the waiting jobs that can run, in the order of their arrival.
func (q *quotaPlanner) waitingByArrival() []int {
	rest := q.rejectImpossible()
	slices.SortFunc(rest, func(x, y int) int {
		a, b := &q.view.Waiting[x], &q.view.Waiting[y]
		return cmp.Or(a.Arrived.Compare(b.Arrived), cmp.Compare(a.Key, b.Key))
	})
	return rest
}

// FirstFit is a baseline policy: in the order of arrival, it starts jobs on the first rack and workers that fit them.
type FirstFit struct{}

// Name returns the name of the policy.
func (FirstFit) Name() string { return "first_fit" }

// Decide starts jobs in the order of arrival and reclaims devices for jobs within their guarantee.
func (FirstFit) Decide(v *View) Outcome {
	q := newQuotaPlanner(v)
	noRoom := map[requestClass]bool{}
	for _, i := range q.waitingByArrival() {
		j := &v.Waiting[i]
		c := requestClassOf(j)
		if noRoom[c] && len(j.FailedOn) == 0 {
			q.recordWait(i, &Reason{Code: NoRoom})
			continue
		}
		if q.mayStart(j) {
			if members := q.firstRack(j); members != nil {
				q.startCounted(j, members, Fits)
				continue
			}
			if q.withinGuarantee(j) && q.reclaim(i, j) {
				continue
			}
		}
		if len(j.FailedOn) == 0 {
			noRoom[c] = true
		}
		q.recordWait(i, &Reason{Code: NoRoom})
	}
	return q.outcome
}

// firstRack places the gang on the first workers with free devices of the first rack that fits it, or returns nil.
func (q *quotaPlanner) firstRack(j *Job) []Member {
	for rack := range q.view.Racks {
		left := j.Gang
		var members []Member
		for _, k := range q.view.Racks[rack].Workers {
			if left == 0 || !q.usable(k, j) {
				continue
			}
			if n := min(left, j.Shape.Copies(q.workers[k].free)); n > 0 {
				members = append(members, Member{Worker: k, Count: n})
				left -= n
			}
		}
		if left == 0 {
			return members
		}
	}
	return nil
}

// Backfill is a baseline policy with best fit and EASY backfilling by declared run times. The oldest gang that does not
// fit gets the rack where it should fit first. Later gangs start there only if they should end before that.
type Backfill struct{}

// Name returns the name of the policy.
func (Backfill) Name() string { return "backfill" }

// Decide starts jobs in the order of arrival, with one rack reserved for the oldest gang that does not fit.
func (Backfill) Decide(v *View) Outcome {
	q := newQuotaPlanner(v)
	noRoom := map[requestClass]bool{}
	reserved, shadow := -1, math.Inf(1)
	for _, i := range q.waitingByArrival() {
		j := &v.Waiting[i]
		c := requestClassOf(j)
		if !q.mayStart(j) || noRoom[c] && len(j.FailedOn) == 0 {
			q.recordWait(i, &Reason{Code: NoRoom})
			continue
		}
		if q.startWithoutDelay(j, reserved, shadow) {
			continue
		}
		if q.withinGuarantee(j) && q.reclaim(i, j) {
			continue
		}
		if reserved < 0 {
			reserved, shadow = q.earliestRack(j)
		}
		if len(j.FailedOn) == 0 {
			noRoom[c] = true
		}
		q.recordWait(i, &Reason{Code: NoRoom})
	}
	return q.outcome
}

// startWithoutDelay starts a job on the fullest rack that fits it, but on the reserved rack only if the job should end
// within shadow seconds. It returns false if no rack fits.
func (q *quotaPlanner) startWithoutDelay(j *Job, reserved int, shadow float64) bool {
	reservedFor := make([]string, len(q.view.Racks))
	if reserved >= 0 && j.DeclaredSeconds-j.Done > shadow {
		reservedFor[reserved] = "the oldest"
	}
	_, members := q.fullestRack(j, q.freeRoom, reservedFor)
	if members == nil {
		return false
	}
	q.startCounted(j, members, Fits)
	return true
}

// earliestRack returns the rack where the gang should fit first by declared run times, and the seconds until then.
func (q *quotaPlanner) earliestRack(j *Job) (rack int, seconds float64) {
	rack, seconds = -1, math.Inf(1)
	for r := range q.view.Racks {
		if t := q.declaredSecondsUntilFits(r, j); t < seconds {
			rack, seconds = r, t
		}
	}
	return rack, seconds
}

// declaredSecondsUntilFits returns the seconds after which the gang should fit a rack by declared run times, or
// infinity.
func (q *quotaPlanner) declaredSecondsUntilFits(rack int, j *Job) float64 {
	type end struct {
		seconds float64
		index   int
	}
	var ends []end
	seen := map[int]bool{}
	for _, k := range q.view.Racks[rack].Workers {
		for _, i := range q.workers[k].gangs {
			if i >= 0 && !seen[i] {
				seen[i] = true
				r := &q.view.Running[i]
				ran := q.view.Now.Sub(r.Started).Seconds()
				ends = append(ends, end{max(0, r.Job.DeclaredSeconds-r.Job.Done-ran), i})
			}
		}
	}
	slices.SortFunc(ends, func(x, y end) int { return cmp.Or(cmp.Compare(x.seconds, y.seconds), cmp.Compare(x.index, y.index)) })
	freed := map[int]shape{}
	for _, e := range ends {
		for _, m := range q.view.Running[e.index].Members {
			freed[m.Worker] = freed[m.Worker].Add(q.view.Running[e.index].Job.Shape.Times(m.Count))
		}
		if q.spread(rack, j, func(k int) shape { return q.workers[k].free.Add(freed[k]) }) != nil {
			return e.seconds
		}
	}
	return math.Inf(1)
}
