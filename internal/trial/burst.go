// Package trial runs a scheduling policy of the decider on a small simulated hall with a burst from a data file, and
// measures the metrics that the users measure. It simulates only what the decider's interface needs, not a cluster.
package trial

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/decider"
	"github.com/pulleyring/pulleyring/internal/inifile"
	"github.com/pulleyring/pulleyring/pkg/contract"
)

// Burst describes the jobs and the faults of one trial.
type Burst struct {
	Minutes         float64 // Time in which jobs arrive.
	WrongFactor     float64 // Declared run times are wrong by this factor: half too long, half too short.
	BadWorkers      int     // Number of workers that fail every job.
	LoseRackAt      float64 // Second at which the first rack is lost; 0 means never.
	CancelAt        float64 // Second of a wave of cancellations; 0 means never.
	CancelShare     float64 // Share (0 to 1) of the unfinished jobs that it cancels.
	ClaimAllAt      float64 // Second at which every workspace claims its whole guarantee; 0 means never.
	AlwaysFailShare float64 // Share (0 to 1) of jobs that fail on every worker.
	Kinds           []Kind
}

// Kind is one kind of work in a burst.
type Kind struct {
	Name            string
	PerMinute       float64
	Gangs           []string // Gang sizes, drawn uniformly.
	Shape           contract.Shape
	MedianSeconds   float64
	Spread          float64 // Standard deviation of the logarithm of run times.
	CheckpointShare float64
	OnceShare       float64
	UrgentShare     float64
	Workspaces      []string // Drawn uniformly; a name listed twice is drawn twice as often.
	FromSecond      float64
	UntilSecond     float64 // 0 means the length of the burst.
}

// declaredSpread is the standard deviation of the logarithm of the error of declared run times.
const declaredSpread = 0.7

// ParseBurst reads a burst's data file.
func ParseBurst(name string, raw []byte) (*Burst, error) {
	file := inifile.Parse(name, raw)
	b := &Burst{WrongFactor: 1}
	for _, s := range file.Sections() {
		switch s.Kind {
		case "burst":
			s.Read(b.options())
		case "kind":
			k := Kind{Name: s.Name, Gangs: []string{"1"}, Spread: 0.5}
			s.Read(k.options())
			b.Kinds = append(b.Kinds, k)
		default:
			s.Add("", "burst, kind.NAME", "is an unknown section")
		}
	}
	return b, file.Findings.Err()
}

func (b *Burst) options() []inifile.Option {
	return []inifile.Option{
		{Key: "minutes", Target: &b.Minutes, Min: 0.1, Required: true},
		{Key: "wrong_factor", Target: &b.WrongFactor, Min: 1},
		{Key: "bad_workers", Target: &b.BadWorkers},
		{Key: "lose_rack_at", Target: &b.LoseRackAt},
		{Key: "cancel_at", Target: &b.CancelAt},
		{Key: "cancel_share", Target: &b.CancelShare, Max: 1},
		{Key: "claim_all_at", Target: &b.ClaimAllAt},
		{Key: "hopeless_share", Target: &b.AlwaysFailShare, Max: 1},
	}
}

func (k *Kind) options() []inifile.Option {
	return []inifile.Option{
		{Key: "per_minute", Target: &k.PerMinute, Required: true},
		{Key: "gangs", Target: &k.Gangs},
		{Key: "cpus", Target: &k.Shape.CPUs},
		{Key: "memory_gb", Target: &k.Shape.MemoryGB},
		{Key: "accelerators", Target: &k.Shape.Accelerators},
		{Key: "median_seconds", Target: &k.MedianSeconds, Min: 1, Required: true},
		{Key: "spread", Target: &k.Spread},
		{Key: "checkpoint_share", Target: &k.CheckpointShare, Max: 1},
		{Key: "once_share", Target: &k.OnceShare, Max: 1},
		{Key: "urgent_share", Target: &k.UrgentShare, Max: 1},
		{Key: "workspaces", Target: &k.Workspaces, Required: true},
		{Key: "from_second", Target: &k.FromSecond},
		{Key: "until_second", Target: &k.UntilSecond},
	}
}

// job is a job of a trial with the facts that the decider does not know.
type job struct {
	decider.Job
	seconds     float64 // True run time.
	alwaysFails bool
	arrives     float64 // Second of the trial.
}

// trialStart is the time at which every trial begins; its value has no effect.
var trialStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// timeOf returns the time of a second of the trial.
func timeOf(second float64) time.Time {
	return trialStart.Add(time.Duration(second * float64(time.Second)))
}

// jobs draws the jobs of a burst, sorted by arrival; the same seed gives the same jobs.
func (b *Burst) jobs(site *contract.Site, seed uint64) ([]*job, error) {
	var list []*job
	for i := range b.Kinds {
		drawn, err := b.draw(&b.Kinds[i], rand.New(rand.NewPCG(seed, uint64(i))))
		if err != nil {
			return nil, err
		}
		list = append(list, drawn...)
	}
	if b.ClaimAllAt > 0 {
		list = append(list, b.claimJobs(site)...)
	}
	slices.SortStableFunc(list, func(x, y *job) int { return cmp.Compare(x.arrives, y.arrives) })
	for i, j := range list {
		j.Key = fmt.Sprintf("j%05d", i)
		j.Arrived = timeOf(j.arrives)
	}
	return list, nil
}

func (b *Burst) draw(k *Kind, random *rand.Rand) ([]*job, error) {
	until := k.UntilSecond
	if until == 0 {
		until = b.Minutes * 60
	}
	var list []*job
	for second := k.FromSecond + pause(random, k.PerMinute); second < until; second += pause(random, k.PerMinute) {
		j := &job{arrives: second, seconds: k.MedianSeconds * math.Exp(k.Spread*random.NormFloat64())}
		j.Kind = k.Name
		j.Workspace = k.Workspaces[random.IntN(len(k.Workspaces))]
		j.Shape = k.Shape
		text := k.Gangs[random.IntN(len(k.Gangs))]
		if _, err := fmt.Sscan(text, &j.Gang); err != nil {
			return nil, errors.Errorf("trial: gang size %q of %s is no number", text, k.Name)
		}
		j.Checkpoints = random.Float64() < k.CheckpointShare
		j.AtMostOnce = random.Float64() < k.OnceShare
		j.Urgent = random.Float64() < k.UrgentShare
		j.alwaysFails = random.Float64() < b.AlwaysFailShare
		j.DeclaredSeconds = j.seconds * math.Exp(declaredSpread*random.NormFloat64())
		if random.IntN(2) == 0 {
			j.DeclaredSeconds *= b.WrongFactor
		} else {
			j.DeclaredSeconds /= b.WrongFactor
		}
		list = append(list, j)
	}
	return list, nil
}

func pause(random *rand.Rand, perMinute float64) float64 { return random.ExpFloat64() * 60 / perMinute }

// claimSeconds is the run time in seconds of the gangs that claim the guarantees.
const claimSeconds = 300

// claimJobs returns one gang for each block of each workspace's guarantee; all arrive at ClaimAllAt.
func (b *Burst) claimJobs(site *contract.Site) []*job {
	var list []*job
	for _, w := range site.Workspaces {
		for range w.Blocks {
			j := &job{arrives: b.ClaimAllAt, seconds: claimSeconds}
			j.Workspace, j.Kind, j.Gang = w.Name, "claim", w.BlockAccelerators
			j.Shape = contract.Shape{CPUs: 1, MemoryGB: 1, Accelerators: 1}
			j.DeclaredSeconds = claimSeconds
			list = append(list, j)
		}
	}
	return list
}
