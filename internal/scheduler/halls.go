package scheduler

import (
	"slices"
	"time"

	"github.com/pulleyring/pulleyring/internal/queue"
	"go.uber.org/zap"
)

// startReserve is the safety margin before the time after which nothing may start in an emptied hall. A command under
// way is given up after 0.7 s.
const startReserve = time.Second

// openHalls decides in which halls work may start. The list of emptied halls has an age: once an instruction that has
// not been read yet could be in force, nothing may start in any hall. Without that limit, work submitted as the store
// returned from an 8 s outage was started in a hall that had been emptied during the outage. The zero value closes
// every hall.
type openHalls struct {
	queue.Halls
	Grace time.Duration // Time after a hall was emptied after which nothing may start there; 0 for no limit.
}

// isKnown reports whether the list is recent enough that no instruction in force can be missing.
func (o *openHalls) isKnown(now time.Time) bool {
	if o.AsOf.IsZero() {
		return false
	}
	return o.Grace == 0 || now.Sub(o.AsOf) <= o.Grace-startReserve
}

// isOpen reports whether work may start in a hall.
func (o *openHalls) isOpen(hall string, now time.Time) bool {
	return o.isKnown(now) && !o.IsEmptied(hall)
}

// knownHalls holds what the last decision knew about emptied halls.
type knownHalls struct {
	emptied []string
	unknown bool // The list was too old.
}

// openHalls returns the halls that are open now.
func (h *shard) openHalls() openHalls {
	if h.Halls == nil {
		return openHalls{Halls: queue.Halls{AsOf: time.Now()}} // Without an operator no hall is ever emptied.
	}
	return openHalls{h.Halls(), h.Bounds.EmptiedGrace}
}

// updateHalls returns the halls that are open at a decision. It drops reservations in halls that are now emptied, so
// that other capacity is sought at once and not when the reservation expires, up to 8 s later.
func (h *shard) updateHalls(now time.Time) openHalls {
	halls := h.openHalls()
	if known := halls.isKnown(now); known == h.lastHalls.unknown {
		h.lastHalls.unknown = !known
		h.Log.Warn("scheduler: state of emptied halls became known or unknown; nothing starts while it is unknown", zap.Bool("known", known), zap.Time("as_of", halls.AsOf))
	}
	if slices.Equal(halls.Emptied, h.lastHalls.emptied) {
		return halls
	}
	h.lastHalls.emptied = halls.Emptied
	clear(h.noPlanUntil)
	for key, c := range h.reservations {
		if h.reservesIn(&c, &halls) {
			delete(h.reservations, key)
		}
	}
	return halls
}

// reservesIn reports whether a reservation includes a worker in an emptied hall.
func (h *shard) reservesIn(c *reservation, halls *openHalls) bool {
	for _, worker := range c.workers {
		if w := h.workers[worker]; w != nil && halls.IsEmptied(w.Hall) {
			return true
		}
	}
	return false
}

// withdraw takes back a placement whose start must not be sent any more. If no try was sent before, the run never
// began; otherwise it is stopped. A gang starts again as a whole.
func (h *shard) withdraw(w *workerState, r *run, try int, why string) {
	h.Log.Info("scheduler: start withdrawn", zap.String("task", r.task.String()), zap.Int("run", r.number), zap.Inline(r.incarnation),
		zap.String("hall", w.Hall), zap.Int("try", try), zap.String("why", why))
	r.starting = false
	if try == 1 {
		h.endUnstarted(w, r)
		return
	}
	r.startAbandonedAt = time.Now()
	h.stop(w, r, why)
	h.stopGang(r, "a member's start was withdrawn")
}
