package entry

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/admission"
	"github.com/pulleyring/pulleyring/internal/emulator"
	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/internal/ledger"
	"github.com/pulleyring/pulleyring/internal/measure"
	"github.com/pulleyring/pulleyring/internal/queue"
	"go.uber.org/zap"
)

// box is an entry whose queues are overloaded, and its store.
type box struct {
	*Entry
	store    *emulator.Store
	healthy  bool
	disabled bool // Refusals are switched off.
}

func newBox() *box {
	b := &box{store: emulator.NewStore(1), healthy: true}
	q := admission.Queue{}
	for c := range q.Waits {
		q.Waits[c].Ms = time.Hour.Milliseconds()
	}
	load := &admission.Summary{Seen: time.Now(), Load: &admission.Load{
		Made: time.Now().UnixMilli(), Queues: map[string]admission.Queue{"urgent": q, "normal": q},
	}}
	config := &queue.Configuration{Workspaces: []queue.Workspace{{Name: "desk", Guaranteed: 8}}}
	b.Entry = &Entry{
		Ledger:        &ledger.Ledger{Store: b.store.For("box-1", &emulator.Gate{}), Shard: "main"},
		Configuration: func() *queue.Configuration { return config }, StoreHealthy: func() bool { return b.healthy },
		RefusalsDisabled: func() bool { return b.disabled },
		StoreUnreachable: func() bool { return false }, AllHallsEmptied: func() bool { return false },
		Load: func() *admission.Summary { return load }, Log: zap.NewNop(), Figures: &measure.Metrics{},
	}
	return b
}

// another returns the entry of another box on the same store.
func (b *box) another() *box {
	other := newBox()
	other.store = b.store
	other.Ledger.Store = b.store.For("box-2", &emulator.Gate{})
	return other
}

// submit submits a job of eight accelerators that runs for a second.
func (b *box) submit(id string, q *queue.Queue) error {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	q.Stretch = 3
	return b.Submit(ctx, Caller{q, "desk"}, &job.Request{
		ID: job.ID(id), Steps: []job.Step{{Count: 1, Estimate: time.Second, Each: job.Resources{Accelerators: 8}}},
	})
}

// TestHopelessJobIsRefused fails if a job that would end too late is accepted, is stored although it was refused, or is
// refused without the time after which its caller may return.
func TestHopelessJobIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBox()
		err := b.submit("a", &queue.Queue{Name: "normal", Priority: 1})
		var hopeless *HopelessError
		quicktest.Assert(t, err, quicktest.ErrorAs, &hopeless)
		quicktest.Check(t, hopeless.RetryAfter >= time.Second && hopeless.RetryAfter%time.Second == 0, quicktest.IsTrue)
		quicktest.Check(t, b.store.Rows("jobs"), quicktest.Equals, 0)
		quicktest.Check(t, b.Figures.CounterValue("refused_hopeless"), quicktest.Equals, int64(1))
		_, err = b.State(context.Background(), Caller{Workspace: "desk"}, "a")
		quicktest.Check(t, err, quicktest.ErrorIs, ErrNoJob)
	})
}

// TestJobsThatAreNotRefusedForLoad fails if a job is refused by a summary that is too old, or although its workspace's
// guarantee may cover it, the store's state is uncertain, or refusals are switched off.
func TestJobsThatAreNotRefusedForLoad(t *testing.T) {
	for name, c := range map[string]struct {
		queue  queue.Queue
		change func(b *box)
	}{
		"guaranteed":      {queue.Queue{Name: "urgent"}, func(*box) {}},
		"without load":    {queue.Queue{Name: "other", Priority: 1}, func(*box) {}},
		"old summary":     {queue.Queue{Name: "normal", Priority: 1}, func(*box) { time.Sleep(admission.MaxAge + time.Millisecond) }},
		"no summary":      {queue.Queue{Name: "normal", Priority: 1}, func(b *box) { b.Load = func() *admission.Summary { return &admission.Summary{} } }},
		"no source":       {queue.Queue{Name: "normal", Priority: 1}, func(b *box) { b.Load = nil }},
		"switched off":    {queue.Queue{Name: "normal", Priority: 1}, func(b *box) { b.disabled = true }},
		"unhealthy store": {queue.Queue{Name: "normal", Priority: 1}, func(b *box) { b.healthy = false }},
	} {
		synctest.Test(t, func(t *testing.T) {
			b := newBox()
			c.change(b)
			quicktest.Check(t, b.submit("a", &c.queue), quicktest.IsNil, quicktest.Commentf("%s", name))
			quicktest.Check(t, b.store.Rows("jobs"), quicktest.Equals, 1, quicktest.Commentf("%s", name))
		})
	}
}

