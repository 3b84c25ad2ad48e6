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
