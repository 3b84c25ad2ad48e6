package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/job"
)

// TestMaxStarts fails if a decision serves further demands once it starts View.MaxStarts tasks, if it leaves out the most
// urgent ones then, or if it starts a gang in part.
func TestMaxStarts(t *testing.T) {
	now := time.Unix(1000, 0)
	view := func(limit int) *View {
		v := &View{Now: now, MaxStarts: limit, Policy: Policy{RemoteFactor: 3, GuaranteedStartLimit: 3 * time.Second, MaxStopTime: time.Second}}
		for k := range 4 {
			v.Workers = append(v.Workers, Worker{ID: fmt.Sprint("w", k), Service: "s", Rack: "r", Capacity: gpus(8), Free: gpus(8), AcceptsRuns: true})
		}
		for n, priority := range []int{1, 1, 0} {
			d := Demand{Job: job.ID(fmt.Sprint("d", n)), Service: "s", Priority: priority, Step: &job.Step{Each: gpus(1), Gang: true}, Waiting: []int{0, 1, 2}, ReadySince: now}
			d.Goal, d.LastGoal, d.Value, d.Work = now.Add(time.Minute), now.Add(time.Hour), float64(3-n), 1
			v.Demands = append(v.Demands, d)
		}
		return v
	}
	for limit, want := range map[int][]int{0: {2, 0, 1}, 1: {2}, 3: {2}, 4: {2, 0}, 6: {2, 0}, 7: {2, 0, 1}, 100: {2, 0, 1}} {
		out := Decide(view(limit))
		var got []int
		for _, s := range out.Starts {
			got = append(got, s.Demand)
			quicktest.Check(t, s.Workers, quicktest.HasLen, 3)
		}
		quicktest.Check(t, got, quicktest.DeepEquals, want, quicktest.Commentf("limit %d", limit))
		quicktest.Check(t, out.LimitReached, quicktest.Equals, len(want) < 3, quicktest.Commentf("limit %d", limit))
	}
}
