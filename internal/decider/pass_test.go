package decider

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pulleyring/pulleyring/internal/pledge"
	"github.com/pulleyring/pulleyring/pkg/contract"
)

// size is the size of a hall that a pass is measured at.
type size struct{ workers, accelerators, waiting, workspaces, tasks int }

// hallOf builds a busy hall: racks of eight workers, tasks that mostly hold no accelerator, jobs that wait.
func hallOf(z size) *View {
	random := rand.New(rand.NewPCG(1, 1))
	site := &contract.Site{Name: "bench", CompletionWeight: 0.5, ReserveShare: 0.05, ReclaimSeconds: 30, SetAsideSeconds: 20, GiveUpAfterWorkers: 3, Halls: []contract.Hall{{Name: "hall"}}}
	v := &View{Now: time.Unix(1_000_000, 0), Site: site, Estimates: &Estimates{}}
	per := (z.accelerators + z.workers - 1) / z.workers
	for i := range z.workers {
		if i%8 == 0 {
			v.Racks = append(v.Racks, Rack{Name: fmt.Sprintf("r%d", i/8)})
			site.Halls[0].Racks = append(site.Halls[0].Racks, contract.Rack{Name: fmt.Sprintf("r%d", i/8), Hall: "hall"})
		}
		rack := len(v.Racks) - 1
		w := Worker{Name: fmt.Sprintf("w%d", i), Rack: rack, Capacity: contract.Shape{CPUs: 64, MemoryGB: 256, Accelerators: per}, Usable: true}
		v.Racks[rack].Workers = append(v.Racks[rack].Workers, i)
		v.Workers = append(v.Workers, w)
		site.Halls[0].Racks[rack].Workers = append(site.Halls[0].Racks[rack].Workers, contract.Worker{Name: w.Name, Hall: "hall", Capacity: w.Capacity})
	}
	for i := range z.workspaces {
		blocks := 0
		if i < z.accelerators/20 {
			blocks = 1
		}
		site.Workspaces = append(site.Workspaces, contract.Workspace{Name: fmt.Sprintf("ws%d", i), Share: 1, Blocks: blocks, BlockAccelerators: min(8, per*2)})
	}
	v.Layout, _ = pledge.Plan(site, nil)
	job := func(i int) Job {
		j := Job{Key: fmt.Sprintf("j%06d", i), Workspace: site.Workspaces[random.IntN(z.workspaces)].Name, Kind: "k", Gang: 1, DeclaredSeconds: 600, Arrived: v.Now.Add(-time.Duration(random.IntN(600)) * time.Second)}
		j.Shape = contract.Shape{CPUs: 1 + random.IntN(2), MemoryGB: 4, Accelerators: random.IntN(2)}
		j.AtMostOnce, j.Checkpoints = random.IntN(10) == 0, random.IntN(2) == 0
		if random.IntN(20) == 0 {
			j.Gang, j.Shape.Accelerators = 4<<random.IntN(3), 1
		}
		return j
	}
	free := make([]contract.Shape, z.workers)
	for i := range free {
		free[i] = v.Workers[i].Capacity
	}
	for i := range z.tasks {
		j := job(i)
		j.Gang = 1
		k := random.IntN(z.workers)
		if !j.Shape.Fits(free[k]) {
			j.Shape.Accelerators = 0
		}
		if j.Shape.Fits(free[k]) {
			free[k] = free[k].Sub(j.Shape)
			v.Running = append(v.Running, Running{Job: j, Members: []Member{{Worker: k, Count: 1}}, Started: v.Now.Add(-time.Minute)})
		}
	}
	for i := range z.waiting {
		v.Waiting = append(v.Waiting, job(1_000_000+i))
	}
	return v
}

// BenchmarkPass measures one pass: today's site in one hall, one of nine halls at the size of the letter, and the slopes
// by workers and by waiting jobs.
func BenchmarkPass(b *testing.B) {
	sizes := []struct {
		name string
		size
	}{
		{"today", size{50, 400, 2000, 4, 400}},
		{"letter", size{345, 656, 1112, 510, 2778}},
		{"letter_all_waiting_here", size{345, 656, 10000, 510, 2778}},
		{"workers=87", size{87, 164, 1112, 510, 694}},
		{"workers=173", size{173, 328, 1112, 510, 1389}},
		{"waiting=2500", size{345, 656, 2500, 510, 2778}},
		{"waiting=5000", size{345, 656, 5000, 510, 2778}},
	}
	for _, z := range sizes {
		b.Run(z.name, func(b *testing.B) {
			v := hallOf(z.size)
			b.ReportAllocs()
			for b.Loop() {
				Pulleyring{}.Decide(v)
			}
		})
	}
}
