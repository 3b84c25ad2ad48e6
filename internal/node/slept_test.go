package node

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/queue"
	"go.uber.org/zap"
)

// TestSuspensionAgesEmptiedHalls: the machine of a box was suspended, and its clock did not count that time. The box woke and took what it had heard of emptied halls before for
// fresh, so that work could start in a hall that was emptied meanwhile. What it hears after it woke is fresh again.
func TestSuspensionAgesEmptiedHalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var slept atomic.Int64
		slept.Store(int64(time.Hour)) // Before the box began.
		p := Platform{Slept: func() time.Duration { return time.Duration(slept.Load()) }}
		n := &Node{platform: p, log: zap.NewNop()}
		age := func() time.Duration {
			halls := n.Halls()
			return time.Since(halls.AsOf)
		}
		hear := func() {
			n.applyHalls(&knownHalls{queue.Halls{AsOf: time.Now()}, p.Slept()})
		}
		hear()
		time.Sleep(time.Second)
		quicktest.Check(t, age(), quicktest.Equals, time.Second)
		slept.Add(int64(20 * time.Second))
		quicktest.Check(t, age(), quicktest.Equals, 21*time.Second)
		quicktest.Check(t, n.hallsReport().AgeMs, quicktest.Equals, int64(21000))
		hear()
		quicktest.Check(t, age(), quicktest.Equals, time.Duration(0))
	})
}
