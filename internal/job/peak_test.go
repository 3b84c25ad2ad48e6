package job

import (
	"testing"

	"github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/incarnation"
	"pgregory.net/rapid"
)

// drawSteps draws steps with any order between them.
func drawSteps(r *rapid.T, most int) []Step {
	var steps []Step
	for i := range rapid.IntRange(1, most).Draw(r, "steps") {
		s := Step{Count: rapid.IntRange(1, 4).Draw(r, "count"), Each: Resources{Accelerators: int64(rapid.IntRange(0, 8).Draw(r, "gpu"))}}
		for a := range i {
			if rapid.IntRange(0, 3).Draw(r, "after") == 0 {
				s.After = append(s.After, a)
			}
		}
		steps = append(steps, s)
	}
	return steps
}

// heaviestByTrial returns the same as heaviestTogether, by trying all sets of steps.
func heaviestByTrial(need []int64, steps []Step) int64 {
	before := make([]uint64, len(steps))
	for i := range steps {
		for _, a := range steps[i].After {
			before[i] |= before[a] | 1<<a
		}
	}
	heaviest := int64(0)
	for set := range uint64(1) << len(steps) {
		sum := int64(0)
		for i := range steps {
			if set&(1<<i) == 0 {
				continue
			}
			if before[i]&set != 0 {
				sum = 0
				break
			}
			sum += need[i]
		}
		heaviest = max(heaviest, sum)
	}
	return heaviest
}

// TestPeakIsWhatCanRunTogether fails if the accelerators that a job needs at one time differ from the heaviest set of its
// unfinished steps of which none waits for another one, at any time of the job and after a takeover. By the sum of all
// steps, a job of two steps in turn, each within its workspace's guarantee, never got it.
func TestPeakIsWhatCanRunTogether(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		request := &Request{ID: "j", Steps: drawSteps(r, 9), Terms: Terms{Attempts: 9}, Schedule: Schedule{Times: rapid.IntRange(0, 3).Draw(r, "times")}}
		l := NewTracker(request, nil)
		check := func() {
			for k := range request.Occurrences() {
				need := make([]int64, len(request.Steps))
				done := true
				for s := range request.Steps {
					for _, task := range l.Tasks(Group{k, s}) {
						if task.State != Finished {
							need[s] += request.Steps[s].Each.Accelerators
							done = false
						}
					}
				}
				if got, want := l.PeakAccelerators(k), heaviestByTrial(need, request.Steps); got != want {
					r.Fatalf("%d accelerators, want %d", got, want)
				}
				if l.OccurrenceDone(k) != done {
					r.Fatalf("occurrence %d: done is %v", k, !done)
				}
			}
		}
		check()
		if got := request.PeakAccelerators(); got != l.PeakAccelerators(0) {
			r.Fatalf("%d accelerators before it begins, %d then", got, l.PeakAccelerators(0))
		}
		for range rapid.IntRange(0, 40).Draw(r, "events") {
			ready := l.Ready(1)
			if len(ready) == 0 {
				break
			}
			g := rapid.SampledFrom(ready).Draw(r, "group")
			workers := map[int]incarnation.ID{}
			for i := range l.Tasks(g) {
				workers[i] = incarnation.ID{Worker: "w"}
			}
			for _, o := range l.Place(g, workers) {
				l.EndRun(o.Task, o.Run, rapid.SampledFrom([]Outcome{Succeeded, Succeeded, FailedRun, Expired}).Draw(r, "outcome"), "", 1)
			}
			if rapid.IntRange(0, 4).Draw(r, "takeover") == 0 {
				progress := l.Progress
				l = NewTracker(request, &progress)
			}
			check()
		}
	})
}

// TestPeakOfLargeJobs fails if the peak of a job with as many steps as allowed is wrong or takes long: decisions compute
// it for each urgent job.
func TestPeakOfLargeJobs(t *testing.T) {
	chain, wide, layers := &Request{}, &Request{}, &Request{}
	for i := range MaxSteps {
		s := Step{Count: 18, Each: Resources{Accelerators: 8}}
		wide.Steps = append(wide.Steps, s)
		if i > 0 {
			s.After = []int{i - 1}
		}
		chain.Steps = append(chain.Steps, s)
		s.After = nil
		for a := range i / 8 * 8 {
			s.After = append(s.After, a)
		}
		layers.Steps = append(layers.Steps, s)
	}
	quicktest.Check(t, chain.PeakAccelerators(), quicktest.Equals, int64(18*8))
	quicktest.Check(t, wide.PeakAccelerators(), quicktest.Equals, int64(MaxSteps*18*8))
	quicktest.Check(t, layers.PeakAccelerators(), quicktest.Equals, int64(8*18*8))
}
