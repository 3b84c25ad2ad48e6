package job

import (
	"slices"
	"testing"

	"github.com/pulleyring/pulleyring/internal/incarnation"
	"pgregory.net/rapid"
)

// TestEachFailedRunCountsOnce checks, for random sequences of runs, repeated reports of their ends and takeovers,
// that every run reported as failed is counted exactly once. A new scheduler could not tell a run that the
// previous one had presumed ended from one that it had counted as failed, and a task got one attempt too many.
func TestEachFailedRunCountsOnce(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		size := rapid.IntRange(1, 3).Draw(r, "tasks")
		step := Step{Count: size, Gang: size > 1}
		l := NewTracker(&Request{ID: "j", Steps: []Step{step}, Terms: Terms{Attempts: 1000}}, nil)
		fates := map[int]bool{}    // By run: whether it fails.
		reported := map[int]bool{} // Runs reported as failed.
		report := func(index, run int) {
			outcome := Stopped
			if fates[run] {
				outcome, reported[run] = FailedRun, true
			}
			l.EndRun(Task{Job: "j", Index: index}, run, outcome, "", 1)
		}
		for range rapid.IntRange(1, 60).Draw(r, "events") {
			task := l.Tasks(Group{})[0]
			index := rapid.IntRange(0, size-1).Draw(r, "member")
			switch rapid.SampledFrom([]string{"place", "give up", "hear", "hear", "hear old", "hear old", "take over"}).Draw(r, "event") {
			case "place":
				if len(l.Ready(1)) > 0 {
					l.Place(Group{}, map[int]incarnation.ID{0: {Worker: "w"}, 1: {Worker: "w"}, 2: {Worker: "w"}})
					fates[task.Run+1] = rapid.Bool().Draw(r, "fails")
				}
			case "give up":
				for i := range size {
					l.EndRun(Task{Job: "j", Index: i}, task.Run, Expired, "", 1)
				}
			case "hear":
				report(index, task.Run)
			case "hear old":
				report(index, rapid.IntRange(0, task.Run).Draw(r, "run"))
			case "take over":
				p := l.Progress
				p.Tasks, p.GangRuns = slices.Clone(p.Tasks), slices.Clone(p.GangRuns)
				l = NewTracker(l.Request, &p)
			}
			if counted := l.Tasks(Group{})[0].Failures; counted != len(reported) {
				r.Fatalf("%d counted, %d failed", counted, len(reported))
			}
		}
	})
}

// TestStoredFailedRunsThatDontMatchTheCount checks stored lists of failed runs that do not match the number of
// counted failures. A box of an earlier version may have counted further failures without listing them, or left
// behind the row of a deleted job of the same name. No run may be counted twice, and no certainly new failure
// may be missed.
func TestStoredFailedRunsThatDontMatchTheCount(t *testing.T) {
	for _, c := range []struct {
		name     string
		stored   FailedRuns
		reported []int // Runs reported as failed, out of four runs before the tracked fifth.
		want     int   // Failures counted afterwards; two were counted before.
	}{
		{"kept whole", FailedRuns{0: {1, 3}}, []int{1, 3, 2}, 3},
		{"one was counted by the version before", FailedRuns{0: {1}}, []int{1, 2}, 2},
		{"one was counted by the version before, and two more failed", FailedRuns{0: {1}}, []int{1, 2, 3, 4}, 4},
		{"none kept", nil, []int{1, 2, 3}, 3},
		{"left behind by another job", FailedRuns{0: {2, 3, 4}, 7: {1}, -1: {1}}, []int{1, 2, 3}, 3},
	} {
		l := NewTracker(&Request{ID: "j", Steps: []Step{{Count: 1}}, Terms: Terms{Attempts: 9}}, &Progress{
			State: Running, GangRuns: []int{0}, Tasks: []TaskProgress{{State: Placed, Run: 5, Failures: 2}}, FailedRuns: c.stored,
		})
		for _, run := range c.reported {
			l.EndRun(Task{Job: "j"}, run, FailedRun, "", 1)
		}
		if got := l.Progress.Tasks[0].Failures; got != c.want {
			t.Errorf("%s: %d failures counted, want %d", c.name, got, c.want)
		}
	}
}

// TestFailedRunsAreBounded checks that the stored list of failed runs stops growing at maxStoredFailedRuns, so
// that it fits into a row even if a queue allows very many failures, and that further failures are still counted
// once each.
func TestFailedRunsAreBounded(t *testing.T) {
	l := NewTracker(&Request{ID: "j", Steps: []Step{{Count: 1}}, Terms: Terms{Attempts: 1 << 20}}, nil)
	for run := 1; run <= 2*maxStoredFailedRuns; run++ {
		l.Place(Group{}, map[int]incarnation.ID{0: {Worker: "w"}})
		for range 2 {
			l.EndRun(Task{Job: "j"}, run, FailedRun, "", 1)
		}
	}
	if got := l.Progress.Tasks[0].Failures; got != 2*maxStoredFailedRuns {
		t.Errorf("%d failures counted, want 2*maxStoredFailedRuns", got)
	}
	if got := l.Progress.FailedRuns.Total(); got != maxStoredFailedRuns {
		t.Errorf("%d failed runs stored, want maxStoredFailedRuns", got)
	}
}
