package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/pulleyring/pulleyring/internal/job"
)

// drainShare bounds the room that drains at a time, as a share of the workers in open halls, one a task: what drains is idle meanwhile.
const drainShare = 0.4

// planDrain sets room aside for a gang that finds none, where it will come free first: nothing is stopped, but no other
// work of its kind starts there.
func (b *board) planDrain(i int) {
	d := &b.view.Demands[i]
	if b.draining > 0 && float64(b.draining+len(d.Waiting)) > drainShare*float64(b.open) {
		return
	}
	racks := b.racks
	if !d.Step.RackLocal {
		racks = [][]int{b.everyone}
	}
	var best map[int]string
	var soonest time.Duration
	for _, rack := range racks {
		workers, after := b.drainOf(d, rack)
		if workers != nil && (best == nil || after < soonest) {
			best, soonest = workers, after
		}
	}
	if best == nil {
		return
	}
	b.draining += len(best)
	for _, worker := range best {
		k := b.mustSeat(worker)
		b.free[k] = b.free[k].Sub(d.Step.Each)
	}
	b.outcome.Claims = append(b.outcome.Claims, Claim{Demand: i, Workers: best, Draining: true})
}

// placeOnDrained starts a gang on room that drains for gangs that are served after it too, and other work that has waited for too long beside plenty of room. With each gang left to its own
// room, a dozen gangs waited 10 to 40 s, each for the last few of its workers, while 160 to 330 of their tasks fitted
// into the room of all of them.
func (b *board) placeOnDrained(i int) bool {
	if !b.mayTakeDrained(i) {
		return false
	}
	later := b.drainingLater()
	for _, j := range later {
		b.unclaim(j)
	}
	whole := len(later) > 0 && b.place(i)
	for _, j := range later {
		b.reclaim(j)
	}
	if b.started(i) {
		b.dropTaken(later)
	}
	return whole
}

// mayTakeDrained reports whether a demand may start on room that drains for others.
func (b *board) mayTakeDrained(i int) bool {
	d := &b.view.Demands[i]
	return d.Priority > 0 && !b.started(i) && (d.Step.Gang || b.overdue)
}

// started reports whether something of the demand starts that has its turn.
func (b *board) started(i int) bool {
	n := len(b.outcome.Starts)
	return n > 0 && b.outcome.Starts[n-1].Demand == i
}

// drainingLater lists the demands with draining room that have not had their turn, and for one that has waited for too long those too that had theirs in vain.
func (b *board) drainingLater() []int {
	var later []int
	for j := range b.view.Demands {
		if b.view.Demands[j].Draining && b.aside[j] && (b.overdue || !b.served[j]) {
			later = append(later, j)
		}
	}
	return later
}

// dropTaken gives up draining room of which the last start took a part.
func (b *board) dropTaken(later []int) {
	used := map[string]bool{}
	for _, worker := range b.outcome.Starts[len(b.outcome.Starts)-1].Workers {
		used[worker] = true
	}
	for _, j := range later {
		if b.isTaken(j, used) {
			b.unclaim(j)
			b.draining -= len(b.view.Demands[j].Claim)
			b.dropped[j] = true
			b.outcome.Dropped = append(b.outcome.Dropped, j)
		}
	}
}

// isTaken reports whether a demand's draining room is on a used worker that has none left for it.
func (b *board) isTaken(j int, used map[string]bool) bool {
	for _, worker := range b.view.Demands[j].Claim {
		if k, ok := b.seat(worker); ok && used[worker] && !b.free[k].Fits(job.Resources{}) {
			return true
		}
	}
	return false
}

// slot is room for one task on a worker, and when it comes free.
type slot struct {
	worker int
	after  time.Duration
}

// drainOf finds the slots of some workers that come free first, and when the last of them does.
func (b *board) drainOf(d *Demand, among []int) (map[int]string, time.Duration) {
	if !b.couldHold(d, among) {
		return nil, 0
	}
	var slots []slot
	for _, k := range among {
		if b.suits(k) {
			slots = append(slots, b.slots(d, k)...)
		}
	}
	if len(slots) < len(d.Waiting) {
		return nil, 0
	}
	slices.SortStableFunc(slots, func(x, y slot) int { return cmp.Compare(x.after, y.after) })
	workers := make(map[int]string, len(d.Waiting))
	for n, index := range d.Waiting {
		workers[index] = b.view.Workers[slots[n].worker].ID
	}
	return workers, slots[len(d.Waiting)-1].after
}

// slots lists when room for one task, for two, and so on, comes free on a worker, its holdings ending as expected.
func (b *board) slots(d *Demand, k int) []slot {
	holdings := slices.Clone(b.onWorker[k])
	slices.SortStableFunc(holdings, func(x, y int) int {
		return cmp.Compare(b.view.Holdings[x].Remaining, b.view.Holdings[y].Remaining)
	})
	room := b.free[k]
	var list []slot
	add := func(after time.Duration) {
		for range b.copies(d, k, room) - len(list) {
			list = append(list, slot{k, after})
		}
	}
	add(0)
	for _, h := range holdings {
		room = room.Add(b.view.Holdings[h].Each)
		add(b.view.Holdings[h].Remaining)
	}
	return list
}
