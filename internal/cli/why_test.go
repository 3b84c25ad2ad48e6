package cli

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/frankban/quicktest"
)

// TestWhy checks the output and the exit code of "why" for reports of the scheduling box and of other boxes, for
// unknown jobs and for replies that can't be decoded.
func TestWhy(t *testing.T) {
	const (
		failed  = `{"job":"j","state":"failed","reason":"task 0 of step 0 was given up: 3 workers crashed while it ran there","steps":[{"waiting":1,"lost":3,"counted":3}]}`
		waiting = `{"job":"j","state":"queued","steps":[{"waiting":4}],"scheduler":true,"waits":["step 0 waits for room for 4 tasks since 3s: 9 workers are suitable, there is room for 1 now"]}`
		noted   = `{"job":"j","state":"completed","steps":[],"notes":["box b is at x; its start before was at y: the name may be used twice"]}`
		unsure  = `{"job":"j","state":"queued","steps":[{"waiting":4}]}`
	)
	tests := []struct {
		name   string
		bodies []string // One for each box; empty if the box doesn't know the job.
		wants  []string
		code   int
	}{
		{"failed", []string{failed}, []string{"job j is failed", "because task 0 of step 0 was given up", "3 workers were lost under it, 3 count against it"}, exitSuccess},
		{"the scheduler's word", []string{unsure, waiting}, []string{"job j is queued", "step 0 waits for room for 4 tasks"}, exitSuccess},
		{"a name used twice", []string{noted}, []string{"job j is completed", "box b is at x; its start before was at y"}, exitSuccess},
		{"no scheduler", []string{unsure, ""}, []string{"the box that schedules did not answer"}, exitSuccess},
		{"unknown", []string{"", ""}, []string{"no box knows job j"}, exitFailure},
		{"broken", []string{"{"}, []string{"unable to decode"}, exitFailure},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var boxes []string
			for _, body := range test.bodies {
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					quicktest.Check(t, r.URL.Path, quicktest.Equals, "/why/j")
					if body == "" {
						w.WriteHeader(http.StatusNotFound)
					}
					_, _ = w.Write([]byte(body))
				}))
				defer server.Close()
				boxes = append(boxes, server.URL)
			}
			var out, errs strings.Builder
			code := Run([]string{"why", "-boxes", strings.Join(boxes, ","), "j"}, &out, &errs)
			quicktest.Check(t, code, quicktest.Equals, test.code)
			for _, want := range test.wants {
				quicktest.Check(t, out.String(), quicktest.Contains, want)
			}
		})
	}
}
