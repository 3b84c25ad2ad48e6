package scheduler

import (
	"testing"
	"time"

	"github.com/pulleyring/pulleyring/internal/fleet"
	"pgregory.net/rapid"
)

// leaseModel is a model of a worker's lease as specified. The lease runs by the worker's clock, which may be slow. It
// is never longer than the given limit and is never shortened.
type leaseModel struct {
	born      time.Time
	clockRate float64       // Speed of its clock relative to ours.
	maxLease  time.Duration // Longest lease that it grants.
	leaseEnd  time.Time     // Expiry time by our clock.
}

// clock returns the worker's clock in ms at a given time.
func (s *leaseModel) clock(at time.Time) int64 {
	return 1 + int64(s.clockRate*float64(at.Sub(s.born))/float64(time.Millisecond))
}

// execute executes a command that renews the lease, at the given time.
func (s *leaseModel) execute(until int64, at time.Time) {
	left := min(milliseconds(until-s.clock(at)), s.maxLease)
	if over := at.Add(time.Duration(float64(left) / s.clockRate)); over.After(s.leaseEnd) {
		s.leaseEnd = over
	}
}

// milliseconds returns the duration of n ms.
func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// drawDuration returns a random duration of at most the given length.
func drawDuration(r *rapid.T, name string, most time.Duration) time.Duration {
	return milliseconds(rapid.Int64Range(0, most.Milliseconds()).Draw(r, name))
}

// TestNoRunOutlivesItsPresumedEnd fails if runs on a silent worker are presumed ended too early: before its lease has
// expired and the longest time to stop a run has passed. It checks this for the box that placed the runs and for its
// successor, with late commands, late answers that overtake each other, slow clocks, missing commits and departing
// workers.
func TestNoRunOutlivesItsPresumedEnd(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		bounds := Bounds{MaxLease: 2*time.Second + drawDuration(r, "longest lease", 10*time.Second), StopTime: drawDuration(r, "stop", 2*time.Second)}
		begin := time.Now()
		worker := &leaseModel{born: begin.Add(-drawDuration(r, "age", time.Hour)), clockRate: rapid.Float64Range(0.98, 1).Draw(r, "rate"), maxLease: bounds.MaxLease}
		h := offlineShard()
		h.Bounds = bounds
		h.lastCommit = begin.Add(-drawDuration(r, "committed before", 12*time.Second))
		w := workerOf(&fleet.Worker{ID: "w"})
		w.listed = true
		w.leases.acceptedOwnToken = true
		for range rapid.IntRange(1, 12).Draw(r, "orders") {
			w.Draining = rapid.Bool().Draw(r, "leaves")
			w.clockAt = time.Now().Add(-drawDuration(r, "heard before", 5*time.Second))
			w.clock = worker.clock(w.clockAt.Add(-drawDuration(r, "answer under way", 3*time.Second)))
			if committed := time.Now().Add(-drawDuration(r, "committed before", 3*time.Second)); rapid.Bool().Draw(r, "commits") && committed.After(h.lastCommit) {
				h.lastCommit = committed
			}
			until := h.renew(w)
			if until == 0 {
				continue
			}
			worker.execute(until, time.Now().Add(drawDuration(r, "order under way", 9*time.Second)))
			stopped := worker.leaseEnd.Add(bounds.StopTime)
			// stopSlack covers delays on busy machines. It must not be needed for slow clocks.
			if late := stopped.Add(stopSlack).Sub(w.leases.runsEndedBy); late > 0 {
				r.Fatalf("runs end %v after they were presumed ended", late)
			}
			// A successor can't presume the runs ended earlier than this: it knows of the last commit.
			if late := stopped.Sub(bounds.latestEnd(h.lastCommit.Add(maxRenewalTime))); late > 0 {
				r.Fatalf("runs end %v after a successor presumed them ended", late)
			}
		}
	})
}
