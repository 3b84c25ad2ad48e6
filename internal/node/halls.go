package node

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/pulleyring/pulleyring/internal/logsink"
	"github.com/pulleyring/pulleyring/internal/queue"
	"go.uber.org/zap"
)

// HallsReport shows operators which halls this box treats as emptied.
type HallsReport struct {
	Known   bool     `json:"known"`   // Whether the box has read the instructions of the operator.
	Emptied []string `json:"emptied"` // Halls in which nothing new starts, sorted.
	AgeMs   int64    `json:"age_ms"`  // Age of the information in milliseconds; it includes every change made before that.
}

// knownHalls records which halls were emptied at the last read.
type knownHalls struct {
	queue.Halls
	suspended time.Duration // Total time the machine had been suspended when the read began.
}

// Halls returns which halls are emptied, as last read. Time in which the machine was suspended since then counts
// towards the age of the information, although the clock does not include it: until the box reads the halls again,
// the information may be too old for anything to start.
func (n *Node) Halls() queue.Halls {
	known := n.halls.Load()
	if known == nil {
		return queue.Halls{}
	}
	halls := known.Halls
	halls.AsOf = halls.AsOf.Add(-max(n.platform.Suspended()-known.suspended, 0))
	return halls
}

// hallsReport returns what this box currently knows of emptied halls.
func (n *Node) hallsReport() HallsReport {
	halls := n.Halls()
	if halls.AsOf.IsZero() {
		return HallsReport{}
	}
	return HallsReport{Known: true, Emptied: halls.Emptied, AgeMs: time.Since(halls.AsOf).Milliseconds()}
}

// serveHalls shows operators which halls this box treats as emptied.
func (n *Node) serveHalls(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(n.hallsReport()); err != nil {
		n.log.Warn("node: unable to send the halls report", zap.String("to", "operator"), logsink.Error(err))
	}
}
