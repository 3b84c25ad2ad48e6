package placement

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/job"
	"pgregory.net/rapid"
)

// TestUsualSpeedsChangeNothing draws a view where all workers have the usual speed. It fails if the decision depends on
// whether that is written as 0 or as 1, or on the tightest urgent goal. Sites whose workers don't differ must be
// served as they were before speeds were known.
func TestUsualSpeedsChangeNothing(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		v := drawViewWithManyDemands(r)
		want := Decide(v)
		for _, tight := range []float64{0, 0.5, 1.5} {
			for _, factor := range []float64{0, 1} {
				v.Policy.TightFactor = tight
				for k := range v.Workers {
					v.Workers[k].TimeFactor, v.Workers[k].TimeFactorHigh = factor, rapid.SampledFrom([]float64{0, 1}).Draw(r, "high")
				}
				if got := Decide(v); !sameOutcome(&got, &want) {
					r.Fatalf("factor %v, tight %v: %+v, want %+v", factor, tight, got, want)
				}
			}
		}
	})
}

// sameOutcome reports whether two outcomes are equal.
func sameOutcome(x, y *Outcome) bool {
	return fmt.Sprintf("%+v", *x) == fmt.Sprintf("%+v", *y)
}

// TestWrongSpeedsBreakNoRule draws speeds that have nothing to do with the truth, as after a mix-up of workers. It
// fails if a gang then starts in part, a worker gets more than it has free, or work is stopped that may not be
// preempted. Wrong speeds may cost time only.
func TestWrongSpeedsBreakNoRule(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		v := drawViewWithManyDemands(r)
		drawSpeeds(r, v)
		out := Decide(v)
		checkStarts(r, v, &out)
		checkWholeGangs(r, v, &out)
		checkStops(r, v, &out)
		checkReservations(r, v, &out)
		for i := range v.Demands {
			if w := Explain(v, i); w.FitFastEnough > w.FitNow {
				r.Fatalf("%+v", w)
			}
		}
	})
}

// drawSpeeds draws speeds of workers, also such that contradict themselves, and the tightest urgent goal.
func drawSpeeds(r *rapid.T, v *View) {
	factors := rapid.SampledFrom([]float64{0, 0.05, 0.6, 0.625, 0.98, 1, 1, 1.02, 1.3, 1.67, 5, 1e9})
	for k := range v.Workers {
		v.Workers[k].TimeFactor, v.Workers[k].TimeFactorHigh = factors.Draw(r, "factor"), factors.Draw(r, "factor high")
	}
	v.Policy.TightFactor = rapid.SampledFrom([]float64{0, 0.5, 1.5, 3}).Draw(r, "tight")
}

// checkWholeGangs checks that no demand starts twice and that gangs start as a whole.
func checkWholeGangs(r *rapid.T, v *View, out *Outcome) {
	started := map[int]bool{}
	for _, s := range out.Starts {
		d := &v.Demands[s.Demand]
		if started[s.Demand] {
			r.Fatalf("demand %d starts twice", s.Demand)
		}
		started[s.Demand] = true
		if d.Step.Gang && len(s.Workers) != len(d.Waiting) {
			r.Fatalf("%d of %d members start", len(s.Workers), len(d.Waiting))
		}
	}
}

// checkStops checks that each stopped allocation may be preempted by a demand that gets a reservation.
func checkStops(r *rapid.T, v *View, out *Outcome) {
	stopped := map[int]bool{}
	for _, h := range out.Stops {
		allocation := &v.Allocations[h]
		allowed := slices.ContainsFunc(out.Reservations, func(x Reservation) bool {
			d := &v.Demands[x.Demand]
			return !x.WithoutPreemption && (d.Priority < allocation.Priority || d.Guaranteed)
		})
		if stopped[h] || allocation.Guaranteed || allocation.Stopping || !allowed {
			r.Fatalf("allocation %d must not be stopped: %+v", h, *allocation)
		}
		stopped[h] = true
	}
}

