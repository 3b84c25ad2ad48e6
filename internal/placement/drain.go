package placement

import (
	"cmp"
	"slices"
	"time"
)

// drainShare bounds the room that drains at a time, as a share of the workers, one a task: what drains is idle meanwhile.
const drainShare = 0.4

// planDrain sets room aside for a gang that finds none, where it will come free first: nothing is stopped, but no other
// work of its kind starts there.
func (b *board) planDrain(i int) {
	d := &b.view.Demands[i]
	if b.draining > 0 && float64(b.draining+len(d.Waiting)) > drainShare*float64(len(b.view.Workers)) {
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
