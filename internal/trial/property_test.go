package trial

import (
	"flag"
	"fmt"
	"os"
	"reflect"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/decider"
	"github.com/pulleyring/pulleyring/pkg/contract"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("1") // Run the same cases each time unless a seed is given.
	}
	os.Exit(m.Run())
}

// repeatingPolicy calls the policy twice with each view and records the first pair of different decisions.
type repeatingPolicy struct {
	decider.Policy
	differs *string
}

func (p repeatingPolicy) Decide(v *decider.View) decider.Outcome {
	first := p.Policy.Decide(v)
	second := p.Policy.Decide(v)
	if !reflect.DeepEqual(first, second) && *p.differs == "" {
		*p.differs = fmt.Sprintf("%+v\n%+v", first.Decisions, second.Decisions)
	}
	return second
}

func drawSite(r *rapid.T) *contract.Site {
	s := &contract.Site{
		Name: "drawn", CompletionWeight: rapid.SampledFrom([]float64{0, 0.2, 0.8, 1}).Draw(r, "weight"), ReserveShare: 0.05,
		ReclaimSeconds: 30, SetAsideSeconds: rapid.IntRange(0, 30).Draw(r, "set aside"), GiveUpAfterWorkers: 3,
		Halls: []contract.Hall{{Name: "hall"}},
	}
	for i := range rapid.IntRange(1, 4).Draw(r, "racks") {
		rack := contract.Rack{Name: fmt.Sprintf("r%d", i), Hall: "hall"}
		for k := range rapid.IntRange(1, 8).Draw(r, "workers") {
			shape := contract.Shape{CPUs: 32, MemoryGB: 128, Accelerators: rapid.SampledFrom([]int{8, 8, 8, 4, 0}).Draw(r, "accelerators")}
			rack.Workers = append(rack.Workers, contract.Worker{Name: fmt.Sprintf("r%d-w%d", i, k), Rack: rack.Name, Hall: "hall", Capacity: shape})
		}
		s.Halls[0].Racks = append(s.Halls[0].Racks, rack)
	}
	for i := range 3 {
		w := contract.Workspace{Name: fmt.Sprintf("w%d", i), Share: 1, BlockAccelerators: rapid.SampledFrom([]int{4, 8}).Draw(r, "block")}
		total := s.Halls[0].Capacity().Accelerators
		w.Blocks = rapid.IntRange(0, total/(5*w.BlockAccelerators)).Draw(r, "blocks")
		s.Workspaces = append(s.Workspaces, w)
	}
	return s
}

func drawBurst(r *rapid.T, s *contract.Site) *Burst {
	workers := 0
	for _, rack := range s.Halls[0].Racks {
		workers += len(rack.Workers)
	}
	bad := min(1, workers/8) // With few workers, the policy can't distinguish a bad worker from bad jobs.
	b := &Burst{
		Minutes: 4, WrongFactor: rapid.SampledFrom([]float64{1, 10}).Draw(r, "wrong"), BadWorkers: rapid.IntRange(0, bad).Draw(r, "bad"),
		CancelAt: rapid.SampledFrom([]float64{0, 100}).Draw(r, "cancel"), CancelShare: 0.5,
		ClaimAllAt: rapid.SampledFrom([]float64{0, 90}).Draw(r, "claim"), AlwaysFailShare: rapid.SampledFrom([]float64{0, 0.02}).Draw(r, "hopeless"),
	}
	for i, gangs := range [][]string{{"1"}, {"1", "2", "4"}, {"8", "12", "16"}} {
		b.Kinds = append(b.Kinds, Kind{
			Name: fmt.Sprintf("k%d", i), PerMinute: float64(rapid.IntRange(1, []int{90, 30, 4}[i]).Draw(r, "rate")), Gangs: gangs,
			Shape:         contract.Shape{CPUs: rapid.IntRange(1, 6).Draw(r, "cpus"), MemoryGB: 8, Accelerators: rapid.SampledFrom([]int{1, 1, 1, 0}).Draw(r, "acc")},
			MedianSeconds: float64(rapid.IntRange(5, 120).Draw(r, "median")), Spread: 0.6, CheckpointShare: 0.5,
			OnceShare: rapid.SampledFrom([]float64{0, 0.2}).Draw(r, "once"), UrgentShare: 0.1, Workspaces: []string{"w0", "w1", "w2", "w2"},
		})
	}
	return b
}

// TestPolicyProperty guards against broken promises on random bursts and halls: a gang started in part, a device
// assigned twice, a job stopped that must not be, or a guarantee reclaimed too late. It also fails if a job never
// ends, or if the policy decides differently on the same view.
func TestPolicyProperty(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := drawSite(r)
		b := drawBurst(r, s)
		differs := ""
		result, err := Run(s, b, repeatingPolicy{decider.Pulleyring{}, &differs}, rapid.Uint64Range(1, 1000).Draw(r, "seed"))
		if err != nil {
			r.Fatal(err)
		}
		if differs != "" {
			r.Fatalf("the same view got two answers:\n%s", differs)
		}
		unfinished := result.Unfinished > 0 && b.BadWorkers == 0 // A gang that also needs the bad worker waits for it.
		if result.BrokenPromises > 0 || unfinished {
			r.Fatalf("%d unfinished of %d, broken: %v", result.Unfinished, result.Jobs, result.Broken)
		}
	})
}

// TestBaselinesFinish guards against a policy, a baseline in particular, that doesn't end every job of the mixed
// burst.
func TestBaselinesFinish(t *testing.T) {
	s, err := LoadSite("gujarat")
	qt.Assert(t, err, qt.IsNil)
	b, err := LoadBurst("gujarat", "mixed")
	qt.Assert(t, err, qt.IsNil)
	for _, p := range Policies() {
		r, err := Run(s, b, p, 1)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, r.Unfinished, qt.Equals, 0, qt.Commentf(p.Name()))
		qt.Assert(t, r.Completed+r.GivenUp+r.LostOnce+r.Refused, qt.Equals, r.Jobs, qt.Commentf(p.Name()))
	}
}
