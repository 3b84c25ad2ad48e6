package node

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/entry"
	"github.com/pulleyring/pulleyring/internal/job"
	"go.uber.org/zap"
)

// inWorld runs f in a synctest bubble with three running boxes.
func inWorld(t *testing.T, f func(t *testing.T, w *world)) {
	inEmptyWorld(t, func(t *testing.T, w *world) {
		quicktest.Assert(t, w.command([]string{"boxes", "3"}), quicktest.IsNil)
		f(t, w)
	})
}

// inEmptyWorld runs f in a synctest bubble without any boxes.
func inEmptyWorld(t *testing.T, f func(t *testing.T, w *world)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := newWorld(ctx, 1, zap.NewNop())
		defer func() {
			cancel()
			w.group.Wait()
		}()
		f(t, w)
	})
}

// submitTimed submits a small job at one box and returns the time that it took and the error.
func submitTimed(w *world, box, id string) (time.Duration, error) {
	r := &job.Request{ID: job.ID(id), Steps: []job.Step{{Count: 1, Estimate: time.Second}}}
	began := time.Now()
	err := w.submitAt(w.boxes[box].node, "normal", "desk-key", r)
	return time.Since(began), err
}

func TestSubmitFailsFastWhileStoreIsBusy(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.store.SetBusy()
		took, err := submitTimed(w, "box-1", "a")
		quicktest.Assert(t, err, quicktest.ErrorIs, entry.ErrUnavailable)
		quicktest.Assert(t, took < 400*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("took %v", took))
		time.Sleep(time.Second)
		took, err = submitTimed(w, "box-2", "b")
		quicktest.Assert(t, err, quicktest.ErrorIs, entry.ErrUnavailable)
		quicktest.Assert(t, took, quicktest.Equals, time.Duration(0))
	})
}

func TestSubmitRefusedAtOnceWhileStoreIsSilent(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.store.SetSilent()
		time.Sleep(1500 * time.Millisecond)
		took, err := submitTimed(w, "box-1", "a")
		quicktest.Assert(t, err, quicktest.ErrorIs, entry.ErrUnavailable)
		quicktest.Assert(t, took, quicktest.Equals, time.Duration(0))
		quicktest.Assert(t, w.boxes["box-1"].node.Ready(), quicktest.IsFalse)
		w.store.SetUp()
		time.Sleep(1500 * time.Millisecond)
		quicktest.Assert(t, w.boxes["box-1"].node.Ready(), quicktest.IsTrue)
		_, err = submitTimed(w, "box-1", "a")
		quicktest.Assert(t, err, quicktest.IsNil)
	})
}

func TestUndecidedSubmitSucceedsWhenStoreReturns(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.store.SetSilent()
		time.AfterFunc(1500*time.Millisecond, w.store.SetUp)
		took, err := submitTimed(w, "box-1", "a")
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, took < 2900*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("took %v", took))
	})
}

func TestUndecidedSubmitIsNotReportedAsRejected(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.store.SetSilent()
		_, err := submitTimed(w, "box-1", "a")
		quicktest.Assert(t, err, quicktest.ErrorIs, entry.ErrUndecided)
	})
}

// TestUndecidedSubmitEndsSoonInOutage fails if a call whose write got no answer is held until its caller's time limit of
// 3 s although no path to the store is left. The caller must learn that the outcome is unknown while it has time for
// another box, and must not be told that the job was refused.
func TestUndecidedSubmitEndsSoonInOutage(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		time.Sleep(3 * time.Second) // The boxes need this time to discover each other.
		w.store.SetSilent()
		took, err := submitTimed(w, "box-1", "a")
		quicktest.Assert(t, err, quicktest.ErrorIs, entry.ErrUndecided)
		quicktest.Assert(t, took < 2200*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("took %v", took))
		quicktest.Assert(t, took > 1500*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("took %v", took))
		w.store.SetUp()
		time.Sleep(1500 * time.Millisecond)
		_, err = submitTimed(w, "box-2", "a")
		quicktest.Assert(t, err, quicktest.IsNil)
	})
}

