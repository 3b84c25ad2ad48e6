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

// TestSuspensionAgesEmptiedHalls fails if a box whose machine was suspended treats its information on emptied halls
// as fresh. The clock does not count the suspension, so work could start in a hall that was emptied meanwhile.
// Information that was read after the machine resumed is fresh again.
func TestSuspensionAgesEmptiedHalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var suspended atomic.Int64
		suspended.Store(int64(time.Hour)) // Suspended before the box started.
		p := Platform{Suspended: func() time.Duration { return time.Duration(suspended.Load()) }}
		n := &Node{platform: p, log: zap.NewNop()}
		age := func() time.Duration {
			halls := n.Halls()
			return time.Since(halls.AsOf)
		}
		read := func() {
			n.applyHalls(&knownHalls{queue.Halls{AsOf: time.Now()}, p.Suspended()})
		}
		read()
		time.Sleep(time.Second)
		quicktest.Check(t, age(), quicktest.Equals, time.Second)
		suspended.Add(int64(20 * time.Second))
		quicktest.Check(t, age(), quicktest.Equals, 21*time.Second)
		quicktest.Check(t, n.hallsReport().AgeMs, quicktest.Equals, int64(21000))
		read()
		quicktest.Check(t, age(), quicktest.Equals, time.Duration(0))
	})
}
