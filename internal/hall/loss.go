package hall

import (
	"math/rand/v2"
	"time"

	"github.com/pulleyring/pulleyring/internal/settlement"
)

// earlyLoss is the age up to which an attempt that loses a worker speaks against its job: one that crashes its workers mostly does so as it
// begins, and the longer an attempt has run, the likelier it is that something else took the worker.
const earlyLoss = 2 * time.Second

// lostEarly reports whether an attempt lost a worker just after it had begun, by the last report that listed it there.
func (k *Keeper) lostEarly(e *Entry, sights []settlement.Sight) bool {
	for i, s := range sights {
		if (s.Lost || s.Expired) && k.watch.lastListed(e.Seats[i].Worker, e).Sub(e.Started) <= earlyLoss {
			return true
		}
	}
	return false
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
// each after the one before has been seen to run on: else those that are lost together start together again, and are lost together
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
