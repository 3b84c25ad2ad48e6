package scheduler

import (
	"slices"
	"time"

	"github.com/pulleyring/pulleyring/internal/placement"
)

// held is what runs and can be stopped as a whole: a gang, or one task.
type held struct {
	at       int // Its place among the holdings.
	runs     []*run
	places   []int // Seats of the runs' workers.
	stopping bool
	stale    bool // The outlook is to be reckoned anew: a run was added, or a worker told of its progress.
	outlook
}

// outlook is what is expected of a holding, whatever the time is.
type outlook struct {
	ends       time.Time
	knownUntil time.Time     // Until then the end follows from told progress.
	chain      time.Duration // From its start to the end of its job.
	goal       time.Time     // Ended by then, its job earns all it can.
	atRisk     float64       // What the job loses if it misses that.
}

// holdings is everything that runs. It is kept as runs come, go and tell their progress: collecting all runs of 1,100
// workers anew for each decision, 30 times a second, took 4.8 ms on one core (BenchmarkView). The zero value is empty.
type holdings struct {
	list  []*held
	gangs map[claimKey]*held
}

// add takes in a run that was placed.
func (x *holdings) add(r *run) {
	held := x.of(r)
	held.runs = append(held.runs, r)
	held.places = append(held.places, r.worker.seat)
	held.stale = true
	held.stopping = held.stopping || r.stopping
	r.held = held
}

// of is the holding that a run belongs to, a new one where there is none. A stray run is no part of the gang that runs now.
func (x *holdings) of(r *run) *held {
	gang := r.job.Request.Steps[r.task.Step].Gang && !r.stray
	key := claimKey{r.task.Job, r.group()}
	if known := x.gangs[key]; gang && known != nil {
		return known
	}
	added := &held{at: len(x.list)}
	x.list = append(x.list, added)
	if gang {
		if x.gangs == nil {
			x.gangs = map[claimKey]*held{}
		}
		x.gangs[key] = added
	}
	return added
}

// drop takes out a run whose end is known.
func (x *holdings) drop(r *run) {
	held := r.held
	r.held = nil
	i := slices.Index(held.runs, r)
	held.runs = slices.Delete(held.runs, i, i+1)
	held.places = slices.Delete(held.places, i, i+1)
	held.stale = true
	if len(held.runs) > 0 {
		return
	}
	last := len(x.list) - 1
	x.list[held.at] = x.list[last]
	x.list[held.at].at = held.at
	x.list = x.list[:last]
	key := claimKey{r.task.Job, r.group()}
	if x.gangs[key] == held {
		delete(x.gangs, key)
	}
}

// reseat notes where everything runs after the seats of workers have changed.
func (x *holdings) reseat() {
	for _, held := range x.list {
		for i, r := range held.runs {
			held.places[i] = r.worker.seat
		}
	}
}

// holdingView is a holding as decisions see it.
func (h *shard) holdingView(x *held, now time.Time) placement.Holding {
	if x.stale {
		x.outlook, x.stale = h.outlook(x), false
	}
	r := x.runs[0]
	return placement.Holding{
		Job: r.task.Job, Group: r.group(), Priority: r.job.Request.Terms.Priority, Covered: r.job.covered, Stopping: x.stopping,
		Each: r.each, Places: x.places, Loss: h.lossOf(x, now), Risk: h.risk(x, now),
		Remaining: max(x.ends.Sub(now), 0), Known: !now.After(x.knownUntil),
	}
}

// lossOf is the core-seconds that stopping a holding throws away.
func (h *shard) lossOf(x *held, now time.Time) float64 {
	r := x.runs[0]
	return float64(len(x.runs)) * h.loss(r, &r.job.Request.Steps[r.task.Step], now)
}

// outlook reckons what is expected of a holding. A gang ends with its last member, and that is known once all have told.
func (h *shard) outlook(x *held) outlook {
	r := x.runs[0]
	request := r.job.Request
	o := outlook{
		chain: h.learned.chain(request, r.task.Step), atRisk: (1 - lateShare) * h.value(request),
		goal: time.UnixMilli(request.Due(r.task.Occurrence)).Add(h.allowed(request)),
	}
	for i, r := range x.runs {
		ends, known := h.expectedEnd(r)
		if ends.After(o.ends) {
			o.ends = ends
		}
		if i == 0 || known.Before(o.knownUntil) {
			o.knownUntil = known
		}
	}
	return o
}

// risk is the value that a job loses if a holding of it starts anew: nothing where it is late or in time either way.
func (h *shard) risk(x *held, now time.Time) float64 {
	late := x.runs[0].placed.Add(x.chain).After(x.goal)
	early := now.Add(h.Bounds.StopTime + restartDelay + x.chain).Before(x.goal)
	if late || early {
		return 0
	}
	return x.atRisk
}
