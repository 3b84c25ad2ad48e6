package logline

import (
	"os"
	"strings"
	"testing"

	"github.com/frankban/quicktest"
)

// TestAbout reads its cases from testdata/about.txt: the logs of two boxes and a worker,
// followed by the lines expected for each job or task.
func TestAbout(t *testing.T) {
	raw, err := os.ReadFile("testdata/about.txt")
	quicktest.Assert(t, err, quicktest.IsNil)
	parts := strings.Split(string(raw), "\n= ")
	var lines []Line
	for _, log := range strings.Split(parts[0], "\n\n")[1:] {
		read, skipped, err := Read(strings.NewReader(log))
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Check(t, skipped, quicktest.Equals, strings.Count(log, "no line of JSON"))
		lines = append(lines, read...)
	}
	for _, part := range parts[1:] {
		id, want, _ := strings.Cut(strings.TrimSpace(part), "\n")
		t.Run(id, func(t *testing.T) {
			var got []string
			for _, l := range About(id, lines) {
				got = append(got, l.String())
			}
			quicktest.Check(t, strings.Join(got, "\n"), quicktest.Equals, want)
		})
	}
}
