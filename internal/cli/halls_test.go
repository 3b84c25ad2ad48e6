package cli

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/frankban/quicktest"
)

// TestHallsOfBoxes checks the output and the exit code of "halls" for known, unknown, undecodable and refused reports.
func TestHallsOfBoxes(t *testing.T) {
	tests := []struct {
		name, body string
		status     int
		want       string
		code       int
	}{
		{"some", `{"known":true,"emptied":["a","b"],"age_ms":700}`, 200, "emptied a, b, as of 700ms ago", exitSuccess},
		{"none", `{"known":true,"emptied":null,"age_ms":20}`, 200, "emptied none, as of 20ms ago", exitSuccess},
		{"unknown", `{"known":false}`, 200, "not known yet", exitSuccess},
		{"broken", `{`, 200, "unable to decode", exitFailure},
		{"refused", ``, 404, "answered 404", exitFailure},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				quicktest.Check(t, r.URL.Path, quicktest.Equals, "/halls")
				w.WriteHeader(test.status)
				_, _ = w.Write([]byte(test.body))
			}))
			defer server.Close()
			var out, errs strings.Builder
			code := Run([]string{"halls", "-boxes", server.URL}, &out, &errs)
			quicktest.Check(t, code, quicktest.Equals, test.code)
			quicktest.Check(t, out.String(), quicktest.Contains, test.want)
		})
	}
}
