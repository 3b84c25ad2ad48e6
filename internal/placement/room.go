package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/pulleyring/pulleyring/internal/job"
)

// roomPlan is a way to make room.
type roomPlan struct {
	workers map[int]string
	stops   []int
	loss    float64
}

// search is the state of one search for work to stop. What a stop would gain is kept for each candidate and reckoned anew
// only where room came free: with all of it reckoned anew for each stop, a decision over 1,100 workers and 20,000 waiting
// tasks took 1.3 s, and 0.2 s of the scheduler's box in a burst.
type search struct {
	demand     *Demand
	room       []job.Resources // By worker: free once what is stopped has ended.
	inside     []bool          // By worker: among those that are looked at, and suitable.
	fit        int             // Tasks that fit into the room.
	seen       []int           // By holding: the last search that has it as a candidate, 0 once it is to be stopped.
	searches   int
	candidates []int
	cost       []float64 // By holding: what a stop loses for each task that it makes room for, if it is a candidate.
}

// racksSearched bounds the racks in which room is made for one demand in one decision: those with the most room already, where
// the least is stopped. A site of 48 workers has 6; at 138 racks a decision over 2,000 waiting tasks takes 27 ms with the
// bound and 30 ms without (BenchmarkDecide).
const racksSearched = 24

// searchedRacks are the racks in which to make room for a demand.
func (b *board) searchedRacks(d *Demand) [][]int {
	if len(b.racks) <= racksSearched {
		return b.racks
	}
	type fitting struct {
		rack []int
		fit  int
	}
	var list []fitting
	for _, rack := range b.racks {
		if !b.couldHold(d, rack) {
			continue
		}
		fit := 0
		for _, k := range rack {
			fit += b.copies(d, k, b.free[k].Add(b.soon[k]))
		}
		list = append(list, fitting{rack, fit})
	}
	slices.SortStableFunc(list, func(x, y fitting) int { return cmp.Compare(y.fit, x.fit) })
	racks := make([][]int, 0, racksSearched)
	for _, f := range list[:min(len(list), racksSearched)] {
		racks = append(racks, f.rack)
	}
	return racks
}

// planRoom finds a cheap set of holdings to stop so that all waiting tasks of a demand fit onto some of the workers:
// holding by holding, the one that costs least for the tasks it makes room for. It returns nil where even stopping
// everything that may be stopped does not make enough room.
func (b *board) planRoom(d *Demand, among []int) *roomPlan {
	b.beginSearch(d, among)
	if !b.couldFit(d, among) {
		return nil
	}
	p := &roomPlan{}
	for b.search.fit < len(d.Waiting) {
		at := b.cheapest()
		if at < 0 {
			return nil
		}
		h := b.search.candidates[at]
		b.search.candidates = slices.Delete(b.search.candidates, at, at+1)
		b.search.seen[h] = 0
		b.takeRoom(h)
		p.stops = append(p.stops, h)
		p.loss += b.lossOf(&b.view.Holdings[h])
	}
	p.stops = b.needed(d, p)
	p.workers = b.layInto(d, among, b.search.room)
	return p
}

// beginSearch sets out the room that there is and the holdings that may be stopped.
func (b *board) beginSearch(d *Demand, among []int) {
	s := &b.search
	if s.room == nil {
		s.room, s.inside = make([]job.Resources, len(b.free)), make([]bool, len(b.free))
		s.seen, s.cost = make([]int, len(b.view.Holdings)), make([]float64, len(b.view.Holdings))
	}
	clear(s.inside)
	s.demand, s.fit, s.candidates = d, 0, s.candidates[:0]
	s.searches++
	for _, k := range among {
		s.room[k] = b.free[k].Add(b.soon[k])
		if !b.suits(k) {
			continue
		}
		s.inside[k] = true
		s.fit += b.copies(d, k, s.room[k])
		for _, h := range b.onWorker[k] {
			if s.seen[h] != s.searches && b.isCandidate(d, h) {
				s.seen[h] = s.searches
				s.candidates = append(s.candidates, h)
			}
		}
	}
	for _, h := range s.candidates {
		s.cost[h] = b.costOf(h)
	}
}

// isCandidate reports whether a holding may be stopped for a demand.
func (b *board) isCandidate(d *Demand, h int) bool {
	holding := &b.view.Holdings[h]
	return !b.stopped[h] && !holding.Stopping && !holding.Covered && !b.endsSoon(h) && b.mayStop(d, holding)
}

