package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/fleet"
	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/internal/ledger"
)

// shardWithRun returns a shard with a worker that has a run under a lease of this lease term.
func shardWithRun() (*shard, *workerState) {
	h := offlineShard()
	h.Bounds = Bounds{MaxLease: 10 * time.Second, StopTime: time.Second}
	h.lastCommit = time.Now()
	w := workerOf(&fleet.Worker{ID: "w", Capacity: job.Resources{Accelerators: 8}})
	w.listed = true
	w.leases.acceptedOwnToken = true
	w.recordClock(1)
	h.workers["w"] = w
	h.addJob(&job.Request{ID: "j", Steps: []job.Step{{Count: 1, Each: job.Resources{Accelerators: 1}}}, Terms: job.Terms{Attempts: 9}}, nil)
	d := h.demand(h.jobs["j"], job.Group{}, time.Now())
	h.place(&d, map[int]string{0: "w"}, time.Now())
	h.renew(w)
	return h, w
}

// TestSilentWorkerKeepsRunsUntilLeaseExpires fails if tasks start elsewhere while their runs may still run on a
// silent worker. Workers were declared lost for closed or refused connections, or for a missing record. Workers
// that still run show these signs too, such as behind a closed proxy or with an expired record. Only an answer of
// another incarnation may end a run before its lease has surely expired.
func TestSilentWorkerKeepsRunsUntilLeaseExpires(t *testing.T) {
	poll := func(h *shard, w *workerState) { h.pollFailed(w, w.sendState(), fleet.ErrConnectionClosed) }
	start := func(h *shard, w *workerState) { h.recordFailure(w, w.sendState(), fleet.ErrConnectionClosed, "start") }
	refused := func(h *shard, w *workerState) { h.recordFailure(w, w.sendState(), fleet.ErrConnectionRefused, "look") }
	silent := func(h *shard, w *workerState) { h.pollFailed(w, w.sendState(), fleet.ErrNoAnswer) }
	unlisted := func(h *shard, w *workerState) { h.unlist(w.ID, false, time.Now()) }
	due := func(_ *shard, w *workerState) { w.Draining, w.leavesAt = true, time.Now().Add(-time.Millisecond) }
	moved := func(_ *shard, w *workerState) { w.knownAddress, w.Address = "10.0.0.1:80", "10.0.0.2:80" }
	other := func(h *shard, w *workerState) { h.recordFailure(w, w.sendState(), fleet.OtherIncarnation, "look") }
	for _, c := range []struct {
		name  string
		steps []func(h *shard, w *workerState)
		ended bool // Whether the run has ended right after the steps.
	}{
		{"hangs up on a look and refuses", []func(*shard, *workerState){poll, refused}, false},
		{"refuses, and hangs up later", []func(*shard, *workerState){refused, poll}, false},
		{"refuses again after that", []func(*shard, *workerState){refused, poll, refused, refused}, false},
		{"hangs up on a start and refuses", []func(*shard, *workerState){start, refused}, false},
		{"is due to leave, hangs up and refuses", []func(*shard, *workerState){due, start, refused}, false},
		{"has no record and does not answer", []func(*shard, *workerState){unlisted, silent, silent, silent}, false},
		{"has no record, hangs up and refuses", []func(*shard, *workerState){unlisted, poll, refused}, false},
		{"leaves, has no record and does not answer", []func(*shard, *workerState){due, unlisted, silent, silent}, false},
		{"leaves, has no record, hangs up and refuses", []func(*shard, *workerState){due, unlisted, poll, refused}, false},
		{"another life answers", []func(*shard, *workerState){other}, true},
		{"another life answers where its record has it now", []func(*shard, *workerState){moved, other}, false},
		{"hangs up, and another life answers", []func(*shard, *workerState){poll, refused, other}, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			h, w := shardWithRun()
			for _, step := range c.steps {
				step(h, w)
			}
			h.checkSilence(w)
			quicktest.Check(t, len(w.runs) == 0, quicktest.Equals, c.ended, quicktest.Commentf(c.name))
			time.Sleep(h.Bounds.renewalTime(false)) // Measured by this box's clock; the worker's clock may be slower.
			h.checkSilence(w)
			quicktest.Check(t, len(w.runs) == 0, quicktest.Equals, c.ended, quicktest.Commentf("%s, a lease later", c.name))
			time.Sleep(onSlowClock(h.Bounds.renewalTime(false)) + h.Bounds.maxEndDelay())
			h.checkSilence(w)
			quicktest.Check(t, w.runs, quicktest.HasLen, 0, quicktest.Commentf("%s, when its lease has expired", c.name))
		})
	}
}

