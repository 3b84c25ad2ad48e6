package loss

import (
	"fmt"
	"testing"
	"time"

	"github.com/pulleyring/pulleyring/internal/job"
)

// BenchmarkHallsLost is the judging of 350 workers with three runs each that are lost within a second.
func BenchmarkHallsLost(b *testing.B) {
	began := time.Unix(1000, 0)
	for range b.N {
		var j Judge
		for n := range 350 {
			w := Worker{
				ID: fmt.Sprint(n), Address: fmt.Sprint(n), Hall: Group{fmt.Sprint("hall-", n%3), 400}, Rack: Group{fmt.Sprint("rack-", n%40), 8},
				Heard: began, Proven: true,
			}
			for k := range 3 {
				w.Runs = append(w.Runs, Run{Task: job.Task{Job: "j", Index: 3*n + k}, Seen: time.Duration(k) * 400 * time.Millisecond})
			}
			j.Lost(w, began.Add(time.Duration(n)*3*time.Millisecond))
		}
	}
}
