package scheduler

import (
	"testing"
	"time"

	"github.com/pulleyring/pulleyring/internal/fleet"
	"pgregory.net/rapid"
)

// slowWorker is a worker's lease as the pages have it: on its own clock, which may be slow, never longer than a time, and never shortened.
type slowWorker struct {
	born  time.Time
	rate  float64 // Of its clock, to ours.
	most  time.Duration
	lease time.Time // When it is over, by our clock.
}

// clock is what the worker's clock shows at a time.
func (s *slowWorker) clock(at time.Time) int64 {
	return 1 + int64(s.rate*float64(at.Sub(s.born))/float64(time.Millisecond))
}

// carryOut takes in an order that renews the lease, at the time at which it is carried out.
func (s *slowWorker) carryOut(until int64, at time.Time) {
	left := min(milliseconds(until-s.clock(at)), s.most)
	if over := at.Add(time.Duration(float64(left) / s.rate)); over.After(s.lease) {
		s.lease = over
	}
}

// milliseconds is a number of them on a worker's clock.
func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// drawn is a time of up to a length.
func drawn(r *rapid.T, name string, most time.Duration) time.Duration {
	return milliseconds(rapid.Int64Range(0, most.Milliseconds()).Draw(r, name))
}

// TestNoLeaseOutlivesWhatIsKnownOfIt: what runs on a silent worker is taken for over by what is known of its lease. Orders are drawn that are carried out late,
// answers that are late and overtake each other, clocks that are slow, commits that stop, and a worker that leaves: whoever renewed it, and however late, the lease has
// ended, with the longest stop after it, by the time that its box reckons with, and by the time that a successor does.
func TestNoLeaseOutlivesWhatIsKnownOfIt(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		bounds := Bounds{MaxLease: 2*time.Second + drawn(r, "longest lease", 10*time.Second), StopTime: drawn(r, "stop", 2*time.Second)}
		begin := time.Now()
		worker := &slowWorker{born: begin.Add(-drawn(r, "age", time.Hour)), rate: rapid.Float64Range(0.98, 1).Draw(r, "rate"), most: bounds.MaxLease}
		h := keptShard()
		h.Bounds = bounds
		h.held = begin.Add(-drawn(r, "committed before", 12*time.Second))
		w := workerOf(&fleet.Worker{ID: "w"})
		w.listed = true
		w.leases.own = true
		for range rapid.IntRange(1, 12).Draw(r, "orders") {
			w.Draining = rapid.Bool().Draw(r, "leaves")
			w.clockAt = time.Now().Add(-drawn(r, "heard before", 5*time.Second))
			w.clock = worker.clock(w.clockAt.Add(-drawn(r, "answer under way", 3*time.Second)))
			if committed := time.Now().Add(-drawn(r, "committed before", 3*time.Second)); rapid.Bool().Draw(r, "commits") && committed.After(h.held) {
				h.held = committed
			}
			until := h.renew(w)
			if until == 0 {
				continue
			}
			worker.carryOut(until, time.Now().Add(drawn(r, "order under way", 9*time.Second)))
			stopped := worker.lease.Add(bounds.StopTime)
			if late := stopped.Add(killSlack).Sub(w.leases.over); late > 0 { // Slack is for busy machines, not for slow clocks.
				r.Fatalf("all ends %v after it was counted as over", late)
			}
			// No commit came after the last one, and a successor saw that at the earliest just then.
			if late := stopped.Sub(bounds.longestLease(h.held.Add(renewedFor))); late > 0 {
				r.Fatalf("all ends %v after a successor counted it as over", late)
			}
		}
	})
}
