package rig

import (
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// TestJudge checks the verdicts on the cases in testdata/judge.txt.
func TestJudge(t *testing.T) {
	raw, err := os.ReadFile("testdata/judge.txt")
	quicktest.Assert(t, err, quicktest.IsNil)
	for _, text := range strings.Split(string(raw), "\n= ")[1:] {
		head, body, _ := strings.Cut(strings.TrimSpace(text), "\n")
		name, want, _ := strings.Cut(head, ": ")
		t.Run(name, func(t *testing.T) {
			var lines []Line
			for _, line := range strings.Split(body, "\n") {
				lines = append(lines, judgeLine(t, strings.Fields(line)))
			}
			v := Judge(lines)
			found := map[bool]string{true: "none"}[len(v.Broken()) == 0]
			if len(v.DuplicateRuns) > 0 {
				found = "twice"
			} else if len(v.ExcessAttempts) > 0 {
				found = "budget"
			}
			quicktest.Assert(t, found, quicktest.Equals, want, quicktest.Commentf("%s", strings.Join(v.Broken(), "\n")))
		})
	}
}

// judgeLine parses a line of a case.
func judgeLine(t *testing.T, fields []string) Line {
	l := Line{At: second(t, fields[0]), Worker: fields[1], Event: fields[2]}
	switch l.Event {
	case eventLeased:
		l.Until = second(t, fields[3])
	case eventBegan:
		l.Task, l.Run = "a task", number(t, fields[3])
	case eventEnded:
		l.Task, l.Run, l.Outcome, l.Number = "a task", number(t, fields[3]), fields[4], int64(number(t, fields[5]))
	case eventListed, eventAcknowledged:
		l.Number = int64(number(t, fields[3]))
	}
	return l
}

func number(t *testing.T, text string) int {
	n, err := strconv.Atoi(text)
	quicktest.Assert(t, err, quicktest.IsNil)
	return n
}

func second(t *testing.T, text string) time.Time { return time.Unix(int64(number(t, text)), 0) }
