package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/pulleyring/pulleyring/internal/job"
)

// board is the state of one decision.
type board struct {
	view     *View
	free     []job.Resources // By worker: free and not claimed by others.
	seats    map[string]int  // Workers by name; made when a name is first looked up.
	everyone []int           // All workers.
	racks    [][]int         // Workers by rack, in the order of the view.
	onWorker [][]int         // Holdings by worker, once for each task.
	open     int             // Workers in halls that are not emptied.
	idle     int             // Usable workers on which nothing runs.
	reserve  int             // Idle workers that are left to urgent work.
	draining int             // Tasks for which room is draining.
	outcome  Outcome
	served   []bool          // By demand: it has had its turn.
	dropped  []bool          // By demand: its draining room was given up.
	aside    []bool          // By demand: the room claimed for it is set aside.
	stopped  []bool          // By holding: stopped by this decision.
	soon     []job.Resources // By worker: comes free within the time that a stop takes.
	suspects []job.ID        // By worker: the job that may crash it and has just begun there, or begins by this decision.
	begun    []job.ID        // By worker: a job that has just begun there, or begins by this decision.
	shared   []bool          // By worker: a job runs there that the considered demand is to begin apart from.
	suitable []bool          // By worker: may run tasks of the demand that is being considered.
	shunned  []bool          // By worker: that demand runs there only if it has to.
	overdue  bool            // That demand has waited for too long beside plenty of room.
	running  map[job.ID]bool // Jobs of which something runs; made when it is first asked for.
	search   search          // Scratch of planRoom.
}

// Decide places the demands: guaranteed work first, stopping other work where it must, then the rest by what it earns for
// the room it takes.
func Decide(v *View) Outcome {
	b := newBoard(v)
	drained := false
	for _, i := range b.order() {
		d := &v.Demands[i]
		if d.Priority > 0 && !drained {
			b.setAside()
			drained = true
		}
		b.serve(i)
	}
	return b.outcome
}

// serve places a demand, or sees to it that room for it comes free.
func (b *board) serve(i int) {
	d := &b.view.Demands[i]
	b.served[i] = true
	b.consider(d)
	b.avoidUnproven(d)
	b.unclaim(i)
	claimed := d.Claim != nil && !b.dropped[i]
	if b.place(i) || b.placeOnDrained(i) {
		if claimed && d.Draining {
			b.draining -= len(d.Claim)
		}
		return
	}
	if (!claimed || d.Draining) && b.impatient(d) && b.makeRoom(i) {
		return
	}
	b.reclaim(i)
	if !claimed && d.Step.Gang && d.Priority > 0 {
		b.planDrain(i)
	}
}

// setAside takes the room that is draining for gangs from all that is served after urgent work.
func (b *board) setAside() {
	for i := range b.view.Demands {
		if d := &b.view.Demands[i]; d.Draining {
			b.reclaim(i)
			b.draining += len(d.Claim)
		}
	}
}

func newBoard(v *View) *board {
	workers, holdings := len(v.Workers), len(v.Holdings)
	b := &board{
		view: v, free: make([]job.Resources, workers), everyone: make([]int, workers), soon: make([]job.Resources, workers),
		suitable: make([]bool, workers), shunned: make([]bool, workers), suspects: make([]job.ID, workers), begun: make([]job.ID, workers), shared: make([]bool, workers), served: make([]bool, len(v.Demands)), dropped: make([]bool, len(v.Demands)), aside: make([]bool, len(v.Demands)),
		stopped: make([]bool, holdings),
	}
	for k := range v.Workers {
		b.free[k], b.everyone[k] = v.Workers[k].Free, k
		b.suspects[k], b.begun[k] = v.Workers[k].Suspect, v.Workers[k].Begun
	}
	b.open = openWorkers(v)
	b.reserve = int(reserveShare * float64(b.open))
	b.racks = racksOf(v)
	b.onWorker = holdingsByWorker(v)
	for k := range v.Workers {
		b.soon[k] = b.freeingSoon(k)
		if b.isIdle(k) {
			b.idle++
		}
	}
	for i := range v.Demands {
		if !v.Demands[i].Draining {
			b.reclaim(i)
		}
	}
	return b
}

