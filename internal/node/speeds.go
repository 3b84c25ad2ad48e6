package node

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"

	"github.com/pulleyring/pulleyring/internal/logsink"
	"github.com/pulleyring/pulleyring/internal/scheduler"
	"go.uber.org/zap"
)

// SpeedsReport shows operators what is known of the workers' speeds.
type SpeedsReport struct {
	Scheduler bool          `json:"scheduler"` // Whether the answering box schedules; only it knows Workers.
	Enabled   bool          `json:"enabled"`   // Whether speeds are learned and used.
	Workers   []WorkerSpeed `json:"workers"`   // Sorted by rack and name.
}

// WorkerSpeed shows operators what is known of a worker's speed.
type WorkerSpeed struct {
	Worker  string  `json:"worker"`
	Rack    string  `json:"rack"`
	Factor  float64 `json:"factor"`  // Expected factor on the run time of a usual worker.
	High    float64 `json:"high"`    // Factor that the worker exceeds in one case of ten only.
	Samples int     `json:"samples"` // Runs from which the factor was learned.
}

// HeadroomReport shows operators what is kept for expected urgent work.
type HeadroomReport struct {
	Scheduler bool            `json:"scheduler"` // Whether the answering box schedules; only it knows Shapes.
	Enabled   bool            `json:"enabled"`   // Whether capacity is kept.
	Shapes    []ShapeHeadroom `json:"shapes"`
}

// ShapeHeadroom shows operators what is kept for urgent work of one shape of task. The counts are numbers of tasks of
// this shape.
type ShapeHeadroom struct {
	MilliCPU     int64   `json:"milli_cpu"`
	MemoryMB     int64   `json:"memory_mb"`
	Accelerators int64   `json:"accelerators"`
	Held         int     `json:"held"` // What urgent work holds or waits for now.
	Mean         float64 `json:"mean"` // Of Held over time.
	Deviation    float64 `json:"deviation"`
	Kept         int     `json:"kept"` // What is kept beyond Held.
	Free         int     `json:"free"` // What fits on all usable workers now.
}

// speedsReport returns what the scheduler s of this box knows of the workers' speeds; s is nil if the box does not
// schedule.
func speedsReport(s *scheduler.Scheduler) SpeedsReport {
	if s == nil {
		return SpeedsReport{Workers: []WorkerSpeed{}}
	}
	return newSpeedsReport(!s.Bounds.DisableSpeeds, s.Speeds())
}

func newSpeedsReport(enabled bool, speeds []scheduler.SpeedReport) SpeedsReport {
	report := SpeedsReport{Scheduler: true, Enabled: enabled, Workers: make([]WorkerSpeed, len(speeds))}
	for i, w := range speeds {
		report.Workers[i] = WorkerSpeed{Worker: w.Worker, Rack: w.Rack, Factor: w.Factor, High: w.High, Samples: w.Samples}
	}
	slices.SortFunc(report.Workers, func(a, b WorkerSpeed) int {
		return cmp.Or(cmp.Compare(a.Rack, b.Rack), cmp.Compare(a.Worker, b.Worker))
	})
	return report
}

// headroomReport returns what the scheduler s of this box keeps for urgent work; s is nil if the box does not schedule.
func headroomReport(s *scheduler.Scheduler) HeadroomReport {
	if s == nil {
		return HeadroomReport{Shapes: []ShapeHeadroom{}}
	}
	return newHeadroomReport(!s.Bounds.DisableHeadroom, s.Headroom())
}

func newHeadroomReport(enabled bool, shapes []scheduler.HeadroomReport) HeadroomReport {
	report := HeadroomReport{Scheduler: true, Enabled: enabled, Shapes: make([]ShapeHeadroom, len(shapes))}
	for i := range shapes {
		h := &shapes[i]
		report.Shapes[i] = ShapeHeadroom{
			MilliCPU: h.MilliCPU, MemoryMB: h.MemoryMB, Accelerators: h.Accelerators,
			Held: h.Held, Mean: h.Mean, Deviation: h.Deviation, Kept: h.Kept, Free: h.Free,
		}
	}
	return report
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
