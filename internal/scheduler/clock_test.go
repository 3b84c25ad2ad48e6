package scheduler

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/fleet"
	"github.com/pulleyring/pulleyring/internal/incarnation"
	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/internal/ledger"
)

// slowClockWorker is a worker whose clock is 2% slow. It records the lease of each start.
type slowClockWorker struct {
	fleet.Commands
	born  time.Time
	polls int
	lease int64 // Lease of the last start.
}

func (s *slowClockWorker) clock() int64 {
	return 1 + int64(0.98*float64(time.Since(s.born).Milliseconds()))
}

func (s *slowClockWorker) Poll(context.Context, *fleet.Worker, *fleet.Poll) (fleet.Report, error) {
	s.polls++
	return fleet.Report{Incarnation: incarnation.ID{Worker: "w"}, Clock: s.clock()}, nil
}

func (s *slowClockWorker) Start(_ context.Context, _ *fleet.Worker, o *fleet.Start) (int64, error) {
	s.lease = o.Lease
	return s.clock(), nil
}

// TestClockOfIdleWorkerIsReadAgain fails if the clock of a worker that was idle for long is extrapolated from its last
// answer. For a worker with a slow clock, the extrapolated time was ahead of its clock. The first lease on the worker
// then counted as expired half a minute late.
func TestClockOfIdleWorkerIsReadAgain(t *testing.T) {
	for _, c := range []struct {
		idle  time.Duration
		looks int
	}{{5 * time.Second, 0}, {20 * time.Minute, 1}} {
		synctest.Test(t, func(t *testing.T) {
			h, w := shardWithRun()
			s := &slowClockWorker{born: time.Now()}
			h.Commands, h.leaseTerm = s, &ledger.LeaseTerm{}
			time.Sleep(c.idle)
			h.lastCommit = time.Now()
			r := w.runs[job.Task{Job: "j"}]
			w.leases.runsEndedBy = time.Time{}
			h.start(w, r)
			quicktest.Check(t, s.polls, quicktest.Equals, c.looks)
			quicktest.Check(t, r.confirmed.IsZero(), quicktest.IsFalse)
			granted := milliseconds(s.lease - s.clock())
			quicktest.Check(t, granted < h.Bounds.renewalTime(false)+200*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("%s", granted))
			late := time.Until(w.leases.runsEndedBy) - onSlowClock(h.Bounds.renewalTime(false)) - h.Bounds.maxEndDelay()
			quicktest.Check(t, late < 200*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("%s", late))
		})
	}
}
