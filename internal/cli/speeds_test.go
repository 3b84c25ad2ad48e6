package cli

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/frankban/quicktest"
)

// TestSpeeds checks the output and the exit code of "speeds" for reports of the scheduling box and of other boxes, and
// for replies that are refused or can't be decoded.
func TestSpeeds(t *testing.T) {
	const (
		known = `{"scheduler":true,"enabled":true,"workers":[{"worker":"w1","rack":"a","factor":0.6,"high":0.654,"samples":7},{"worker":"worker-2","rack":"b","factor":1.6,"high":1.7,"samples":12}]}`
		none  = `{"scheduler":true,"enabled":true,"workers":[]}`
		off   = `{"scheduler":true,"enabled":false,"workers":[]}`
		other = `{"scheduler":false,"enabled":false,"workers":[]}`
	)
	tests := []struct {
		name   string
		bodies []string // One for each box; empty if the box refuses.
		want   string
		code   int
	}{
		{"known", []string{known}, "worker    rack  factor  high  samples\nw1        a     0.60    0.65  7\nworker-2  b     1.60    1.70  12\n", exitSuccess},
		{"the scheduler is the second one", []string{other, known}, "w1        a     0.60", exitSuccess},
		{"one does not answer", []string{"", known}, "w1        a     0.60", exitSuccess},
		{"nothing is known", []string{none}, "no speeds are known yet", exitSuccess},
		{"turned off", []string{off}, "scheduling.worker_speeds is false", exitSuccess},
		{"no scheduler", []string{other, other}, "none of these boxes schedules", exitFailure},
		{"refused", []string{""}, "answered 404", exitFailure},
		{"broken", []string{"{"}, "unable to decode", exitFailure},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var boxes []string
			for _, body := range test.bodies {
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					quicktest.Check(t, r.URL.Path, quicktest.Equals, "/speeds")
					if body == "" {
						w.WriteHeader(http.StatusNotFound)
					}
					_, _ = w.Write([]byte(body))
				}))
				defer server.Close()
				boxes = append(boxes, server.URL)
			}
			var out, errs strings.Builder
			code := Run([]string{"speeds", "-box", strings.Join(boxes, ",")}, &out, &errs)
			quicktest.Check(t, code, quicktest.Equals, test.code)
			quicktest.Check(t, out.String(), quicktest.Contains, test.want)
		})
	}
}
