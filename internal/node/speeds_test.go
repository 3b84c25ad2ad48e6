package node

import (
	"encoding/json"
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
	quicktest.Check(t, get("/speeds"), quicktest.JSONEquals, SpeedsReport{Workers: []scheduler.SpeedReport{}})
	quicktest.Check(t, get("/headroom"), quicktest.JSONEquals, HeadroomReport{Shapes: []scheduler.HeadroomReport{}})
	for _, disabled := range []bool{false, true} {
		n.scheduler.Store(&scheduler.Scheduler{Bounds: scheduler.Bounds{DisableSpeeds: disabled, DisableHeadroom: !disabled}})
		quicktest.Check(t, get("/speeds"), quicktest.JSONEquals, SpeedsReport{Scheduler: true, Enabled: !disabled, Workers: []scheduler.SpeedReport{}})
		quicktest.Check(t, get("/headroom"), quicktest.JSONEquals, HeadroomReport{Scheduler: true, Enabled: disabled, Shapes: []scheduler.HeadroomReport{}})
	}
}

// TestReportsOnLoadNames fails if a figure is reported under another name, which tools of operators read.
func TestReportsOnLoadNames(t *testing.T) {
	speeds := SpeedsReport{Scheduler: true, Enabled: true, Workers: []scheduler.SpeedReport{{Worker: "w1", Rack: "a", Factor: 0.6, High: 0.65, Samples: 7}}}
	raw, err := json.Marshal(speeds)
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Check(t, string(raw), quicktest.Equals,
		`{"scheduler":true,"enabled":true,"workers":[{"worker":"w1","rack":"a","factor":0.6,"high":0.65,"samples":7}]}`)
	headroom := HeadroomReport{Scheduler: true, Enabled: true, Shapes: []scheduler.HeadroomReport{{
		Service: "s", MilliCPU: 1, MemoryMB: 2, Accelerators: 3, Held: 4, Waiting: 9, Mean: 5.5, Deviation: 6.5, Kept: 7, Free: 8,
	}}}
	raw, err = json.Marshal(headroom)
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Check(t, string(raw), quicktest.Equals,
		`{"scheduler":true,"enabled":true,"shapes":[{"service":"s","milli_cpu":1,"memory_mb":2,"accelerators":3,"held":4,"waiting":9,"mean":5.5,"deviation":6.5,"kept":7,"free":8}]}`)
}
