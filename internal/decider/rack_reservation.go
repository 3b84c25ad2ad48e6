package decider

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/pulleyring/pulleyring/pkg/contract"
)

// maxReservedRackShare is the largest share of the racks that may be reserved at once if completion time has no weight.
const maxReservedRackShare = 0.4

// maxPlansPerPass is the number of large gangs for which a pass plans preemptions; the others wait for the next pass.
const maxPlansPerPass = 6

// maxReservedRacks returns how many racks may be reserved at once. The more completion time counts, the fewer they are,
// because a reserved rack is partly idle until its gang starts.
func (pl *planner) maxReservedRacks() int {
	share := maxReservedRackShare * (1 - pl.view.Site.CompletionWeight)
	return max(1, len(pl.view.Racks)/3, int(math.Round(share*float64(len(pl.view.Racks)))))
}

// servePreempting starts the gangs for which others were preempted, or keeps their devices reserved. It returns the
// indexes of the other jobs.
func (pl *planner) servePreempting(indexes []int) []int {
	reservations := map[string]RackReservation{}
	for _, s := range pl.view.RackReservations {
		if s.Preempting {
			reservations[s.Job] = s
		}
	}
	if len(reservations) == 0 {
		return indexes
	}
	rest := indexes[:0]
	for _, i := range indexes {
		j := &pl.view.Waiting[i]
		s, preempting := reservations[j.Key]
		if !preempting || pl.overLimit(j) || !pl.serveOnPreemptedRack(i, j, s) {
			rest = append(rest, i)
		}
	}
	return rest
}

// serveOnPreemptedRack starts a gang for which others were preempted, or keeps its devices reserved. It returns false
// if the rack cannot fit it any more.
func (pl *planner) serveOnPreemptedRack(index int, j *Job, s RackReservation) bool {
	name := pl.view.Racks[s.Rack].Name
	room := func(int) contract.Shape {
		return contract.Shape{CPUs: contract.MaxCopies, MemoryGB: contract.MaxCopies, Accelerators: contract.MaxCopies}
	}
	code, waitCode := Fits, AwaitsRack
	switch {
	case s.Pledged:
		room = pl.unusedPledge(j.Workspace)
		code, waitCode = Guaranteed, AwaitsReclaim
	case !j.MayBorrow():
		room = func(worker int) contract.Shape { return pl.unreclaimable(worker, j) }
	}
	now := pl.spread(s.Rack, j, func(worker int) contract.Shape { return minShape(room(worker), pl.workers[worker].free) })
	if now != nil {
		pl.start(j, now, &Reason{Code: code, Rack: name, Detail: "vacated for it"})
		return true
	}
	soon := pl.spread(s.Rack, j, func(worker int) contract.Shape {
		return minShape(room(worker), pl.workers[worker].free.Add(pl.workers[worker].leaving))
	})
	if soon == nil {
		return false
	}
	pl.reserveDevices(j, soon)
	pl.outcome.RackReservations = append(pl.outcome.RackReservations, s)
	pl.recordWait(index, &Reason{Code: waitCode, Rack: name, Detail: "work that can be stopped is leaving it"})
	return true
}

// keepRackReservations carries over the reservations of racks for jobs that still wait.
func (pl *planner) keepRackReservations(indexes []int) {
	waiting := make(map[string]bool, len(indexes))
	for _, i := range indexes {
		waiting[pl.view.Waiting[i].Key] = true
	}
	for _, s := range pl.view.RackReservations {
		if s.Preempting || !waiting[s.Job] || s.Rack >= len(pl.reservedFor) || pl.reservedFor[s.Rack] != "" {
			continue
		}
		pl.reservedFor[s.Rack] = s.Job
		pl.outcome.RackReservations = append(pl.outcome.RackReservations, s)
	}
}

// releaseRack ends the reservation of a rack for a job, unless gangs were preempted for it.
func (pl *planner) releaseRack(job string) {
	pl.outcome.RackReservations = slices.DeleteFunc(pl.outcome.RackReservations, func(s RackReservation) bool {
		if s.Job != job || s.Preempting {
			return false
		}
		pl.reservedFor[s.Rack] = ""
		return true
	})
}

