// Package pledge assigns the guarantees of a site's workspaces to its workers. A pledge is the reserved capacity of a
// worker: the devices kept for the guarantee of one workspace.
package pledge

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/pulleyring/pulleyring/pkg/contract"
	"github.com/pulleyring/pulleyring/pkg/finding"
)

// Share is the part of one worker that is pledged to one workspace.
type Share struct {
	Workspace string
	Shape     contract.Shape // Accelerators with their proportion of CPUs and memory.
}

// Layout holds the pledges by name of the worker.
type Layout map[string][]Share

// Pledged returns the number of accelerators of a worker that are pledged to a workspace.
func (l Layout) Pledged(worker, workspace string) int {
	for _, s := range l[worker] {
		if s.Workspace == workspace {
			return s.Shape.Accelerators
		}
	}
	return 0
}

// Constraints limits the workers on which a plan may put pledges.
type Constraints struct {
	Failed    map[string]bool // Workers that get no pledges.
	Protected map[string]int  // Accelerators in use by work that cannot be stopped, by worker.
}

// block is one guaranteed block of accelerators, which must fit into one rack.
type block struct {
	workspace string
	index     int
	size      int
}

// Plan assigns every guaranteed block to one rack, and returns the layout and a finding for each workspace whose blocks
// do not all fit. It is deterministic: the largest blocks go first, each to the rack where it needs the fewest workers,
// then to the one with the least capacity left, then by hash. With a nil condition it keeps the site's reserve free in
// every hall; with a condition the reserve may be used.
func Plan(site *contract.Site, condition *Constraints) (Layout, finding.List) {
	p := newPlanner(site, condition)
	var findings finding.List
	for _, b := range blocks(site) {
		if !p.place(b) {
			reportUnplaced(&findings, site, b)
		}
	}
	return p.layout, findings
}

// reportUnplaced adds a finding for a block that does not fit, one for each workspace.
func reportUnplaced(findings *finding.List, site *contract.Site, b block) {
	key := "workspace." + b.workspace + ".guarantee_blocks"
	for _, f := range *findings {
		if f.Key == key {
			return
		}
	}
	findings.Add("", key, "guarantees that fit the racks less the reserve",
		"block %d of %d accelerators fits no rack beside the other guarantees and a reserve of %g", b.index+1, b.size, site.ReserveShare)
}

// blocks returns the guaranteed blocks of all workspaces, largest first.
func blocks(site *contract.Site) []block {
	var list []block
	for _, w := range site.Workspaces {
		for i := range w.Blocks {
			list = append(list, block{workspace: w.Name, index: i, size: w.BlockAccelerators})
		}
	}
	slices.SortStableFunc(list, func(a, b block) int {
		return cmp.Or(cmp.Compare(b.size, a.size), cmp.Compare(a.workspace, b.workspace), cmp.Compare(a.index, b.index))
	})
	return list
}

// planner holds the capacity that is left while blocks are assigned.
type planner struct {
	site         *contract.Site
	layout       Layout
	freeByWorker map[string]int // Accelerators without a pledge, by worker.
	freeByHall   map[string]int // Accelerators left for pledges, by hall.
}

// newPlanner returns the capacity without pledges. A nil condition subtracts the reserve of the site from each hall.
func newPlanner(site *contract.Site, condition *Constraints) *planner {
	p := &planner{site: site, layout: Layout{}, freeByWorker: map[string]int{}, freeByHall: map[string]int{}}
	for _, h := range site.Halls {
		total := 0
		for _, r := range h.Racks {
			for _, w := range r.Workers {
				free := w.Capacity.Accelerators
				if condition != nil {
					free -= condition.Protected[w.Name]
					if condition.Failed[w.Name] {
						free = 0
					}
				}
				p.freeByWorker[w.Name] = max(free, 0)
				total += max(free, 0)
			}
		}
		p.freeByHall[h.Name] = total
		if condition == nil {
			p.freeByHall[h.Name] -= int(math.Ceil(site.ReserveShare * float64(total)))
		}
	}
	return p
}

// place assigns one block to the best rack. It returns false if no rack fits it.
func (p *planner) place(b block) bool {
	var best *contract.Rack
	var bestFit rackFit
	for i := range p.site.Halls {
		h := &p.site.Halls[i]
		if p.freeByHall[h.Name] < b.size {
			continue
		}
		for j := range h.Racks {
			r := &h.Racks[j]
			if p.rackFree(r) < b.size {
				continue
			}
			f := rackFit{fewestWorkers: p.usesFewestWorkers(r, b.size), free: p.rackFree(r), rank: hashRank(b, r.Name)}
			if best == nil || f.better(bestFit) {
				best, bestFit = r, f
			}
		}
	}
	if best == nil {
		return false
	}
	p.pledgeRack(best, b)
	p.freeByHall[best.Hall] -= b.size
	return true
}

