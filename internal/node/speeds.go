package node

import (
	"encoding/json"
	"net/http"

	"github.com/pulleyring/pulleyring/internal/logsink"
	"github.com/pulleyring/pulleyring/internal/scheduler"
	"go.uber.org/zap"
)

// SpeedsReport shows operators what is known of the workers' speeds.
type SpeedsReport struct {
	Scheduler bool                    `json:"scheduler"` // Whether the answering box schedules; only it knows Workers.
	Enabled   bool                    `json:"enabled"`   // Whether speeds are learned and used.
	Workers   []scheduler.SpeedReport `json:"workers"`   // Sorted by rack and name.
}

// HeadroomReport shows operators what is kept for expected urgent work.
type HeadroomReport struct {
	Scheduler bool                       `json:"scheduler"` // Whether the answering box schedules; only it knows Shapes.
	Enabled   bool                       `json:"enabled"`   // Whether capacity is kept.
	Shapes    []scheduler.HeadroomReport `json:"shapes"`
}

// speedsReport returns what the scheduler s of this box knows of the workers' speeds; s is nil if the box does not
// schedule.
func speedsReport(s *scheduler.Scheduler) SpeedsReport {
	if s == nil {
		return SpeedsReport{Workers: []scheduler.SpeedReport{}}
	}
	return SpeedsReport{Scheduler: true, Enabled: !s.Bounds.DisableSpeeds, Workers: s.Speeds()}
}

// headroomReport returns what the scheduler s of this box keeps for urgent work; s is nil if the box does not schedule.
func headroomReport(s *scheduler.Scheduler) HeadroomReport {
	if s == nil {
		return HeadroomReport{Shapes: []scheduler.HeadroomReport{}}
	}
	return HeadroomReport{Scheduler: true, Enabled: !s.Bounds.DisableHeadroom, Shapes: s.Headroom()}
}

// serveSpeeds shows operators the learned speeds of the workers.
func (n *Node) serveSpeeds(w http.ResponseWriter, _ *http.Request) {
	n.sendReport(w, "speeds", speedsReport(n.scheduler.Load()))
}

// serveHeadroom shows operators what is kept for expected urgent work.
func (n *Node) serveHeadroom(w http.ResponseWriter, _ *http.Request) {
	n.sendReport(w, "headroom", headroomReport(n.scheduler.Load()))
}

// sendReport sends a report to an operator as JSON.
func (n *Node) sendReport(w http.ResponseWriter, what string, report any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(report); err != nil {
		n.log.Warn("node: unable to send a report to an operator", zap.String("what", what), logsink.Error(err))
	}
}
