package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// TestEndedGangIsNotStopped fails if the end of a gang is logged or reported as a stop of its other members. The gang
// ends as a whole.
func TestEndedGangIsNotStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, logs := observer.New(zap.InfoLevel)
		ctx, cancel := context.WithCancel(context.Background())
		w := newWorld(ctx, 1, zap.New(core))
		for _, words := range [][]string{
			{"boxes", "3"},
			{"workers", "4"},
			{"submit", "a", "normal", "desk-key", "tasks", "4", "gpu", "8", "work", "2s", "gang"},
			{"state", "a", "completed", "within", "4s"},
		} {
			quicktest.Assert(t, w.command(words), quicktest.IsNil)
		}
		time.Sleep(2 * time.Second)
		cancel()
		w.group.Wait()
		quicktest.Assert(t, logs.FilterMessage("scheduler: stopping a run").Len(), quicktest.Equals, 0)
		quicktest.Assert(t, logs.FilterMessage("scheduler: job ended").Len(), quicktest.Equals, 1)
	})
}
