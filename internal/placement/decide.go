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
	everyone []int   // All workers.
	racks    [][]int // Workers by rack, in the order of the view.
	onWorker [][]int // Holdings by worker, once for each task.
	places   [][]int // Workers by holding, once for each task.
	idle     int     // Usable workers on which nothing runs.
	reserve  int     // Idle workers that are left to urgent work.
	draining int     // Tasks for which room is draining.
	outcome  Outcome
	stopped  []bool          // By holding: stopped by this decision.
	soon     []job.Resources // By worker: comes free within the time that a stop takes.
	room     []job.Resources // Scratch of futureRoom.
	inside   []bool          // Scratch of planRoom, by worker: among those that are looked at, and suitable.
	seen     []int           // By holding: the last look for candidates that found it.
	looks    int             // For candidates so far.
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
	b := &board{
		view: v, free: make([]job.Resources, len(v.Workers)), index: make(map[string]int, len(v.Workers)),
		stopped: make([]bool, len(v.Holdings)), seen: make([]int, len(v.Holdings)), places: make([][]int, len(v.Holdings)),
		soon: make([]job.Resources, len(v.Workers)), room: make([]job.Resources, len(v.Workers)),
		inside: make([]bool, len(v.Workers)),
	}
	racks := map[string]int{}
	for i := range v.Workers {
		w := &v.Workers[i]
		b.free[i] = w.Free
		b.index[w.ID] = i
		b.everyone = append(b.everyone, i)
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
				b.places[h] = append(b.places[h], k)
			}
		}
	}
	for k := range v.Workers {
		b.soon[k] = b.freeingSoon(k)
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
	if len(workers) == 0 || d.Step.Gang && b.takesReserve(d, workers) {
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
	if d.Priority == 0 || b.impatient(d) || b.idleTooLong(d) {
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
		if b.isIdle(b.index[w]) {
			idle[w] = true
		}
	}
	return len(idle) > 0 && b.idle-len(idle) < b.reserve
}

// bulkPriority is the first priority that counts as bulk.
const bulkPriority = 2
