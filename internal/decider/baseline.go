package decider

import (
	"cmp"
	"math"
	"slices"

	"github.com/pulleyring/pulleyring/pkg/contract"
)

// shape is short for the contract's shape where it is the result of a function literal.
type shape = contract.Shape

// quota is the account that both baselines keep: guarantees as plain amounts of accelerators.
type quota struct {
	*board
	guaranteed map[string]int // By workspace.
	newest     []int          // Running gangs that borrow, the newest first.
	loose      int            // Accelerators beyond all guarantees, less what unstoppable work holds there.
}

func newQuota(v *View) *quota {
	q := &quota{board: newBoard(v), guaranteed: map[string]int{}}
	for i := range v.Workers {
		q.loose += v.Workers[i].Capacity.Accelerators
	}
	for _, w := range v.Site.Workspaces {
		q.guaranteed[w.Name] = w.Guaranteed()
		q.loose -= w.Guaranteed()
	}
	q.findBorrowers()
	return q
}

// findBorrowers walks the running gangs in the order of their start; what exceeds a guarantee borrows.
func (q *quota) findBorrowers() {
	running := q.view.Running
	order := make([]int, 0, len(running))
	for i := range running {
		if !q.stopping[i] {
			order = append(order, i)
		}
	}
	slices.SortFunc(order, func(x, y int) int {
		a, b := &running[x], &running[y]
		return cmp.Or(compareBool(a.Job.Lendable(), b.Job.Lendable()), a.Started.Compare(b.Started), cmp.Compare(a.Job.Key, b.Job.Key))
	})
	used := map[string]int{}
	for _, i := range order {
		j := &running[i].Job
		used[j.Workspace] += j.Accelerators()
		if used[j.Workspace] <= q.guaranteed[j.Workspace] {
			continue
		}
		if j.Lendable() {
			q.newest = append(q.newest, i)
		} else {
			q.loose -= j.Accelerators()
		}
	}
	slices.Reverse(q.newest)
}

// within reports whether a job stays inside its workspace's guarantee.
func (q *quota) within(j *Job) bool {
	return j.Accelerators() > 0 && q.used[j.Workspace]+j.Accelerators() <= q.guaranteed[j.Workspace]
}

// may reports whether a job may start wherever it fits.
func (q *quota) may(j *Job) bool {
	if q.overLimit(j) {
		return false
	}
	return j.Lendable() || q.within(j) || j.Accelerators() <= q.loose
}

// begin starts a job and keeps the account.
func (q *quota) begin(j *Job, members []Member, code Code) {
	if !j.Lendable() && !q.within(j) {
		q.loose -= j.Accelerators()
	}
	q.start(j, members, &Reason{Code: code})
}

