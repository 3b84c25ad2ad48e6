// Package pledge lays the guarantees of a site's workspaces onto its workers.
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

// Share is a part of one worker that is pledged to one workspace.
type Share struct {
	Workspace string
	Shape     contract.Shape // Its accelerators and their proportion of cpus and memory.
}

// Layout maps the names of workers to what is pledged of them.
type Layout map[string][]Share

// Pledged returns the accelerators of a worker that are pledged to a workspace.
func (l Layout) Pledged(worker, workspace string) int {
	for _, s := range l[worker] {
		if s.Workspace == workspace {
			return s.Shape.Accelerators
		}
	}
	return 0
}

// Condition is what a plan must work around.
type Condition struct {
	Failed    map[string]bool // Workers that nothing may be pledged on.
	Protected map[string]int  // Accelerators of workers held by work that can't be stopped.
}

// block is one guaranteed block that goes whole into a rack.
type block struct {
	workspace string
	index     int
	size      int
}

// Plan lays every guaranteed block whole into one rack. It is deterministic: the largest blocks go first, each to the
// rack that is fullest of pledges and still takes it, and to the one that ranks first by hash among equals. With a nil
// condition it also keeps the site's reserve free in every hall and reports what does not fit; with one, the reserve
// may be used.
func Plan(site *contract.Site, condition *Condition) (Layout, finding.List) {
	p := newPlanner(site, condition)
	var findings finding.List
	for _, b := range blocks(site) {
		if !p.place(b) {
			report(&findings, site, b)
		}
	}
	return p.layout, findings
}

func report(findings *finding.List, site *contract.Site, b block) {
	key := "workspace." + b.workspace + ".guarantee_blocks"
	for _, f := range *findings {
		if f.Key == key {
			return
		}
	}
	findings.Add("", key, "guarantees that fit the racks less the reserve",
		"block %d of %d accelerators fits no rack beside the other guarantees and a reserve of %g", b.index+1, b.size, site.ReserveShare)
}

// blocks returns every block, the largest first.
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

// planner holds the room that is left while blocks are laid.
type planner struct {
	site   *contract.Site
	layout Layout
	room   map[string]int // Accelerators left, by worker.
	spare  map[string]int // Accelerators left for guarantees, by hall.
}

func newPlanner(site *contract.Site, condition *Condition) *planner {
	p := &planner{site: site, layout: Layout{}, room: map[string]int{}, spare: map[string]int{}}
	for _, h := range site.Halls {
		total := 0
		for _, r := range h.Racks {
			for _, w := range r.Workers {
				room := w.Capacity.Accelerators
				if condition != nil {
					room -= condition.Protected[w.Name]
					if condition.Failed[w.Name] {
						room = 0
					}
				}
				p.room[w.Name] = max(room, 0)
				total += max(room, 0)
			}
		}
		p.spare[h.Name] = total
		if condition == nil {
			p.spare[h.Name] -= int(math.Ceil(site.ReserveShare * float64(total)))
		}
	}
	return p
}

// place lays one block and reports whether a rack had room.
func (p *planner) place(b block) bool {
	var best *contract.Rack
	var bestFit fit
	for i := range p.site.Halls {
		h := &p.site.Halls[i]
		if p.spare[h.Name] < b.size {
			continue
		}
		for j := range h.Racks {
			r := &h.Racks[j]
			if p.rackRoom(r) < b.size {
				continue
			}
			f := fit{clean: p.clean(r, b.size), room: p.rackRoom(r), rank: rank(b, r.Name)}
			if best == nil || f.better(bestFit) {
				best, bestFit = r, f
			}
		}
	}
	if best == nil {
		return false
	}
	p.lay(best, b)
	p.spare[best.Hall] -= b.size
	return true
}

// fit is how well a rack suits a block.
type fit struct {
	clean bool   // On the fewest workers.
	room  int    // Accelerators left in the rack before the block is laid.
	rank  uint64 // By hash, where everything else is equal.
}

// better prefers fewest workers, then the rack that is fullest of pledges, so that other racks stay whole for gangs
// that no guarantee covers.
func (f fit) better(o fit) bool {
	if f.clean != o.clean {
		return f.clean
	}
	if f.room != o.room {
		return f.room < o.room
	}
	return f.rank > o.rank
}

func (p *planner) rackRoom(r *contract.Rack) int {
	sum := 0
	for _, w := range r.Workers {
		sum += p.room[w.Name]
	}
	return sum
}

// clean reports whether a rack takes the block on the fewest workers that a block of its size needs there.
func (p *planner) clean(r *contract.Rack, size int) bool {
	for _, w := range r.Workers {
		capacity := w.Capacity.Accelerators
		if capacity == 0 {
			continue
		}
		if size >= capacity && p.room[w.Name] == capacity {
			size -= capacity
		}
	}
	if size == 0 {
		return true
	}
	for _, w := range r.Workers {
		if room := p.room[w.Name]; room >= size && room < w.Capacity.Accelerators {
			return true
		}
	}
	for _, w := range r.Workers {
		if p.room[w.Name] >= size {
			return true
		}
	}
	return false
}

// lay puts the block onto the workers of a rack: whole workers first, the rest on the fullest that takes it.
func (p *planner) lay(r *contract.Rack, b block) {
	workers := slices.Clone(r.Workers)
	slices.SortFunc(workers, func(x, y contract.Worker) int {
		return cmp.Or(cmp.Compare(rank(b, y.Name), rank(b, x.Name)), cmp.Compare(x.Name, y.Name))
	})
	left := b.size
	for left > 0 {
		w := p.pick(workers, left)
		amount := min(left, p.room[w.Name])
		p.give(w, b.workspace, amount)
		left -= amount
	}
}

// pick returns the worker for the next part of a block: the fullest that takes all of it, else the emptiest.
func (p *planner) pick(workers []contract.Worker, left int) contract.Worker {
	var fullest, emptiest *contract.Worker
	for i := range workers {
		w := &workers[i]
		room := p.room[w.Name]
		if room >= left && (fullest == nil || room < p.room[fullest.Name]) {
			fullest = w
		}
		if emptiest == nil || room > p.room[emptiest.Name] {
			emptiest = w
		}
	}
	if fullest != nil {
		return *fullest
	}
	return *emptiest
}

func (p *planner) give(w contract.Worker, workspace string, amount int) {
	p.room[w.Name] -= amount
	shares := p.layout[w.Name]
	for i := range shares {
		if shares[i].Workspace == workspace {
			shares[i].Shape = proportion(w.Capacity, shares[i].Shape.Accelerators+amount)
			return
		}
	}
	p.layout[w.Name] = append(shares, Share{Workspace: workspace, Shape: proportion(w.Capacity, amount)})
}

// proportion returns accelerators with their part of the worker's cpus and memory.
func proportion(capacity contract.Shape, accelerators int) contract.Shape {
	return contract.Shape{
		CPUs:         capacity.CPUs * accelerators / capacity.Accelerators,
		MemoryGB:     capacity.MemoryGB * accelerators / capacity.Accelerators,
		Accelerators: accelerators,
	}
}

// rank orders racks and workers for a block by rendezvous hashing.
func rank(b block, name string) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s/%d/%s", b.workspace, b.index, name))
}

// Moved returns the share of pledged accelerators of the layout before that stand elsewhere in the layout after.
func Moved(before, after Layout) float64 {
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
