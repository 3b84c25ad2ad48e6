package scheduler

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/admission"
	"github.com/pulleyring/pulleyring/internal/fleet"
	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/internal/ledger"
)

// addGangs adds gangs of three tasks of two accelerators that run for 2 s.
func addGangs(h *shard, queue string, priority, count int) {
	for i := range count {
		h.addJob(&job.Request{
			ID: job.ID(fmt.Sprint(queue, i)), Accepted: time.Now().UnixMilli(),
			Terms: job.Terms{Queue: queue, Priority: priority, Attempts: 9, Stretch: 1.5, Objective: 250 * time.Millisecond},
			Steps: []job.Step{{Count: 3, Gang: true, Each: job.Resources{Accelerators: 2}, Estimate: 2 * time.Second}},
		}, nil)
	}
}

// shardWithWorkers returns a shard with workers of eight accelerators that accept no runs yet.
func shardWithWorkers(count int) *shard {
	h := offlineShard()
	h.Bounds = Bounds{MaxLease: 10 * time.Second, StopTime: time.Second}
	for k := range count {
		id := fmt.Sprint("w", k)
		h.workers[id] = workerOf(&fleet.Worker{ID: id, Capacity: job.Resources{Accelerators: 8}})
	}
	return h
}

// letWait lets the jobs of a shard become ready and then wait.
func letWait(h *shard, d time.Duration) {
	h.updateView(time.Now())
	time.Sleep(d)
}

// loadIn returns the summary in the next batch; nil if it contains none.
func loadIn(h *shard) *admission.Load { return h.prepare(true).batch.Load }

// TestLoadIsPublished fails if the summary of the load lacks a queue whose new jobs wait for too long, or contains one
// whose new jobs may start soon.
func TestLoadIsPublished(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := shardWithWorkers(1)
		addGangs(h, "urgent", 0, 100)
		addGangs(h, "build", 1, 1)
		h.addJob(&job.Request{ID: "render", Terms: job.Terms{Queue: "render", Priority: 2, Attempts: 9, Stretch: 3}, Steps: []job.Step{{Count: 1, Each: job.Resources{Accelerators: 1}, Estimate: time.Second}}}, nil)
		quicktest.Check(t, loadIn(h), quicktest.IsNil, quicktest.Commentf("nothing has waited yet"))
		time.Sleep(time.Second)
		load := loadIn(h)
		quicktest.Assert(t, load, quicktest.IsNotNil)
		// Half of 100 gangs of 12 accelerator seconds on 8 accelerators, less the 2 s in which the last of them run. Single tasks may
		// start in the gaps between the gangs, and new urgent jobs may be smaller than those that wait.
		quicktest.Check(t, load.Queues["build"].Waits, quicktest.Equals, [admission.ClassCount]admission.Wait{1: {Ms: 73_000, Least: job.Resources{Accelerators: 2}}})
		quicktest.Check(t, load.Queues, quicktest.HasLen, 1)
		quicktest.Check(t, load.Made, quicktest.Equals, time.Now().UnixMilli())
	})
}

// TestWorkOfQueueIsNotAhead fails if a new job is expected to wait for work of its own queue. Placement serves work by its
// value for the capacity that it takes, so a small new job starts before large ones that have waited for long: with 100
// gangs of 2 s waiting, a gang of 0.2 s was refused although the next decision would have started it first.
func TestWorkOfQueueIsNotAhead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := shardWithWorkers(1)
		addGangs(h, "urgent", 0, 100)
		for range 20 {
			letWait(h, 250*time.Millisecond)
			quicktest.Check(t, h.measureLoad(time.Now()).Queues, quicktest.HasLen, 0)
			quicktest.Check(t, loadIn(h), quicktest.IsNil)
		}
	})
}

// TestAmpleCapacityPublishesNoLoad fails if a site writes summaries of the load although no job waits for too long: one
// that has enough capacity for what waits, or whose waiting work was cancelled since the last decision.
func TestAmpleCapacityPublishesNoLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := shardWithWorkers(50)
		addGangs(h, "urgent", 0, 100)
		addGangs(h, "build", 1, 20)
		for range 50 {
			quicktest.Check(t, loadIn(h), quicktest.IsNil)
			time.Sleep(100 * time.Millisecond)
		}
	})
	synctest.Test(t, func(t *testing.T) {
		h := shardWithWorkers(1)
		addGangs(h, "urgent", 0, 100)
		addGangs(h, "build", 1, 1)
		letWait(h, time.Second)
		h.updateView(time.Now())
		quicktest.Check(t, h.measureLoad(time.Now()).Queues, quicktest.HasLen, 1)
		for i := range 100 {
			h.jobs[job.ID(fmt.Sprint("urgent", i))].Cancel(time.Now().UnixMilli())
		}
		quicktest.Check(t, h.measureLoad(time.Now()).Queues, quicktest.HasLen, 0)
	})
}

