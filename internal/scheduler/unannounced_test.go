package scheduler

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/fleet"
	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/internal/ledger"
)

// TestMissingRecordAsUnannouncedDeparture fails if the runs of a worker that leaves unannounced are not stopped in
// time, because a run that ends in the last ms of its process is never reported. The sign is a missing record of a
// worker that still answers. A record also goes missing while the store is down or the worker is cut off; such a
// worker must not count as leaving.
func TestMissingRecordAsUnannouncedDeparture(t *testing.T) {
	const ms = time.Millisecond
	others := func(h *shard, listed, lapsed int) {
		for i := range listed + lapsed {
			id := fmt.Sprint("o", i)
			h.workers[id] = workerOf(&fleet.Worker{})
			h.workers[id].listed, h.workers[id].runs = i < listed, map[job.Task]*run{{Index: i}: nil}
		}
	}
	for _, c := range []struct {
		name    string
		bring   func(h *shard, w *workerState)
		wait    time.Duration
		missing bool
	}{
		{"it answers, and nothing is wrong", func(*shard, *workerState) {}, 0, true},
		{"the store failed a call long ago", func(h *shard, _ *workerState) { h.storeFailedAt = time.Now().Add(-3001 * ms) }, 0, true},
		{"the store failed a call a second ago", func(h *shard, _ *workerState) { h.storeFailedAt = time.Now().Add(-time.Second) }, 2 * time.Second, true},
		{"it is back since a second", func(_ *shard, w *workerState) { w.backAt = time.Now().Add(-time.Second) }, 2 * time.Second, true},
		{"it is back since a second, and the store since half of one", func(h *shard, w *workerState) {
			w.backAt, h.storeFailedAt = time.Now().Add(-time.Second), time.Now().Add(-500*ms)
		}, 2500 * ms, true},
		{"it does not answer", func(h *shard, w *workerState) { h.recordFailure(w, w.sendState(), fleet.ErrNoAnswer, "look") }, unannouncedCheckInterval, true},
		{"it has not answered since", func(_ *shard, w *workerState) { w.clockAt = w.unlistedAt.Add(-time.Millisecond) }, unannouncedCheckInterval, true},
		{"most records are missing", func(h *shard, _ *workerState) { others(h, 2, 3) }, massExpiryCheckInterval, true},
		{"half of the records are missing", func(h *shard, _ *workerState) { others(h, 3, 2) }, massExpiryCheckInterval, true},
		{"some records are missing", func(h *shard, _ *workerState) { others(h, 4, 2) }, 0, true},
		{"it is known since a second", func(_ *shard, w *workerState) { w.knownSince = time.Now().Add(-time.Second) }, 2 * time.Second, true},
		{"its record is back", func(_ *shard, w *workerState) { w.listed = true }, 0, false},
		{"its record was back and is gone anew", func(_ *shard, w *workerState) { w.unlistedAt = time.Now() }, 0, false},
		{"it had said that it leaves", func(_ *shard, w *workerState) { w.Draining = true }, 0, false},
		{"it is gone", func(_ *shard, w *workerState) { w.declaredLost = true }, 0, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			h, w := shardWithRun()
			others(h, 2, 0)
			time.Sleep(10 * time.Second)
			w.listed, w.unlistedAt = false, time.Now()
			gone := w.unlistedAt
			time.Sleep(10 * ms)
			w.recordClock(2)
			c.bring(h, w)
			wait, missing := h.untilUnannounced(w, gone, time.Now())
			quicktest.Check(t, missing, quicktest.Equals, c.missing, quicktest.Commentf(c.name))
			quicktest.Check(t, max(wait, 0), quicktest.Equals, c.wait, quicktest.Commentf(c.name))
		})
	}
}

// unreachable is a client of workers of which none answers a command.
type unreachable struct{ fleet.Commands }

func (unreachable) Stop(context.Context, *fleet.Worker, *fleet.Stop) (int64, error) {
	return 0, fleet.ErrNoAnswer
}

func (unreachable) Poll(context.Context, *fleet.Worker, *fleet.Poll) (fleet.Report, error) {
	return fleet.Report{}, fleet.ErrNoAnswer
}

// TestForeignRecordIsNoDeparture fails if another writer's record in place of a worker's own counts as a departure
// of the worker. The worker's runs must continue until its own record is surely gone.
func TestForeignRecordIsNoDeparture(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, w := shardWithRun()
		for _, id := range []string{"u", "v"} {
			h.workers[id] = workerOf(&fleet.Worker{})
			h.workers[id].listed = true
		}
		ctx, cancel := context.WithCancel(context.Background())
		h.ctx, h.Commands, h.leaseTerm, w.Address = ctx, unreachable{}, &ledger.LeaseTerm{}, "10.0.0.1:80"
		r := w.runs[job.Task{Job: "j"}]
		stopping := func() bool {
			time.Sleep(time.Second)
			h.mu.Lock()
			defer h.mu.Unlock()
			w.recordClock(2)
			return r.stopping
		}
		list := func(l Listing) {
			h.mu.Lock()
			defer h.mu.Unlock()
			l.AsOf = time.Now()
			h.applyListing(l, false)
		}
		for range 3 {
			list(Listing{Gone: []string{"w"}, Invalid: []string{"w"}})
			quicktest.Check(t, w.listed, quicktest.IsFalse)
			quicktest.Check(t, stopping(), quicktest.IsFalse)
		}
		list(Listing{Gone: []string{"w"}})
		stopping()
		quicktest.Check(t, stopping(), quicktest.IsTrue)
		cancel()
		h.background.Wait()
	})
}