// makeRoom makes room for a large gang that does not fit, and returns why the gang waits. At first it reserves a rack
// and waits for the gangs there to end. It preempts gangs once the large gang has waited long enough for their loss.
// It returns the reason otherwise if no rack can be reserved.
func (pl *planner) makeRoom(j *Job, otherwise *Reason) *Reason {
	if pl.lossLimit(j) <= 0 || pl.plannedGangs >= maxPlansPerPass {
		return pl.reserveRack(j, otherwise)
	}
	pl.plannedGangs++
	p := pl.cheapestPlan(j, pl.preemptibleRoom(j), pl.preemptible)
	if p == nil || p.cost > pl.lossLimit(j) {
		return pl.reserveRack(j, otherwise)
	}
	pl.releaseRack(j.Key)
	name := pl.view.Racks[p.rack].Name
	for _, i := range p.victims {
		pl.stop(i, false, j.Key, &Reason{Code: VacatedFor, Rack: name, Who: j.Key})
	}
	pl.reserveDevices(j, p.members)
	pl.outcome.RackReservations = append(pl.outcome.RackReservations, RackReservation{Job: j.Key, Rack: p.rack, Since: pl.view.Now, Preempting: true})
	return &Reason{Code: AwaitsRack, Rack: name, Detail: "work that can be stopped is leaving it"}
}

// lossLimit returns how many accelerator-seconds of work may be lost for a waiting gang: its accelerators times its
// wait beyond SetAsideSeconds of the site. It returns -1 until then.
func (pl *planner) lossLimit(j *Job) float64 {
	waited := pl.age(j) - time.Duration(pl.view.Site.SetAsideSeconds)*time.Second
	if waited <= 0 {
		return -1
	}
	return waited.Seconds() * float64(j.Accelerators())
}

// preemptible reports whether a running gang may be preempted for a large gang without a guarantee.
func (pl *planner) preemptible(i int) bool {
	r := &pl.view.Running[i]
	return pl.charges[i] == borrowed && r.Job.MayBorrow() && r.Job.Stops < maxPreemptions && !pl.large(&r.Job)
}

// preemptibleRoom returns the function that gives the capacity of a worker if all preemptible gangs were stopped: none
// on racks reserved for other jobs, and only unreclaimable devices for a gang that cannot be stopped.
func (pl *planner) preemptibleRoom(j *Job) func(worker int) contract.Shape {
	return func(worker int) contract.Shape {
		w := &pl.view.Workers[worker]
		if reservedFor := pl.reservedFor[w.Rack]; reservedFor != "" && reservedFor != j.Key {
			return contract.Shape{}
		}
		s := &pl.workers[worker]
		room := s.free.Add(s.leaving)
		for _, i := range s.gangs {
			if i >= 0 && !pl.stopping[i] && pl.preemptible(i) {
				room = room.Add(pl.heldBy(i, worker))
			}
		}
		if j.MayBorrow() {
			return room
		}
		return minShape(pl.unreclaimable(worker, j), room)
	}
}

// heldBy returns what a running gang uses on a worker.
func (pl *planner) heldBy(i, worker int) contract.Shape {
	r := &pl.view.Running[i]
	for _, m := range r.Members {
		if m.Worker == worker {
			return r.Job.Shape.Times(m.Count)
		}
	}
	return contract.Shape{}
}

// reserveRack reserves the rack that should have room for the gang first, and returns why the gang waits. It returns
// the reason otherwise if no rack can be reserved.
func (pl *planner) reserveRack(j *Job, otherwise *Reason) *Reason {
	count := 0
	for _, s := range pl.outcome.RackReservations {
		if s.Job == j.Key {
			return pl.reservedReason(s)
		}
		if !s.Preempting {
			count++
		}
	}
	if count >= pl.maxReservedRacks() {
		return otherwise
	}
	best, soonest := -1, math.Inf(1)
	for rack := range pl.view.Racks {
		if pl.reservedFor[rack] != "" {
			continue
		}
		if t := pl.secondsUntilFits(rack, j); t < soonest {
			best, soonest = rack, t
		}
	}
	if best < 0 {
		return otherwise
	}
	s := RackReservation{Job: j.Key, Rack: best, Since: pl.view.Now}
	pl.reservedFor[best] = j.Key
	pl.outcome.RackReservations = append(pl.outcome.RackReservations, s)
	return pl.reservedReason(s)
}

