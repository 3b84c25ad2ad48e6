package placement

import (
	"github.com/pulleyring/pulleyring/internal/job"
)

// makeRoom stops the work whose loss is least so that an urgent demand fits, and claims the room. Guaranteed work gets its
// room whatever that costs; other urgent work only what its being in time is worth.
func (b *board) makeRoom(i int) {
	d := &b.view.Demands[i]
	best := b.bestRoom(d)
	if best == nil || !d.Covered && !b.worthStopping(d, best) {
		return
	}
	for _, h := range best.stops {
		if !b.stopped[h] && !b.view.Holdings[h].Stopping {
			b.outcome.Stops = append(b.outcome.Stops, h)
		}
		b.stopped[h] = true
	}
	for _, worker := range best.workers {
		k := b.index[worker]
		b.free[k] = b.free[k].Sub(d.Step.Each)
	}
	b.outcome.Claims = append(b.outcome.Claims, Claim{i, best.workers})
}

// bestRoom is the cheapest way to make room, in one rack where the demand must be in one and that is possible.
func (b *board) bestRoom(d *Demand) *roomPlan {
	if !d.Step.Gang || !d.Step.RackLocal {
		return b.planRoom(d, b.all())
	}
	var best *roomPlan
	for _, rack := range b.racks {
		if p := b.planRoom(d, rack); p != nil && (best == nil || p.loss < best.loss) {
			best = p
		}
	}
	if best == nil && b.mustSpread(d) {
		best = b.planRoom(d, b.all())
	}
	return best
}

// worthStopping reports whether a demand without a guarantee gains more by starting once room is made than that costs.
func (b *board) worthStopping(d *Demand, p *roomPlan) bool {
	if b.view.Now.Add(b.view.Policy.StopTime + d.Remaining).After(d.Goal) {
		return false
	}
	return d.Value-d.LateValue > p.loss*b.view.Policy.WasteCost
}

// lossOf is what stopping a holding costs, in core-seconds: the work thrown away and what starting anew puts at risk.
func (b *board) lossOf(h *Holding) float64 {
	return h.Loss + h.Risk/max(b.view.Policy.WasteCost, 1e-6)
}

// roomPlan is a way to make room.
type roomPlan struct {
	workers map[int]string
	stops   []int
	loss    float64
}

// planRoom finds a cheap set of holdings to stop so that all waiting tasks of a demand fit onto some of the workers:
// holding by holding, the one that costs least for the tasks it makes room for. It returns nil where even stopping
// everything that may be stopped does not make enough room.
func (b *board) planRoom(d *Demand, among []int) *roomPlan {
	p := &roomPlan{}
	room := map[int]job.Resources{}
	for _, k := range among {
		room[k] = b.free[k].Add(b.view.Workers[k].Freeing)
	}
	for h := range b.stopped {
		b.addRoom(room, h)
	}
	taken := map[int]bool{}
	for {
		if p.workers = b.layInto(d, among, room); p.workers != nil {
			p.stops = b.needed(d, p, among)
			return p
		}
		h := b.cheapest(d, room, taken)
		if h < 0 {
			return nil
		}
		taken[h] = true
		b.addRoom(room, h)
		p.stops = append(p.stops, h)
		p.loss += b.lossOf(&b.view.Holdings[h])
	}
}

func (b *board) addRoom(room map[int]job.Resources, h int) {
	holding := &b.view.Holdings[h]
	if holding.Stopping {
		return // Already in the worker's Freeing.
	}
	for _, worker := range holding.Tasks {
		k, ok := b.index[worker]
		if !ok {
			continue
		}
		if r, ok := room[k]; ok {
			room[k] = r.Add(holding.Each)
		}
	}
}

// layInto lays all waiting tasks into the room; nil where they don't fit.
func (b *board) layInto(d *Demand, among []int, room map[int]job.Resources) map[int]string {
	workers := map[int]string{}
	for _, k := range among {
		for range b.copies(d, k, room[k]) {
			if len(workers) == len(d.Waiting) {
				return workers
			}
			workers[d.Waiting[len(workers)]] = b.view.Workers[k].ID
		}
	}
	if len(workers) < len(d.Waiting) {
		return nil
	}
	return workers
}

// cheapest returns the holding with the least loss for each task of the demand that it makes room for, -1 for none.
func (b *board) cheapest(d *Demand, room map[int]job.Resources, taken map[int]bool) int {
	best, bestCost := -1, 0.0
	for h := range b.view.Holdings {
		holding := &b.view.Holdings[h]
		if taken[h] || b.stopped[h] || holding.Stopping || holding.Covered || !mayStop(d, holding) {
			continue
		}
		gain := b.gain(d, room, holding)
		if gain <= 0 {
			continue
		}
		cost := (b.lossOf(holding) + 1) / gain
		if best < 0 || cost < bestCost {
			best, bestCost = h, cost
		}
	}
	return best
}

// mayStop reports whether a demand may take a holding's room: guaranteed work that of anything without a guarantee, other
// work that of lower priorities.
func mayStop(d *Demand, h *Holding) bool {
	return d.Covered || h.Priority > d.Priority
}

// gain is how many more tasks of the demand fit once the holding is gone; a part of a task counts a little, so that
// several holdings that only together make room for one are found too.
func (b *board) gain(d *Demand, room map[int]job.Resources, h *Holding) float64 {
	freed := map[int]job.Resources{}
	for _, worker := range h.Tasks {
		k, ok := b.index[worker]
		if !ok {
			continue
		}
		if _, ok := room[k]; ok && b.suits(d, k) {
			freed[k] = freed[k].Add(h.Each)
		}
	}
	sum := 0.0
	for k, more := range freed {
		before := b.copies(d, k, room[k])
		sum += float64(b.copies(d, k, room[k].Add(more)) - before)
		if before < len(d.Waiting) {
			sum += partOfTask * more.Cores() / max(d.Step.Each.Cores(), 1)
		}
	}
	return sum
}

// partOfTask is what room for a part of a task counts for, against 1 for a whole one.
const partOfTask = 0.1

// needed drops the stops that the chosen workers can do without.
func (b *board) needed(d *Demand, p *roomPlan, among []int) []int {
	kept := p.stops
	for _, h := range p.stops {
		without := make([]int, 0, len(kept))
		for _, o := range kept {
			if o != h {
				without = append(without, o)
			}
		}
		room := map[int]job.Resources{}
		for _, k := range among {
			room[k] = b.free[k].Add(b.view.Workers[k].Freeing)
		}
		for o := range b.stopped {
			b.addRoom(room, o)
		}
		for _, o := range without {
			b.addRoom(room, o)
		}
		if workers := b.layInto(d, among, room); workers != nil {
			kept, p.workers = without, workers
			p.loss -= b.lossOf(&b.view.Holdings[h])
		}
	}
	return kept
}
