package measure

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

func TestServeHTTPWritesMetricsAsText(t *testing.T) {
	var f Metrics
	f.Count("submitted")
	f.Add("submitted", 2)
	f.ObserveDuration("submit", 1500*time.Microsecond)
	w := httptest.NewRecorder()
	f.ServeHTTP(w, nil)
	text := strings.Join(strings.Fields(w.Body.String()), " ")
	quicktest.Assert(t, text, quicktest.Contains, "counter submitted count: 3")
	quicktest.Assert(t, text, quicktest.Contains, "histogram submit_us count: 1 min: 1500")
}

// Counters must leave out counters with another name and histograms with the same prefix.
func TestCountersByPrefix(t *testing.T) {
	var f Metrics
	f.Add("store_direct_read_lease", 3)
	f.Count("jobs")
	f.ObserveDuration("store_direct_read", time.Millisecond)
	quicktest.Assert(t, f.Counters("store_direct_"), quicktest.DeepEquals, map[string]int64{"read_lease": 3})
}

// Recording on a nil pointer must not panic: components without metrics leave the pointer nil.
func TestRecordingOnNilDoesNothing(_ *testing.T) {
	var f *Metrics
	f.Count("a")
	f.ObserveDuration("a", time.Second)
}
