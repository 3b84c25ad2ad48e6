package decider

import (
	"slices"

	"github.com/pulleyring/pulleyring/pkg/contract"
)

// workerOffer records how many members of a gang one worker can take.
type workerOffer struct {
	worker int
	copies int
	room   contract.Shape
}

// spread places a gang on the workers of a rack: on as few workers as possible, and the last part where it leaves the
// least free capacity. It returns nil if the whole gang does not fit. Room returns the capacity that a worker offers.
func (pl *planner) spread(rack int, j *Job, room func(worker int) contract.Shape) []Member {
	var buffer [16]workerOffer
	offers := buffer[:0]
	total := 0
	for _, k := range pl.view.Racks[rack].Workers {
		if !pl.usable(k, j) {
			continue
		}
		free := room(k)
		n := min(j.Shape.Copies(free), j.Gang)
		if n > 0 {
			offers = append(offers, workerOffer{k, n, free})
			total += n
		}
	}
	if total < j.Gang {
		return nil
	}
	var members []Member
	left := j.Gang
	for left > 0 {
		i := tightestOffer(offers, left)
		n := min(offers[i].copies, left)
		members = append(members, Member{Worker: offers[i].worker, Count: n})
		left -= n
		offers = slices.Delete(offers, i, i+1)
	}
	return members
}

// tightestOffer returns the index of the smallest offer that takes all remaining members, or else of the one that takes
// most.
func tightestOffer(offers []workerOffer, left int) int {
	best := 0
	for i := 1; i < len(offers); i++ {
		if betterOffer(offers[i], offers[best], left) {
			best = i
		}
	}
	return best
}

// betterOffer reports whether x suits the remaining members better than y.
func betterOffer(x, y workerOffer, left int) bool {
	xAll, yAll := x.copies >= left, y.copies >= left
	if xAll != yAll {
		return xAll
	}
	if !xAll && x.copies != y.copies {
		return x.copies > y.copies
	}
	if x.room.Accelerators != y.room.Accelerators {
		return x.room.Accelerators < y.room.Accelerators
	}
	return x.room.CPUs < y.room.CPUs
}

// freeRoom returns the free capacity of a worker.
func (pl *planner) freeRoom(worker int) contract.Shape { return pl.workers[worker].free }

// roomFor returns the function that gives the capacity of a worker for a job beyond its guarantee: all free devices, or
// only those that cannot be reclaimed if the job must not be stopped.
func (pl *planner) roomFor(j *Job) func(worker int) contract.Shape {
	if j.MayBorrow() {
		return pl.freeRoom
	}
	return func(worker int) contract.Shape { return pl.unreclaimableFree(worker, j) }
}
