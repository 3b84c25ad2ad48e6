package job

import (
	"strings"
	"testing"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestSavedStatesAreLimited checks, for drawn sizes and ends, that the saved states of a job never exceed their limit,
// that a state of usual size is always kept, and that the counted size is right.
func TestSavedStatesAreLimited(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		count := rapid.SampledFrom([]int{1, 3, 100, MaxTasks}).Draw(r, "tasks")
		l := NewTracker(&Request{ID: "j", Steps: []Step{{Count: count, Checkpoints: true}}, Terms: Terms{Attempts: 1000}}, nil)
		for i := range l.Progress.Tasks {
			l.Progress.Tasks[i].State, l.Progress.Tasks[i].Run = Placed, 1
		}
		for range rapid.IntRange(1, 300).Draw(r, "reports") {
			task := Task{Job: "j", Index: rapid.IntRange(0, count-1).Draw(r, "index")}
			size := rapid.SampledFrom([]int{0, 16, 100, maxSavedStateBytes, maxSavedStateBytes + 1, 1 << 17}).Draw(r, "size")
			if rapid.Float64().Draw(r, "ends") < 0.1 {
				l.EndRun(task, 1, Succeeded, strings.Repeat("s", size), 1)
			} else {
				l.RecordSavedState(task, 1, strings.Repeat("s", size))
			}
			sum := 0
			for i := range l.Progress.Tasks {
				sum += len(l.Progress.Tasks[i].Saved)
				if p := &l.Progress.Tasks[i]; p.State == Finished && p.Saved != "" {
					r.Fatalf("a finished task keeps its state")
				}
			}
			if sum > MaxSavedBytes || sum != l.SavedBytes() {
				r.Fatalf("%d bytes of saved states, counted as %d", sum, l.SavedBytes())
			}
		}
	})
	l := NewTracker(&Request{ID: "j", Steps: []Step{{Count: MaxTasks, Checkpoints: true}}}, nil)
	for i := range l.Progress.Tasks {
		l.Progress.Tasks[i].State, l.Progress.Tasks[i].Run = Placed, 1
		quicktest.Assert(t, l.RecordSavedState(Task{Job: "j", Index: i}, 1, strings.Repeat("s", 100)), quicktest.IsTrue)
	}
}
