package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/pulleyring/pulleyring/internal/job"
)

// consider makes a demand the one that suits speaks of. Workers that it shuns are suitable only once it has waited for too long beside plenty of room: a
// task that had failed on the only worker with its label was never tried again, and one that was to run alone waited for 3 s.
func (b *board) consider(d *Demand) {
	for k := range b.view.Workers {
		w := &b.view.Workers[k]
		b.suitable[k] = w.Usable && w.Service == d.Service && (d.Step.Label == "" || slices.Contains(w.Labels, d.Step.Label))
		b.shunned[k] = b.suitable[k] && (d.Avoid[w.ID] || b.isSuspected(d, k))
		b.shared[k] = len(d.Apart) > 0 && b.sharesWith(d, k)
	}
	if b.overdue = b.idleTooLong(d); b.overdue {
		return
	}
	again := b.triesAgain(d)
	for k, shunned := range b.shunned {
		if shunned && (!again || b.isSuspected(d, k)) {
			b.suitable[k] = false
		}
	}
}

// triesAgain reports whether a demand may start on workers on which it has failed: lasting work, which fails at any moment, and what would not fit elsewhere
// if all were empty.
func (b *board) triesAgain(d *Demand) bool {
	if len(d.Avoid) == 0 || d.Step.Lasting {
		return d.Step.Lasting
	}
	need, room := 1, 0
	if d.Step.Gang {
		need = len(d.Waiting)
	}
	for k := range b.view.Workers {
		if w := &b.view.Workers[k]; !d.Avoid[w.ID] {
			room += b.copiesOf(d, k, w.Capacity, need)
		}
	}
	return room < need
}

// sharesWith reports whether a job runs on a worker, or begins there by this decision, that was lost together with a demand's: one of them may crash its
// workers, and as long as they begin together nothing tells which. A sound job was given up beside one that crashed its workers after
// 2.5 s in a quarter of the runs of a drawn script, as both went to the fullest worker each time.
func (b *board) sharesWith(d *Demand, k int) bool {
	return d.Apart[b.begun[k]] ||
		slices.ContainsFunc(b.onWorker[k], func(h int) bool { return d.Apart[b.view.Holdings[h].Job] })
}

// unwanted is 2 for a worker that the considered demand shuns, 1 for one that it shares with a job that it is to begin apart from.
func (b *board) unwanted(k int) int {
	switch {
	case b.shunned[k]:
		return 2
	case b.shared[k]:
		return 1
	}
	return 0
}

// isSuspected reports whether a demand is not to start on a worker because one of two jobs may be about to crash it, so that less is lost
// with it, and it is known which one did. A sound job that was lost beside one that crashes workers began anew beside it each time
// otherwise, and was given up with it; and one that crashes workers went unnoticed beside another one for six starts.
// Guaranteed work begins there all the same before its time runs out, and has the suspect work stopped for it.
func (b *board) isSuspected(d *Demand, k int) bool {
	if b.mustBegin(d) {
		return false
	}
	other := func(id job.ID) bool { return id != "" && id != d.Job }
	return other(b.suspects[k]) || d.Suspect && other(b.begun[k]) || b.wantsAlone(d) && (other(b.begun[k]) || b.isShared(d, k))
}

// alonePatience is how long work that is to run alone waits for workers on which nothing else runs.
const alonePatience = 3 * time.Second

// wantsAlone reports whether a demand waits for workers on which nothing else runs.
func (b *board) wantsAlone(d *Demand) bool {
	return d.Alone && b.view.Now.Sub(d.Since) < alonePatience
}

// isShared reports whether another job's work runs on a worker.
func (b *board) isShared(d *Demand, k int) bool {
	return slices.ContainsFunc(b.onWorker[k], func(h int) bool { return b.view.Holdings[h].Job != d.Job })
}

// isCareful reports whether tasks of a demand with one attempt left are to run only on workers on which something has worked of
// late: for as long as they can wait for them.
func (b *board) isCareful(d *Demand) bool {
	return len(d.LastAttempts) > 0 && b.view.Now.Sub(d.Since) < carefulPatience && !b.overdue
}