// openWorkers counts the workers in halls where work may start: shares of the site are shares of these.
func openWorkers(v *View) int {
	n := 0
	for k := range v.Workers {
		if !v.Workers[k].Closed {
			n++
		}
	}
	return n
}

// racksOf lists the workers of each rack.
func racksOf(v *View) [][]int {
	var racks [][]int
	byName := map[string]int{}
	for k := range v.Workers {
		r, ok := byName[v.Workers[k].Rack]
		if !ok {
			r = len(racks)
			byName[v.Workers[k].Rack] = r
			racks = append(racks, nil)
		}
		racks[r] = append(racks[r], k)
	}
	return racks
}

// holdingsByWorker lists what each worker holds, once for each task. All lists share one array.
func holdingsByWorker(v *View) [][]int {
	counts := make([]int, len(v.Workers))
	sum := 0
	for h := range v.Holdings {
		for _, k := range v.Holdings[h].Places {
			counts[k]++
			sum++
		}
	}
	all := make([]int, sum)
	lists := make([][]int, len(v.Workers))
	for k, n := range counts {
		lists[k], all = all[:0:n], all[n:]
	}
	for h := range v.Holdings {
		for _, k := range v.Holdings[h].Places {
			lists[k] = append(lists[k], h)
		}
	}
	return lists
}

// seat finds a worker by its name; false for one that is not in the view.
func (b *board) seat(worker string) (int, bool) {
	if b.seats == nil {
		b.seats = make(map[string]int, len(b.view.Workers))
		for k := range b.view.Workers {
			b.seats[b.view.Workers[k].ID] = k
		}
	}
	k, ok := b.seats[worker]
	return k, ok
}

// mustSeat finds a worker that is known to be in the view.
func (b *board) mustSeat(worker string) int {
	k, _ := b.seat(worker)
	return k
}

// claimOf is the room claimed for a demand, if it has not been given up.
func (b *board) claimOf(i int) map[int]string {
	if b.dropped[i] {
		return nil
	}
	return b.view.Demands[i].Claim
}

// unclaim gives the room claimed for a demand back to the board, for the demand itself.
func (b *board) unclaim(i int) {
	d := &b.view.Demands[i]
	b.aside[i] = false
	for _, worker := range b.claimOf(i) {
		if k, ok := b.seat(worker); ok {
			b.free[k] = b.free[k].Add(d.Step.Each)
		}
	}
}

// reclaim sets the claimed room aside.
func (b *board) reclaim(i int) {
	d := &b.view.Demands[i]
	b.aside[i] = !b.dropped[i]
	for _, worker := range b.claimOf(i) {
		if k, ok := b.seat(worker); ok {
			b.free[k] = b.free[k].Sub(d.Step.Each)
		}
	}
}

// order returns the demands' indexes, first served first.
func (b *board) order() []int {
	order := make([]int, len(b.view.Demands))
	scores := make([]float64, len(order))
	for i := range order {
		order[i] = i
		scores[i] = b.score(&b.view.Demands[i])
	}
	slices.SortFunc(order, func(x, y int) int {
		p, q := &b.view.Demands[x], &b.view.Demands[y]
		if c := cmp.Compare(rank(q), rank(p)); c != 0 {
			return c
		}
		if !p.Covered {
			if c := cmp.Compare(scores[y], scores[x]); c != 0 {
				return c
			}
		}
		return cmp.Or(p.Goal.Compare(q.Goal), p.Since.Compare(q.Since), cmp.Compare(p.Job, q.Job), cmp.Compare(p.Group.Occurrence, q.Group.Occurrence), cmp.Compare(p.Group.Step, q.Group.Step))
	})
	return order
}

// rank puts guaranteed work before other urgent work, and that before all else.
func rank(d *Demand) int {
	switch {
	case d.Covered:
		return 2
	case d.Priority == 0:
		return 1
	}
	return 0
}