// checkReservations checks that no demand with a start gets a reservation, and that the capacity reserved by preemption
// comes free by the stops or by work that ends soon.
func checkReservations(r *rapid.T, v *View, out *Outcome) {
	pl := newPlanner(v)
	used := map[string]job.Resources{}
	for _, s := range out.Starts {
		for _, worker := range s.Workers {
			used[worker] = used[worker].Add(v.Demands[s.Demand].Step.Each)
		}
	}
	for _, x := range out.Reservations {
		d := &v.Demands[x.Demand]
		if len(x.Workers) != len(d.Waiting)-startedTasks(out, x.Demand) && d.Step.Gang {
			r.Fatalf("%d of %d members get a reservation", len(x.Workers), len(d.Waiting))
		}
		if x.WithoutPreemption {
			continue
		}
		for _, worker := range x.Workers {
			used[worker] = used[worker].Add(d.Step.Each)
		}
	}
	for k := range v.Workers {
		available := v.Workers[k].Free.Add(pl.capacityFreeSoonByWorker[k])
		for _, h := range out.Stops {
			for _, on := range v.Allocations[h].WorkerIndexes {
				if on == k {
					available = available.Add(v.Allocations[h].Each)
				}
			}
		}
		if each, some := used[v.Workers[k].ID]; some && !available.Fits(each) {
			r.Fatalf("%v is reserved on %s, which has %v", each, v.Workers[k].ID, available)
		}
	}
}

// startedTasks returns how many tasks of a demand start.
func startedTasks(out *Outcome, demand int) int {
	for _, s := range out.Starts {
		if s.Demand == demand {
			return len(s.Workers)
		}
	}
	return 0
}

// drawViewWithManyDemands draws a site, running work that may be guaranteed, and demands of all kinds. Bulk work fills
// most of the workers, so that one in eight decisions stops some of it.
func drawViewWithManyDemands(r *rapid.T) *View {
	v := drawViewWithWaitingDemands(r)
	sometimes := func(what string) bool { return rapid.IntRange(0, 3).Draw(r, what) == 0 }
	for k := range v.Workers {
		if sometimes("slow") {
			v.Workers[k].Slowness = rapid.SampledFrom([]float64{1, 1.5, 4}).Draw(r, "slowness")
		}
		if sometimes("fails") {
			v.Workers[k].FailureScore = 1
		}
	}
	for k := range v.Workers {
		if w := &v.Workers[k]; w.Free.Accelerators > 0 && !sometimes("free capacity left") {
			v.Allocations = append(v.Allocations, Allocation{
				Job: job.ID(fmt.Sprint("f", k)), Priority: 1 + rapid.IntRange(0, 1).Draw(r, "filled"), Each: w.Free, WorkerIndexes: []int{k},
				LostWork: float64(rapid.IntRange(0, 50).Draw(r, "loss")), Remaining: 4 * time.Second,
			})
			w.Free = job.Resources{}
		}
	}
	for h := range v.Allocations {
		v.Allocations[h].Guaranteed, v.Allocations[h].Stopping = sometimes("guaranteed"), sometimes("stopping")
	}
	for n := range rapid.IntRange(0, 5).Draw(r, "more demands") {
		v.Demands = append(v.Demands, drawDemand(r, v, n))
	}
	for i := range v.Demands {
		d := &v.Demands[i]
		d.TaskTime = time.Duration(rapid.Float64Range(0, 1.2).Draw(r, "task time") * float64(d.Remaining))
	}
	return v
}

