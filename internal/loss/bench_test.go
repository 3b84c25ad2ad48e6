package loss

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/pulleyring/pulleyring/internal/incarnation"
	"github.com/pulleyring/pulleyring/internal/job"
)

// BenchmarkHallsLost measures the loss of 350 workers within a second, with three runs on each.
func BenchmarkHallsLost(b *testing.B) {
	start := time.Unix(1000, 0)
	for range b.N {
		var d Detector
		for n := range 350 {
			w := Worker{
				Incarnation: incarnation.ID{Worker: fmt.Sprint(n)}, Address: fmt.Sprint(n), Hall: Group{fmt.Sprint("hall-", n%3), 400}, Rack: Group{fmt.Sprint("rack-", n%40), 8},
				LastSeen: start, EndProven: true,
			}
			for k := range 3 {
				w.Runs = append(w.Runs, Run{Task: job.Task{Job: "j", Index: 3*n + k}, SeenAfterStart: time.Duration(k) * 400 * time.Millisecond})
			}
			d.RecordLoss(w, start.Add(time.Duration(n)*3*time.Millisecond))
		}
	}
}

// BenchmarkHallsLostAgain measures the loss of 350 workers within a second, three times in 9 s, with the
// same tasks each time. Every second worker is idle, and its loss is detected 5 s later.
func BenchmarkHallsLostAgain(b *testing.B) {
	start := time.Unix(1000, 0)
	type lost struct {
		w  Worker
		at time.Time
	}
	var list []lost
	for n := range 3 * 350 {
		begin := start.Add(time.Duration(n/350)*3*time.Second + time.Duration(n%350)*3*time.Millisecond)
		w := Worker{
			Incarnation: incarnation.ID{Worker: fmt.Sprint(n)}, Address: fmt.Sprint(n), Hall: Group{fmt.Sprint("hall-", n%3), 120}, Rack: Group{fmt.Sprint("rack-", n%40), 8},
			LastSeen: begin, EndProven: true,
		}
		if n%2 == 0 {
			list = append(list, lost{w, begin.Add(5 * time.Second)})
			continue
		}
		for k := range 3 {
			w.Runs = append(w.Runs, Run{Task: job.Task{Job: "j", Index: 3*(n%350) + k}, SeenAfterStart: time.Duration(k) * 400 * time.Millisecond})
		}
		list = append(list, lost{w, begin.Add(time.Second)})
	}
	slices.SortStableFunc(list, func(x, y lost) int { return x.at.Compare(y.at) })
	for range b.N {
		var d Detector
		for _, l := range list {
			d.RecordLoss(l.w, l.at)
		}
	}
}
