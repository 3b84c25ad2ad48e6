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

// TestRefusedAfterLostAnswer guards against reporting a request as not run that ran. A repeatable request ran and its
// answer was lost; all upstreams refused its next submission.
func TestRefusedAfterLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		p := standin.NewPlatform(1, 0, 0, 0)
		in := newIntake(ctx, t, p)
		in.Router.Update(in.Config.Site().Upstreams, func(string) bool { return false }, 1)
		req := Request{
			Identity: request.Identity{Caller: "clerk", ID: "s"}, Round: 1, Received: time.Now(),
			Submission: request.Submission{Kind: "test", Workspace: "court", Payload: json.RawMessage(`{"work_ms":1}`)},
		}
		p.Faults.Set(standin.Faults{BreakUpstreams: names(in.Config.Site().Upstreams)})
		qt.Assert(t, in.Submit(ctx, req).Outcome, qt.Equals, request.Unresolved)
		qt.Assert(t, len(p.Executors.Runs()) > 0, qt.IsTrue)

		p.Faults.Set(standin.Faults{FailUpstreams: names(in.Config.Site().Upstreams)})
		req.Round = 2
		reply := in.Submit(ctx, req)
		qt.Assert(t, reply.Outcome, qt.Equals, request.Unresolved)
		qt.Assert(t, reply.RetryAfterSeconds > 0, qt.IsTrue)
		_, err := in.Ask(ctx, req.Identity)
		qt.Assert(t, err, qt.Equals, ErrAbsent) // No row was written that reports it as not run.

		first := req
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

// slowTable delays each commit.
type slowTable struct {
	table.Service
	delay time.Duration
}

func (s slowTable) Commit(ctx context.Context, txn table.Txn) (int64, error) {
	time.Sleep(s.delay)
	return s.Service.Commit(ctx, txn)
}

// TestOldOutcomeOfResubmitted guards against replying with the outcome of an earlier submission. A gang was cancelled
// before its caller had an answer and is submitted again. While its new row is being committed, poll reads the old
// row.
func TestOldOutcomeOfResubmitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		p := standin.NewPlatform(1, 0, 0, 0)
		in := newIntake(ctx, t, p)
		req := Request{
			Identity: request.Identity{Caller: "clerk", ID: "g"}, Round: 2, Received: time.Now(),
			Submission: request.Submission{Kind: "test", Workspace: "court", Gang: 1, Shape: contract.Shape{CPUs: 1, Accelerators: 1}},
		}
		old := in.finalRecord(req, request.NotRun, 0)
		old.Round = 1
		_, err := in.Committer.Do(ctx, table.Op{
			Checks: []table.Check{{Key: settlement.RequestKey(req.Identity)}},
			Writes: []table.Write{table.Put(settlement.RequestKey(req.Identity), old)},
		})
		qt.Assert(t, err, qt.IsNil)
		go in.Run(ctx)
		in.Committer.Service = slowTable{p.Table, time.Second}
		time.Sleep(pollInterval - 500*time.Millisecond) // The next poll happens during the commit.

		within, done := context.WithTimeout(ctx, 2*pollInterval)
		defer done()
		qt.Assert(t, in.Submit(within, req).Outcome, qt.Equals, request.Accepted)
		reply, err := in.Ask(ctx, req.Identity)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, reply.Outcome, qt.Equals, request.Accepted)
	})
}
