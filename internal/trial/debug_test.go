package trial

import (
	"fmt"
	"os"
	"testing"

	"github.com/pulleyring/pulleyring/internal/decider"
)

type spy struct{ decider.Pulleyring }

var stops = map[string]int{}
var losts = map[string]float64{}
var reasons = map[string]map[string]int{}

func (s spy) Decide(v *decider.View) decider.Outcome {
	o := s.Pulleyring.Decide(v)
	for _, d := range o.Decisions {
		if d.Kind == decider.Stop {
			for _, g := range v.Running {
				if g.Job.Key == d.Job {
					lost := v.Now.Sub(g.Started).Seconds() * float64(g.Job.Accelerators())
					if g.Job.Checkpoints {
						lost = 0
					}
					k := fmt.Sprint(d.Reason.Code, " ck=", g.Job.Checkpoints, " large=", g.Job.Accelerators() > 8)
					stops[k]++
					losts[k] += lost
				}
			}
		}
	}
	for _, w := range o.Waits {
		j := &v.Waiting[w.Job]
		if j.Key == os.Getenv("JOB") && v.Now.Second() == 0 {
			for r := range v.Racks {
				f, lg, once, vac, st := 64, 0, 0, 0, 0
				for _, g := range v.Running {
					for _, m := range g.Members {
						if v.Workers[m.Worker].Rack != r {
							continue
						}
						n := m.Count * g.Job.Shape.Accelerators
						f -= n
						switch {
						case g.Stopping:
							st += n
						case g.Job.Accelerators() > 8:
							lg += n
						case !g.Job.Lendable():
							once += n
						default:
							vac += n
						}
					}
				}
				kept := ""
				for _, a := range o.SetAsides {
					if a.Rack == r {
						kept = a.Job
					}
				}
				pl := 0
				for _, k := range v.Racks[r].Workers {
					for _, sh := range v.Layout[v.Workers[k].Name] {
						pl += sh.Shape.Accelerators
					}
				}
				fmt.Printf("r%d free=%d large=%d once=%d small=%d stopping=%d pledged=%d kept=%s | ", r, f, lg, once, vac, st, pl, kept)
			}
			fmt.Println(w.Reason, v.Now.Sub(j.Arrived))
		}
		if j.Accelerators() > 8 {
			k := fmt.Sprintf("%s %s acc=%d once=%v ck=%v stops=%d", j.Key, j.Workspace, j.Accelerators(), j.AtMostOnce, j.Checkpoints, j.Stops)
			if reasons[k] == nil {
				reasons[k] = map[string]int{}
			}
			reasons[k][string(w.Reason.Code)]++
		}
	}
	return o
}

func TestDebug(t *testing.T) {
	if os.Getenv("DEBUG") == "" {
		t.Skip()
	}
	s, _ := LoadSite("gujarat")
	b, _ := LoadBurst("gujarat", os.Getenv("DEBUG"))
	r, _ := Run(s, b, spy{}, 1)
	for k, v := range reasons {
		fmt.Println(k, v)
	}
	fmt.Println(r.Broken, r.Stops, stops, losts)
}

type arrivals struct{ n, sum float64 }

func TestWaits(t *testing.T) {
	if os.Getenv("DEBUG") == "" {
		t.Skip()
	}
	for _, p := range Policies() {
		s, _ := LoadSite("gujarat")
		b, _ := LoadBurst("gujarat", os.Getenv("DEBUG"))
		sums := map[string]*arrivals{}
		onComplete = func(g *gang) {
			k := fmt.Sprintf("%s once=%v", g.Kind, !g.Lendable())
			if sums[k] == nil {
				sums[k] = &arrivals{}
			}
			sums[k].n++
			sums[k].sum += g.ends - g.arrives - g.seconds
		}
		r, _ := Run(s, b, p, 1)
		fmt.Println(p.Name(), r.Utilization, r.LostWorkShare)
		for k, v := range sums {
			fmt.Printf("   %s n=%.0f wait=%.1f\n", k, v.n, v.sum/v.n)
		}
	}
}
