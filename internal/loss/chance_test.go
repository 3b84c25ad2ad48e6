package loss

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/incarnation"
	"github.com/pulleyring/pulleyring/internal/job"
)

// simulatedSite describes workers that crash at random and the tasks that run on them. Each loss is
// detected when the worker restarts.
type simulatedSite struct {
	Workers       int           // Number of workers. All but the idle ones run one task each.
	Idle          int           // Number of workers without a task.
	CrashInterval time.Duration // Mean time between two crashes of a worker; 0 for no crashes.
	RunTime       time.Duration // Run time of each sound task.
	// Time from its start after which a crashing task crashes its worker; 0 for no crashing task. One such task
	// runs at a time.
	CrashAge time.Duration
	// Number of ended tasks that ends the simulation: crashing tasks if there are any, else sound ones.
	Tasks int
	// Interval at which another box takes over with a new detector and the stored counts; 0 for never.
	TakeoverInterval time.Duration
}

const (
	simulationStep = 500 * time.Millisecond // Length of a simulation step.
	// Time from a crash until the loss is detected and the worker has restarted.
	restartDelay = 4 * time.Second
	// maxSteps limits the steps of a simulation, which does not end by itself if a crashing task is never
	// failed.
	maxSteps = 4_000_000
)

// simulationResult counts how the tasks of a site ended.
type simulationResult struct {
	// Sound tasks that ended, and those that were failed.
	Done, Failed    int
	FailedCrashing  int // Crashing tasks that were failed.
	StartedTooOften int // Crashing tasks that were failed after more than five starts.
	MostStarts      int // Highest number of starts of a crashing task.
}

// simulatedWorker is a worker of a site and the task that runs there.
type simulatedWorker struct {
	restarts  int
	task      job.Task
	busy      bool
	startedAt time.Time
	restartAt time.Time // Time of its restart after a crash; zero while it runs.
}

// simulation is the state of a simulation of a site.
type simulation struct {
	simulatedSite
	simulationResult
	detector     Detector
	counts       map[job.Task]job.Losses // Counted losses by task.
	starts       map[job.Task]int
	workers      []simulatedWorker
	tasksCreated int // Number of tasks created so far, which makes their names unique.
	now          time.Time
}

// simulate simulates the site with a random seed and returns how its tasks ended.
func (s *simulatedSite) simulate(seed uint64) simulationResult {
	sim := &simulation{simulatedSite: *s, counts: map[job.Task]job.Losses{}, starts: map[job.Task]int{}, workers: make([]simulatedWorker, s.Workers), now: time.Unix(1000, 0)}
	random := rand.New(rand.NewPCG(seed, seed))
	for i := range sim.workers {
		if sim.workers[i].busy = i >= sim.Idle; sim.workers[i].busy {
			sim.startNewTask(&sim.workers[i], i == sim.Idle && sim.CrashAge > 0)
		}
	}
	for step := range maxSteps {
		sim.now = sim.now.Add(simulationStep)
		if sim.ended() {
			break
		}
		if sim.TakeoverInterval > 0 && sim.now.Sub(time.Unix(1000, 0))%sim.TakeoverInterval < simulationStep {
			sim.detector = Detector{}
		}
		if step%2 == 0 {
			sim.detector.Watch(sim.withoutSuspect(), sim.now)
		}
		for i := range sim.workers {
			sim.step(i, sim.CrashInterval > 0 && random.Float64() < simulationStep.Seconds()/sim.CrashInterval.Seconds())
		}
	}
	return sim.simulationResult
}

// ended reports whether enough tasks have ended.
func (s *simulation) ended() bool {
	if s.CrashAge > 0 {
		return s.FailedCrashing >= s.Tasks
	}
	return s.Done+s.Failed >= s.Tasks
}

// lostWithoutSuspect returns the number of running workers without a suspect task.
func (s *simulation) withoutSuspect() (n int) {
	for i := range s.workers {
		if worker := &s.workers[i]; worker.restartAt.IsZero() && s.counts[worker.task].All == 0 {
			n++
		}
	}
	return n
}

// startNewTask starts another task on a worker.
func (s *simulation) startNewTask(worker *simulatedWorker, crashes bool) {
	s.tasksCreated++
	worker.task = job.Task{Job: job.ID(fmt.Sprintf("a%d", s.tasksCreated))}
	if crashes {
		worker.task.Job = job.ID(fmt.Sprintf("p%d", s.tasksCreated))
	}
	s.startTask(worker)
}

// startTask records another start of the worker's task.
func (s *simulation) startTask(worker *simulatedWorker) {
	worker.startedAt = s.now
	s.starts[worker.task]++
}

// runsCrashingTask reports whether the worker's task crashes it.
func (worker *simulatedWorker) runsCrashingTask() bool {
	return worker.task.Job != "" && worker.task.Job[0] == 'p'
}

// step simulates one step of a worker.
func (s *simulation) step(i int, crashes bool) {
	worker := &s.workers[i]
	age := s.now.Sub(worker.startedAt)
	switch {
	case !worker.restartAt.IsZero():
		if s.now.Before(worker.restartAt) {
			return
		}
		s.reportLoss(i)
		worker.restartAt = time.Time{}
		worker.restarts++
		s.restartOrReplace(worker)
	case crashes || worker.runsCrashingTask() && age >= s.CrashAge:
		worker.restartAt = s.now.Add(restartDelay)
	case worker.busy && !worker.runsCrashingTask() && age >= s.RunTime:
		s.Done++
		s.startNewTask(worker, false)
	}
}

