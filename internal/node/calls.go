package node

import (
	"context"
	"time"

	"github.com/pulleyring/pulleyring/internal/interval"
	"github.com/pulleyring/pulleyring/internal/relay"
	"go.uber.org/zap"
)

// callsLogInterval is the time between two log lines that count the calls to the store.
const callsLogInterval = time.Minute

// logCalls logs, every callsLogInterval and when ctx ends, how many calls this box has made to the store since its
// start, by kind and table, and how many it forwarded for other boxes.
func (n *Node) logCalls(ctx context.Context) {
	for {
		running := interval.Sleep(ctx, callsLogInterval)
		n.log.Info("node: calls to the store", zap.Any("calls", n.Metrics.Counters(relay.PathDirect+"_")), zap.Int64("passed_on", n.Metrics.CounterValue("relay_passed_on")))
		if !running {
			return
		}
	}
}
