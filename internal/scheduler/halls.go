package scheduler

import (
	"slices"
	"time"

	"github.com/pulleyring/pulleyring/internal/queue"
	"go.uber.org/zap"
)

// orderReserve is the safety margin before the time after which nothing may start in an emptied hall. A command under
// way is given up after 0.7 s.
const orderReserve = time.Second

// openHalls decides in which halls work may start. The list of emptied halls has an age: once an instruction that has
// not been read yet could be in force, nothing may start in any hall. Without that limit, work submitted after an 8 s
// outage of the store was started in a hall that had been emptied during the outage. The zero value closes every
// hall.
type openHalls struct {
	queue.Halls
	Within time.Duration // Time after a hall was emptied after which nothing may start there; 0 for no limit.
}

// known reports whether the list is recent enough that no instruction in force can be missing.
func (o *openHalls) known(now time.Time) bool {
	if o.AsOf.IsZero() {
		return false
	}
	return o.Within == 0 || now.Sub(o.AsOf) <= o.Within-orderReserve
}

// open reports whether work may start in a hall.
func (o *openHalls) open(hall string, now time.Time) bool {
	return o.known(now) && !o.IsEmptied(hall)
}

// seenHalls holds what the last decision knew about emptied halls.
type seenHalls struct {
	emptied []string
	unknown bool // The list was too old.
}

// openHalls returns the halls that are open now.
func (h *shard) openHalls() openHalls {
	if h.Halls == nil {
		return openHalls{Halls: queue.Halls{AsOf: time.Now()}} // Without an operator no hall is ever emptied.
	}
	return openHalls{h.Halls(), h.Bounds.Emptied}
}

// takeHalls returns the halls that are open at a decision. It drops reservations in halls that are now emptied, so
// that other capacity is sought at once and not when the reservation expires, up to 8 s later.
func (h *shard) takeHalls(now time.Time) openHalls {
	halls := h.openHalls()
	if known := halls.known(now); known == h.halls.unknown {
		h.halls.unknown = !known
		h.Log.Warn("scheduler: state of emptied halls became known or unknown; nothing starts while it is unknown", zap.Bool("known", known), zap.Time("as_of", halls.AsOf))
	}
	if slices.Equal(halls.Emptied, h.halls.emptied) {
		return halls
	}
	h.halls.emptied = halls.Emptied
	clear(h.noPlan)
	for key, c := range h.claims {
		if h.claimsIn(&c, &halls) {
			delete(h.claims, key)
		}
	}
	return halls
}

// claimsIn reports whether a reservation includes a worker in an emptied hall.
func (h *shard) claimsIn(c *claimed, halls *openHalls) bool {
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
	h.Log.Info("scheduler: start withdrawn", zap.String("task", r.task.String()), zap.Int("run", r.number), zap.Inline(r.life),
		zap.String("hall", w.Hall), zap.Int("try", try), zap.String("why", why))
	r.ordering = false
	if try == 1 {
		h.refused(w, r)
		return
	}
	r.gaveUp = time.Now()
	h.stop(w, r, why)
	h.stopGang(r, "a member's start was withdrawn")
}