// rackFit describes how well a rack suits a block.
type rackFit struct {
	fewestWorkers bool   // The block needs no more workers than necessary.
	free          int    // Accelerators left in the rack before the block is assigned.
	rank          uint64 // Hash that decides between racks that are otherwise equal.
}

// better reports whether f suits the block better than o. It prefers the fewest workers, then the rack with the least
// capacity left, so that other racks stay without pledges for gangs that have no guarantee.
func (f rackFit) better(o rackFit) bool {
	if f.fewestWorkers != o.fewestWorkers {
		return f.fewestWorkers
	}
	if f.free != o.free {
		return f.free < o.free
	}
	return f.rank > o.rank
}

// rackFree returns the number of accelerators left in a rack.
func (p *planner) rackFree(r *contract.Rack) int {
	sum := 0
	for _, w := range r.Workers {
		sum += p.freeByWorker[w.Name]
	}
	return sum
}

// usesFewestWorkers reports whether a rack fits the block without using more workers than a block of its size needs
// there.
func (p *planner) usesFewestWorkers(r *contract.Rack, size int) bool {
	for _, w := range r.Workers {
		capacity := w.Capacity.Accelerators
		if capacity == 0 {
			continue
		}
		if size >= capacity && p.freeByWorker[w.Name] == capacity {
			size -= capacity
		}
	}
	if size == 0 {
		return true
	}
	for _, w := range r.Workers {
		if free := p.freeByWorker[w.Name]; free >= size && free < w.Capacity.Accelerators {
			return true
		}
	}
	for _, w := range r.Workers {
		if p.freeByWorker[w.Name] >= size {
			return true
		}
	}
	return false
}

// pledgeRack pledges workers of a rack to the block: whole workers first, and the rest on the fullest worker that fits
// it.
func (p *planner) pledgeRack(r *contract.Rack, b block) {
	workers := slices.Clone(r.Workers)
	slices.SortFunc(workers, func(x, y contract.Worker) int {
		return cmp.Or(cmp.Compare(hashRank(b, y.Name), hashRank(b, x.Name)), cmp.Compare(x.Name, y.Name))
	})
	left := b.size
	for left > 0 {
		w := p.pickWorker(workers, left)
		amount := min(left, p.freeByWorker[w.Name])
		p.addPledge(w, b.workspace, amount)
		left -= amount
	}
}

// pickWorker returns the worker for the next part of a block: the fullest that fits all of it, or else the emptiest.
func (p *planner) pickWorker(workers []contract.Worker, left int) contract.Worker {
	var fullest, emptiest *contract.Worker
	for i := range workers {
		w := &workers[i]
		free := p.freeByWorker[w.Name]
		if free >= left && (fullest == nil || free < p.freeByWorker[fullest.Name]) {
			fullest = w
		}
		if emptiest == nil || free > p.freeByWorker[emptiest.Name] {
			emptiest = w
		}
	}
	if fullest != nil {
		return *fullest
	}
	return *emptiest
}

// addPledge pledges accelerators of a worker to a workspace.
func (p *planner) addPledge(w contract.Worker, workspace string, amount int) {
	p.freeByWorker[w.Name] -= amount
	shares := p.layout[w.Name]
	for i := range shares {
		if shares[i].Workspace == workspace {
			shares[i].Shape = proportion(w.Capacity, shares[i].Shape.Accelerators+amount)
			return
		}
	}
	p.layout[w.Name] = append(shares, Share{Workspace: workspace, Shape: proportion(w.Capacity, amount)})
}

// proportion returns a number of accelerators with their part of the worker's CPUs and memory.
func proportion(capacity contract.Shape, accelerators int) contract.Shape {
	return contract.Shape{
		CPUs:         capacity.CPUs * accelerators / capacity.Accelerators,
		MemoryGB:     capacity.MemoryGB * accelerators / capacity.Accelerators,
		Accelerators: accelerators,
	}
}

// hashRank returns the rendezvous hash of a rack or worker for a block; the highest comes first.
func hashRank(b block, name string) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s/%d/%s", b.workspace, b.index, name))
}

// MovedShare returns the share (0 to 1) of the accelerators pledged in one layout that are not on the same worker in
// another.
func MovedShare(before, after Layout) float64 {
	total, moved := 0, 0
	for worker, shares := range before {
		for _, s := range shares {
			total += s.Shape.Accelerators
			moved += max(0, s.Shape.Accelerators-after.Pledged(worker, s.Workspace))
		}
	}
	if total == 0 {
		return 0
	}
	return float64(moved) / float64(total)
}
