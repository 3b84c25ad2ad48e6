package rig

import (
	"strings"
	"testing"

	"github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/platform/standin"
)

// TestMayFail checks which runs of a job permit that it is reported as failed by second 100. Each run is "TASK RUN
// OUTCOME SECOND", where "killed" means that the rig killed the worker during the run.
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
			var runs []*taskRun
			for _, text := range strings.Split(c.runs, ", ") {
				fields := strings.Fields(text)
				s := &taskRun{task: fields[0], run: number(t, fields[1]), ended: second(t, fields[3]), killed: fields[2] == "killed"}
				if !s.killed {
					s.outcome = fields[2]
				}
				runs = append(runs, s)
			}
			by := second(t, "100")
			quicktest.Assert(t, attemptsUsedUp(runs, by) || mayFailCrashLooping(runs, by), quicktest.Equals, c.may)
		})
	}
}

// TestKilledDuringRun checks that a kill of a worker counts against a run only while the run may still have been
// active: it had not ended and the worker's lease had not expired.
func TestKilledDuringRun(t *testing.T) {
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
			s := newTrace(lines).runs[0]
			quicktest.Assert(t, s.killed, quicktest.Equals, killed, quicktest.Commentf("%s", s))
		})
	}
}

// TestRefusedJobs checks that a job must not run before its client sent a submission that was not refused, which
// includes a job whose client submits it again after a refusal. Each call is "SENT STATUS", where 0 means no answer.
func TestRefusedJobs(t *testing.T) {
	for name, c := range map[string]struct {
		calls  string
		began  string // Second at which its run began; empty if it did not run.
		broken bool
	}{
		"refused once":                          {"1 503", "", false},
		"refused with 503, ran":                 {"1 503", "2", true},
		"refused with 429, ran":                 {"1 429", "2", true},
		"refused each time, ran":                {"1 503, 2 429, 3 503", "4", true},
		"ran after a refusal, accepted later":   {"1 503, 3 200", "2", true},
		"ran after it was accepted":             {"1 503, 3 200", "4", false},
		"ran after a call without an answer":    {"1 0, 3 503", "2", false},
		"ran before the call without an answer": {"1 503, 3 0", "2", true},
		"undecided, ran":                        {"1 504, 3 503, 5 503", "6", false},
		"accepted":                              {"1 200", "2", false},
	} {
		t.Run(name, func(t *testing.T) {
			j := &submittedJob{id: "a"}
			for _, text := range strings.Split(c.calls, ", ") {
				fields := strings.Fields(text)
				j.recordAnswer(&call{verb: submitting, sent: second(t, fields[0]), Answer: standin.Answer{Status: number(t, fields[1])}})
			}
			var runs trace
			if c.began != "" {
				runs.runs = []*taskRun{{task: "a.0.0.0", run: 1, began: second(t, c.began)}}
			}
			var v Verdict
			v.judgeRefused(&runs, j)
			quicktest.Check(t, len(v.RanRefused) > 0, quicktest.Equals, c.broken, quicktest.Commentf("%s", v.Broken()))
		})
	}
}
