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

// newIntake returns an intake on stand-ins with the site of the scripts in force; its router knows no upstreams.
func newIntake(ctx context.Context, t *testing.T, p *standin.Platform) *Intake {
	raw, err := os.ReadFile("../box/testdata/site.ini")
	qt.Assert(t, err, qt.IsNil)
	s := settings.Defaults()
	in := &Intake{
		Settings: &s, Table: p.Table, Committer: &table.Committer{Service: p.Table}, Upstreams: p.Executors,
		Router: &upstream.Router{}, Admission: &Admission{Most: s.Limits.InFlight}, Config: &config.Keeper{Table: p.Table},
		Recorder: &timeline.Recorder{}, Log: zap.NewNop(),
		Loads: func() []link.Load { return nil }, News: func(string) {}, Sweeps: func() bool { return false },
	}
	_, err = in.Config.AdoptSite(link.Document{Version: 1, Text: string(raw)})
	qt.Assert(t, err, qt.IsNil)
	go in.Committer.Run(ctx)
	return in
}

// TestFindOutBeforeRouting brings about what once settled at-most-once requests as unresolved for good: a box that had
// just adopted the configuration swept them before its router knew the upstreams.
func TestFindOutBeforeRouting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		in := newIntake(ctx, t, standin.NewPlatform(1, 0, 0, 0))
		o := Order{Identity: request.Identity{Caller: "clerk", ID: "s"}, Round: 1, Received: time.Now()}
		record := in.finalRecord(o, request.Accepted, 1)
		record.Sending = &settlement.Sending{Box: "gone", Upstream: "exec-0", Attempt: "clerk/s.1"}
		sent, err := in.recordSending(ctx, o, record, 0)
		qt.Assert(t, err, qt.IsNil)
		reply, known := in.tryFindOut(ctx, sent)
		qt.Assert(t, known, qt.IsTrue)
		qt.Assert(t, reply.Outcome, qt.Equals, request.NotRun)
		cancel()
	})
}

// slowFence is executors that a fence reaches late.
type slowFence struct {
	upstream.Service
	by time.Duration
}

func (s slowFence) Fence(ctx context.Context, u contract.Upstream, attempt string, age time.Duration) (upstream.Fate, upstream.Answer, error) {
	time.Sleep(s.by)
	return s.Service.Fence(ctx, u, attempt, age)
}

// TestAgeOfACall: a call ran, and its answer was lost; then the executor was replaced behind its address and knew nothing of it. It tells so where the call is older than what it knows. Asked how old
// the call was as the question was sent, and reached by it late, it took itself for older, and the call for one that had never come; so it did where the box's machine had been suspended
// since, which its clock did not count. The caller was told that its work had not run, and sent it again.
func TestAgeOfACall(t *testing.T) {
	for _, c := range []struct {
		name                 string
		replacedAfter, asked time.Duration // Since the call.
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
			in.Slept = func() time.Duration { return slept }
			in.Upstreams = slowFence{p.Executors, c.late}
			o := Order{Identity: request.Identity{Caller: "clerk", ID: "s"}, Round: 1, Received: time.Now()}
			record := in.finalRecord(o, request.Accepted, 1)
			record.Sending = &settlement.Sending{Box: in.Box, Upstream: "exec-0", Attempt: "clerk/s.1"}
			sent, err := in.recordSending(ctx, o, record, 0)
			qt.Assert(t, err, qt.IsNil)
			if c.replacedAfter > 0 {
				_, err := p.Executors.Run(ctx, contract.Upstream{Name: "exec-0"}, upstream.Call{Attempt: "clerk/s.1", Identity: o.Identity})
				qt.Assert(t, err, qt.IsNil)
				time.Sleep(c.replacedAfter)
				p.Executors.Blank("exec-0")
			}
			time.Sleep(c.asked - c.replacedAfter + c.suspended)
			sent.record.Received = sent.record.Received.Add(c.suspended) // As old as the clock of a machine shows that was suspended.
			slept = c.suspended
			reply, known := in.tryFindOut(ctx, sent)
			qt.Check(t, known, qt.IsTrue)
			qt.Check(t, reply.Outcome, qt.Equals, c.want, qt.Commentf(c.name))
			cancel()
		})
	}
}
