package scheduler

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/internal/placement"
)

// TestWaitForFasterWorkersIsExplained checks that the reason for a wait says how many tasks fit on workers that are
// fast enough, and only if that differs. Without it, a wait beside free workers looked like a fault.
func TestWaitForFasterWorkersIsExplained(t *testing.T) {
	each := job.Resources{Accelerators: 1}
	v := &placement.View{Now: time.Unix(1000, 0)}
	for _, id := range []string{"w1", "w2"} {
		v.Workers = append(v.Workers, placement.Worker{ID: id, Capacity: each, Free: each, AcceptsRuns: true})
	}
	v.Demands = []placement.Demand{{
		Job: "j", Step: &job.Step{Each: each}, Waiting: []int{0, 1, 2}, ReadySince: v.Now.Add(-time.Second), Remaining: 2 * time.Second, TaskTime: 2 * time.Second,
		Goal: v.Now.Add(3 * time.Second), LastGoal: v.Now.Add(9 * time.Second),
	}}
	text := "step 0 waits for room for 3 tasks since 1s: 2 workers are suitable, there is room for 2 now"
	quicktest.Check(t, explainWait(v, 0), quicktest.Equals, text)
	v.Workers[1].TimeFactor, v.Workers[1].TimeFactorHigh = 1.7, 1.8
	quicktest.Check(t, explainWait(v, 0), quicktest.Equals, text+", for 1 on workers that are fast enough for its goal")
}
