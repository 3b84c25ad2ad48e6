package loss

import (
	"fmt"
	"testing"
	"time"

	"github.com/pulleyring/pulleyring/internal/incarnation"
	"github.com/pulleyring/pulleyring/internal/job"
	"pgregory.net/rapid"
)

// TestKeptCountsEqualThoseCountedAnew compares the counts that are updated with each event with counts
// from scratch. It draws losses and returns of workers and runs that never started, and fails if an update
// misses an event.
func TestKeptCountsEqualThoseCountedAnew(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var d Detector
		counts := map[job.Task]job.Losses{}
		addCounts := func(changes []CountChange) {
			for _, c := range changes {
				counts[c.Task] = counts[c.Task].Add(c.Change)
			}
		}
		now := time.Unix(1000, 0)
		for n := range rapid.IntRange(1, 30).Draw(r, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(r, "ms")) * time.Millisecond)
			if n > 0 && rapid.IntRange(0, 4).Draw(r, "return") == 0 {
				addCounts(d.RecordReturn(incarnation.ID{Worker: fmt.Sprint("w", rapid.IntRange(0, n-1).Draw(r, "who"))}))
				continue
			}
			if n > 0 && rapid.IntRange(0, 4).Draw(r, "never") == 0 {
				addCounts(d.RecordNeverStarted(incarnation.ID{Worker: fmt.Sprint("w", rapid.IntRange(0, n-1).Draw(r, "who"))}, drawTask(r)))
				continue
			}
			addCounts(d.RecordLoss(drawLoss(r, n, now, counts), now))
		}
		wanted := map[job.Task]job.Losses{}
		for _, e := range d.recentLosses {
			checkAgainstCountFromScratch(r, &d, e)
			for i := range e.Runs {
				counted, _ := d.countedLosses(e, i)
				mustEqual(r, e.countedLossesByRun[i], counted)
				wanted[e.Runs[i].Task] = wanted[e.Runs[i].Task].Add(e.countedLossesByRun[i])
			}
		}
		for task, l := range wanted {
			if len(d.recentLosses) > 0 && now.Sub(d.recentLosses[0].reportedAt) < ProvenAfter { // No loss has been dropped yet.
				mustEqual(r, counts[task], l)
			}
		}
	})
}

// drawLoss draws the loss of worker n, which is detected now.
func drawLoss(r *rapid.T, n int, now time.Time, counts map[job.Task]job.Losses) Worker {
	pick := func(what string, most int) int { return rapid.IntRange(0, most).Draw(r, what) }
	w := Worker{
		Incarnation: incarnation.ID{Worker: fmt.Sprint("w", n)}, Address: fmt.Sprint("w", n), LastSeen: now.Add(-time.Duration(pick("heard", 6000)) * time.Millisecond), EndProven: pick("proven", 1) == 0,
		Hall: Group{fmt.Sprint("hall-", pick("hall", 1)), 4}, Rack: Group{fmt.Sprint("rack-", pick("rack", 2)), 4},
	}
	if pick("missed", 1) == 0 {
		w.CommandUnanswered = now.Add(-time.Duration(pick("ms", 6000)) * time.Millisecond)
	}
	for range pick("runs", 3) {
		task := drawTask(r)
		w.Runs = append(w.Runs, Run{Task: task, LossesBefore: counts[task], SeenAfterStart: time.Duration(pick("seen", 1500)) * time.Millisecond})
	}
	return w
}

// drawTask draws one of a few tasks.
func drawTask(r *rapid.T) job.Task {
	return job.Task{Job: job.ID(fmt.Sprint(rapid.IntRange(0, 3).Draw(r, "job"))), Index: rapid.IntRange(0, 1).Draw(r, "task")}
}

// checkAgainstCountFromScratch counts from scratch which workers were lost at the same time as one worker.
func checkAgainstCountFromScratch(r *rapid.T, d *Detector, e *lossEvent) {
	if e.stillRuns {
		return
	}
	others, hall, rack := 0, 0, 0
	for _, o := range d.recentLosses {
		if o != e && !o.wasLostWith(e) {
			continue
		}
		if o != e && !o.hasSuspect {
			others++
		}
		if o.Hall.Name == e.Hall.Name {
			hall++
		}
		if o.Rack.Name == e.Rack.Name {
			rack++
		}
	}
	mustEqual(r, [...]int{e.othersLost, e.hallLoss.lostWorkers, e.rackLoss.lostWorkers}, [...]int{others, hall, rack})
}

// mustEqual fails the test if an updated count differs from the one from scratch.
func mustEqual(r *rapid.T, got, want any) {
	if got != want {
		r.Fatalf("kept %v, counted anew %v", got, want)
	}
}
