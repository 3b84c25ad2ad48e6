package headroom

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/job"
)

// shapeOf returns a shape with n accelerators.
func shapeOf(n int64) Shape {
	return Shape{Service: "s", Each: job.Resources{MilliCPU: 8000 * n, MemoryMB: 1000 * n, Accelerators: n}}
}

// clock updates an estimator each 100 ms.
type clock struct {
	Estimator
	now time.Time
}

// run applies the loads that f returns for d. f gets the time since the start of the call.
func (c *clock) run(d time.Duration, f func(at time.Duration) []Load) {
	if c.now.IsZero() {
		c.now = time.Unix(1000, 0)
	}
	const step = 100 * time.Millisecond
	for at := time.Duration(0); at < d; at += step {
		c.Update(c.now, f(at))
		c.now = c.now.Add(step)
	}
}

// alternating returns a load of most tasks for half of each period, and none for the other half.
func alternating(shape Shape, most int, period time.Duration) func(time.Duration) []Load {
	return func(at time.Duration) []Load {
		if at%period < period/2 {
			return []Load{{Shape: shape, Held: most}}
		}
		return nil
	}
}

func none(time.Duration) []Load { return nil }

// TestSteadyLoadKeepsNothing fails if capacity is kept for work that varies little: it already holds what it needs.
func TestSteadyLoadKeepsNothing(t *testing.T) {
	c := &clock{}
	quicktest.Check(t, c.Kept(), quicktest.HasLen, 0)
	c.run(30*time.Second, func(time.Duration) []Load { return []Load{{Shape: shapeOf(4), Held: 15, Waiting: 5}} })
	quicktest.Check(t, c.Kept(), quicktest.DeepEquals, []Kept{{shapeOf(4), 0}})
}

// TestVaryingLoadKeepsWhatIsMissing fails if less than mean and 1.5 deviations is kept, or if work that runs or waits
// is kept twice. A load that is 0 or 20 for half of the time each has the mean 10 and the deviation 10.
func TestVaryingLoadKeepsWhatIsMissing(t *testing.T) {
	c := &clock{}
	c.run(60*time.Second, alternating(shapeOf(4), 20, 2*time.Second))
	kept := func(loads ...Load) int {
		c.Update(c.now, loads)
		return c.Kept()[0].Slots
	}
	idle := kept()
	quicktest.Check(t, idle >= 24 && idle <= 26, quicktest.IsTrue, quicktest.Commentf("%d", idle))
	quicktest.Check(t, kept(Load{Shape: shapeOf(4), Held: 8, Waiting: 7}), quicktest.Equals, idle-15)
	quicktest.Check(t, kept(Load{Shape: shapeOf(4), Held: 40}), quicktest.Equals, 0)
}

// TestKeptFallsWithArrivals fails if capacity stays idle after urgent work has stopped to arrive.
func TestKeptFallsWithArrivals(t *testing.T) {
	c := &clock{}
	c.run(60*time.Second, alternating(shapeOf(2), 20, 2*time.Second))
	before := c.Reports()[0].Slots
	c.run(8*time.Second, none)
	after := c.Reports()[0].Slots
	quicktest.Check(t, after < before*3/4, quicktest.IsTrue, quicktest.Commentf("%d after %d", after, before))
	c.run(16*time.Second, none)
	after = c.Reports()[0].Slots
	quicktest.Check(t, after < before/3, quicktest.IsTrue, quicktest.Commentf("%d after %d", after, before))
	c.run(60*time.Second, none)
	quicktest.Check(t, c.Kept(), quicktest.HasLen, 0, quicktest.Commentf("the shape is still tracked"))
}

// TestStartFollowsPresentLoad fails if the means of a new lease term start from 0. Nothing was then kept in its first
// seconds, while a burst went on.
func TestStartFollowsPresentLoad(t *testing.T) {
	c := &clock{}
	c.run(time.Second, func(time.Duration) []Load { return []Load{{Shape: shapeOf(4), Held: 20}} })
	c.Update(c.now, []Load{{Shape: shapeOf(4), Held: 5}})
	quicktest.Check(t, c.Kept(), quicktest.DeepEquals, []Kept{{shapeOf(4), 15}})
}

// TestUpdatesAtOneTimeAndBackwards fails if two updates at the same time, or a clock that goes back, spoil the sums.
func TestUpdatesAtOneTimeAndBackwards(t *testing.T) {
	c := &clock{}
	c.run(20*time.Second, alternating(shapeOf(1), 10, 2*time.Second))
	before := c.Reports()
	c.Update(c.now.Add(-time.Hour), []Load{{Shape: shapeOf(1), Held: before[0].Held, Waiting: before[0].Waiting}})
	quicktest.Check(t, c.Reports(), quicktest.DeepEquals, before)
}

// TestShapesAreBounded fails if each further shape takes memory and time. Tasks of further shapes count as the largest.
func TestShapesAreBounded(t *testing.T) {
	c := &clock{}
	var loads []Load
	for n := range maxShapes + 10 {
		shape := shapeOf(8)
		shape.Each.MemoryMB += int64(n)
		loads = append(loads, Load{Shape: shape, Held: 1})
	}
	small := shapeOf(1)
	small.Each.MemoryMB = 500
	loads = append(loads, Load{Shape: small, Held: 9, Waiting: 8}, Load{Shape: Shape{Service: "other", Each: small.Each}, Held: 1}, Load{Shape: Shape{Service: "s"}, Held: 1})
	c.run(time.Second, func(time.Duration) []Load { return loads })
	reports := c.Reports()
	quicktest.Assert(t, reports, quicktest.HasLen, maxShapes)
	held, waiting := 0, 0
	for _, r := range reports {
		held, waiting = held+r.Held, waiting+r.Waiting
	}
	quicktest.Check(t, fmt.Sprint(held, waiting), quicktest.Equals, fmt.Sprint(maxShapes+10+2, 1))
}

// TestFurtherShapesWithoutAccelerators fails if tasks of untracked shapes do not count as the largest where no task
// needs accelerators. They counted as the shape that came first, however small.
func TestFurtherShapesWithoutAccelerators(t *testing.T) {
	var loads []Load
	for n := range int64(maxShapes + 1) {
		loads = append(loads, Load{Shape: Shape{Service: "s", Each: job.Resources{MilliCPU: 1000 * (n + 1)}}, Held: 1})
	}
	c := &clock{}
	c.run(time.Second, func(time.Duration) []Load { return loads })
	reports := c.Reports()
	quicktest.Check(t, reports[0].Held, quicktest.Equals, 1)
	quicktest.Check(t, reports[maxShapes-1].Held, quicktest.Equals, 2)
}