// TestRepeatOfAcceptedJobIsNotRefused fails if a caller that repeats a submission is told that its job was refused,
// although it was accepted, by this box or by another one.
func TestRepeatOfAcceptedJobIsNotRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBox()
		b.disabled = true
		quicktest.Assert(t, b.submit("a", &queue.Queue{Name: "normal", Priority: 1}), quicktest.IsNil)
		b.disabled = false
		quicktest.Check(t, b.submit("a", &queue.Queue{Name: "normal", Priority: 1}), quicktest.IsNil)
		other := b.another()
		quicktest.Check(t, other.submit("a", &queue.Queue{Name: "normal", Priority: 1}), quicktest.IsNil)
		var hopeless *HopelessError
		quicktest.Check(t, other.submit("b", &queue.Queue{Name: "normal", Priority: 1}), quicktest.ErrorAs, &hopeless)
		quicktest.Check(t, b.store.Rows("jobs"), quicktest.Equals, 1)
	})
}

// TestNothingIsRefusedWhileRepeatsCannotBeRead fails if a job is refused although the store does not tell whether it
// was accepted before, or if the caller waits long for that.
func TestNothingIsRefusedWhileRepeatsCannotBeRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBox()
		for n := range 8 {
			b.store.FailPart(fmt.Sprint("main/", n))
		}
		quicktest.Check(t, b.submit("a", &queue.Queue{Name: "normal", Priority: 1}), quicktest.ErrorIs, ErrUndecided)
		b.store.SetUp()
		b.store.SetLatency(600 * time.Millisecond)
		b = b.another()
		began := time.Now()
		quicktest.Check(t, b.submit("a", &queue.Queue{Name: "normal", Priority: 1}), quicktest.IsNil)
		quicktest.Check(t, time.Since(began) <= 1200*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("%v", time.Since(began)))
	})
}

// TestSubmissionUnderWayIsNotRefused fails if a caller that repeats a submission is told that it was refused, although
// an earlier attempt at this box is still under way, or ended without an answer, and is stored later.
func TestSubmissionUnderWayIsNotRefused(t *testing.T) {
	q := queue.Queue{Name: "normal", Priority: 1}
	for name, unavailable := range map[string]func(b *box, refused bool){
		"load": func(b *box, refused bool) {
			b.disabled, b.Load = !refused, newBox().Load // The summary is new at each call.
		},
		"halls": func(b *box, refused bool) { b.disabled, b.AllHallsEmptied = true, func() bool { return refused } },
	} {
		synctest.Test(t, func(t *testing.T) {
			b := newBox()
			unavailable(b, false)
			b.store.SetCommitDelay(time.Second)
			var group sync.WaitGroup
			first := q
			group.Go(func() { quicktest.Check(t, b.submit("a", &first), quicktest.IsNil) })
			time.Sleep(100 * time.Millisecond)
			synctest.Wait()
			unavailable(b, true)
			second := q
			quicktest.Check(t, b.submit("a", &second), quicktest.IsNil, quicktest.Commentf("%s: under way", name))
			group.Wait()
			quicktest.Check(t, b.store.Rows("jobs"), quicktest.Equals, 1)

			unavailable(b, false)
			b.store.SetSilent()
			third := q
			quicktest.Check(t, b.submit("b", &third), quicktest.ErrorIs, ErrUndecided)
			b.store.SetUp()
			unavailable(b, true)
			quicktest.Check(t, b.submit("b", &third), quicktest.IsNil, quicktest.Commentf("%s: without an answer", name))

			unavailable(b, false)
			b.store.SetBusy()
			quicktest.Check(t, b.submit("c", &third), quicktest.ErrorIs, ErrUnavailable)
			b.store.SetUp()
			unavailable(b, true)
			quicktest.Check(t, b.submit("c", &third), quicktest.IsNotNil, quicktest.Commentf("%s: never sent to the store", name))
			quicktest.Check(t, b.store.Rows("jobs"), quicktest.Equals, 2)
		})
	}
}
