package node

import (
	"context"
	"time"

	"github.com/pulleyring/pulleyring/internal/interval"
	"github.com/pulleyring/pulleyring/internal/relay"
	"go.uber.org/zap"
)

// callsLogEvery is how often it is logged what the store was called for.
const callsLogEvery = time.Minute

// logCalls logs, now and then and at the end, the calls that this box has made to the store since its start, by kind and table, and how many of them it passed on
// for other boxes.
func (n *Node) logCalls(ctx context.Context) {
	for {
		goesOn := interval.Sleep(ctx, callsLogEvery)
		n.log.Info("node: calls to the store", zap.Any("calls", n.Figures.Counters(relay.PathDirect+"_")), zap.Int64("passed_on", n.Figures.Counted("relay_passed_on")))
		if !goesOn {
			return
		}
	}
}
