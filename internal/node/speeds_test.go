package node

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/scheduler"
)

// TestReportsOnLoad checks that the metrics address serves the reports on speeds and headroom, that only the box that
// schedules claims to know them, and that they show which part is turned off.
func TestReportsOnLoad(t *testing.T) {
	n := &Node{}
	server := httptest.NewServer(n.metricsHandler())
	defer server.Close()
	get := func(path string) string {
		response, err := http.Get(server.URL + path)
		quicktest.Assert(t, err, quicktest.IsNil)
		defer response.Body.Close()
		quicktest.Check(t, response.StatusCode, quicktest.Equals, http.StatusOK)
		quicktest.Check(t, response.Header.Get("Content-Type"), quicktest.Equals, "application/json")
		body, err := io.ReadAll(response.Body)
		quicktest.Assert(t, err, quicktest.IsNil)
		return string(body)
	}
	quicktest.Check(t, get("/speeds"), quicktest.JSONEquals, SpeedsReport{Workers: []WorkerSpeed{}})
	quicktest.Check(t, get("/headroom"), quicktest.JSONEquals, HeadroomReport{Shapes: []ShapeHeadroom{}})
	for _, disabled := range []bool{false, true} {
		n.scheduler.Store(&scheduler.Scheduler{Bounds: scheduler.Bounds{DisableSpeeds: disabled, DisableHeadroom: !disabled}})
		quicktest.Check(t, get("/speeds"), quicktest.JSONEquals, SpeedsReport{Scheduler: true, Enabled: !disabled, Workers: []WorkerSpeed{}})
		quicktest.Check(t, get("/headroom"), quicktest.JSONEquals, HeadroomReport{Scheduler: true, Enabled: disabled, Shapes: []ShapeHeadroom{}})
	}
}

// TestReportsOnLoadContent checks that each figure of the scheduler is reported under its own name, and that workers
// are sorted by rack and name.
func TestReportsOnLoadContent(t *testing.T) {
	speeds := newSpeedsReport(true, []scheduler.SpeedReport{
		{Worker: "w3", Rack: "b", Factor: 1, High: 1.2, Samples: 4},
		{Worker: "w2", Rack: "a", Factor: 1.6, High: 1.7, Samples: 9},
		{Worker: "w1", Rack: "a", Factor: 0.6, High: 0.65, Samples: 7},
	})
	quicktest.Check(t, speeds, quicktest.DeepEquals, SpeedsReport{Scheduler: true, Enabled: true, Workers: []WorkerSpeed{
		{Worker: "w1", Rack: "a", Factor: 0.6, High: 0.65, Samples: 7},
		{Worker: "w2", Rack: "a", Factor: 1.6, High: 1.7, Samples: 9},
		{Worker: "w3", Rack: "b", Factor: 1, High: 1.2, Samples: 4},
	}})
	headroom := newHeadroomReport(true, []scheduler.HeadroomReport{{MilliCPU: 1, MemoryMB: 2, Accelerators: 3, Held: 4, Mean: 5.5, Deviation: 6.5, Kept: 7, Free: 8}})
	quicktest.Check(t, headroom, quicktest.DeepEquals, HeadroomReport{Scheduler: true, Enabled: true, Shapes: []ShapeHeadroom{
		{MilliCPU: 1, MemoryMB: 2, Accelerators: 3, Held: 4, Mean: 5.5, Deviation: 6.5, Kept: 7, Free: 8},
	}})
}