// TestUndecidedSubmitGoesOnWhileStoreAnswers fails if a call whose writes get no answers is given up early although the
// store answers other calls. Here, all parts that hold requests fail for longer than a call is held in an outage.
func TestUndecidedSubmitGoesOnWhileStoreAnswers(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		for n := range 8 {
			w.store.FailPart(fmt.Sprint(Shard, "/", n))
		}
		time.AfterFunc(2500*time.Millisecond, w.store.SetUp)
		_, err := submitTimed(w, "box-1", "a")
		quicktest.Assert(t, err, quicktest.IsNil)
	})
}

func TestSlowStoreAcceptsMany(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.store.SetLatency(300 * time.Millisecond)
		time.Sleep(2 * time.Second)
		var group sync.WaitGroup
		failed := make([]error, 24)
		for i := range failed {
			group.Go(func() {
				time.Sleep(time.Duration(i) * 100 * time.Millisecond)
				_, failed[i] = submitTimed(w, fmt.Sprintf("box-%d", i%3+1), fmt.Sprintf("job%d", i))
			})
		}
		group.Wait()
		for i, err := range failed {
			quicktest.Check(t, err, quicktest.IsNil, quicktest.Commentf("job %d", i))
		}
	})
}

func TestSlowStoreStillAccepts(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.store.SetLatency(400 * time.Millisecond)
		time.Sleep(3 * time.Second)
		_, err := submitTimed(w, "box-1", "a")
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, w.boxes["box-1"].node.Ready(), quicktest.IsTrue)
	})
}

// TestSubmitForwardedWhileStoreRejectsBox fails if a box can't accept jobs while the store refuses or ignores it.
// Other boxes must forward its calls.
func TestSubmitForwardedWhileStoreRejectsBox(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		time.Sleep(3 * time.Second) // The boxes need this time to discover each other.
		for i, reject := range []func(string){w.store.Refuse, w.store.Cut} {
			reject("box-1")
			took, err := submitTimed(w, "box-1", fmt.Sprint("at once ", i))
			quicktest.Assert(t, err, quicktest.IsNil)
			quicktest.Assert(t, took < 2500*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("took %v", took))
			time.Sleep(2 * time.Second)
			quicktest.Assert(t, w.boxes["box-1"].node.Ready(), quicktest.IsTrue)
			took, err = submitTimed(w, "box-1", fmt.Sprint("later ", i))
			quicktest.Assert(t, err, quicktest.IsNil)
			quicktest.Assert(t, took < 50*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("took %v", took))
			w.store.SetUp()
			time.Sleep(2 * time.Second)
		}
	})
}

// TestIsolatedBoxRefusesSubmits fails if a box that reaches neither the store nor another box accepts jobs, delays
// the refusal, or still reports that it is ready.
func TestIsolatedBoxRefusesSubmits(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		time.Sleep(3 * time.Second)
		w.network.Cut("box-1")
		w.store.Refuse("box-1")
		time.Sleep(4 * time.Second)
		took, err := submitTimed(w, "box-1", "a")
		quicktest.Assert(t, err, quicktest.ErrorIs, entry.ErrUnavailable)
		quicktest.Assert(t, took, quicktest.Equals, time.Duration(0))
		quicktest.Assert(t, w.boxes["box-1"].node.Ready(), quicktest.IsFalse)
	})
}

// TestLostResponsesAreRetriedSoon fails if a write whose response is lost is not repeated as soon as the response is
// overdue.
func TestLostResponsesAreRetriedSoon(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.store.SetLossRate(0.5)
		total := time.Duration(0)
		for i := range 20 {
			took, err := submitTimed(w, "box-1", fmt.Sprint("job", i))
			quicktest.Assert(t, err, quicktest.IsNil)
			total += took
		}
		quicktest.Assert(t, total/20 < 500*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("took %v on average", total/20))
	})
}

