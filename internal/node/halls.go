package node

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/pulleyring/pulleyring/internal/logsink"
	"github.com/pulleyring/pulleyring/internal/queue"
	"go.uber.org/zap"
)

// HallsReport is what a box tells operators of emptied halls.
type HallsReport struct {
	Known   bool     `json:"known"`   // It has heard from the operator.
	Emptied []string `json:"emptied"` // Halls that get nothing new, sorted.
	AgeMs   int64    `json:"age_ms"`  // Nothing that the operator said before that is missing.
}

// knownHalls is which halls are emptied, as it was read.
type knownHalls struct {
	queue.Halls
	slept time.Duration // How long the machine had been suspended in all as it was asked for.
}

// Halls returns which halls are emptied, as last heard. A time in which the machine was suspended since counts, though the clock did not show it: until the box has asked
// anew, what it knew may be too old for anything to start.
func (n *Node) Halls() queue.Halls {
	known := n.halls.Load()
	if known == nil {
		return queue.Halls{}
	}
	halls := known.Halls
	halls.AsOf = halls.AsOf.Add(-max(n.platform.Slept()-known.slept, 0))
	return halls
}

// hallsReport is what this box knows now.
func (n *Node) hallsReport() HallsReport {
	halls := n.Halls()
	if halls.AsOf.IsZero() {
		return HallsReport{}
	}
	return HallsReport{Known: true, Emptied: halls.Emptied, AgeMs: time.Since(halls.AsOf).Milliseconds()}
}

// serveHalls answers operators who ask which halls the box takes as emptied.
func (n *Node) serveHalls(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(n.hallsReport()); err != nil {
		n.log.Warn("node: unable to tell the halls", zap.String("to", "operator"), logsink.Error(err))
	}
}