// TestLeasesOfAPredecessorAreCounted fails if a successor takes a worker's leases for expired while its
// predecessor may have renewed them. A box that has been replaced without noticing it still renews leases for a
// limited time after its last commit. The successor must allow for that time until the worker has accepted one of
// its commands.
func TestLeasesOfAPredecessorAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		before, w := shardWithRun()
		before.lastCommit = time.Now()
		replacedAt := time.Now() // The successor's lease term began right after the last commit.
		after := offlineShard()
		after.Bounds = before.Bounds
		seen := &workerState{}
		seen.leases.extend(after.Bounds.latestEnd(replacedAt.Add(maxRenewalTime)))
		for renewed := true; renewed; time.Sleep(100 * time.Millisecond) {
			w.recordClock(time.Since(replacedAt).Milliseconds() + 1)
			until := before.renew(w)
			renewed = until > 0
			quicktest.Assert(t, replacedAt.Add(onSlowClock(milliseconds(until))).Before(seen.leases.runsEndedBy), quicktest.IsTrue)
		}
		// For so long runs continue while the store is down.
		quicktest.Check(t, time.Since(replacedAt) > maxRenewalTime, quicktest.IsTrue)
		after.recordFirstCommand(seen)
		quicktest.Check(t, seen.leases.runsEndedBy, quicktest.Equals, after.Bounds.latestEnd(time.Now()))
	})
}

// TestNothingStartsBesideAnOrphanedRun fails if a task starts while an orphaned run of it is being stopped. The
// task then ran twice. If it started on the same worker, the new run replaced the orphaned one, whose resources
// were never freed.
func TestNothingStartsBesideAnOrphanedRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, w := shardWithRun()
		w.Address = "" // Without an address no stop is sent, as there are no commands here.
		h.loseRuns(w, leasesExpired)
		waiting := func() int { return len(h.demand(h.jobs["j"], job.Group{}, time.Now()).Waiting) }
		quicktest.Check(t, waiting(), quicktest.Equals, 1)
		task := job.Task{Job: "j"}
		h.applyReport(w, &fleet.Report{Incarnation: w.incarnation, Clock: 2, Running: []fleet.Run{{Task: task, Run: 1, Done: 0.5}}}, w.sendState(), 0)
		quicktest.Check(t, waiting(), quicktest.Equals, 0)
		quicktest.Check(t, w.used, quicktest.Equals, job.Resources{Accelerators: 1})
		h.applyReport(w, &fleet.Report{Incarnation: w.incarnation, Clock: 3, Ended: []fleet.End{{Number: 1, Task: task, Run: 1, Outcome: job.Stopped}}}, w.sendState(), 0)
		quicktest.Check(t, waiting(), quicktest.Equals, 1)
		quicktest.Check(t, w.used, quicktest.Equals, job.Resources{})
	})
}

// TestStartRenewsTheLease fails if the lease in a start command does not extend the known expiry of the worker's
// leases. Like the lease in a poll, it covers all runs of the worker.
func TestStartRenewsTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, w := shardWithRun()
		h.leaseTerm = &ledger.LeaseTerm{}
		time.Sleep(time.Second)
		start, _, _ := h.nextStart(w, w.runs[job.Task{Job: "j"}], 1)
		left := milliseconds(start.Lease - w.clock)
		quicktest.Check(t, w.leases.runsEndedBy.Before(w.clockAt.Add(onSlowClock(left)+h.Bounds.maxEndDelay())), quicktest.IsFalse)
	})
}

// TestEarlierPollDoesNotEndARun fails if a report ends a run that it does not list, although its poll was sent
// before the worker confirmed the run or accepted its stop.
func TestEarlierPollDoesNotEndARun(t *testing.T) {
	for _, known := range []func(r *run){
		func(r *run) { r.confirmed = time.Now() },
		func(r *run) { r.stopAccepted = time.Now() },
	} {
		synctest.Test(t, func(t *testing.T) {
			h, w := shardWithRun()
			sent := time.Now()
			time.Sleep(time.Millisecond)
			known(w.runs[job.Task{Job: "j"}])
			h.applyReport(w, &fleet.Report{Incarnation: w.incarnation, Clock: 2}, sendState{ends: w.endCursor, at: sent}, 0)
			quicktest.Check(t, w.runs, quicktest.HasLen, 1)
			h.applyReport(w, &fleet.Report{Incarnation: w.incarnation, Clock: 3}, sendState{ends: w.endCursor, at: time.Now().Add(time.Millisecond)}, 0)
			quicktest.Check(t, w.runs, quicktest.HasLen, 0)
		})
	}
}
