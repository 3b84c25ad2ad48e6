package placement

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/pulleyring/pulleyring/internal/job"
	"pgregory.net/rapid"
)

// TestPlansEqualThoseReckonedAnew compares plans to make room, whose sums are kept as work is chosen to be stopped, with
// plans that are reckoned from nothing for each choice.
func TestPlansEqualThoseReckonedAnew(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		v := drawView(r)
		b := newBoard(v)
		d := &v.Demands[0]
		b.consider(d)
		for _, among := range append([][]int{b.everyone}, b.racks...) {
			got, want := b.planRoom(d, among), planAnew(b, d, among)
			if (got == nil) != (want == nil) {
				r.Fatalf("%v, want %v", got, want)
			}
			if got != nil && (!slices.Equal(got.stops, want.stops) || !maps.Equal(got.workers, want.workers)) {
				r.Fatalf("%v, want %v", got, want)
			}
		}
	})
}

// drawView draws a full site and one urgent demand.
func drawView(r *rapid.T) *View {
	v := &View{Now: time.Unix(1000, 0), Policy: Policy{FarFactor: 3, Reclaim: 3 * time.Second, StopTime: time.Second, WasteCost: 0.0015}}
	for k := range rapid.IntRange(1, 12).Draw(r, "workers") {
		w := Worker{ID: fmt.Sprint("w", k), Service: "s", Rack: fmt.Sprint("r", k/4), Capacity: gpus(8), Free: gpus(8)}
		w.Usable = rapid.IntRange(0, 5).Draw(r, "usable") > 0
		v.Workers = append(v.Workers, w)
	}
	for n := range rapid.IntRange(0, 30).Draw(r, "holdings") {
		h := Holding{Job: job.ID(fmt.Sprint("h", n)), Priority: rapid.IntRange(0, 2).Draw(r, "priority"), Known: rapid.Bool().Draw(r, "known")}
		h.Each = gpus(rapid.SampledFrom([]int64{1, 2, 4}).Draw(r, "each"))
		h.Loss, h.Remaining = float64(rapid.IntRange(0, 50).Draw(r, "loss")), time.Duration(rapid.IntRange(0, 4000).Draw(r, "ms"))*time.Millisecond
		for range rapid.IntRange(1, 5).Draw(r, "tasks") {
			k := rapid.IntRange(0, len(v.Workers)-1).Draw(r, "on")
			if v.Workers[k].Free.Fits(h.Each) {
				v.Workers[k].Free = v.Workers[k].Free.Sub(h.Each)
				h.Places = append(h.Places, k)
			}
		}
		if len(h.Places) > 0 {
			v.Holdings = append(v.Holdings, h)
		}
	}
	d := Demand{Job: "d", Service: "s", Step: &job.Step{Each: gpus(rapid.SampledFrom([]int64{1, 2, 4, 8}).Draw(r, "asked")), Gang: true}}
	for i := range rapid.IntRange(1, 8).Draw(r, "waiting") {
		d.Waiting = append(d.Waiting, i)
	}
	v.Demands = []Demand{d}
	return v
}

// planAnew is planRoom without anything kept between two choices.
func planAnew(b *board, d *Demand, among []int) *roomPlan {
	var candidates []int
	for _, k := range among {
		for _, h := range b.onWorker[k] {
			if b.suits(k) && b.isCandidate(d, h) && !slices.Contains(candidates, h) {
				candidates = append(candidates, h)
			}
		}
	}
	if !fitsWithout(b, d, among, candidates) {
		return nil
	}
	var stops []int
	for !fitsWithout(b, d, among, stops) {
		at := cheapestAnew(b, d, among, stops, candidates)
		if at < 0 {
			return nil
		}
		stops = append(stops, candidates[at])
		candidates = slices.Delete(candidates, at, at+1)
	}
	for _, h := range slices.Clone(stops) {
		without := slices.DeleteFunc(slices.Clone(stops), func(o int) bool { return o == h })
		if fitsWithout(b, d, among, without) {
			stops = without
		}
	}
	if len(stops) == 0 {
		stops = nil
	}
	return &roomPlan{stops: stops, workers: b.layInto(d, among, roomWithout(b, stops))}
}

// roomWithout is the room by worker once some holdings have ended.
func roomWithout(b *board, stops []int) []job.Resources {
	room := make([]job.Resources, len(b.free))
	for k := range room {
		room[k] = b.free[k].Add(b.soon[k])
	}
	for _, h := range stops {
		for _, k := range b.view.Holdings[h].Places {
			room[k] = room[k].Add(b.view.Holdings[h].Each)
		}
	}
	return room
}

func fitsWithout(b *board, d *Demand, among, stops []int) bool {
	return b.fits(d, among, roomWithout(b, stops)) >= len(d.Waiting)
}

// cheapestAnew is the place of the candidate that loses least for each task that it makes room for, -1 for none.
func cheapestAnew(b *board, d *Demand, among, stops, candidates []int) int {
	room := roomWithout(b, stops)
	best, bestCost := -1, 0.0
	for i, h := range candidates {
		gain := 0.0
		each := b.view.Holdings[h].Each
		for _, k := range b.view.Holdings[h].Places {
			if !slices.Contains(among, k) || !b.suits(k) {
				continue
			}
			before := b.copies(d, k, room[k])
			gain += float64(b.copies(d, k, room[k].Add(each)) - before)
			if before < len(d.Waiting) {
				gain += partOfTask * each.Cores() / max(d.Step.Each.Cores(), 1)
			}
		}
		if cost := (b.lossOf(&b.view.Holdings[h]) + 1) / gain; gain > 0 && (best < 0 || cost < bestCost) {
			best, bestCost = i, cost
		}
	}
	return best
}