// TestShortWaitsPublishNoLoad fails if a summary is written for waits that are long for no job: here 3.25 s, where a job
// that waits for 7.75 s earns nothing.
func TestShortWaitsPublishNoLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := shardWithWorkers(1)
		addGangs(h, "urgent", 0, 6)
		addGangs(h, "build", 1, 1)
		letWait(h, time.Second)
		quicktest.Check(t, h.measureLoad(time.Now()).Queues, quicktest.HasLen, 0)
	})
}

// TestPlacedWorkDoesNotWait fails if work that was placed since the last decision counts as waiting.
func TestPlacedWorkDoesNotWait(t *testing.T) {
	h := shardWithWorkers(1)
	addGangs(h, "urgent", 0, 1)
	d := &h.updateView(time.Now()).Demands[0]
	quicktest.Check(t, h.countWaiting(d), quicktest.Equals, 3)
	h.place(d, map[int]string{0: "w0", 1: "w0", 2: "w0"}, time.Now())
	quicktest.Check(t, h.countWaiting(d), quicktest.Equals, 0)
}

// TestFullBatchContainsLoad fails if a summary makes a batch with the largest number of rows exceed the limit of the
// store's transactions, or if it is not written while all batches are full.
func TestFullBatchContainsLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := shardWithWorkers(1)
		h.Bounds.JobMemory = 1
		addGangs(h, "urgent", 0, 100)
		addGangs(h, "build", 1, 1)
		summaries := 0
		for range 10 {
			letWait(h, time.Second)
			for id := range h.jobs {
				h.dirtyJobs[id] = true
			}
			f := h.prepare(true)
			rows := len(f.batch.Progress)
			if f.batch.Load != nil {
				summaries++
				quicktest.Check(t, f.batch.Load.Full.IsEmpty(), quicktest.IsFalse)
				rows += 2
			}
			quicktest.Check(t, rows, quicktest.Equals, ledger.MaxBatchRows)
		}
		quicktest.Check(t, summaries >= 5, quicktest.IsTrue, quicktest.Commentf("%d summaries in 10 s", summaries))
	})
}

// TestLoadIsWrittenSeldom fails if summaries are written more often than once per second or without need, or so seldom
// that boxes take them for outdated, or if the end of the load is not written.
func TestLoadIsWrittenSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := shardWithWorkers(1)
		addGangs(h, "urgent", 0, 1000)
		addGangs(h, "build", 1, 1)
		letWait(h, time.Second)
		var written []time.Time
		for range 100 {
			if load := loadIn(h); load != nil && len(load.Queues) > 0 {
				written = append(written, time.Now())
			}
			time.Sleep(100 * time.Millisecond)
		}
		quicktest.Check(t, len(written) >= 4 && len(written) <= 6, quicktest.IsTrue, quicktest.Commentf("%v", written))
		for i := 1; i < len(written); i++ {
			apart := written[i].Sub(written[i-1])
			quicktest.Check(t, apart >= loadInterval && apart < admission.MaxAge/2+loadInterval, quicktest.IsTrue, quicktest.Commentf("%v", apart))
		}
		for id := range h.jobs {
			h.cancelJob(id)
		}
		ended := 0
		for range 30 {
			if load := loadIn(h); load != nil {
				quicktest.Check(t, load.Queues, quicktest.HasLen, 0)
				ended++
			}
			time.Sleep(100 * time.Millisecond)
		}
		quicktest.Check(t, ended, quicktest.Equals, 1)
	})
}

// TestLoadIsWrittenAgainAfterFailure fails if boxes are left without the summary of a batch that was not written, or
// keep refusing by an earlier one.
func TestLoadIsWrittenAgainAfterFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := shardWithWorkers(1)
		addGangs(h, "urgent", 0, 50)
		addGangs(h, "build", 1, 1)
		letWait(h, time.Second)
		f := h.prepare(true)
		quicktest.Assert(t, f.batch.Load, quicktest.IsNotNil)
		h.restoreChanges(f)
		for id := range h.jobs {
			h.cancelJob(id)
		}
		load := loadIn(h)
		quicktest.Assert(t, load, quicktest.IsNotNil)
		quicktest.Check(t, load.Queues, quicktest.HasLen, 0)
		time.Sleep(loadInterval)
		quicktest.Check(t, loadIn(h), quicktest.IsNil)
	})
}

// TestNoLoadIsPublishedWithoutRefusals fails if summaries are written, which cost calls and bytes, although the settings
// turn off the refusals that they are for.
func TestNoLoadIsPublishedWithoutRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := shardWithWorkers(1)
		h.Bounds.DisableRefusals = true
		addGangs(h, "urgent", 0, 100)
		addGangs(h, "build", 1, 1)
		letWait(h, time.Second)
		quicktest.Check(t, loadIn(h), quicktest.IsNil)
	})
}
