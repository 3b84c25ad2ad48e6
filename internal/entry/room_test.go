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
		for i := range 100 {
			err := b.submitAs("guest", fmt.Sprint("large", i), job.MaxTasks)
			if err == nil {
				accepted++
			} else {
				quicktest.Check(t, err, quicktest.ErrorIs, ErrFull)
			}
		}
		quicktest.Check(t, accepted, quicktest.Equals, 7)
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
