package hall

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pulleyring/pulleyring/internal/loss"
	"github.com/pulleyring/pulleyring/internal/settlement"
)

// earlyLoss is the age up to which an attempt that loses a worker speaks against its job, whatever else is lost: one that crashes its workers mostly does so as it
// begins, and the longer an attempt has run, the likelier it is that something else took the worker.
const earlyLoss = 2 * time.Second

const (
	// lostTogether is the time within which workers that are found to be lost were lost together: a lease and some reports.
	lostTogether = 10 * time.Second
	// othersLost is how many others must be lost together with an attempt's workers for that to be no job's doing.
	othersLost = 3
	// aloneAfter is how many late losses have a job run beside no other such job, until it ends: the next one tells which of them lost the workers.
	aloneAfter = 2
)

// workerLosses is what is known of workers that were lost, whatever they ran. The zero value is ready.
type workerLosses struct {
	loss.Background
	found map[string]time.Time // Workers that were found to be lost lately, by when that was.
	last  time.Time            // When one was last counted as lost by itself.
}

// note takes in that workers were found to be lost under an attempt, and returns how many others were lost together with them. Those that are lost together count
// once as lost by themselves, and those of a suspect job don't.
func (l *workerLosses) note(workers []string, suspect bool, now time.Time) (others int) {
	if l.found == nil {
		l.found = map[string]time.Time{}
	}
	for name, at := range l.found {
		switch {
		case now.Sub(at) > lostTogether:
			delete(l.found, name)
		case !slices.Contains(workers, name):
			others++
		}
	}
	for _, name := range workers {
		l.found[name] = now
	}
	if !suspect && now.Sub(l.last) > lostTogether {
		l.Lost++
		l.last = now
	}
	return others
}

// watchWorkers counts the workers that run attempts of jobs which have lost none, now and then; the lock is held.
func (k *Keeper) watchWorkers(now time.Time) {
	if !k.losses.Due(now) {
		return
	}
	watched := map[string]bool{}
	for _, e := range k.Book.Jobs() {
		for i := range e.Seats {
			if name := e.Seats[i].Worker; e.State == settlement.Starting && e.Losses == 0 {
				watched[name] = true
			}
		}
	}
	k.losses.Watch(len(watched), now)
}

// judgeLoss reports whether the loss of an attempt's workers counts against its job, and whether it came late: then only if hardly any of its workers would be lost
// by itself in the time that the attempt had run.
func (k *Keeper) judgeLoss(e *Entry, sights []settlement.Sight) (counts, late bool) {
	var lost []string
	age := time.Duration(math.MaxInt64)
	for i, s := range sights {
		if s.Lost || s.Expired {
			lost = append(lost, e.Seats[i].Worker)
			age = min(age, k.watch.lastListed(e.Seats[i].Worker, e).Sub(e.Started))
		}
	}
	if len(lost) == 0 {
		return false, false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	others := k.losses.note(lost, e.Losses > 0, time.Now())
	if age <= earlyLoss {
		return true, false
	}
	chance := float64(len(e.Seats)) * k.losses.Expected(age, e.Losses > 0)
	return others < othersLost && chance <= loss.ChanceMost, true
}

// lastListed returns when a worker last listed an attempt as live, or when this box learned of the attempt, whatever is later.
func (s *watch) lastListed(name string, e *Entry) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at := s.worker(name).listed[e.Attempt]; at.After(e.Learned) {
		return at
	}
	return e.Learned
}

// suspect returns the one waiting job with early losses that may start now, or an empty key; the lock is held. Such jobs start one by one,
// each after the one before has been seen to run on, or has ended if it was lost late more than once: else those that are lost together start together again, and are lost together
// again, until sound ones are given up beside the one that crashes their workers.
func (k *Keeper) suspect(now time.Time) string {
	var waiting []string
	for _, e := range k.Book.Jobs() {
		if e.Losses == 0 {
			continue
		}
		key := e.Key()
		_, resting := k.resting[key]
		switch {
		case e.LateLosses >= aloneAfter && e.State != settlement.Waiting && !e.Unsettled:
			return ""
		case k.starts[key] != nil, e.State != settlement.Waiting && now.Sub(e.Learned) < k.apart():
			return ""
		case e.State == settlement.Waiting && !resting && !k.busy[key]:
			waiting = append(waiting, key)
		}
	}
	if len(waiting) == 0 {
		return ""
	}
	return waiting[rand.IntN(len(waiting))] // One that finds no room keeps no other from its turn.
}

// apart is the time after which an attempt that still runs was listed as past its early age.
func (k *Keeper) apart() time.Duration { return earlyLoss + 2*k.Settings.Lease.Renew }