// couldFit reports whether a demand would fit if all candidates were stopped. Asking first spares the search in most racks:
// a decision over 350 workers and 5,000 waiting tasks took 186 ms without it, 32 ms with it.
func (b *board) couldFit(d *Demand, among []int) bool {
	s := &b.search
	fit := 0
	for _, k := range among {
		if !s.inside[k] {
			continue
		}
		room := s.room[k]
		for _, h := range b.onWorker[k] {
			if s.seen[h] == s.searches {
				room = room.Add(b.view.Holdings[h].Each)
			}
		}
		fit += b.copies(d, k, room)
	}
	return fit >= len(d.Waiting)
}

// freeingSoon is the room that comes free on a worker within the time that a stop takes, before this decision.
func (b *board) freeingSoon(k int) job.Resources {
	room := b.view.Workers[k].Freeing
	for _, h := range b.onWorker[k] {
		if b.endsSoon(h) {
			room = room.Add(b.view.Holdings[h].Each)
		}
	}
	return room
}

// endsSoon reports whether a holding ends by itself within the time that a stop takes.
func (b *board) endsSoon(h int) bool {
	holding := &b.view.Holdings[h]
	return holding.Known && !holding.Stopping && !b.stopped[h] && holding.Remaining <= b.view.Policy.StopTime
}

// takeRoom adds what stopping a holding frees, and reckons the candidates beside it anew.
func (b *board) takeRoom(h int) {
	b.changeRoom(h, job.Resources.Add)
	s := &b.search
	for _, k := range b.view.Holdings[h].Places {
		if !s.inside[k] {
			continue
		}
		for _, beside := range b.onWorker[k] {
			if s.seen[beside] == s.searches {
				s.cost[beside] = b.costOf(beside)
			}
		}
	}
}

// changeRoom adds or takes away what a holding's tasks use.
func (b *board) changeRoom(h int, change func(room, each job.Resources) job.Resources) {
	s := &b.search
	for _, k := range b.view.Holdings[h].Places {
		if s.inside[k] {
			s.fit -= b.copies(s.demand, k, s.room[k])
			s.room[k] = change(s.room[k], b.view.Holdings[h].Each)
			s.fit += b.copies(s.demand, k, s.room[k])
		}
	}
}

// layInto lays all waiting tasks into the room, which has enough.
func (b *board) layInto(d *Demand, among []int, room []job.Resources) map[int]string {
	workers := make(map[int]string, len(d.Waiting))
	for _, k := range among {
		for range b.copies(d, k, room[k]) {
			if len(workers) == len(d.Waiting) {
				return workers
			}
			workers[d.Waiting[len(workers)]] = b.view.Workers[k].ID
		}
	}
	return workers
}

// cheapest returns the place in the candidates of the one with the least cost, -1 for none.
func (b *board) cheapest() int {
	best, bestCost := -1, math.Inf(1)
	for i, h := range b.search.candidates {
		if cost := b.search.cost[h]; cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// costOf is what a stop of a candidate loses for each task that it makes room for, without end where it makes none.
func (b *board) costOf(h int) float64 {
	gain := b.gain(h)
	if gain <= 0 {
		return math.Inf(1)
	}
	return (b.lossOf(&b.view.Holdings[h]) + 1) / gain
}

// gain is how many more tasks of the demand fit once the holding is gone; a part of a task counts a little, so that
// several holdings that only together make room for one are found too.
func (b *board) gain(h int) float64 {
	s := &b.search
	d := s.demand
	sum := 0.0
	need := max(d.Step.Each.Cores(), 1)
	each := b.view.Holdings[h].Each
	for _, k := range b.view.Holdings[h].Places {
		if !s.inside[k] {
			continue
		}
		before := b.copies(d, k, s.room[k])
		sum += float64(b.copies(d, k, s.room[k].Add(each)) - before)
		if before < len(d.Waiting) {
			sum += partOfTask * each.Cores() / need
		}
	}
	return sum
}

// partOfTask is what room for a part of a task counts for, against 1 for a whole one.
const partOfTask = 0.1

// needed drops the stops that the demand can do without, each one with the room that it frees.
func (b *board) needed(d *Demand, p *roomPlan) []int {
	var kept []int
	for _, h := range p.stops {
		b.changeRoom(h, job.Resources.Sub)
		if b.search.fit >= len(d.Waiting) {
			p.loss -= b.lossOf(&b.view.Holdings[h])
			continue
		}
		b.changeRoom(h, job.Resources.Add)
		kept = append(kept, h)
	}
	return kept
}