// reservedReason returns the reason of a gang that waits for its reserved rack.
func (pl *planner) reservedReason(s RackReservation) *Reason {
	waited := pl.view.Now.Sub(s.Since).Truncate(time.Second)
	return &Reason{Code: AwaitsRack, Rack: pl.view.Racks[s.Rack].Name, Detail: fmt.Sprintf("set aside for %s", waited)}
}

// expectedEnd is the expected end of a running gang, in seconds from now, and the accelerators that it frees.
type expectedEnd struct {
	seconds      float64
	accelerators int
}

// secondsUntilFits returns the seconds after which a rack should have room for the gang, by the median estimates of the
// gangs that run there. It returns infinity if the usable workers are too small.
func (pl *planner) secondsUntilFits(rack int, j *Job) float64 {
	free := 0
	capacity := 0
	seen := map[int]bool{}
	var ends []expectedEnd
	for _, k := range pl.view.Racks[rack].Workers {
		if !pl.usable(k, j) {
			continue
		}
		capacity += j.Shape.Copies(pl.view.Workers[k].Capacity)
		free += pl.workers[k].free.Accelerators + pl.workers[k].leaving.Accelerators
		for _, i := range pl.workers[k].gangs {
			if i >= 0 && !seen[i] && !pl.stopping[i] {
				seen[i] = true
				ends = append(ends, expectedEnd{pl.remainingSeconds(i, 0.5), pl.view.Running[i].Job.Accelerators()})
			}
		}
	}
	if capacity < j.Gang {
		return math.Inf(1)
	}
	slices.SortFunc(ends, func(x, y expectedEnd) int { return cmp.Compare(x.seconds, y.seconds) })
	need := j.Accelerators()
	for _, e := range ends {
		if free >= need {
			break
		}
		free += e.accelerators
		if free >= need {
			return e.seconds
		}
	}
	return 0
}

// remainingSeconds returns the estimated remaining run time of a gang in seconds. If the gang has exceeded its
// estimate, it is assumed to run as long again as it has run so far.
func (pl *planner) remainingSeconds(i int, quantile float64) float64 {
	r := &pl.view.Running[i]
	ran := pl.view.Now.Sub(r.Started).Seconds()
	left := pl.view.Estimates.Quantile(&r.Job, quantile) - r.Job.Done - ran
	if left <= 0 {
		return ran
	}
	return left
}

// backfill starts a job on a rack reserved for a large gang if the job should end before the rack is free. Only jobs
// that can be preempted qualify, so that a wrong estimate delays the large gang little. It returns false if no rack
// fits.
func (pl *planner) backfill(j *Job) bool {
	if !j.MayBorrow() || j.Stops >= maxPreemptions || pl.large(j) {
		return false
	}
	length := pl.view.Estimates.Quantile(j, 0.9) - j.Done
	for _, s := range pl.outcome.RackReservations {
		if s.Preempting || s.Job == j.Key || length > pl.readySeconds(s) {
			continue
		}
		if members := pl.spread(s.Rack, j, pl.freeRoom); members != nil {
			pl.start(j, members, &Reason{Code: Backfilled, Rack: pl.view.Racks[s.Rack].Name, Who: s.Job})
			return true
		}
	}
	return false
}

// readySeconds returns the seconds after which a reserved rack should have room for its gang, computed once in a pass.
func (pl *planner) readySeconds(s RackReservation) float64 {
	if t, known := pl.secondsUntilReady[s.Job]; known {
		return t
	}
	t := 0.0
	if j := pl.waitingJob(s.Job); j != nil {
		t = pl.secondsUntilFits(s.Rack, j)
	}
	if pl.secondsUntilReady == nil {
		pl.secondsUntilReady = map[string]float64{}
	}
	pl.secondsUntilReady[s.Job] = t
	return t
}

// waitingJob returns the waiting job with the key, or nil.
func (pl *planner) waitingJob(key string) *Job {
	for i := range pl.view.Waiting {
		if pl.view.Waiting[i].Key == key {
			return &pl.view.Waiting[i]
		}
	}
	return nil
}
