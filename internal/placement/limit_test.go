package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/job"
)

var limitTime = time.Unix(1000, 0)

// limitedView returns a site with room for 160 tasks.
func limitedView(limit int) *View {
	v := &View{Now: limitTime, MaxStarts: limit, Policy: Policy{RemoteFactor: 3, GuaranteedStartLimit: 3 * time.Second, MaxStopTime: time.Second}}
	for k := range 20 {
		v.Workers = append(v.Workers, Worker{ID: fmt.Sprint("w", k), Service: "s", Rack: "r", Capacity: gpus(8), Free: gpus(8), AcceptsRuns: true})
	}
	return v
}

// addDemand adds a demand. Earlier ones are worth more.
func addDemand(v *View, workspace string, priority, tasks int, gang bool) {
	n := len(v.Demands)
	d := Demand{Job: job.ID(fmt.Sprint("d", n)), Workspace: workspace, Service: "s", Priority: priority, Step: &job.Step{Each: gpus(1), Gang: gang}, ReadySince: limitTime}
	d.Goal, d.LastGoal, d.Value, d.Work = limitTime.Add(time.Minute), limitTime.Add(time.Hour), float64(100-n), 1
	for i := range tasks {
		d.Waiting = append(d.Waiting, i)
	}
	v.Demands = append(v.Demands, d)
}

// TestMaxStarts fails if a decision serves further demands of a workspace once it starts its share of View.MaxStarts, if
// it leaves out the most urgent ones then, if it starts a gang in part, or if other workspaces get less.
func TestMaxStarts(t *testing.T) {
	for _, c := range []struct {
		limit int
		want  []int
	}{
		{0, []int{2, 0, 1, 3}},
		{1, []int{2, 0, 3}}, // A share is at least minStartShare.
		{2 * 16, []int{2, 0, 3}},
		{2 * 17, []int{2, 0, 1, 3}},
		{1000, []int{2, 0, 1, 3}},
	} {
		v := limitedView(c.limit)
		for _, priority := range []int{1, 1, 0} {
			addDemand(v, "one", priority, 8, true)
		}
		addDemand(v, "other", 1, 24, true)
		out := Decide(v)
		var got []int
		for _, s := range out.Starts {
			got = append(got, s.Demand)
			quicktest.Check(t, s.Workers, quicktest.HasLen, len(v.Demands[s.Demand].Waiting))
		}
		quicktest.Check(t, got, quicktest.DeepEquals, c.want, quicktest.Commentf("limit %d", c.limit))
		quicktest.Check(t, out.LimitReached, quicktest.Equals, len(c.want) < 4, quicktest.Commentf("limit %d", c.limit))
	}
}

// TestMaxStartsOfSingles fails if more tasks of a job start than its workspace's share, or not the first ones, or if other
// work is stopped for those that wait although there is room.
func TestMaxStartsOfSingles(t *testing.T) {
	v := limitedView(40)
	addDemand(v, "one", 0, 100, false)
	v.Demands[0].Guaranteed = true
	v.Allocations = append(v.Allocations, Allocation{Job: "bulk", Priority: 2, Each: gpus(1), WorkerIndexes: []int{0}, Remaining: time.Hour})
	v.Workers[0].Free = gpus(7)
	out := Decide(v)
	quicktest.Assert(t, out.Starts, quicktest.HasLen, 1)
	quicktest.Check(t, out.Starts[0].Workers, quicktest.HasLen, 40)
	for i := range 40 {
		quicktest.Check(t, out.Starts[0].Workers[i], quicktest.Not(quicktest.Equals), "", quicktest.Commentf("task %d", i))
	}
	quicktest.Check(t, out.LimitReached, quicktest.IsTrue)
	quicktest.Check(t, out.Stops, quicktest.HasLen, 0)
	quicktest.Check(t, out.Reservations, quicktest.HasLen, 0)
}
