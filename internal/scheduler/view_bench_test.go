package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/pulleyring/pulleyring/internal/fleet"
	"github.com/pulleyring/pulleyring/internal/job"
)

// BenchmarkView updates the view of a busy site, where half of the runs are single tasks and half are members of
// gangs of 25. On one core, building the view from scratch took 0.18 ms with 48 workers, 1.5 ms with 350 and 4.8 ms
// with 1,100. Updating it took 0.009, 0.070 and 0.26 ms.
func BenchmarkView(b *testing.B) {
	for _, size := range []struct{ workers, runs int }{{48, 144}, {350, 1050}, {1100, 3300}} {
		b.Run(fmt.Sprintf("workers=%d/runs=%d", size.workers, size.runs), func(b *testing.B) {
			h := busyShard(size.workers, size.runs)
			b.ReportAllocs()
			for b.Loop() {
				h.updateView(time.Now())
			}
		})
	}
}

// busyShard returns a shard whose runs are spread over its workers.
func busyShard(workers, runs int) *shard {
	h := offlineShard()
	for k := range workers {
		id := fmt.Sprintf("w%04d", k)
		h.workers[id] = workerOf(&fleet.Worker{ID: id, Capacity: job.Resources{Accelerators: 8}})
	}
	const size = 25
	for n := 0; n < runs; n += size {
		step := job.Step{Count: size, Each: job.Resources{Accelerators: 1}, Estimate: 10 * time.Second, Gang: n%2 == 0}
		r := &job.Request{ID: job.ID(fmt.Sprint("j", n)), Steps: []job.Step{step}, Terms: job.Terms{Queue: fmt.Sprint(n % 3), Attempts: 3}}
		h.addJob(r, nil)
		on := map[int]string{}
		for i := range size {
			on[i] = fmt.Sprintf("w%04d", (n+i)%workers)
		}
		d := h.demand(h.jobs[r.ID], job.Group{}, time.Now())
		h.place(&d, on, time.Now())
	}
	return h
}
