package scheduler

import (
	"slices"
	"time"

	"github.com/pulleyring/pulleyring/internal/queue"
	"go.uber.org/zap"
)

// startReserve is how long before the end of openHalls.Grace starts are no longer sent. A start command that was just
// sent is given up after 0.7 s.
const startReserve = time.Second

// openHalls decides in which halls work may start. If the list of emptied halls is too old, it may miss a hall that was
// emptied since, and nothing may start in any hall. Without that rule, work submitted right after an 8 s outage of the
// store was started in a hall that had been emptied during the outage. The zero value closes every hall.
type openHalls struct {
	queue.Halls
	Grace time.Duration // How long work may still start in a hall after it was emptied; 0 for no limit.
}

// isKnown reports whether the list is recent enough to contain every hall in which nothing may start any more.
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

// knownHalls holds the emptied halls as of the last decision.
type knownHalls struct {
	emptied []string
	unknown bool // The list was too old, so nothing could start.
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
		if h.reservesEmptiedHall(&c, &halls) {
			delete(h.reservations, key)
		}
	}
	return halls
}

// reservesEmptiedHall reports whether a reservation includes a worker in an emptied hall.
func (h *shard) reservesEmptiedHall(c *reservation, halls *openHalls) bool {
	for _, worker := range c.workers {
		if w := h.workers[worker]; w != nil && halls.IsEmptied(w.Hall) {
			return true
		}
	}
	return false
}

// withdrawStart takes back a placement whose start must not be sent any more. try is the number of the try that would
// have been next. If it is the first, the run never began and is ended. Otherwise the run is stopped, with the other
// members of its gang.
func (h *shard) withdrawStart(w *workerState, r *run, try int, why string) {
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
