package rig

import (
	"strings"
	"testing"

	"github.com/frankban/quicktest"
)

// TestMayFail holds which of a job's runs allow that it is shown as failed by second 100: each is "TASK RUN OUTCOME SECOND", where "killed" stands for a worker that
// the rig has killed under it.
func TestMayFail(t *testing.T) {
	for name, c := range map[string]struct {
		runs string
		may  bool
	}{
		"three killed under one task":   {"a 1 killed 1, a 2 killed 2, a 3 killed 3", true},
		"two killed":                    {"a 1 killed 1, a 2 killed 2", false},
		"three under three tasks":       {"a 1 killed 1, b 1 killed 1, c 1 killed 1", false},
		"the third one after that time": {"a 1 killed 1, a 2 killed 2, a 3 killed 101", false},
		"three that lapsed":             {"a 1 lapsed 1, a 2 lapsed 2, a 3 lapsed 3", false},
		"three that were stopped":       {"a 1 stopped 1, a 2 stopped 2, a 3 stopped 3", false},
		"two killed, one lapsed":        {"a 1 killed 1, a 2 killed 2, a 3 lapsed 3", false},
		"attempts used up":              {"a 1 failed 1, a 2 failed 2, a 3 failed 3", true},
		"two failed, two killed":        {"a 1 failed 1, a 2 killed 2, a 3 failed 3, a 4 killed 4", false},
	} {
		t.Run(name, func(t *testing.T) {
			var runs []*span
			for _, text := range strings.Split(c.runs, ", ") {
				f := strings.Fields(text)
				s := &span{task: f[0], run: number(t, f[1]), ended: second(t, f[3]), killed: f[2] == "killed"}
				if !s.killed {
					s.outcome = f[2]
				}
				runs = append(runs, s)
			}
			by := second(t, "100")
			quicktest.Assert(t, usedUp(runs, by) || mayBeGivenUp(runs, by), quicktest.Equals, c.may)
		})
	}
}

// TestKilledUnder holds that a worker counts as killed under a run only while the run may have gone on there.
func TestKilledUnder(t *testing.T) {
	for text, killed := range map[string]bool{
		"0 a leased 10|1 a began 1|2 a killed":                       true,
		"0 a leased 10|1 a began 1|2 a ended 1 failed 1|3 a killed":  false,
		"0 a leased 10|1 a began 1|11 a killed":                      false,
		"0 a leased 10|1 a began 1|2 a left":                         false,
		"0 a leased 10|0 b leased 10|1 a began 1|2 b killed":         false,
		"0 a leased 10|1 a began 1|2 a ended 1 stopped 1|2 a killed": false,
	} {
		t.Run(text, func(t *testing.T) {
			var lines []Line
			for _, line := range strings.Split(text, "|") {
				lines = append(lines, judgeLine(t, strings.Fields(line)))
			}
			s := newTrace(lines).spans[0]
			quicktest.Assert(t, s.killed, quicktest.Equals, killed, quicktest.Commentf("%s", s))
		})
	}
}