// reportLoss reports a worker's loss to the detector and adds up the counted losses.
func (s *simulation) reportLoss(i int) {
	worker := &s.workers[i]
	lastSeen := worker.restartAt.Add(-restartDelay)
	w := Worker{
		Incarnation: incarnation.ID{Worker: fmt.Sprint(i, "/", worker.restarts)}, Address: fmt.Sprint(i), Hall: Group{fmt.Sprint("hall-", i%3), s.Workers / 3}, Rack: Group{fmt.Sprint("rack-", i/8), 8},
		LastSeen: lastSeen, CommandUnanswered: lastSeen.Add(time.Second), EndProven: true,
	}
	if worker.busy {
		w.Runs = []Run{{Task: worker.task, LossesBefore: s.counts[worker.task], SeenAfterStart: lastSeen.Sub(worker.startedAt)}}
	}
	for _, x := range s.detector.RecordLoss(w, s.now) {
		s.counts[x.Task] = s.counts[x.Task].Add(x.Change)
	}
}

// restartOrReplace restarts a task, or replaces it by another one if it is crash-looping.
func (s *simulation) restartOrReplace(worker *simulatedWorker) {
	switch {
	case !worker.busy:
	case s.detector.Verdict(worker.task, s.counts[worker.task], s.now) != CrashLooping:
		s.startTask(worker)
	case worker.runsCrashingTask():
		s.FailedCrashing++
		s.MostStarts = max(s.MostStarts, s.starts[worker.task])
		if s.starts[worker.task] > MaxLossesAndStarts {
			s.StartedTooOften++
		}
		s.startNewTask(worker, true)
	default:
		s.Failed++
		s.startNewTask(worker, false)
	}
}

// TestOnlyCrashingTasksAreFailed simulates sites on which workers also crash at random. Tasks that crash
// their workers, however late, must be failed before their sixth start, also by boxes that have just taken
// over. Sound tasks of any length must not be failed.
func TestOnlyCrashingTasksAreFailed(t *testing.T) {
	for name, s := range map[string]simulatedSite{
		"crash after 35 s, nothing else":         {Workers: 12, Idle: 4, RunTime: time.Minute, CrashAge: 35 * time.Second, Tasks: 20},
		"crash after 2 h, nothing else":          {Workers: 50, Idle: 10, RunTime: time.Hour, CrashAge: 2 * time.Hour, Tasks: 3},
		"crash after 35 s, a crash an hour":      {Workers: 50, Idle: 10, CrashInterval: time.Hour, RunTime: time.Minute, CrashAge: 35 * time.Second, Tasks: 100},
		"crash after 10 min, a crash in 8 hours": {Workers: 50, Idle: 10, CrashInterval: 8 * time.Hour, RunTime: time.Minute, CrashAge: 10 * time.Minute, Tasks: 20},
		"crash after 10 min, a crash in 45 min":  {Workers: 50, Idle: 10, CrashInterval: 45 * time.Minute, RunTime: time.Minute, CrashAge: 10 * time.Minute, Tasks: 50},
		"crash after 35 s, new tenures":          {Workers: 50, Idle: 10, CrashInterval: time.Hour, RunTime: time.Minute, CrashAge: 35 * time.Second, Tasks: 50, TakeoverInterval: 20 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			result := s.simulate(1)
			quicktest.Check(t, result.FailedCrashing >= s.Tasks, quicktest.IsTrue)
			quicktest.Check(t, result.StartedTooOften, quicktest.Equals, 0)
			quicktest.Check(t, result.Failed, quicktest.Equals, 0)
		})
	}
	for name, s := range map[string]simulatedSite{
		"minutes of work, a crash an hour":  {Workers: 50, Idle: 10, CrashInterval: time.Hour, RunTime: 5 * time.Minute, Tasks: 2000},
		"hours of work, a crash a day":      {Workers: 50, Idle: 10, CrashInterval: 24 * time.Hour, RunTime: 2 * time.Hour, Tasks: 500},
		"seconds of work, a crash a minute": {Workers: 50, Idle: 10, CrashInterval: time.Minute, RunTime: 5 * time.Second, Tasks: 2000},
	} {
		t.Run(name, func(t *testing.T) {
			result := s.simulate(1)
			quicktest.Check(t, result.Done > 0, quicktest.IsTrue)
			quicktest.Check(t, result.Failed, quicktest.Equals, 0)
		})
	}
}

// BenchmarkFailedTasks reports the percentage of sound tasks that are failed, for several run times
// relative to the mean time between two crashes of a worker. It also reports the percentage of crashing
// tasks that are started more than five times, for several ages at which they crash.
func BenchmarkFailedTasks(b *testing.B) {
	for _, interval := range []time.Duration{2 * time.Minute, 10 * time.Minute, time.Hour} {
		for _, share := range []float64{0.05, 0.1, 0.25, 0.5, 1} {
			runTime := time.Duration(share * float64(interval))
			b.Run(fmt.Sprintf("sound/%s/%.2f", interval, share), func(b *testing.B) {
				for range b.N {
					s := simulatedSite{Workers: 50, Idle: 10, CrashInterval: interval, RunTime: runTime, Tasks: 5000}
					result := s.simulate(2)
					b.ReportMetric(100*float64(result.Failed)/float64(max(result.Done+result.Failed, 1)), "given_up_%")
				}
			})
			b.Run(fmt.Sprintf("crashing/%s/%.2f", interval, share), func(b *testing.B) {
				for range b.N {
					s := simulatedSite{Workers: 50, Idle: 10, CrashInterval: interval, RunTime: interval / 10, CrashAge: runTime, Tasks: 100}
					result := s.simulate(3)
					b.ReportMetric(100*float64(result.StartedTooOften)/float64(max(result.FailedCrashing, 1)), "beyond_%")
					b.ReportMetric(float64(result.FailedCrashing), "given_up")
				}
			})
		}
	}
}