// reclaim stops the newest borrowers of the rack where the fewest have to go. It reports whether the job was dealt with.
func (q *quota) reclaim(index int, j *Job) bool {
	var best *plan
	for rack := range q.view.Racks {
		p := q.newestPlan(rack, j)
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
	q.newest = slices.DeleteFunc(q.newest, func(i int) bool { return slices.Contains(best.victims, i) })
	q.reserve(j, best.members)
	q.wait(index, &Reason{Code: AwaitsReclaim})
	return true
}

// newestPlan adds borrowers of one rack, the newest first, until the gang would fit.
func (q *quota) newestPlan(rack int, j *Job) *plan {
	p := &plan{rack: rack}
	freed := map[int]int{}
	if q.tryPlan(p, j, freed) {
		return p
	}
	for _, i := range q.newest {
		if !q.touches(i, rack) {
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

func (q *quota) touches(i, rack int) bool {
	for _, m := range q.view.Running[i].Members {
		if q.view.Workers[m.Worker].Rack == rack {
			return true
		}
	}
	return false
}

// tryPlan lays the gang onto what is free, leaving, or freed by the victims so far.
func (q *quota) tryPlan(p *plan, j *Job, freed map[int]int) bool {
	p.members = q.spread(p.rack, j, func(worker int) (room shape) {
		s := &q.seats[worker]
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

// arrivals returns the waiting jobs that may run at all in the order of their arrival.
func (q *quota) arrivals() []int {
	rest := q.refuse()
	slices.SortFunc(rest, func(x, y int) int {
		a, b := &q.view.Waiting[x], &q.view.Waiting[y]
		return cmp.Or(a.Arrived.Compare(b.Arrived), cmp.Compare(a.Key, b.Key))
	})
	return rest
}

// FirstFit is the baseline that starts in arrival order whatever fits on the first rack and workers that take it.
type FirstFit struct{}

// Name implements Policy.
func (FirstFit) Name() string { return "first_fit" }

// Decide implements Policy.
func (FirstFit) Decide(v *View) Outcome {
	q := newQuota(v)
	failed := map[class]bool{}
	for _, i := range q.arrivals() {
		j := &v.Waiting[i]
		c := classOf(j)
		if failed[c] && len(j.FailedOn) == 0 {
			q.wait(i, &Reason{Code: NoRoom})
			continue
		}
		if q.may(j) {
			if members := q.firstRack(j); members != nil {
				q.begin(j, members, Fits)
				continue
			}
			if q.within(j) && q.reclaim(i, j) {
				continue
			}
		}
		if len(j.FailedOn) == 0 {
			failed[c] = true
		}
		q.wait(i, &Reason{Code: NoRoom})
	}
	return q.outcome
}

// firstRack lays the gang onto the first workers with room of the first rack that takes it whole.
func (q *quota) firstRack(j *Job) []Member {
	for rack := range q.view.Racks {
		left := j.Gang
		var members []Member
		for _, k := range q.view.Racks[rack].Workers {
			if left == 0 || !q.usable(k, j) {
				continue
			}
			if n := min(left, j.Shape.Copies(q.seats[k].free)); n > 0 {
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

// Backfill is the baseline with best fit and EASY backfilling by declared run times: the oldest gang that does not fit
// gets the rack where it should fit the soonest, and younger ones start there only if they should end before.
type Backfill struct{}

// Name implements Policy.
func (Backfill) Name() string { return "backfill" }

// Decide implements Policy.
func (Backfill) Decide(v *View) Outcome {
	q := newQuota(v)
	failed := map[class]bool{}
	reserved, shadow := -1, math.Inf(1)
	for _, i := range q.arrivals() {
		j := &v.Waiting[i]
		c := classOf(j)
		if !q.may(j) || failed[c] && len(j.FailedOn) == 0 {
			q.wait(i, &Reason{Code: NoRoom})
			continue
		}
		if q.startBeside(j, reserved, shadow) {
			continue
		}
		if q.within(j) && q.reclaim(i, j) {
			continue
		}
		if reserved < 0 {
			reserved, shadow = q.soonest(j)
		}
		if len(j.FailedOn) == 0 {
			failed[c] = true
		}
		q.wait(i, &Reason{Code: NoRoom})
	}
	return q.outcome
}

// startBeside starts a job on the fullest rack that takes it; on the reserved rack only if it should end in time.
func (q *quota) startBeside(j *Job, reserved int, shadow float64) bool {
	kept := make([]string, len(q.view.Racks))
	if reserved >= 0 && j.DeclaredSeconds-j.Done > shadow {
		kept[reserved] = "the oldest"
	}
	_, members := q.fullestRack(j, q.freeRoom, kept)
	if members == nil {
		return false
	}
	q.begin(j, members, Fits)
	return true
}

// soonest returns the rack where the gang should fit first by declared run times, and in how many seconds.
func (q *quota) soonest(j *Job) (rack int, seconds float64) {
	rack, seconds = -1, math.Inf(1)
	for r := range q.view.Racks {
		if t := q.declaredVacated(r, j); t < seconds {
			rack, seconds = r, t
		}
	}
	return rack, seconds
}

// declaredVacated returns the seconds after which the gang should fit a rack by declared run times.
func (q *quota) declaredVacated(rack int, j *Job) float64 {
	type end struct {
		seconds float64
		index   int
	}
	var ends []end
	seen := map[int]bool{}
	for _, k := range q.view.Racks[rack].Workers {
		for _, i := range q.seats[k].gangs {
			if i >= 0 && !seen[i] {
				seen[i] = true
				r := &q.view.Running[i]
				ran := q.view.Now.Sub(r.Started).Seconds()
				ends = append(ends, end{max(0, r.Job.DeclaredSeconds-r.Job.Done-ran), i})
			}
		}
	}
	slices.SortFunc(ends, func(x, y end) int { return cmp.Or(cmp.Compare(x.seconds, y.seconds), cmp.Compare(x.index, y.index)) })
	gone := map[int]shape{}
	for _, e := range ends {
		for _, m := range q.view.Running[e.index].Members {
			gone[m.Worker] = gone[m.Worker].Add(q.view.Running[e.index].Job.Shape.Times(m.Count))
		}
		if q.spread(rack, j, func(k int) shape { return q.seats[k].free.Add(gone[k]) }) != nil {
			return e.seconds
		}
	}
	return math.Inf(1)
}
