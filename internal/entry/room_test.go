package entry

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/admission"
	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/internal/queue"
	"github.com/pulleyring/pulleyring/internal/store"
)

// fullBox returns an entry that is told that the jobs of the workspace "guest" and cancellations take too much memory.
func fullBox() *box {
	b := newBox()
	load := &admission.Summary{Seen: time.Now(), Load: &admission.Load{
		Made: time.Now().UnixMilli(), Full: admission.Full{Workspaces: []string{"guest"}, Cancellations: true},
	}}
	b.Load = func() *admission.Summary { return load }
	b.JobMemory = 10 << 20
	return b
}

func (b *box) submitAs(workspace, id string, tasks int) error {
	return b.Submit(context.Background(), Caller{&queue.Queue{Name: "normal", Priority: 1}, workspace}, &job.Request{
		ID: job.ID(id), Payload: strings.Repeat("x", 4000), Steps: []job.Step{{Count: tasks}},
	})
}

// TestFullWorkspaceIsRefused fails if a job of a full workspace is stored, if one of another workspace or one that was
// accepted before is refused, or if a report counts for ever.
func TestFullWorkspaceIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := fullBox()
		quicktest.Check(t, b.submitAs("guest", "a", 1), quicktest.ErrorIs, ErrFull)
		quicktest.Check(t, b.store.Rows("jobs"), quicktest.Equals, 0)
		quicktest.Check(t, b.submitAs("desk", "b", 1), quicktest.IsNil)
		other := b.another()
		quicktest.Assert(t, other.submitAs("guest", "c", 1), quicktest.IsNil)
		quicktest.Check(t, b.submitAs("guest", "c", 1), quicktest.IsNil, quicktest.Commentf("accepted by another box"))
		time.Sleep(2 * admission.MaxAge)
		quicktest.Check(t, b.submitAs("guest", "a", 1), quicktest.ErrorIs, ErrFull, quicktest.Commentf("no scheduler at present"))
		time.Sleep(time.Minute)
		quicktest.Check(t, b.submitAs("guest", "a", 1), quicktest.IsNil)
	})
}

// TestLargeJobsAreBoundedAtOnce fails if a box accepts large jobs without a limit until it hears that their workspace is
// full, if they keep ordinary jobs or other workspaces out, or if they are refused for ever.
func TestLargeJobsAreBoundedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := fullBox()
		b.Load = nil
		accepted := 0
		began := time.Now()
		for i := range 100 {
			time.Sleep(20 * time.Millisecond) // Each refusal is checked.
			err := b.submitAs("guest", fmt.Sprint("large", i), job.MaxTasks)
			if err == nil {
				accepted++
			} else {
				quicktest.Check(t, err, quicktest.ErrorIs, ErrFull)
			}
		}
		perJob := (&job.Request{Payload: strings.Repeat("x", 4000), Steps: []job.Step{{Count: job.MaxTasks}}}).Footprint() - ordinaryFootprint
		most := largeBurstShare*float64(b.JobMemory) + largeRefillShare*float64(b.JobMemory)*time.Since(began).Seconds()
		quicktest.Check(t, accepted, quicktest.Equals, int(most)/int(perJob))
		for i := range 100 {
			quicktest.Check(t, b.submitAs("guest", fmt.Sprint("small", i), 16), quicktest.IsNil)
		}
		quicktest.Check(t, b.submitAs("desk", "large", job.MaxTasks), quicktest.IsNil)
		time.Sleep(2 * time.Second)
		quicktest.Check(t, b.submitAs("guest", "later", job.MaxTasks), quicktest.IsNil)
	})
}

// TestUnknownCancellationIsRefused fails if a cancellation of an unknown job is stored although there is no memory for
// it, or if one of a stored job is refused.
func TestUnknownCancellationIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := fullBox()
		c := Caller{&queue.Queue{Name: "normal"}, "desk"}
		quicktest.Check(t, b.Cancel(context.Background(), c, "a"), quicktest.ErrorIs, ErrFull)
		quicktest.Check(t, b.store.Rows("jobs"), quicktest.Equals, 0)
		quicktest.Assert(t, b.another().submitAs("desk", "b", 1), quicktest.IsNil)
		quicktest.Check(t, b.Cancel(context.Background(), c, "b"), quicktest.IsNil)
		quicktest.Check(t, b.store.Rows("jobs"), quicktest.Equals, 2)
	})
}

// TestNothingIsAcceptedWhileStoreRefuses fails if a full workspace's jobs, or cancellations of unknown jobs, are stored
// because the store refuses to tell whether there are such jobs, or if the caller is told that they never run.
func TestNothingIsAcceptedWhileStoreRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := fullBox()
		other := b.another()
		quicktest.Assert(t, other.submitAs("guest", "a", 1), quicktest.IsNil)
		b.Ledger.Store = refusingReads{b.Ledger.Store}
		quicktest.Check(t, b.submitAs("guest", "a", 1), quicktest.ErrorIs, ErrUndecided)
		quicktest.Check(t, b.submitAs("guest", "b", 1), quicktest.ErrorIs, ErrUndecided)
		quicktest.Check(t, b.Cancel(context.Background(), Caller{&queue.Queue{Name: "normal"}, "guest"}, "c"), quicktest.ErrorIs, ErrUndecided)
		quicktest.Check(t, b.store.Rows("jobs"), quicktest.Equals, 1)
	})
}

// TestRefusalsTakeFewReads fails if refused jobs use up the calls of the store.
func TestRefusalsTakeFewReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := fullBox()
		refused, undecided := 0, 0
		began := time.Now()
		for i := range 1000 {
			switch err := b.submitAs("guest", fmt.Sprint(i), 1); err {
			case ErrFull:
				refused++
			case ErrUndecided:
				undecided++
			}
		}
		quicktest.Check(t, float64(refused) <= checksPerS*(1+time.Since(began).Seconds()), quicktest.IsTrue, quicktest.Commentf("%d in %v", refused, time.Since(began)))
		quicktest.Check(t, refused+undecided, quicktest.Equals, 1000)
		quicktest.Check(t, undecided > 0, quicktest.IsTrue)
	})
}

// refusingReads is a store that refuses reads, as it does beyond a number of calls per second.
type refusingReads struct{ store.Store }

// Read implements store.Store.
func (refusingReads) Read(context.Context, store.Range) (store.Page, error) {
	return store.Page{}, store.ErrRefused
}
