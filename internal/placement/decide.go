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
	index    map[string]int
	racks    [][]int // Workers by rack, in the order of the view.
	onWorker [][]int // Holdings by worker.
	idle     int     // Usable workers on which nothing runs.
	reserve  int     // Idle workers that are left to urgent work.
	draining int     // Tasks for which room is draining.
	outcome  Outcome
	stopped  map[int]bool // Holdings stopped by this decision.
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
	b.unclaim(d)
	if b.place(i) {
		return
	}
	if (d.Claim == nil || d.Draining) && b.impatient(d) && b.makeRoom(i) {
		return
	}
	b.reclaim(d)
	if d.Claim == nil && d.Step.Gang && d.Priority > 0 {
		b.planDrain(i)
	}
}

// setAside takes the room that is draining for gangs from all that is served after urgent work.
func (b *board) setAside() {
	for i := range b.view.Demands {
		if d := &b.view.Demands[i]; d.Draining {
			b.reclaim(d)
			b.draining += len(d.Claim)
		}
	}
}

func newBoard(v *View) *board {
	b := &board{view: v, free: make([]job.Resources, len(v.Workers)), index: make(map[string]int, len(v.Workers)), stopped: map[int]bool{}}
	racks := map[string]int{}
	for i := range v.Workers {
		w := &v.Workers[i]
		b.free[i] = w.Free
		b.index[w.ID] = i
		r, ok := racks[w.Rack]
		if !ok {
			r = len(b.racks)
			racks[w.Rack] = r
			b.racks = append(b.racks, nil)
		}
		b.racks[r] = append(b.racks[r], i)
	}
	b.onWorker = make([][]int, len(v.Workers))
	for h := range v.Holdings {
		for _, worker := range v.Holdings[h].Tasks {
			if k, ok := b.index[worker]; ok {
				b.onWorker[k] = append(b.onWorker[k], h)
			}
		}
	}
	for k := range v.Workers {
		if b.isIdle(k) {
			b.idle++
		}
	}
	b.reserve = int(reserveShare * float64(len(v.Workers)))
	for i := range v.Demands {
		if !v.Demands[i].Draining {
			b.reclaim(&v.Demands[i])
		}
	}
	return b
}

// unclaim gives the room claimed for a demand back to the board, for the demand itself.
func (b *board) unclaim(d *Demand) {
	for _, worker := range d.Claim {
		if k, ok := b.index[worker]; ok {
			b.free[k] = b.free[k].Add(d.Step.Each)
		}
	}
}

