package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/pulleyring/pulleyring/internal/job"
	"pgregory.net/rapid"
)

// TestNothingWaitsBesideRoom checks that work does not wait while capacity is ample for longer than
// the limit. Work that waited for capacity near its data, for a rack, for other workers, for the reserve or
// for reserved capacity was left waiting for up to a quarter of the time to its goal, or for ever:
//
//	scheduler: waiting waited=5s tasks=1 suitable_workers=0 fit_now=0
//
// The test draws sites and demands that have waited for the limit. Something of the demand must start if
// there is capacity for two of its tasks, or for the gang twice, and less than half of the service is in
// use.
func TestNothingWaitsBesideRoom(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		v := drawViewWithWaitingDemands(r)
		drawSpeeds(r, v)
		v.Demands[0].TaskTime = time.Duration(rapid.Float64Range(0, 1.2).Draw(r, "task time") * float64(v.Demands[0].Remaining))
		drawHeadroom(r, v)
		drawReservation(r, v)
		if !hasAmpleCapacity(v, &v.Demands[0]) {
			r.Skip("no room")
		}
		out := Decide(v)
		checkStarts(r, v, &out)
		for _, s := range out.Starts {
			if s.Demand == 0 {
				return
			}
		}
		r.Fatalf("%+v of step %+v waits: %+v", v.Demands[0], *v.Demands[0].Step, v.Workers)
	})
}

// drawReservation draws capacity that is reserved for the first demand.
func drawReservation(r *rapid.T, v *View) {
	if !rapid.Bool().Draw(r, "reserved") {
		return
	}
	d := &v.Demands[0]
	d.Reservation = map[int]string{}
	for _, i := range d.Waiting {
		d.Reservation[i] = fmt.Sprint("w", rapid.IntRange(0, len(v.Workers)).Draw(r, "reserved on")) // May be unknown.
	}
	d.ReservedWithoutPreemption = d.Step.Gang && d.Priority > 0 && rapid.Bool().Draw(r, "draining")
}

// hasAmpleCapacity reports whether there is capacity for two tasks of a demand, or for the gang twice, and
// less than half of its service is in use.
func hasAmpleCapacity(v *View, d *Demand) bool {
	pl := newPlanner(v)
	need, fitting, free, total := 2, 0, 0.0, 0.0
	if d.Step.Gang {
		need = 2 * len(d.Waiting)
	}
	for k := range v.Workers {
		w := &v.Workers[k]
		free += w.Free.Cores()
		total += w.Capacity.Cores()
		pl.suitable[k] = w.AcceptsRuns && (d.Step.Label == "" || len(w.Labels) > 0)
		fitting += pl.countFitting(d, k, w.Free, need)
	}
	return fitting >= need && free > total/2
}

// checkStarts checks that every task starts at most once, on a worker that accepts new runs and has
// capacity for it.
func checkStarts(r *rapid.T, v *View, out *Outcome) {
	type task struct{ demand, index int }
	begun, used := map[task]bool{}, map[string]job.Resources{}
	for _, s := range out.Starts {
		for index, worker := range s.Workers {
			if begun[task{s.Demand, index}] {
				r.Fatalf("task %d of %d starts twice", index, s.Demand)
			}
			begun[task{s.Demand, index}] = true
			used[worker] = used[worker].Add(v.Demands[s.Demand].Step.Each)
		}
	}
	for k := range v.Workers {
		w := &v.Workers[k]
		if each, some := used[w.ID]; some && (!w.AcceptsRuns || !w.Free.Fits(each)) {
			r.Fatalf("too much starts on %s", w.ID)
		}
	}
}

// drawViewWithWaitingDemands draws a site and demands that wait; the test examines the first one.
func drawViewWithWaitingDemands(r *rapid.T) *View {
	v := drawView(r)
	d := &v.Demands[0]
	pick := func(what string, most int) int { return rapid.IntRange(0, most).Draw(r, what) }
	sometimes := func(what string) bool { return pick(what, 3) == 0 }
	for k := range v.Workers {
		w := &v.Workers[k]
		w.Unproven = sometimes("unproven")
		if rapid.Bool().Draw(r, "labelled") {
			w.Labels = []string{"x"}
		}
		if sometimes("begun") {
			w.JustStarted = job.ID(fmt.Sprint("h", pick("who", 3)))
		}
	}
	d.Step.Gang, d.Step.RackLocal = rapid.Bool().Draw(r, "gang"), rapid.Bool().Draw(r, "local")
	d.Step.Count, d.Priority, d.Value, d.LateValue, d.Work = len(d.Waiting), pick("priority", 2), 1, 0.3, 1
	if sometimes("label") {
		d.Step.Label = "x"
	}
	if sometimes("data") {
		d.Step.DataRack = fmt.Sprint("r", pick("rack", 3))
	}
	if sometimes("most") {
		d.Step.MostPerWorker = 1 + pick("per worker", 2)
	}
	d.Avoid = map[string]bool{}
	for range pick("failed on", 3) {
		d.Avoid[fmt.Sprint("w", pick("on", len(v.Workers)-1))] = true
	}
	if sometimes("last attempt") {
		d.LastAttempts = map[int]bool{}
		for _, i := range d.Waiting {
			d.LastAttempts[i] = d.Step.Gang || rapid.Bool().Draw(r, "last")
		}
	}
	if sometimes("lost with") {
		d.AntiAffinity = map[job.ID]bool{job.ID(fmt.Sprint("h", pick("who", 3))): true}
	}
	d.Suspect, d.Exclusive, d.Guaranteed = sometimes("suspect"), sometimes("alone"), d.Priority == 0 && sometimes("covered")
	d.ReadySince = v.Now.Add(-ampleCapacityWaitLimit)
	d.Remaining = time.Duration(pick("takes", 20)) * time.Second
	d.Goal = v.Now.Add(time.Duration(pick("goal", 60)) * time.Second)
	d.LastGoal = d.Goal.Add(time.Duration(pick("last goal", 60)) * time.Second)
	if sometimes("paused") {
		d.PausedUntil = v.Now.Add(time.Duration(1+pick("pause", 3)) * time.Second)
	}
	if sometimes("others drain") {
		v.Demands = append(v.Demands, drawDemandWithReservation(r, v))
	}
	return v
}

// drawDemandWithReservation draws a gang with a reservation without preemption.
func drawDemandWithReservation(r *rapid.T, v *View) Demand {
	d := Demand{
		Job: "e", Service: "s", Priority: rapid.IntRange(1, 2).Draw(r, "priority"), Step: &job.Step{Gang: true, Each: gpus(8)}, ReadySince: v.Now,
		Goal: v.Now.Add(time.Duration(rapid.IntRange(0, 60).Draw(r, "goal")) * time.Second), ReservedWithoutPreemption: true, Reservation: map[int]string{}, Value: 1, Work: 1,
	}
	d.LastGoal = d.Goal.Add(time.Minute)
	for k := range v.Workers {
		if d.Waiting = append(d.Waiting, k); rapid.Bool().Draw(r, "drains") {
			d.Reservation[k] = v.Workers[k].ID
		}
	}
	d.Waiting = append(d.Waiting, len(v.Workers)) // One task more than could ever fit.
	return d
}
