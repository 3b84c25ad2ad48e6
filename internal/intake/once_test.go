package intake

import (
	"context"
	"os"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/config"
	"github.com/pulleyring/pulleyring/internal/link"
	"github.com/pulleyring/pulleyring/internal/settings"
	"github.com/pulleyring/pulleyring/internal/settlement"
	"github.com/pulleyring/pulleyring/internal/standin"
	"github.com/pulleyring/pulleyring/internal/table"
	"github.com/pulleyring/pulleyring/internal/timeline"
	"github.com/pulleyring/pulleyring/internal/upstream"
	"github.com/pulleyring/pulleyring/pkg/contract"
	"github.com/pulleyring/pulleyring/pkg/request"
	"go.uber.org/zap"
)

// newIntake returns an Intake on the stand-in platform p, configured with the site of the box tests. Its router knows
// no upstreams yet.
func newIntake(ctx context.Context, t *testing.T, p *standin.Platform) *Intake {
	raw, err := os.ReadFile("../box/testdata/site.ini")
	qt.Assert(t, err, qt.IsNil)
	s := settings.Defaults()
	in := &Intake{
		Settings: &s, Table: p.Table, Committer: &table.Committer{Service: p.Table}, Upstreams: p.Executors,
		Router: &upstream.Router{}, Admission: &Admission{MaxInFlight: s.Limits.InFlight}, Config: &config.Keeper{Table: p.Table},
		Recorder: &timeline.Recorder{}, Log: zap.NewNop(),
		Loads: func() []link.Load { return nil }, NotifyChange: func(string) {}, SettlesPending: func() bool { return false },
	}
	_, err = in.Config.AdoptSite(link.Document{Version: 1, Text: string(raw)})
	qt.Assert(t, err, qt.IsNil)
	go in.Committer.Run(ctx)
	return in
}

// TestResolveBeforeRouting guards against settling at-most-once requests as unresolved permanently. That happened
// when a box had just adopted the configuration and swept them before its router knew the upstreams.
func TestResolveBeforeRouting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		in := newIntake(ctx, t, standin.NewPlatform(1, 0, 0, 0))
		req := Request{Identity: request.Identity{Caller: "clerk", ID: "s"}, Round: 1, Received: time.Now()}
		record := in.finalRecord(req, request.Accepted, 1)
		record.Sending = &settlement.Sending{Box: "gone", Upstream: "exec-0", Attempt: "clerk/s.1"}
		sent, err := in.recordSending(ctx, req, record, 0)
		qt.Assert(t, err, qt.IsNil)
		reply, known := in.tryResolve(ctx, sent)
		qt.Assert(t, known, qt.IsTrue)
		qt.Assert(t, reply.Outcome, qt.Equals, request.NotRun)
		cancel()
	})
}

// slowFence delays Fence calls on their way to the executors.
type slowFence struct {
	upstream.Service
	delay time.Duration
}

func (s slowFence) Fence(ctx context.Context, u contract.Upstream, attempt string, age time.Duration) (upstream.Fate, upstream.Answer, error) {
	time.Sleep(s.delay)
	return s.Service.Fence(ctx, u, attempt, age)
}

// TestAgeOfCall guards against reporting a call that ran as not run, after which its caller sent it again. The answer
// was lost, and the executor was replaced by one without records, which says so only if the call is older than its own
// records. The age that Fence gave was too small if it arrived late or the machine of the box had been suspended.
func TestAgeOfCall(t *testing.T) {
	for _, c := range []struct {
		name                 string
		replacedAfter, asked time.Duration // Time since the call.
		late, suspended      time.Duration
		want                 request.Outcome
	}{
		{name: "asked at once", replacedAfter: 300 * time.Millisecond, asked: 500 * time.Millisecond, want: request.Unresolved},
		{name: "the question comes late", replacedAfter: 300 * time.Millisecond, asked: 500 * time.Millisecond, late: 700 * time.Millisecond, want: request.Unresolved},
		{name: "the machine was suspended", replacedAfter: 300 * time.Millisecond, asked: 500 * time.Millisecond, suspended: 20 * time.Second, want: request.Unresolved},
		{name: "never replaced, and never reached", asked: 500 * time.Millisecond, want: request.NotRun},
	} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			p := standin.NewPlatform(1, 0, 0, 0)
			in := newIntake(ctx, t, p)
			slept := time.Duration(0)
			in.Suspended = func() time.Duration { return slept }
			in.Upstreams = slowFence{p.Executors, c.late}
			req := Request{Identity: request.Identity{Caller: "clerk", ID: "s"}, Round: 1, Received: time.Now()}
			record := in.finalRecord(req, request.Accepted, 1)
			record.Sending = &settlement.Sending{Box: in.Box, Upstream: "exec-0", Attempt: "clerk/s.1"}
			sent, err := in.recordSending(ctx, req, record, 0)
			qt.Assert(t, err, qt.IsNil)
			if c.replacedAfter > 0 {
				_, err := p.Executors.Run(ctx, contract.Upstream{Name: "exec-0"}, upstream.Call{Attempt: "clerk/s.1", Identity: req.Identity})
				qt.Assert(t, err, qt.IsNil)
				time.Sleep(c.replacedAfter)
				p.Executors.LoseRecords("exec-0")
			}
			time.Sleep(c.asked - c.replacedAfter + c.suspended)
			sent.record.Received = sent.record.Received.Add(c.suspended) // The clock does not count the suspension.
			slept = c.suspended
			reply, known := in.tryResolve(ctx, sent)
			qt.Check(t, known, qt.IsTrue)
			qt.Check(t, reply.Outcome, qt.Equals, c.want, qt.Commentf(c.name))
			cancel()
		})
	}
}