// TestSubmitAvoidsUnavailableParts fails if jobs or cancellations are not accepted while some partitions of the store
// are unavailable, or if rows of theirs are left behind in the end.
func TestSubmitAvoidsUnavailableParts(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		for n := range 4 {
			w.store.FailPart(fmt.Sprint(Shard, "/", n))
		}
		var accepted []job.ID
		for i := range 24 {
			id := fmt.Sprint("job", i)
			took, err := submitTimed(w, fmt.Sprintf("box-%d", i%3+1), id)
			quicktest.Assert(t, err, quicktest.IsNil, quicktest.Commentf("%s", id))
			quicktest.Assert(t, took < 200*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("took %v", took))
			accepted = append(accepted, job.ID(id))
		}
		for _, id := range accepted[:12] {
			quicktest.Assert(t, w.cancel(id), quicktest.IsNil)
		}
		time.Sleep(time.Second)
		quicktest.Assert(t, w.command([]string{"workers", "4"}), quicktest.IsNil)
		for i, id := range accepted {
			want := job.Cancelled
			if i >= 12 {
				want = job.Completed
			}
			quicktest.Assert(t, w.await(id, want.String(), "5s"), quicktest.IsNil, quicktest.Commentf("%s", id))
		}
		w.store.SetUp()
		time.Sleep(2 * time.Minute)
		for _, id := range accepted {
			state, err := w.state(id)
			quicktest.Assert(t, err, quicktest.ErrorIs, entry.ErrNoJob, quicktest.Commentf("job %s is %v", id, state))
		}
		quicktest.Assert(t, w.store.Rows("jobs"), quicktest.Equals, 0)
	})
}

// TestSilentFeedIsDetectedSoon fails if a job waits because the feed stopped reporting changes. At 25 jobs a second
// the box must notice that soon and read the rows instead.
func TestSilentFeedIsDetectedSoon(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		quicktest.Assert(t, w.command([]string{"workers", "8"}), quicktest.IsNil)
		for i := range 50 {
			_, err := submitTimed(w, "box-1", fmt.Sprint("before", i))
			quicktest.Assert(t, err, quicktest.IsNil)
			time.Sleep(35 * time.Millisecond)
		}
		w.store.SetLatency(30 * time.Millisecond)
		w.store.StallFeeds()
		began := time.Now()
		_, err := submitTimed(w, "box-1", "deaf")
		quicktest.Assert(t, err, quicktest.IsNil)
		for state, err := w.state("deaf"); state == job.Queued; state, err = w.state("deaf") {
			quicktest.Assert(t, err, quicktest.IsNil)
			time.Sleep(5 * time.Millisecond)
		}
		took := time.Since(began)
		quicktest.Assert(t, took < 650*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("took %v", took))
	})
}

// TestSubmitAcceptedWhileDirectPathIsSilent submits jobs at boxes whose direct path to the store has just stopped
// answering, like that of a third of all boxes. Each must be accepted within a third of the 3 s that a caller waits.
func TestSubmitAcceptedWhileDirectPathIsSilent(t *testing.T) {
	inEmptyWorld(t, func(t *testing.T, w *world) {
		play(t, w, []string{"boxes 12", "workers 24 rack 4", "sleep 5s"})
		var group sync.WaitGroup
		for i := 1; i <= 12; i += 3 {
			w.store.Cut(fmt.Sprint("box-", i))
		}
		for i := 1; i <= 12; i += 3 {
			group.Go(func() {
				took, err := submitTimed(w, fmt.Sprint("box-", i), fmt.Sprint("job-", i))
				quicktest.Check(t, err, quicktest.IsNil, quicktest.Commentf("box-%d", i))
				quicktest.Check(t, took < time.Second, quicktest.IsTrue, quicktest.Commentf("box-%d: took %s", i, took))
			})
		}
		group.Wait()
	})
}
