package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pulleyring/pulleyring/internal/headroom"
	"github.com/pulleyring/pulleyring/internal/job"
)

// BenchmarkDecide measures a decision for a site at 70% load. Tasks wait in groups of 16: a third are
// urgent gangs, a third other gangs, a third single tasks. The cost grows with the number of workers and of
// tasks; figures are in docs/CAPACITY.md.
func BenchmarkDecide(b *testing.B) {
	for _, size := range []struct{ workers, tasks int }{{48, 500}, {350, 5000}, {1100, 2000}, {1100, 20000}, {3100, 25000}} {
		b.Run(fmt.Sprintf("workers=%d/tasks=%d", size.workers, size.tasks), func(b *testing.B) {
			v := busyView(size.workers, size.tasks)
			b.ReportAllocs()
			for b.Loop() {
				Decide(v)
			}
		})
	}
}

// BenchmarkDecideUneven measures a decision for the site of BenchmarkDecide if a third of the workers take 1.7 times
// the usual time and a third take 0.6 times.
func BenchmarkDecideUneven(b *testing.B) {
	for _, size := range []struct{ workers, tasks int }{{48, 500}, {350, 5000}, {1100, 2000}, {1100, 20000}, {3100, 25000}} {
		b.Run(fmt.Sprintf("workers=%d/tasks=%d", size.workers, size.tasks), func(b *testing.B) {
			v := busyView(size.workers, size.tasks)
			v.Policy.TightFactor = 1.5
			for k := range v.Workers {
				factor := [...]float64{1, 1.7, 0.6}[k%3]
				v.Workers[k].TimeFactor, v.Workers[k].TimeFactorHigh = factor, 1.1*factor
			}
			for i := range v.Demands {
				v.Demands[i].TaskTime = v.Demands[i].Remaining
			}
			b.ReportAllocs()
			for b.Loop() {
				Decide(v)
			}
		})
	}
}

// BenchmarkDecideWithHeadroom measures the decisions of BenchmarkDecide with a tenth of the free slots of each shape of
// urgent work to be kept, and with all of them. What urgent gangs still wait for is kept as well.
func BenchmarkDecideWithHeadroom(b *testing.B) {
	for _, size := range []struct{ workers, tasks int }{{48, 500}, {350, 5000}, {1100, 20000}, {3100, 25000}} {
		for _, share := range []float64{0.1, 1} {
			b.Run(fmt.Sprintf("workers=%d/tasks=%d/kept=%v", size.workers, size.tasks, share), func(b *testing.B) {
				v := busyView(size.workers, size.tasks)
				for _, n := range []int64{1, 2, 4, 8} {
					shape := headroom.Shape{Service: "s", Each: gpus(n)}
					free := 0
					for k := range v.Workers {
						free += shape.Fitting(v.Workers[k].Free)
					}
					v.Headroom = append(v.Headroom, headroom.Kept{Shape: shape, Slots: int(share * float64(free))})
				}
				b.ReportAllocs()
				for b.Loop() {
					Decide(v)
				}
			})
		}
	}
}

// busyView returns a random view of a busy site. The same sizes give the same view.
func busyView(workers, tasks int) *View {
	random := rand.New(rand.NewPCG(1, 1))
	v := &View{Now: time.Unix(1000, 0), Policy: Policy{RemoteFactor: 3, GuaranteedStartLimit: 3 * time.Second, MaxStopTime: time.Second, WasteCost: 0.0015}}
	for k := range workers {
		v.Workers = append(v.Workers, Worker{
			ID: fmt.Sprintf("w%04d", k), Service: "s", Rack: fmt.Sprintf("r%d", k/8), Capacity: gpus(8), Free: gpus(8), AcceptsRuns: true,
		})
	}
	for k := range workers {
		for v.Workers[k].Free.Accelerators > 0 && random.Float64() < 0.7 {
			v.Workers[k].Free = v.Workers[k].Free.Sub(gpus(1))
			v.Allocations = append(v.Allocations, Allocation{
				Job: job.ID(fmt.Sprint("h", len(v.Allocations))), Priority: random.IntN(3), Each: gpus(1), WorkerIndexes: []int{k},
				LostWork: 10 * random.Float64(), Remaining: time.Duration(random.IntN(8000)) * time.Millisecond,
			})
		}
	}
	const group = 16
	for n := range tasks / group {
		d := Demand{
			Job: job.ID(fmt.Sprint("d", n)), Service: "s", Priority: n % 3, Placed: map[string]int{}, ReadySince: v.Now.Add(-time.Second),
			Step: &job.Step{Count: group, Each: gpus(1 << random.IntN(4)), Gang: n%3 < 2, RackLocal: n%2 == 0}, Remaining: 3 * time.Second,
			Goal: v.Now.Add(time.Duration(4+random.IntN(20)) * time.Second), Value: 3, LateValue: 1, Work: 100,
		}
		d.LastGoal = d.Goal.Add(20 * time.Second)
		for i := range group {
			d.Waiting = append(d.Waiting, i)
		}
		v.Demands = append(v.Demands, d)
	}
	return v
}
