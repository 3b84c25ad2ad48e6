package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/fleet"
	"github.com/pulleyring/pulleyring/internal/job"
)

func TestIsWorkLost(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name string
		d    departure
		want bool
	}{
		{"half done in a second, 0.9 s more to do", departure{worked: 1000 * ms, workDone: 0.5, untilLeaving: 1800 * ms}, false},
		{"a fifth done in a second, 3.8 s more at least", departure{worked: 1000 * ms, workDone: 0.2, untilLeaving: 1800 * ms}, true},
		{"it would end right when the worker leaves", departure{worked: 1000 * ms, workDone: 0.34, untilLeaving: 1800 * ms}, false},
		{"told long ago", departure{worked: 1000 * ms, workDone: 0.2, sinceReport: 1500 * ms, untilLeaving: 2400 * ms}, false},
		{"just begun", departure{worked: 60 * ms, workDone: 0, untilLeaving: 1800 * ms}, true},
		{"just begun, a short one perhaps", departure{worked: 15 * ms, workDone: 0, untilLeaving: 1800 * ms}, false},
		{"a gang that waits for a member", departure{worked: 900 * ms, workDone: 0, untilLeaving: 1800 * ms}, false},
		{"it keeps its state", departure{worked: 1000 * ms, workDone: 0.2, untilLeaving: 1800 * ms, checkpoints: true}, false},
		{"done", departure{worked: 1000 * ms, workDone: 1, untilLeaving: 0}, false},
		{"nothing told", departure{untilLeaving: 10 * ms}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) { quicktest.Check(t, test.d.isWorkLost(), quicktest.Equals, test.want) })
	}
}

// TestWithdrawnDepartureDoesNotDrain fails if a worker's runs are stopped for a departure that it has withdrawn,
// or not stopped for a second one that it announces.
func TestWithdrawnDepartureDoesNotDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, w := shardWithRun()
		defer h.background.Wait()
		r := w.runs[job.Task{Job: "j"}]
		say := func(draining bool) {
			record := w.Worker
			record.Draining, record.TimeLeft = draining, 3*time.Second
			h.mu.Lock()
			defer h.mu.Unlock()
			h.applyWorkerRecord(&record, time.Now())
		}
		stopping := func() bool {
			h.mu.Lock()
			defer h.mu.Unlock()
			return r.stopping
		}
		w.clock = 0 // Unknown, so that nothing polls the worker.
		say(true)
		time.Sleep(time.Second)
		say(false)
		time.Sleep(5 * time.Second)
		quicktest.Assert(t, stopping(), quicktest.IsFalse)
		say(true)
		time.Sleep(time.Second)
		quicktest.Assert(t, stopping(), quicktest.IsFalse)
		say(false)
		say(true)
		time.Sleep(1500 * time.Millisecond) // The first departure is nearly due, the second is not.
		quicktest.Assert(t, stopping(), quicktest.IsFalse)
		time.Sleep(time.Second)
		quicktest.Check(t, stopping(), quicktest.IsTrue)
	})
}

// TestDrainAllowsForTheAgeOfTheRecord fails if the runs of a leaving worker are stopped too late. The worker
// may have announced its departure as early as just after the records were read the last time.
func TestDrainAllowsForTheAgeOfTheRecord(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		age, stopsIn time.Duration
		share        float64 // Share of its work that the run did in the second before the test.
	}{{0, 1800 * ms, 0}, {time.Second, 800 * ms, 0}, {5 * time.Second, 0, 0}, {0, 1800 * ms, 0.1}, {0, 2850 * ms, 0.9}, {time.Second, 1850 * ms, 0.9}} {
		synctest.Test(t, func(t *testing.T) {
			h, w := shardWithRun()
			r := w.runs[job.Task{Job: "j"}]
			w.clock = 0 // Unknown, so that nothing polls the worker.
			said := time.Now()
			r.confirmed, r.progress.reportedAt, r.progress.share = said.Add(-time.Second), said, c.share
			record := w.Worker
			record.Draining, record.TimeLeft = true, 3*time.Second
			h.mu.Lock()
			h.applyWorkerRecord(&record, said.Add(-c.age))
			h.mu.Unlock()
			h.background.Wait()
			quicktest.Check(t, r.stopping, quicktest.IsTrue)
			quicktest.Check(t, r.stopRequested.Sub(said), quicktest.Equals, c.stopsIn)
		})
	}
}

