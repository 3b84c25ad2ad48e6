package decider

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/pulleyring/pulleyring/pkg/contract"
)

// setAsideShare bounds the racks that are set aside at once, as a share of all, where fragmentation is all that counts.
const setAsideShare = 0.4

// plansPerPass bounds the large gangs for which a pass looks for work to stop; the others wait for the next pass.
const plansPerPass = 6

// mostSetAsides returns how many racks may be set aside at once: fewer the more completion time counts, because a rack
// that drains serves nobody meanwhile.
func (b *board) mostSetAsides() int {
	share := setAsideShare * (1 - b.view.Site.CompletionWeight)
	return max(1, len(b.view.Racks)/3, int(math.Round(share*float64(len(b.view.Racks)))))
}

// serveVacating starts the gangs for which racks were vacated, or takes what has come free for them so far, and returns
// the other jobs.
func (b *board) serveVacating(indexes []int) []int {
	racks := map[string]SetAside{}
	for _, s := range b.view.SetAsides {
		if s.Vacating {
			racks[s.Job] = s
		}
	}
	if len(racks) == 0 {
		return indexes
	}
	rest := indexes[:0]
	for _, i := range indexes {
		j := &b.view.Waiting[i]
		s, vacating := racks[j.Key]
		if !vacating || b.overLimit(j) || !b.serveVacated(i, j, s) {
			rest = append(rest, i)
		}
	}
	return rest
}

// serveVacated serves one of them and reports whether its rack still has or will have the room.
func (b *board) serveVacated(index int, j *Job, s SetAside) bool {
	name := b.view.Racks[s.Rack].Name
	room := func(int) contract.Shape {
		return contract.Shape{CPUs: contract.MaxCopies, MemoryGB: contract.MaxCopies, Accelerators: contract.MaxCopies}
	}
	code, waits := Fits, AwaitsRack
	switch {
	case s.Pledged:
		room = b.unusedPledge(j.Workspace)
		code, waits = Guaranteed, AwaitsReclaim
	case !j.Lendable():
		room = func(worker int) contract.Shape { return b.firmRoom(worker, j) }
	}
	now := b.spread(s.Rack, j, func(worker int) contract.Shape { return meet(room(worker), b.seats[worker].free) })
	if now != nil {
		b.start(j, now, &Reason{Code: code, Rack: name, Detail: "vacated for it"})
		return true
	}
	soon := b.spread(s.Rack, j, func(worker int) contract.Shape {
		return meet(room(worker), b.seats[worker].free.Add(b.seats[worker].leaving))
	})
	if soon == nil {
		return false
	}
	b.reserve(j, soon)
	b.outcome.SetAsides = append(b.outcome.SetAsides, s)
	b.wait(index, &Reason{Code: waits, Rack: name, Detail: "work that can be stopped is leaving it"})
	return true
}

// keepSetAsides carries over the racks that are set aside for jobs that still wait.
func (b *board) keepSetAsides(indexes []int) {
	waiting := make(map[string]bool, len(indexes))
	for _, i := range indexes {
		waiting[b.view.Waiting[i].Key] = true
	}
	for _, s := range b.view.SetAsides {
		if s.Vacating || !waiting[s.Job] || s.Rack >= len(b.kept) || b.kept[s.Rack] != "" {
			continue
		}
		b.kept[s.Rack] = s.Job
		b.outcome.SetAsides = append(b.outcome.SetAsides, s)
	}
}

// release gives back the rack set aside for a job.
func (b *board) release(job string) {
	b.outcome.SetAsides = slices.DeleteFunc(b.outcome.SetAsides, func(s SetAside) bool {
		if s.Job != job || s.Vacating {
			return false
		}
		b.kept[s.Rack] = ""
		return true
	})
}

// setAside makes room for a large gang that does not fit. A rack is kept for it, which drains by itself; once the gang has
// waited long enough for what that costs others, the work that can be stopped leaves too.
func (b *board) setAside(j *Job, otherwise *Reason) *Reason {
	if b.patience(j) <= 0 || b.plans >= plansPerPass {
		return b.keepRack(j, otherwise)
	}
	b.plans++
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
	b.outcome.SetAsides = append(b.outcome.SetAsides, SetAside{Job: j.Key, Rack: p.rack, Since: b.view.Now, Vacating: true})
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

// emptyRoom offers workers as if everything that may be stopped were gone, racks kept for others left out. A gang that
// can't be stopped itself is offered only what can't be claimed back.
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
		if j.Lendable() {
			return room
		}
		return meet(b.firmRoom(worker, j), room)
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
	count := 0
	for _, s := range b.outcome.SetAsides {
		if s.Job == j.Key {
			return b.keptReason(s)
		}
		if !s.Vacating {
			count++
		}
	}
	if count >= b.mostSetAsides() {
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

// backfill starts a job on a rack kept for a large gang where it should be gone before the rack is free; only work that
// can be stopped is let in, so that a wrong estimate costs the waiting gang little.
func (b *board) backfill(j *Job) bool {
	if !j.Lendable() || j.Stops >= keptStops || b.large(j) {
		return false
	}
	length := b.view.Estimates.Quantile(j, 0.9) - j.Done
	for _, s := range b.outcome.SetAsides {
		if s.Vacating || s.Job == j.Key || length > b.vacatedFor(s) {
			continue
		}
		if members := b.spread(s.Rack, j, b.freeRoom); members != nil {
			b.start(j, members, &Reason{Code: Backfilled, Rack: b.view.Racks[s.Rack].Name, Who: s.Job})
			return true
		}
	}
	return false
}

// vacatedFor returns the seconds after which a kept rack should have room for its gang, worked out once in a pass.
func (b *board) vacatedFor(s SetAside) float64 {
	if t, known := b.vacatedAt[s.Job]; known {
		return t
	}
	t := 0.0
	if j := b.waitingJob(s.Job); j != nil {
		t = b.vacated(s.Rack, j)
	}
	if b.vacatedAt == nil {
		b.vacatedAt = map[string]float64{}
	}
	b.vacatedAt[s.Job] = t
	return t
}

// waitingJob returns the waiting job of a key, or nil.
func (b *board) waitingJob(key string) *Job {
	for i := range b.view.Waiting {
		if b.view.Waiting[i].Key == key {
			return &b.view.Waiting[i]
		}
	}
	return nil
}
