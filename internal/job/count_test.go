package job

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestEachFailedRunCountsOnce draws how the runs of a task end and are heard of, again and again and across take-overs, and holds what is
// counted against the runs that were heard of as failed, by whichever box: all of them, and none twice. A successor could not tell a run that its predecessor had given
// up from one that it had counted, and a task got an attempt too many.
func TestEachFailedRunCountsOnce(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		size := rapid.IntRange(1, 3).Draw(r, "tasks")
		step := Step{Count: size, Gang: size > 1}
		l := NewLife(&Request{ID: "j", Steps: []Step{step}, Terms: Terms{Attempts: 1000}}, nil)
		fates := map[int]bool{} // By run: whether it fails.
		all := map[int]bool{}
		hear := func(index, run int) {
			outcome := Stopped
			if fates[run] {
				outcome, all[run] = FailedRun, true
			}
			l.End(Task{Job: "j", Index: index}, run, outcome, "", 1)
		}
		for range rapid.IntRange(1, 60).Draw(r, "events") {
			task := l.Tasks(Group{})[0]
			index := rapid.IntRange(0, size-1).Draw(r, "member")
			switch rapid.SampledFrom([]string{"place", "give up", "hear", "hear", "hear old", "hear old", "take over"}).Draw(r, "event") {
			case "place":
				if len(l.Ready(1)) > 0 {
					l.Place(Group{}, map[int]string{0: "w", 1: "w", 2: "w"})
					fates[task.Run+1] = rapid.Bool().Draw(r, "fails")
				}
			case "give up":
				for i := range size {
					l.End(Task{Job: "j", Index: i}, task.Run, Lapsed, "", 1)
				}
			case "hear":
				hear(index, task.Run)
			case "hear old":
				hear(index, rapid.IntRange(0, task.Run).Draw(r, "run"))
			case "take over":
				p := l.Progress
				p.Tasks, p.GangRuns = slices.Clone(p.Tasks), slices.Clone(p.GangRuns)
				l = NewLife(l.Request, &p)
			}
			if counted := l.Tasks(Group{})[0].Failures; counted != len(all) {
				r.Fatalf("%d counted, %d failed", counted, len(all))
			}
		}
	})
}