// TestDrainConsidersTheWholeGang fails if a gang is left running because its member on a leaving worker is nearly
// done, although another member is far behind. The stop then came too late for the worker to report the end, and
// the gang restarted 5 s later, when the worker's leases had expired.
func TestDrainConsidersTheWholeGang(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		other   float64 // Share of its work done by the other member; the one on the leaving worker has done 0.9.
		stopsIn time.Duration
	}{{0.9, 2850 * ms}, {0.2, 1800 * ms}, {0, 1800 * ms}} {
		synctest.Test(t, func(t *testing.T) {
			h, w := shardWithRun()
			h.addJob(&job.Request{ID: "g", Steps: []job.Step{{Count: 2, Gang: true, Each: job.Resources{Accelerators: 1}}}, Terms: job.Terms{Attempts: 9}}, nil)
			elsewhere := workerOf(&fleet.Worker{ID: "o", Capacity: job.Resources{Accelerators: 8}})
			elsewhere.listed = true
			h.workers["o"] = elsewhere
			d := h.demand(h.jobs["g"], job.Group{}, time.Now())
			h.place(&d, map[int]string{0: "w", 1: "o"}, time.Now())
			w.clock = 0 // Unknown, so that nothing polls the worker.
			said := time.Now()
			here, there := w.runs[job.Task{Job: "g"}], elsewhere.runs[job.Task{Job: "g", Index: 1}]
			for r, share := range map[*run]float64{here: 0.9, there: c.other} {
				r.confirmed, r.progress.reportedAt, r.progress.share = said.Add(-time.Second), said, share
			}
			record := w.Worker
			record.Draining, record.TimeLeft = true, 3*time.Second
			h.mu.Lock()
			h.applyWorkerRecord(&record, said)
			h.mu.Unlock()
			h.background.Wait()
			quicktest.Check(t, here.stopRequested.Sub(said), quicktest.Equals, c.stopsIn)
			quicktest.Check(t, there.stopRequested.Sub(said), quicktest.Equals, c.stopsIn)
		})
	}
}

// TestRewrittenRecordExtendsDeparture fails if the runs on a leaving worker are stopped seconds too early. The
// worker writes the time left with each heartbeat. A successor takes the first record for older than it is, so it
// must use the later ones too. A record that is read again without a change is as old as before.
func TestRewrittenRecordExtendsDeparture(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		// Time left by the second record, which is read 1 s after the first one and was written at most 0.3 s
		// before that. The first record was written at most 2 s before it was read.
		leaves  time.Duration
		stopsIn time.Duration // Time from the read of the first record to the stop.
	}{{6000 * ms, 2800 * ms}, {5500 * ms, 5000 * ms}, {3000 * ms, 2800 * ms}, {0, 2800 * ms}} {
		synctest.Test(t, func(t *testing.T) {
			h, w := shardWithRun()
			r := w.runs[job.Task{Job: "j"}]
			w.clock = 0 // Unknown, so that nothing polls the worker.
			first := time.Now()
			record := w.Worker
			tell := func(leaves, age time.Duration) {
				record.Draining, record.TimeLeft = true, leaves
				h.mu.Lock()
				defer h.mu.Unlock()
				h.applyWorkerRecord(&record, time.Now().Add(-age))
			}
			tell(6*time.Second, 2*time.Second)
			time.Sleep(time.Second)
			tell(c.leaves, 300*ms)
			h.background.Wait()
			quicktest.Check(t, r.stopRequested.Sub(first), quicktest.Equals, c.stopsIn)
		})
	}
}
