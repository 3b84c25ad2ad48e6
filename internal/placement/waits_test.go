package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/pulleyring/pulleyring/internal/job"
	"pgregory.net/rapid"
)

// TestNothingWaitsBesideRoom draws sites and work of all kinds that has waited for as long as work may beside plenty of room. What waited for room near
// its data, for workers on which it had not failed, for a rack, for workers that are left to urgent work or for room that others had set aside was left
// waiting there for up to a quarter of the time to its goal, or for ever:
//
//	scheduler: waiting waited=5s tasks=1 suitable_workers=0 fit_now=0
//
// Something of it must start, or room be made for it, once a task of it, or a whole gang, has had room twice over for that long while less than half of its
// service was in use (the users' rules).
func TestNothingWaitsBesideRoom(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		v := drawWaiting(r)
		if !hasRoomTwice(v, &v.Demands[0]) {
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

// hasRoomTwice reports whether there is room twice over for a task of a demand, or for the whole of a gang, while less than half of its service is in use.
func hasRoomTwice(v *View, d *Demand) bool {
	b := newBoard(v)
	need, room, free, all := 2, 0, 0.0, 0.0
	if d.Step.Gang {
		need = 2 * len(d.Waiting)
	}
	for k := range v.Workers {
		w := &v.Workers[k]
		free += w.Free.Cores()
		all += w.Capacity.Cores()
		b.suitable[k] = w.Usable && (d.Step.Label == "" || len(w.Labels) > 0)
		room += b.copiesOf(d, k, w.Free, need)
	}
	return room >= need && free > all/2
}

// checkStarts holds that every task starts once, and fits on a worker that takes new runs.
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
		if each, some := used[w.ID]; some && (!w.Usable || !w.Free.Fits(each)) {
			r.Fatalf("too much starts on %s", w.ID)
		}
	}
}

// drawWaiting draws a site and work that has waited; the first demand is the one to look at.
func drawWaiting(r *rapid.T) *View {
	v := drawView(r)
	d := &v.Demands[0]
	pick := func(what string, most int) int { return rapid.IntRange(0, most).Draw(r, what) }
	rare := func(what string) bool { return pick(what, 3) == 0 }
	for k := range v.Workers {
		w := &v.Workers[k]
		w.Unproven = rare("unproven")
		if rapid.Bool().Draw(r, "labelled") {
			w.Labels = []string{"x"}
		}
		if rare("begun") {
			w.Begun = job.ID(fmt.Sprint("h", pick("who", 3)))
		}
	}
	d.Step.Gang, d.Step.RackLocal = rapid.Bool().Draw(r, "gang"), rapid.Bool().Draw(r, "local")
	d.Step.Count, d.Priority, d.Value, d.LateValue, d.Work = len(d.Waiting), pick("priority", 2), 1, 0.3, 1
	if rare("label") {
		d.Step.Label = "x"
	}
	if rare("data") {
		d.Step.DataRack = fmt.Sprint("r", pick("rack", 3))
	}
	if rare("most") {
		d.Step.MostPerWorker = 1 + pick("per worker", 2)
	}
	d.Avoid = map[string]bool{}
	for range pick("failed on", 3) {
		d.Avoid[fmt.Sprint("w", pick("on", len(v.Workers)-1))] = true
	}
	if rare("last attempt") {
		d.LastAttempts = map[int]bool{}
		for _, i := range d.Waiting {
			d.LastAttempts[i] = d.Step.Gang || rapid.Bool().Draw(r, "last")
		}
	}
	if rare("lost with") {
		d.Apart = map[job.ID]bool{job.ID(fmt.Sprint("h", pick("who", 3))): true}
	}
	d.Suspect, d.Alone, d.Covered = rare("suspect"), rare("alone"), d.Priority == 0 && rare("covered")
	d.Since = v.Now.Add(-idlePatience)
	d.Remaining = time.Duration(pick("takes", 20)) * time.Second
	d.Goal = v.Now.Add(time.Duration(pick("goal", 60)) * time.Second)
	d.LastGoal = d.Goal.Add(time.Duration(pick("last goal", 60)) * time.Second)
	if rare("others drain") {
		v.Demands = append(v.Demands, drawDraining(r, v))
	}
	return v
}

// drawDraining draws a gang that waits for room which drains.
func drawDraining(r *rapid.T, v *View) Demand {
	d := Demand{
		Job: "e", Service: "s", Priority: rapid.IntRange(1, 2).Draw(r, "priority"), Step: &job.Step{Gang: true, Each: gpus(8)}, Since: v.Now,
		Goal: v.Now.Add(time.Duration(rapid.IntRange(0, 60).Draw(r, "goal")) * time.Second), Draining: true, Claim: map[int]string{}, Value: 1, Work: 1,
	}
	d.LastGoal = d.Goal.Add(time.Minute)
	for k := range v.Workers {
		if d.Waiting = append(d.Waiting, k); rapid.Bool().Draw(r, "drains") {
			d.Claim[k] = v.Workers[k].ID
		}
	}
	d.Waiting = append(d.Waiting, len(v.Workers)) // There is never room for all of it.
	return d
}
