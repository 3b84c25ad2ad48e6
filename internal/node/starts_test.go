package node

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"github.com/pulleyring/pulleyring/internal/emulator"
	"github.com/pulleyring/pulleyring/internal/ledger"
	"github.com/pulleyring/pulleyring/internal/measure"
	"github.com/pulleyring/pulleyring/internal/scheduler"
	"github.com/pulleyring/pulleyring/internal/store"
	"go.uber.org/zap"
)

// TestEarlierStartStops runs a second process of a box beside the first, over real connections. It fails if the
// earlier start stays ready, does not stop with an error that names the later one, or if the later one stops.
func TestEarlierStartStops(t *testing.T) {
	w := newWorld(t.Context(), 1, zap.NewNop())
	run := func(ctx context.Context, relay string) (*Node, chan error) {
		gate := &emulator.Gate{Box: "box-1"}
		view := w.fleet.For(gate)
		nothing := func(*Node) http.Handler { return http.NotFoundHandler() }
		n := New(&Settings{Box: "box-1", Front: "127.0.0.1:0", Ready: "127.0.0.1:0", Relay: relay, StopAfter: 2 * time.Second}, Platform{
			Store: w.store.For("box-1", gate), Network: w.network.For("box-1", gate), Commands: view, Front: nothing, Readiness: nothing,
			Configurations: func(s store.Store) Configurations { return &instructions{w.operator, s} },
			Directory:      func(store.Store, *measure.Metrics) scheduler.Directory { return view },
		}, zap.NewNop())
		ended := make(chan error, 1)
		go func() { ended <- n.Run(ctx) }()
		return n, ended
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	first, firstEnded := run(ctx, "127.0.0.1:0")
	for end := time.Now().Add(5 * time.Second); first.Metrics.CounterValue("leases_claimed") == 0 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	second, secondEnded := run(ctx, "localhost:0")
	select {
	case err := <-firstEnded:
		quicktest.Assert(t, err, quicktest.ErrorIs, ErrSuperseded)
		quicktest.Assert(t, err, quicktest.ErrorMatches, `box box-1, start 2 \(.+\) at localhost:0; this is start 1 at 127.0.0.1:0: .*`)
	case <-time.After(15 * time.Second):
		t.Fatal("the earlier start does not stop")
	}
	quicktest.Check(t, first.Ready(), quicktest.IsFalse)
	quicktest.Check(t, first.Metrics.CounterValue("starts_outranked"), quicktest.Equals, int64(1))
	quicktest.Check(t, second.Metrics.CounterValue("starts_elsewhere"), quicktest.Equals, int64(1))
	quicktest.Check(t, second.Stopping(), quicktest.IsFalse)
	cancel()
	quicktest.Assert(t, <-secondEnded, quicktest.IsNil)
}

// TestStartNumber checks which holders of the lease are recognised as starts of a box, and with which number.
func TestStartNumber(t *testing.T) {
	for holder, want := range map[string]struct {
		number int64
		own    bool
	}{
		holderName("box-1", ledger.Start{Number: 7, Name: "c5a1"}): {7, true},
		"box-1/c5a1":    {0, true}, // A start of a version without start numbers.
		"box-10/7-c5a1": {0, false},
		"":              {0, false},
		"box-1/x-y":     {0, true},
	} {
		number, own := startNumber("box-1", holder)
		quicktest.Check(t, number, quicktest.Equals, want.number, quicktest.Commentf("%s", holder))
		quicktest.Check(t, own, quicktest.Equals, want.own, quicktest.Commentf("%s", holder))
	}
}

// TestStartNumbersContinueFromOldRows fails if a start does not get the number after one that an earlier version
// stored beside the scheduler's rows, or is not found again.
func TestStartNumbersContinueFromOldRows(t *testing.T) {
	inEmptyWorld(t, func(t *testing.T, w *world) {
		raw, err := cbor.Marshal(ledger.Start{Number: 7, Name: "before"})
		quicktest.Assert(t, err, quicktest.IsNil)
		w.store.CommitAsOperator(&store.Transaction{Writes: []store.Row{{Key: store.Key{Table: "starts", Part: Shard, Name: "box-1"}, Value: raw}}})
		l := &ledger.Ledger{Store: w.store.For("box-1", &emulator.Gate{}), Shard: Shard}
		own, before, err := l.Register(w.ctx, "box-1", ledger.Start{Name: "now"})
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, own.Number, quicktest.Equals, int64(8))
		quicktest.Assert(t, before.Name, quicktest.Equals, "before")
		newest, err := l.NewestStart(w.ctx, "box-1")
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, newest, quicktest.Equals, own)
		again, _, err := l.Register(w.ctx, "box-1", ledger.Start{Name: "later"})
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, again.Number, quicktest.Equals, int64(9))
	})
}
