package node

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"github.com/pulleyring/pulleyring/internal/emulator"
	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/internal/ledger"
	"github.com/pulleyring/pulleyring/internal/store"
)

// TestTakeoverDeletesLeftProgress fails if the progress of a job stays in the store for ever because the box that had
// deleted its request ended before it deleted the progress. It also fails if other progress is deleted.
func TestTakeoverDeletesLeftProgress(t *testing.T) {
	inEmptyWorld(t, func(t *testing.T, w *world) {
		now := time.Now().UnixMilli()
		for id, p := range map[string]job.Progress{"ended": {State: job.Cancelled, EndedAt: now}, "unfinished": {State: job.Queued}} {
			raw, err := cbor.Marshal(&p)
			quicktest.Assert(t, err, quicktest.IsNil)
			w.store.CommitAsOperator(&store.Transaction{Writes: []store.Row{{Key: store.Key{Table: "progress", Part: Shard, Name: id}, Value: raw}}})
		}
		quicktest.Assert(t, w.command([]string{"boxes", "2"}), quicktest.IsNil)
		time.Sleep(3 * time.Second)
		_, err := submitTimed(w, "box-1", "queued")
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, w.cancel("queued"), quicktest.IsNil)
		time.Sleep(time.Second)
		for _, b := range w.boxes {
			if b.node.scheduler.Load() != nil {
				b.kill()
			}
		}
		time.Sleep(5 * time.Second)
		l := ledger.Ledger{Store: w.store.For("box-9", &emulator.Gate{Box: "box-9"}), Shard: Shard}
		progress, err := l.Progress(t.Context())
		quicktest.Assert(t, err, quicktest.IsNil)
		var left []string
		for id := range progress {
			left = append(left, string(id))
		}
		quicktest.Check(t, left, quicktest.ContentEquals, []string{"unfinished", "queued"})
	})
}
