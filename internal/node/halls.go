package node

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/pulleyring/pulleyring/internal/logsink"
	"go.uber.org/zap"
)

// HallsReport is what a box tells operators of emptied halls.
type HallsReport struct {
	Known   bool     `json:"known"`   // It has heard from the operator.
	Emptied []string `json:"emptied"` // Halls that get nothing new, sorted.
	AgeMs   int64    `json:"age_ms"`  // Nothing that the operator said before that is missing.
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
