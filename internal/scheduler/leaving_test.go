package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/job"
)

func TestWorkThatIsLostWithItsWorker(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name string
		d    departure
		want bool
	}{
		{"half done in a second, 0.9 s more to do", departure{worked: 1000 * ms, share: 0.5, left: 1800 * ms}, false},
		{"a fifth done in a second, 3.8 s more at least", departure{worked: 1000 * ms, share: 0.2, left: 1800 * ms}, true},
		{"it would end right when the worker leaves", departure{worked: 1000 * ms, share: 0.34, left: 1800 * ms}, false},
		{"told long ago", departure{worked: 1000 * ms, share: 0.2, since: 1500 * ms, left: 2400 * ms}, false},
		{"just begun", departure{worked: 60 * ms, share: 0, left: 1800 * ms}, true},
		{"just begun, a short one perhaps", departure{worked: 15 * ms, share: 0, left: 1800 * ms}, false},
		{"a gang that waits for a member", departure{worked: 900 * ms, share: 0, left: 1800 * ms}, false},
		{"it keeps its state", departure{worked: 1000 * ms, share: 0.2, left: 1800 * ms, keeps: true}, false},
		{"done", departure{worked: 1000 * ms, share: 1, left: 0}, false},
		{"nothing told", departure{left: 10 * ms}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) { quicktest.Check(t, test.d.isLost(), quicktest.Equals, test.want) })
	}
}

// TestAWorkerThatStaysIsNotCleared: a worker's record says that it leaves, and then that it does not. What ran there was stopped all the same at the time at which it would have
// left, and a worker that said so once more was not cleared then.
func TestAWorkerThatStaysIsNotCleared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, w := silentShard()
		defer h.ordering.Wait()
		r := w.runs[job.Task{Job: "j"}]
		say := func(draining bool) {
			record := w.Worker
			record.Draining, record.Leaves = draining, 3*time.Second
			h.mu.Lock()
			defer h.mu.Unlock()
			h.addWorker(&record, time.Now())
		}
		stopping := func() bool {
			h.mu.Lock()
			defer h.mu.Unlock()
			return r.stopping
		}
		w.clock = 0 // Nobody looks there.
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
		time.Sleep(1500 * time.Millisecond) // The first time that it said is nearly over, the second is not.
		quicktest.Assert(t, stopping(), quicktest.IsFalse)
		time.Sleep(time.Second)
		quicktest.Check(t, stopping(), quicktest.IsTrue)
	})
}
