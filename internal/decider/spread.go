package decider

import (
	"slices"

	"github.com/pulleyring/pulleyring/pkg/contract"
)

// spot is a worker with the number of members that it could take.
type spot struct {
	worker int
	copies int
	room   contract.Shape
}

// spread lays a gang onto the workers of a rack: the fewest workers, and the last part where it fits most tightly.
// It returns nil where the whole gang does not fit. Room gives what each worker offers.
func (b *board) spread(rack int, j *Job, room func(worker int) contract.Shape) []Member {
	var stack [16]spot
	spots := stack[:0]
	total := 0
	for _, k := range b.view.Racks[rack].Workers {
		if !b.usable(k, j) {
			continue
		}
		offer := room(k)
		n := min(j.Shape.Copies(offer), j.Gang)
		if n > 0 {
			spots = append(spots, spot{k, n, offer})
			total += n
		}
	}
	if total < j.Gang {
		return nil
	}
	var members []Member
	left := j.Gang
	for left > 0 {
		i := tightest(spots, left)
		n := min(spots[i].copies, left)
		members = append(members, Member{Worker: spots[i].worker, Count: n})
		left -= n
		spots = slices.Delete(spots, i, i+1)
	}
	return members
}

// tightest returns the spot that takes all that is left with the least room over, else the one that takes the most.
func tightest(spots []spot, left int) int {
	best := 0
	for i := 1; i < len(spots); i++ {
		if better(spots[i], spots[best], left) {
			best = i
		}
	}
	return best
}

func better(x, y spot, left int) bool {
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

// freeRoom offers what is free now.
func (b *board) freeRoom(worker int) contract.Shape { return b.seats[worker].free }

// roomFor returns what workers offer a job beyond its guarantee: everything free, or only what can't be claimed back
// where the job may not be stopped.
func (b *board) roomFor(j *Job) func(worker int) contract.Shape {
	if j.Lendable() {
		return b.freeRoom
	}
	return func(worker int) contract.Shape { return b.firm(worker, j) }
}
