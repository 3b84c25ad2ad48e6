package scheduler

import (
	"testing"
	"time"

	"github.com/pulleyring/pulleyring/internal/fleet"
	"pgregory.net/rapid"
)

// slowWorker is a model of a worker's lease as specified: it runs by the worker's clock, which may be slow, is never
// longer than the given limit and is never shortened.
type slowWorker struct {
	born  time.Time
	rate  float64       // Speed of its clock relative to ours.
	most  time.Duration // Longest lease that it grants.
	lease time.Time     // Expiry time by our clock.
}

// clock returns the worker's clock in ms at a given time.
func (s *slowWorker) clock(at time.Time) int64 {
	return 1 + int64(s.rate*float64(at.Sub(s.born))/float64(time.Millisecond))
}

// carryOut executes a command that renews the lease, at the given time.
func (s *slowWorker) carryOut(until int64, at time.Time) {
	left := min(milliseconds(until-s.clock(at)), s.most)
	if over := at.Add(time.Duration(float64(left) / s.rate)); over.After(s.lease) {
		s.lease = over
	}
}

// milliseconds returns the duration of n ms.
func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// drawn returns a random duration of at most the given length.
func drawn(r *rapid.T, name string, most time.Duration) time.Duration {
	return milliseconds(rapid.Int64Range(0, most.Milliseconds()).Draw(r, name))
}

// TestNoLeaseOutlivesWhatIsKnownOfIt fails if runs on a silent worker are presumed ended before its lease and the
// longest stop are over, by its own box or by a successor. It draws late commands, late answers that overtake each
// other, slow clocks, missing commits and departing workers.
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
			// The slack is for busy machines, not for slow clocks.
			if late := stopped.Add(killSlack).Sub(w.leases.over); late > 0 {
				r.Fatalf("all ends %v after it was counted as over", late)
			}
			// No commit came after the last one; a successor saw that just then at the earliest.
			if late := stopped.Sub(bounds.longestLease(h.held.Add(renewedFor))); late > 0 {
				r.Fatalf("all ends %v after a successor counted it as over", late)
			}
		}
	})
}