// drawDemand draws a demand of any priority, some with capacity that is being freed for it.
func drawDemand(r *rapid.T, v *View, n int) Demand {
	pick := func(what string, most int) int { return rapid.IntRange(0, most).Draw(r, what) }
	milliseconds := func(what string, most int) time.Duration { return time.Duration(pick(what, most)) * time.Millisecond }
	d := Demand{
		Job: job.ID(fmt.Sprint("m", n)), Service: "s", Priority: pick("priority", 2), ReadySince: v.Now.Add(-milliseconds("waited", 3000)),
		Step:      &job.Step{Each: gpus(rapid.SampledFrom([]int64{1, 2, 4, 8}).Draw(r, "asked")), Gang: rapid.Bool().Draw(r, "gang"), RackLocal: rapid.Bool().Draw(r, "local")},
		Remaining: milliseconds("takes", 6000), Goal: v.Now.Add(milliseconds("goal", 10000)), Value: 4, LateValue: 1, Work: float64(1 + pick("work", 20)),
	}
	d.LastGoal = d.Goal.Add(milliseconds("last goal", 10000))
	d.Guaranteed = d.Priority == 0 && rapid.Bool().Draw(r, "covered")
	for i := range 1 + pick("waiting", 5) {
		d.Waiting = append(d.Waiting, i)
	}
	d.Step.Count = len(d.Waiting)
	if pick("reserved", 4) == 0 {
		d.Reservation = map[int]string{}
		for _, i := range d.Waiting {
			d.Reservation[i] = v.Workers[pick("on", len(v.Workers)-1)].ID
		}
	}
	return d
}

// TestGangTakesOneSpeed draws a site of slow and usual workers with free capacity only. It fails if an urgent gang
// starts on a worker that is too slow for its goal although a rack has free capacity for it on fast ones.
func TestGangTakesOneSpeed(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		v := &View{Now: time.Unix(1000, 0), Policy: Policy{RemoteFactor: 3, MaxStopTime: time.Second, WasteCost: 0.0015, TightFactor: 1.5}}
		fast := map[string]int64{}
		for k := range rapid.IntRange(2, 16).Draw(r, "workers") {
			w := Worker{ID: fmt.Sprint("w", k), Service: "s", Rack: fmt.Sprint("r", k/4), Capacity: gpus(8), Free: gpus(int64(rapid.IntRange(0, 8).Draw(r, "free"))), AcceptsRuns: true}
			w.TimeFactor = rapid.SampledFrom([]float64{0.6, 1, 1.7}).Draw(r, "factor")
			w.TimeFactorHigh = w.TimeFactor
			if w.TimeFactor < 1.5 {
				fast[w.Rack] += w.Free.Accelerators
			}
			v.Workers = append(v.Workers, w)
		}
		d := Demand{
			Job: "d", Service: "s", Step: &job.Step{Each: gpus(1), Gang: true, RackLocal: true}, ReadySince: v.Now, Remaining: 2 * time.Second, TaskTime: 2 * time.Second,
			Goal: v.Now.Add(3 * time.Second), LastGoal: v.Now.Add(9 * time.Second), Value: 4, LateValue: 1, Work: 10,
		}
		for i := range rapid.IntRange(1, 12).Draw(r, "waiting") {
			d.Waiting = append(d.Waiting, i)
		}
		v.Demands = []Demand{d}
		out := Decide(v)
		fits := slices.ContainsFunc(slices.Collect(maps.Values(fast)), func(n int64) bool { return n >= int64(len(d.Waiting)) })
		if fits && (len(out.Starts) != 1 || out.Starts[0].TooSlow) {
			r.Fatalf("%+v", out)
		}
	})
}

// TestSpeedOfWorkerWithoutEstimate checks the speeds of workers whose factors are not set, or contradict each other. A
// worker without an estimate would otherwise be infinitely fast.
func TestSpeedOfWorkerWithoutEstimate(t *testing.T) {
	for _, c := range []struct{ factor, high, wantFactor, wantHigh float64 }{
		{0, 0, 1, 1}, {1, 0, 1, 1}, {0, 1, 1, 1}, {0, 1.7, 1, 1.7}, {1.7, 0, 1.7, 1.7}, {1.7, 1, 1.7, 1.7}, {0.6, 0, 0.6, 1}, {0.6, 0.7, 0.6, 0.7},
	} {
		w := Worker{TimeFactor: c.factor, TimeFactorHigh: c.high}
		quicktest.Check(t, w.timeFactor(), quicktest.Equals, c.wantFactor)
		quicktest.Check(t, w.timeFactorHigh(), quicktest.Equals, c.wantHigh)
	}
}