// reclaim sets the claimed room aside.
func (b *board) reclaim(d *Demand) {
	for _, worker := range d.Claim {
		if k, ok := b.index[worker]; ok {
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
	if len(workers) == 0 {
		return false
	}
	for _, w := range workers {
		k := b.index[w]
		if b.isIdle(k) {
			b.idle--
		}
		b.free[k] = b.free[k].Sub(d.Step.Each)
	}
	b.outcome.Starts = append(b.outcome.Starts, Start{i, workers})
	return len(workers) == len(d.Waiting)
}

// reserveShare is the share of the workers that bulk work leaves idle, so that urgent work finds room without stopping
// anything.
const reserveShare = 0.15

// isIdle reports whether nothing runs on a worker that takes new runs, and no room on it is claimed.
func (b *board) isIdle(k int) bool {
	w := &b.view.Workers[k]
	return w.Usable && b.free[k] == w.Capacity
}

// keepsReserve reports whether a demand leaves the last idle workers to urgent work: bulk work does that still has time,
// unless it has waited beside plenty of room.
func (b *board) keepsReserve(d *Demand) bool {
	return d.Priority >= bulkPriority && !b.impatient(d) && !b.idleTooLong(d)
}

// bulkPriority is the first priority that counts as bulk.
const bulkPriority = 2

// suits reports whether a worker may run tasks of a demand, room aside.
func (b *board) suits(d *Demand, k int) bool {
	w := &b.view.Workers[k]
	if !w.Usable || w.Service != d.Service || d.Avoid[w.ID] {
		return false
	}
	return d.Step.Label == "" || slices.Contains(w.Labels, d.Step.Label)
}

// copies is how many of a demand's waiting tasks a worker could take.
func (b *board) copies(d *Demand, k int, free job.Resources) int {
	return b.copiesOf(d, k, free, len(d.Waiting))
}

// copiesOf is how many of n tasks like a demand's a worker could take.
func (b *board) copiesOf(d *Demand, k int, free job.Resources, n int) int {
	if !b.suits(d, k) {
		return 0
	}
	n = atMost(n, free.MilliCPU, d.Step.Each.MilliCPU)
	n = atMost(n, free.MemoryMB, d.Step.Each.MemoryMB)
	n = atMost(n, free.Accelerators, d.Step.Each.Accelerators)
	if d.Step.MostPerWorker > 0 {
		n = min(n, d.Step.MostPerWorker-d.Placed[b.view.Workers[k].ID])
	}
	return max(n, 0)
}

func atMost(n int, free, each int64) int {
	if each <= 0 {
		return n
	}
	return min(n, int(max(free, 0)/each))
}

// layGang finds room for a whole gang: in the fullest rack that takes it, or over racks where that costs nothing or can't
// be helped.
func (b *board) layGang(d *Demand) map[int]string {
	if !d.Step.RackLocal {
		return b.spread(d, b.all(), len(d.Waiting))
	}
	var best map[int]string
	bestSlow, bestFree := 0, int64(0)
	for _, rack := range b.racks {
		workers := b.spread(d, rack, len(d.Waiting))
		if workers == nil {
			continue
		}
		slow, free := b.slowest(workers), b.rackFree(rack)
		if best == nil || slow < bestSlow || slow == bestSlow && free < bestFree {
			best, bestSlow, bestFree = workers, slow, free
		}
	}
	if best == nil && (b.mustSpread(d) || !b.anyRackCould(d)) {
		return b.spread(d, b.all(), len(d.Waiting))
	}
	return best
}

// slowest is the slowness of the slowest worker of a layout, on which the whole gang waits.
func (b *board) slowest(workers map[int]string) int {
	level := 0
	for _, w := range workers {
		level = max(level, b.slowLevel(b.index[w]))
	}
	return level
}

func (b *board) all() []int {
	all := make([]int, len(b.view.Workers))
	for i := range all {
		all[i] = i
	}
	return all
}

// anyRackCould reports whether a rack could hold the gang if it were empty.
func (b *board) anyRackCould(d *Demand) bool {
	for _, rack := range b.racks {
		room := 0
		for _, k := range rack {
			room += b.copies(d, k, b.view.Workers[k].Capacity)
		}
		if room >= len(d.Waiting) {
			return true
		}
	}
	return false
}

func (b *board) rackFree(rack []int) int64 {
	sum := int64(0)
	for _, k := range rack {
		if b.view.Workers[k].Usable {
			sum += b.free[k].Accelerators
		}
	}
	return sum
}

// spread lays need tasks onto some of the workers, the fullest that fit first; nil where they don't all fit.
func (b *board) spread(d *Demand, among []int, need int) map[int]string {
	order := b.fullestFirst(d, among)
	workers := map[int]string{}
	for _, k := range order {
		for range b.copies(d, k, b.free[k]) {
			if len(workers) == need {
				break
			}
			workers[d.Waiting[len(workers)]] = b.view.Workers[k].ID
		}
	}
	if len(workers) < need {
		return nil
	}
	return workers
}

// verySlowAt is how many times slower than others a worker must be to be shunned: work there is late. Lesser differences
// are not worth the packing that shunning costs (tried: a third of the workers takes 1.3 times as long).
const verySlowAt = 2

// slowLevel is 1 for a worker that is to be shunned for its slowness.
func (b *board) slowLevel(k int) int {
	if b.view.Workers[k].Slowness >= verySlowAt {
		return 1
	}
	return 0
}

// fullestFirst orders workers that fit at least one task: trusted ones first, then all but very slow ones, then those with the least
// room left.
func (b *board) fullestFirst(d *Demand, among []int) []int {
	var order []int
	for _, k := range among {
		if b.copies(d, k, b.free[k]) > 0 {
			order = append(order, k)
		}
	}
	slices.SortStableFunc(order, func(x, y int) int {
		return cmp.Or(
			cmp.Compare(b.view.Workers[x].Doubt, b.view.Workers[y].Doubt),
			cmp.Compare(b.slowLevel(x), b.slowLevel(y)),
			cmp.Compare(b.free[x].Cores(), b.free[y].Cores()),
			cmp.Compare(b.view.Workers[x].ID, b.view.Workers[y].ID))
	})
	return order
}

// nearPatience is how long, as a share of the time to its goal, a task waits for room near its data.
const nearPatience = 0.25

// laySingles lays as many tasks as fit, near their data where they have any.
func (b *board) laySingles(d *Demand) map[int]string {
	among := b.all()
	if d.Step.DataRack != "" && b.view.Now.Sub(d.Since) < time.Duration(nearPatience*float64(d.Goal.Sub(d.Since))) {
		among = b.near(d.Step.DataRack)
	}
	workers := map[int]string{}
	reserve := b.keepsReserve(d)
	for _, k := range b.fullestFirst(d, among) {
		if reserve && b.idle <= b.reserve && b.isIdle(k) {
			continue
		}
		for range b.copies(d, k, b.free[k]) {
			if len(workers) == len(d.Waiting) {
				return workers
			}
			workers[d.Waiting[len(workers)]] = b.view.Workers[k].ID
		}
	}
	return workers
}

func (b *board) near(rack string) []int {
	for _, workers := range b.racks {
		if b.view.Workers[workers[0]].Rack == rack {
			return workers
		}
	}
	return nil
}

// lastMoment is how long before the last start that is in time a demand has work of lower priority stopped for it, with
// what the stop itself takes.
const lastMoment = 2 * time.Second

// runSlack is how much longer than expected a run is taken to last when its last start in time is reckoned: declared and
// learned run times are off by about that.
const runSlack = 1.25

// impatient reports whether work is to be stopped for a demand now. Urgent work does not wait at all, as a stop takes long
// against its time to the goal; other work waits for room to come free for as long as it can.
func (b *board) impatient(d *Demand) bool {
	if d.Priority == 0 {
		return true
	}
	_, goal := b.stake(d)
	last := goal.Add(-time.Duration(runSlack * float64(d.Remaining)))
	return b.view.Now.Add(b.view.Policy.StopTime + lastMoment).After(last)
}

// spreadAfter is the share of the time within which guaranteed work must have begun that it waits for room in one rack.
const spreadAfter = 0.55

// mustSpread reports whether a gang is to run slowly over several racks rather than wait for one: guaranteed work when the
// time within which it must begin runs out, other work when it is its last chance to earn anything.
func (b *board) mustSpread(d *Demand) bool {
	if d.Covered {
		return b.view.Now.Sub(d.Since) >= time.Duration(spreadAfter*float64(b.view.Policy.Reclaim))
	}
	if b.idleTooLong(d) {
		return true
	}
	return b.view.Now.Add(time.Duration(b.view.Policy.FarFactor * float64(d.Remaining))).After(d.LastGoal)
}

// idlePatience is how long work waits for better room while there is plenty of room in all: less than the 3 s after which
// it must not be left waiting beside idle workers (the users' rules).
const idlePatience = 2 * time.Second

func (b *board) idleTooLong(d *Demand) bool {
	return b.view.Now.Sub(d.Since) >= idlePatience && b.roomTwice(d)
}

// roomTwice reports whether the demand's workers are less than half in use, and all racks together have room for it twice
// over.
func (b *board) roomTwice(d *Demand) bool {
	room, free, all := 0, 0.0, 0.0
	for k := range b.view.Workers {
		w := &b.view.Workers[k]
		if !b.suits(d, k) {
			continue
		}
		room += b.copiesOf(d, k, w.Free, 2*len(d.Waiting))
		free += w.Free.Cores()
		all += w.Capacity.Cores()
	}
	return room >= 2*len(d.Waiting) && free > all/2
}