// neverInTime is the share of its value that work counts for once it can't earn anything any more; it is served last, but
// it is served.
const neverInTime = 0.02

// urgencyScale is how fast a demand gains weight as its last start in time comes nearer: about the length of a run, so
// that work that has time lets other work go first.
const urgencyScale = 10 * time.Second

// stake is what a demand loses if it misses its next goal, and when that is.
func (b *board) stake(d *Demand) (gain float64, goal time.Time) {
	end := b.view.Now.Add(d.Remaining)
	switch {
	case !end.After(d.Goal):
		return d.Value - d.LateValue, d.Goal
	case !end.After(d.LastGoal):
		return d.LateValue, d.LastGoal
	}
	return neverInTime * d.Value, b.view.Now
}

// score is what a demand stands to lose for each core-second that it takes, less the more time it has.
func (b *board) score(d *Demand) float64 {
	gain, goal := b.stake(d)
	slack := goal.Sub(b.view.Now.Add(d.Remaining))
	return gain / max(d.Work, 1e-3) * math.Exp(-max(0, float64(slack)/float64(urgencyScale)))
}

// place starts what fits of a demand and reports whether nothing of it is left waiting.
func (b *board) place(i int) bool {
	d := &b.view.Demands[i]
	var workers map[int]string
	if d.Step.Gang {
		workers = b.layGang(d)
	} else {
		workers = b.laySingles(d)
	}
	if len(workers) == 0 || d.Step.Gang && b.takesReserve(d, workers) {
		return false
	}
	for _, w := range workers {
		k := b.mustSeat(w)
		if b.isIdle(k) {
			b.idle--
		}
		b.free[k] = b.free[k].Sub(d.Step.Each)
		b.begun[k] = d.Job
		if d.Suspect {
			b.suspects[k] = d.Job
		}
	}
	b.outcome.Starts = append(b.outcome.Starts, Start{i, workers})
	return len(workers) == len(d.Waiting)
}

// reserveShare is the share of the workers that other work leaves idle, so that urgent work finds room without stopping
// anything. With gangs held to it, 0.25 gained 0.016 of mean worth at 48 workers of 32 cores (60 days) and 0.020 at 64 cores
// (40 days), and lost 0.007 at 128 cores (40 days); 0.08, 0.15 and 0.35 gained -0.003, 0.014 and 0.017 at 32 cores.
const reserveShare = 0.25

// reservePatience is the share of the time to its goal that work above bulk waits rather than take the reserve. It keeps
// half of the loss that waiting brings large gangs at 128 cores: the worth of their queue was 0.908 without a reserve for
// gangs, 0.844 without this bound, 0.864 with it (40 days each).
const reservePatience = 0.25

// isIdle reports whether nothing runs on a worker that takes new runs, and no room on it is claimed.
func (b *board) isIdle(k int) bool {
	w := &b.view.Workers[k]
	return w.Usable && b.free[k] == w.Capacity
}

// keepsReserve reports whether a demand leaves the last idle workers to urgent work: work that still has time does, unless
// it has waited beside plenty of room.
func (b *board) keepsReserve(d *Demand) bool {
	if d.Priority == 0 || b.impatient(d) || b.overdue {
		return false
	}
	patience := time.Duration(reservePatience * float64(d.Goal.Sub(d.Since)))
	return d.Priority >= bulkPriority || b.view.Now.Sub(d.Since) <= patience
}

// takesReserve reports whether a gang that keeps the reserve would start on idle workers that belong to it.
func (b *board) takesReserve(d *Demand, workers map[int]string) bool {
	if !b.keepsReserve(d) {
		return false
	}
	idle := map[string]bool{}
	for _, w := range workers {
		if b.isIdle(b.mustSeat(w)) {
			idle[w] = true
		}
	}
	return len(idle) > 0 && b.idle-len(idle) < b.reserve
}

// bulkPriority is the first priority that counts as bulk.
const bulkPriority = 2