// avoidUnproven leaves a gang with one attempt left only proven workers.
func (b *board) avoidUnproven(d *Demand) {
	if !d.Step.Gang || !b.isCareful(d) {
		return
	}
	for k := range b.view.Workers {
		b.suitable[k] = b.suitable[k] && !b.view.Workers[k].Unproven
	}
}

// carefulPatience is how long work with one attempt left waits for workers on which something has worked of late. With 2 s
// four gangs of 38 to 54 members found no room on such workers in a day, and failed for good on others.
const carefulPatience = 5 * time.Second

// suits reports whether a worker may run tasks of the considered demand, room aside.
func (b *board) suits(k int) bool { return b.suitable[k] }

// copies is how many of a demand's waiting tasks a worker could take.
func (b *board) copies(d *Demand, k int, free job.Resources) int {
	return b.copiesOf(d, k, free, len(d.Waiting))
}

// copiesOf is how many of n tasks like a demand's a worker could take.
func (b *board) copiesOf(d *Demand, k int, free job.Resources, n int) int {
	if !b.suits(k) {
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
	switch {
	case each <= 0:
		return n
	case free < each:
		return 0
	}
	return min(n, int(free/each))
}

// layoutRank orders the racks that take a gang: the least hazard, no very slow worker, the least room left.
type layoutRank struct {
	hazard, slow int
	free         int64
}

func (r layoutRank) before(o layoutRank) bool {
	return cmp.Or(cmp.Compare(r.hazard, o.hazard), cmp.Compare(r.slow, o.slow), cmp.Compare(r.free, o.free)) < 0
}

// layGang finds room for a whole gang: in the fullest rack that takes it, or over racks where that costs nothing or can't
// be helped.
func (b *board) layGang(d *Demand) map[int]string {
	if !d.Step.RackLocal {
		return b.spread(d, b.everyone, len(d.Waiting))
	}
	var best map[int]string
	var bestRank layoutRank
	for _, rack := range b.racks {
		workers := b.spread(d, rack, len(d.Waiting))
		if workers == nil {
			continue
		}
		rank := layoutRank{b.hazard(workers), b.slowest(workers), b.rackFree(rack)}
		if best == nil || rank.before(bestRank) {
			best, bestRank = workers, rank
		}
	}
	if best == nil && (b.mustSpread(d) || !b.anyRackCould(d)) {
		return b.spread(d, b.everyone, len(d.Waiting))
	}
	return best
}

// hazard is how many tasks of a layout are on workers that may fail everything, or that the demand shuns.
func (b *board) hazard(workers map[int]string) int {
	n := 0
	for _, w := range workers {
		if k := b.mustSeat(w); b.view.Workers[k].Unproven || b.shunned[k] {
			n++
		}
	}
	return n
}

// slowest is the slowness of the slowest worker of a layout, on which the whole gang waits.
func (b *board) slowest(workers map[int]string) int {
	level := 0
	for _, w := range workers {
		level = max(level, b.slowLevel(b.mustSeat(w)))
	}
	return level
}

// anyRackCould reports whether a rack could hold the gang if it were empty.
func (b *board) anyRackCould(d *Demand) bool {
	return slices.ContainsFunc(b.racks, func(rack []int) bool { return b.couldHold(d, rack) })
}

// couldHold reports whether some workers could hold all waiting tasks of a demand if they were empty.
func (b *board) couldHold(d *Demand, among []int) bool {
	room := 0
	for _, k := range among {
		room += b.copies(d, k, b.view.Workers[k].Capacity)
		if room >= len(d.Waiting) {
			return true
		}
	}
	return false
}

// fits is how many of a demand's tasks fit into the room of some workers, at most as many as wait.
func (b *board) fits(d *Demand, among []int, room []job.Resources) int {
	n := 0
	for _, k := range among {
		n += b.copies(d, k, room[k])
		if n >= len(d.Waiting) {
			return len(d.Waiting)
		}
	}
	return n
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

// unproven is 1 for a worker that may fail everything.
func unproven(w *Worker) int {
	if w.Unproven {
		return 1
	}
	return 0
}

// spread lays need tasks onto some of the workers, the fullest that fit first; nil where they don't all fit.
func (b *board) spread(d *Demand, among []int, need int) map[int]string {
	if b.fits(d, among, b.free) < need {
		return nil
	}
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

// fullestFirst orders workers that fit at least one task: those that are not shunned first, then those without jobs to begin apart from, then trusted ones, then all but very slow ones, then those with the least
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
			cmp.Compare(b.unwanted(x), b.unwanted(y)),
			cmp.Compare(b.view.Workers[x].Doubt, b.view.Workers[y].Doubt),
			cmp.Compare(unproven(&b.view.Workers[x]), unproven(&b.view.Workers[y])),
			cmp.Compare(b.slowLevel(x), b.slowLevel(y)),
			cmp.Compare(b.free[x].Cores(), b.free[y].Cores()),
			cmp.Compare(b.view.Workers[x].ID, b.view.Workers[y].ID))
	})
	return order
}

