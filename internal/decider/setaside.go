package decider

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/pulleyring/pulleyring/pkg/contract"
)

// setAsideShare bounds the racks that are set aside at once, as a share of all.
const setAsideShare = 0.5

// keepSetAsides carries over the racks that are set aside for jobs that still wait.
func (b *board) keepSetAsides(indexes []int) {
	waiting := make(map[string]bool, len(indexes))
	for _, i := range indexes {
		waiting[b.view.Waiting[i].Key] = true
	}
	for _, s := range b.view.SetAsides {
		if !waiting[s.Job] || s.Rack >= len(b.kept) || b.kept[s.Rack] != "" {
			continue
		}
		b.kept[s.Rack] = s.Job
		b.outcome.SetAsides = append(b.outcome.SetAsides, s)
	}
}

// release gives back the rack set aside for a job.
func (b *board) release(job string) {
	b.outcome.SetAsides = slices.DeleteFunc(b.outcome.SetAsides, func(s SetAside) bool {
		if s.Job != job {
			return false
		}
		b.kept[s.Rack] = ""
		return true
	})
}

// setAside makes room for a large gang that does not fit: once it has waited long enough for what that costs others,
// stoppable work leaves the rack where it loses the least; before that the rack is kept for it.
func (b *board) setAside(j *Job, otherwise *Reason) *Reason {
	if !j.Lendable() {
		return b.keepRack(j, otherwise)
	}
	p := b.cheapestPlan(j, b.emptyRoom(j), b.vacatable)
	if p == nil || p.cost > b.patience(j) {
		return b.keepRack(j, otherwise)
	}
	b.release(j.Key)
	name := b.view.Racks[p.rack].Name
	for _, i := range p.victims {
		b.stop(i, false, j.Key, &Reason{Code: VacatedFor, Rack: name, Who: j.Key})
	}
	b.reserve(j, p.members)
	return &Reason{Code: AwaitsRack, Rack: name, Detail: "work that can be stopped is leaving it"}
}

// patience returns the accelerator-seconds that others may lose for a waiting gang: what it has waited itself.
func (b *board) patience(j *Job) float64 {
	waited := b.age(j) - time.Duration(b.view.Site.SetAsideSeconds)*time.Second
	if waited <= 0 {
		return -1
	}
	return waited.Seconds() * float64(j.Accelerators())
}

// vacatable reports whether a running gang may be stopped for one that no guarantee covers.
func (b *board) vacatable(i int) bool {
	r := &b.view.Running[i]
	return b.charges[i] == borrowed && r.Job.Lendable() && r.Job.Stops < keptStops && !b.large(&r.Job)
}

// emptyRoom offers workers as if everything that may be stopped were gone, racks kept for others left out.
func (b *board) emptyRoom(j *Job) func(worker int) contract.Shape {
	return func(worker int) contract.Shape {
		w := &b.view.Workers[worker]
		if kept := b.kept[w.Rack]; kept != "" && kept != j.Key {
			return contract.Shape{}
		}
		s := &b.seats[worker]
		room := s.free.Add(s.leaving)
		for _, i := range s.gangs {
			if i >= 0 && !b.stopping[i] && b.vacatable(i) {
				room = room.Add(b.heldBy(i, worker))
			}
		}
		return room
	}
}

func (b *board) heldBy(i, worker int) contract.Shape {
	r := &b.view.Running[i]
	for _, m := range r.Members {
		if m.Worker == worker {
			return r.Job.Shape.Times(m.Count)
		}
	}
	return contract.Shape{}
}

// keepRack sets the rack aside that should be free for the gang the soonest.
func (b *board) keepRack(j *Job, otherwise *Reason) *Reason {
	for _, s := range b.outcome.SetAsides {
		if s.Job == j.Key {
			return b.keptReason(s)
		}
	}
	most := max(1, int(setAsideShare*float64(len(b.view.Racks))))
	if len(b.outcome.SetAsides) >= most {
		return otherwise
	}
	best, soonest := -1, math.Inf(1)
	for rack := range b.view.Racks {
		if b.kept[rack] != "" {
			continue
		}
		if t := b.vacated(rack, j); t < soonest {
			best, soonest = rack, t
		}
	}
	if best < 0 {
		return otherwise
	}
	s := SetAside{Job: j.Key, Rack: best, Since: b.view.Now}
	b.kept[best] = j.Key
	b.outcome.SetAsides = append(b.outcome.SetAsides, s)
	return b.keptReason(s)
}

func (b *board) keptReason(s SetAside) *Reason {
	waited := b.view.Now.Sub(s.Since).Truncate(time.Second)
	return &Reason{Code: AwaitsRack, Rack: b.view.Racks[s.Rack].Name, Detail: fmt.Sprintf("set aside for %s", waited)}
}

// departure is a running gang's expected end and what it frees in a rack.
type departure struct {
	seconds      float64
	accelerators int
}

// vacated returns the seconds after which a rack should have room for the gang, by the medians of what runs there;
// infinity where it never will.
func (b *board) vacated(rack int, j *Job) float64 {
	free := 0
	capacity := 0
	seen := map[int]bool{}
	var list []departure
	for _, k := range b.view.Racks[rack].Workers {
		if !b.usable(k, j) {
			continue
		}
		capacity += j.Shape.Copies(b.view.Workers[k].Capacity)
		free += b.seats[k].free.Accelerators + b.seats[k].leaving.Accelerators
		for _, i := range b.seats[k].gangs {
			if i >= 0 && !seen[i] && !b.stopping[i] {
				seen[i] = true
				list = append(list, departure{b.remaining(i, 0.5), b.view.Running[i].Job.Accelerators()})
			}
		}
	}
	if capacity < j.Gang {
		return math.Inf(1)
	}
	slices.SortFunc(list, func(x, y departure) int { return cmp.Compare(x.seconds, y.seconds) })
	need := j.Accelerators()
	for _, d := range list {
		if free >= need {
			break
		}
		free += d.accelerators
		if free >= need {
			return d.seconds
		}
	}
	return 0
}

// remaining returns the seconds that a running gang should still need; one that has outlived its estimate is taken
// to need as long again as it has run.
func (b *board) remaining(i int, quantile float64) float64 {
	r := &b.view.Running[i]
	ran := b.view.Now.Sub(r.Started).Seconds()
	left := b.view.Estimates.Quantile(&r.Job, quantile) - r.Job.Done - ran
	if left <= 0 {
		return ran
	}
	return left
}

// backfill starts a job on a rack set aside for another where it should be gone before the rack is free; only work
// that can be stopped is let in, so that a wrong estimate costs the waiting gang nothing.
func (b *board) backfill(j *Job) bool {
	if !j.Lendable() || len(b.outcome.SetAsides) == 0 || b.large(j) {
		return false
	}
	length := b.view.Estimates.Quantile(j, 0.9) - j.Done
	for _, s := range b.outcome.SetAsides {
		holder := b.waitingJob(s.Job)
		if holder == nil || s.Job == j.Key || length > b.vacated(s.Rack, holder) {
			continue
		}
		if members := b.spread(s.Rack, j, b.freeRoom); members != nil {
			b.start(j, members, &Reason{Code: Backfilled, Rack: b.view.Racks[s.Rack].Name, Who: s.Job})
			return true
		}
	}
	return false
}

func (b *board) waitingJob(key string) *Job {
	for i := range b.view.Waiting {
		if b.view.Waiting[i].Key == key {
			return &b.view.Waiting[i]
		}
	}
	return nil
}
