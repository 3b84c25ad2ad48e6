package intake

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/settlement"
	"github.com/pulleyring/pulleyring/internal/standin"
	"github.com/pulleyring/pulleyring/internal/table"
	"github.com/pulleyring/pulleyring/pkg/contract"
	"github.com/pulleyring/pulleyring/pkg/request"
)

// TestRefusedAfterLostAnswer brings about what callers were told wrongly: a repeatable request ran, its answer was lost,
// and the next submission of it met upstreams that refuse. It can't be called not run.
func TestRefusedAfterLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		p := standin.NewPlatform(1, 0, 0, 0)
		in := newIntake(ctx, t, p)
		in.Router.Update(in.Config.Site().Upstreams, func(string) bool { return false }, 1)
		o := Order{
			Identity: request.Identity{Caller: "clerk", ID: "s"}, Round: 1, Received: time.Now(),
			Submission: request.Submission{Kind: "test", Workspace: "court", Payload: json.RawMessage(`{"work_ms":1}`)},
		}
		p.Faults.Set(standin.Faults{BreakUpstreams: names(in.Config.Site().Upstreams)})
		qt.Assert(t, in.Submit(ctx, o).Outcome, qt.Equals, request.Unresolved)
		qt.Assert(t, len(p.Executors.Runs()) > 0, qt.IsTrue)

		p.Faults.Set(standin.Faults{FailUpstreams: names(in.Config.Site().Upstreams)})
		o.Round = 2
		reply := in.Submit(ctx, o)
		qt.Assert(t, reply.Outcome, qt.Equals, request.Unresolved)
		qt.Assert(t, reply.RetryAfterSeconds > 0, qt.IsTrue)
		_, err := in.Ask(ctx, o.Identity)
		qt.Assert(t, err, qt.Equals, ErrAbsent) // Nothing was written that says it did not run.

		first := o
		first.ID, first.Round = "never sent", 1
		qt.Assert(t, in.Submit(ctx, first).Outcome, qt.Equals, request.NotRun)
	})
}

func names(list []contract.Upstream) []string {
	var all []string
	for _, u := range list {
		all = append(all, u.Name)
	}
	return all
}

// slowTable takes a while for each commit.
type slowTable struct {
	table.Service
	delay time.Duration
}

func (s slowTable) Commit(ctx context.Context, txn table.Txn) (int64, error) {
	time.Sleep(s.delay)
	return s.Service.Commit(ctx, txn)
}

// TestOldOutcomeOfResubmitted brings about what callers were told wrongly: a gang was cancelled before its caller had any
// answer and is submitted anew; while the new row is committed, the old row's outcome must not be taken for its own.
func TestOldOutcomeOfResubmitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		p := standin.NewPlatform(1, 0, 0, 0)
		in := newIntake(ctx, t, p)
		o := Order{
			Identity: request.Identity{Caller: "clerk", ID: "g"}, Round: 2, Received: time.Now(),
			Submission: request.Submission{Kind: "test", Workspace: "court", Gang: 1, Shape: contract.Shape{CPUs: 1, Accelerators: 1}},
		}
		old := in.finalRecord(o, request.NotRun, 0)
		old.Round = 1
		_, err := in.Committer.Do(ctx, table.Op{
			Checks: []table.Check{{Key: settlement.RequestKey(o.Identity)}},
			Writes: []table.Write{table.Put(settlement.RequestKey(o.Identity), old)},
		})
		qt.Assert(t, err, qt.IsNil)
		go in.Run(ctx)
		in.Committer.Service = slowTable{p.Table, time.Second}
		time.Sleep(pollInterval - 500*time.Millisecond) // The next look at the rows falls into the commit.

		within, done := context.WithTimeout(ctx, 2*pollInterval)
		defer done()
		qt.Assert(t, in.Submit(within, o).Outcome, qt.Equals, request.Accepted)
		reply, err := in.Ask(ctx, o.Identity)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, reply.Outcome, qt.Equals, request.Accepted)
	})
}