// nearPatience is how long, as a share of the time to its goal, a task waits for room near its data, unless there is plenty elsewhere.
const nearPatience = 0.25

// waitsNear reports whether the considered demand waits for room near its data.
func (b *board) waitsNear(d *Demand) bool {
	return d.Step.DataRack != "" && !b.overdue && b.view.Now.Sub(d.Since) < time.Duration(nearPatience*float64(d.Goal.Sub(d.Since)))
}

// laySingles lays as many tasks as fit, near their data where they have any. Tasks with one attempt left come first, and among
// unproven workers only on proven ones: on a day with 9% of 350 workers failing all for 6 s jobs of 15 to 177 single tasks with two attempts each
// lost both of one task 0.2 to 4.4 s after they came: 6 of the 8 jobs that failed for good on that day.
func (b *board) laySingles(d *Demand) map[int]string {
	among := b.everyone
	if b.waitsNear(d) {
		among = b.near(d.Step.DataRack)
	}
	l := &layout{board: b, demand: d, workers: map[int]string{}, taken: map[int]int{}}
	order := b.openTo(d, b.fullestFirst(d, among))
	if !b.isCareful(d) {
		l.lay(d.Waiting, order)
		return l.workers
	}
	careful, others := splitWaiting(d)
	l.lay(careful, b.proven(order))
	l.lay(others, order)
	return l.workers
}

// openTo leaves out the idle workers that a demand leaves to urgent work.
func (b *board) openTo(d *Demand, order []int) []int {
	if !b.keepsReserve(d) || b.idle > b.reserve {
		return order
	}
	return slices.DeleteFunc(order, b.isIdle)
}

// proven leaves out the workers that may fail everything.
func (b *board) proven(order []int) []int {
	return slices.DeleteFunc(slices.Clone(order), func(k int) bool { return b.view.Workers[k].Unproven })
}

// splitWaiting parts the waiting tasks with one attempt left from the others.
func splitWaiting(d *Demand) (careful, others []int) {
	for _, index := range d.Waiting {
		if d.LastAttempts[index] {
			careful = append(careful, index)
			continue
		}
		others = append(others, index)
	}
	return careful, others
}

// layout is where the single tasks of a demand go, as it is being made.
type layout struct {
	board   *board
	demand  *Demand
	workers map[int]string
	taken   map[int]int // By worker: tasks that were laid there.
}

// lay puts tasks onto workers, in the order of both, as far as there is room.
func (l *layout) lay(tasks, order []int) {
	for _, k := range order {
		for range l.board.copies(l.demand, k, l.board.free[k]) - l.taken[k] {
			if len(tasks) == 0 {
				return
			}
			l.workers[tasks[0]] = l.board.view.Workers[k].ID
			l.taken[k]++
			tasks = tasks[1:]
		}
	}
}

func (b *board) near(rack string) []int {
	for _, workers := range b.racks {
		if b.view.Workers[workers[0]].Rack == rack {
			return workers
		}
	}
	return nil
}
