package decider

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pulleyring/pulleyring/internal/pledge"
	"github.com/pulleyring/pulleyring/pkg/contract"
)

// hallSize describes the hall of a benchmark: numbers of workers, accelerators, waiting jobs, workspaces and running
// tasks.
type hallSize struct{ workers, accelerators, waiting, workspaces, tasks int }

// newBusyHall returns a busy hall: racks of eight workers, running tasks that use no accelerator or one, and waiting
// jobs.
func newBusyHall(size hallSize) *View {
	random := rand.New(rand.NewPCG(1, 1))
	site := &contract.Site{Name: "bench", CompletionWeight: 0.5, ReserveShare: 0.05, ReclaimSeconds: 30, SetAsideSeconds: 20, GiveUpAfterWorkers: 3, Halls: []contract.Hall{{Name: "hall"}}}
	v := &View{Now: time.Unix(1_000_000, 0), Site: site, Estimates: &Estimates{}}
	perWorker := (size.accelerators + size.workers - 1) / size.workers
	for i := range size.workers {
		if i%8 == 0 {
			v.Racks = append(v.Racks, Rack{Name: fmt.Sprintf("r%d", i/8)})
			site.Halls[0].Racks = append(site.Halls[0].Racks, contract.Rack{Name: fmt.Sprintf("r%d", i/8), Hall: "hall"})
		}
		rack := len(v.Racks) - 1
		w := Worker{Name: fmt.Sprintf("w%d", i), Rack: rack, Capacity: contract.Shape{CPUs: 64, MemoryGB: 256, Accelerators: perWorker}, Usable: true}
		v.Racks[rack].Workers = append(v.Racks[rack].Workers, i)
		v.Workers = append(v.Workers, w)
		site.Halls[0].Racks[rack].Workers = append(site.Halls[0].Racks[rack].Workers, contract.Worker{Name: w.Name, Hall: "hall", Capacity: w.Capacity})
	}
	for i := range size.workspaces {
		blocks := 0
		if i < size.accelerators/20 {
			blocks = 1
		}
		site.Workspaces = append(site.Workspaces, contract.Workspace{Name: fmt.Sprintf("ws%d", i), Share: 1, Blocks: blocks, BlockAccelerators: min(8, perWorker*2)})
	}
	v.Layout, _ = pledge.Plan(site, nil)
	job := func(i int) Job {
		j := Job{Key: fmt.Sprintf("j%06d", i), Workspace: site.Workspaces[random.IntN(size.workspaces)].Name, Kind: "k", Gang: 1, DeclaredSeconds: 600, Arrived: v.Now.Add(-time.Duration(random.IntN(600)) * time.Second)}
		j.Shape = contract.Shape{CPUs: 1 + random.IntN(2), MemoryGB: 4, Accelerators: random.IntN(2)}
		j.AtMostOnce, j.Checkpoints = random.IntN(10) == 0, random.IntN(2) == 0
		if random.IntN(20) == 0 {
			j.Gang, j.Shape.Accelerators = 4<<random.IntN(3), 1
		}
		return j
	}
	free := make([]contract.Shape, size.workers)
	for i := range free {
		free[i] = v.Workers[i].Capacity
	}
	for i := range size.tasks {
		j := job(i)
		j.Gang = 1
		k := random.IntN(size.workers)
		if !j.Shape.Fits(free[k]) {
			j.Shape.Accelerators = 0
		}
		if j.Shape.Fits(free[k]) {
			free[k] = free[k].Sub(j.Shape)
			v.Running = append(v.Running, Running{Job: j, Members: []Member{{Worker: k, Count: 1}}, Started: v.Now.Add(-time.Minute)})
		}
	}
	for i := range size.waiting {
		v.Waiting = append(v.Waiting, job(1_000_000+i))
	}
	return v
}

// BenchmarkPass measures one pass for a site with a single hall (today), for one of nine halls of a large site
// (letter), and for several numbers of workers and of waiting jobs.
func BenchmarkPass(b *testing.B) {
	sizes := []struct {
		name string
		hallSize
	}{
		{"today", hallSize{50, 400, 2000, 4, 400}},
		{"letter", hallSize{345, 656, 1112, 510, 2778}},
		{"letter_all_waiting_here", hallSize{345, 656, 10000, 510, 2778}},
		{"workers=87", hallSize{87, 164, 1112, 510, 694}},
		{"workers=173", hallSize{173, 328, 1112, 510, 1389}},
		{"waiting=2500", hallSize{345, 656, 2500, 510, 2778}},
		{"waiting=5000", hallSize{345, 656, 5000, 510, 2778}},
	}
	for _, size := range sizes {
		b.Run(size.name, func(b *testing.B) {
			v := newBusyHall(size.hallSize)
			b.ReportAllocs()
			for b.Loop() {
				Pulleyring{}.Decide(v)
			}
		})
	}
}
