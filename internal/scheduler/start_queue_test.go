package scheduler

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/fleet"
	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/internal/ledger"
)

// slowBox is a box that needs a certain time of its only core to send a start. Starts get the core in turn.
type slowBox struct {
	silentWorkers
	each   time.Duration
	silent string // Name of a worker that does not answer.

	mu       sync.Mutex
	freeAt   time.Time
	failed   int
	answered map[job.ID]time.Time // When the first start of a job was answered.
}

// Start implements Commands.
func (b *slowBox) Start(ctx context.Context, w *fleet.Worker, o *fleet.Start) (int64, error) {
	b.mu.Lock()
	if b.freeAt.Before(time.Now()) {
		b.freeAt = time.Now()
	}
	b.freeAt = b.freeAt.Add(b.each)
	sent := b.freeAt
	b.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(sent)):
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if ctx.Err() != nil {
		b.failed++
		return 0, fleet.ErrNotSent
	}
	if w.ID == b.silent {
		b.mu.Unlock()
		defer b.mu.Lock()
		<-ctx.Done()
		return 0, fleet.ErrNoAnswer
	}
	if _, known := b.answered[o.Task.Job]; !known {
		b.answered[o.Task.Job] = time.Now()
	}
	return 1, nil
}

// slowSite returns a shard on a slow box with workers of 64 cores.
func slowSite(ctx context.Context, b *slowBox, workers ...string) *shard {
	h := offlineShard()
	h.ctx, h.leaseTerm, h.Commands, h.Bounds = ctx, &ledger.LeaseTerm{}, b, Bounds{MaxLease: time.Minute, StopTime: time.Second}
	h.lastCommit = time.Now()
	b.answered = map[job.ID]time.Time{}
	for _, name := range workers {
		w := workerOf(&fleet.Worker{ID: name, Capacity: job.Resources{MilliCPU: 64000}})
		w.listed, w.leases.acceptedOwnToken = true, true
		w.recordClock(1)
		h.workers[name] = w
	}
	return h
}

func tasks(id string, count int, label string) *job.Request {
	return &job.Request{ID: job.ID(id), Accepted: time.Now().UnixMilli(), Terms: job.Terms{Workspace: id, Queue: "q", Priority: 1, Attempts: 3, Stretch: 3, Objective: time.Second}, Steps: []job.Step{{Count: count, Each: job.Resources{MilliCPU: 100}, Estimate: 100 * time.Millisecond, Label: label}}}
}

// playFor commits every 20 ms. Runs end 100 ms after their start was answered.
func playFor(h *shard, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		h.mu.Lock()
		for _, w := range h.workers {
			w.clockAt = time.Now()
			for _, r := range w.runs {
				if !r.confirmed.IsZero() && time.Since(r.confirmed) > 100*time.Millisecond {
					h.endRun(w, r, job.Succeeded, "")
				}
			}
		}
		h.mu.Unlock()
		f := h.prepare(true)
		h.mu.Lock()
		h.afterCommit(f, time.Now(), 0)
		h.mu.Unlock()
	}
}

// TestManyStartsOnSlowBox fails if starts time out because a box has more of them to send than it has time for, or if a
// small job waits for the starts of all jobs that came earlier.
func TestManyStartsOnSlowBox(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		b := &slowBox{each: 3 * time.Millisecond}
		h := slowSite(ctx, b, "w1", "w2", "w3", "w4")
		for n := range 10 {
			h.addJob(tasks(fmt.Sprint("large-", n), 1200, ""), nil)
		}
		playFor(h, time.Second)
		arrived := time.Now()
		h.mu.Lock()
		h.addJob(tasks("small", 1, ""), nil)
		h.mu.Unlock()
		playFor(h, 10*time.Second)
		b.mu.Lock()
		failed := b.failed
		b.mu.Unlock()
		cancel()
		h.background.Wait()
		quicktest.Check(t, failed, quicktest.Equals, 0)
		quicktest.Check(t, b.answered["small"].IsZero(), quicktest.IsFalse)
		waited := b.answered["small"].Sub(arrived)
		quicktest.Check(t, waited < 5*time.Second, quicktest.IsTrue, quicktest.Commentf("waited %v", waited))
	})
}

// TestSilentWorkerHoldsUpNoStarts fails if starts on a worker that does not answer hold up those on other workers.
func TestSilentWorkerHoldsUpNoStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		b := &slowBox{each: 10 * time.Microsecond, silent: "w1"}
		h := slowSite(ctx, b, "w1", "w2")
		h.workers["w1"].Labels, h.workers["w2"].Labels = []string{"silent"}, []string{"other"}
		h.addJob(tasks("on-silent", 200, "silent"), nil)
		playFor(h, 20*time.Millisecond)
		began := time.Now()
		h.mu.Lock()
		h.addJob(tasks("on-other", 1, "other"), nil)
		h.mu.Unlock()
		playFor(h, 3*time.Second)
		cancel()
		h.background.Wait()
		quicktest.Check(t, b.answered["on-other"].IsZero(), quicktest.IsFalse)
		waited := b.answered["on-other"].Sub(began)
		quicktest.Check(t, waited < time.Second, quicktest.IsTrue, quicktest.Commentf("waited %v", waited))
	})
}
