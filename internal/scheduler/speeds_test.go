package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/fleet"
	"github.com/pulleyring/pulleyring/internal/incarnation"
	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/internal/placement"
	"github.com/pulleyring/pulleyring/internal/queue"
	"github.com/pulleyring/pulleyring/internal/script"
)

// TestSpeeds runs the cases of testdata/speeds.txt. They guard against speeds that are learned wrongly (from runs far
// from their data, from a gang's wait for its members, from short slow periods, or not at all), that change how a site
// is served whose workers differ little or whose queues allow the differences, or that are used although they are
// turned off.
func TestSpeeds(t *testing.T) {
	for _, c := range script.Cases(t, "testdata/speeds.txt") {
		t.Run(c.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSpeedCase()
				for _, words := range c.Lines {
					quicktest.Assert(t, s.step(words), quicktest.IsNil, quicktest.Commentf("%v", words))
				}
			})
		})
	}
}

// speedCase is the shard of a test case and the real speeds of its workers.
type speedCase struct {
	h      *shard
	random *rand.Rand
	config queue.Configuration
	groups map[string][]string // Names of workers by group.
	names  []string
	paces  map[string]float64 // Real factors by worker.
	jobs   int
}

func newSpeedCase() *speedCase {
	c := &speedCase{h: offlineShard(), random: rand.New(rand.NewPCG(1, 2)), groups: map[string][]string{}, paces: map[string]float64{}}
	c.h.Configuration = func() *queue.Configuration { return &c.config }
	c.h.Bounds.Policy.RemoteFactor = 3
	return c
}

func (c *speedCase) step(words []string) error {
	var numbers []float64
	for _, word := range words[1:] {
		if x, err := strconv.ParseFloat(word, 64); err == nil {
			numbers = append(numbers, x)
		}
	}
	switch words[0] {
	case "disabled":
		c.h.Bounds.DisableSpeeds = true
	case "queue":
		c.config.Queues = append(c.config.Queues, queue.Queue{Name: fmt.Sprint(len(c.config.Queues)), Service: "s", Priority: int(numbers[0]), Stretch: numbers[1]})
	case "workers":
		for range int(numbers[1]) {
			c.addWorker(words[1], numbers[0])
		}
	case "pace":
		for _, id := range c.groups[words[1]] {
			c.paces[id] = numbers[1]
		}
	case "restart":
		for _, id := range c.groups[words[1]] {
			w := c.h.workers[id]
			c.h.trackLaterIncarnation(w, incarnation.ID{Worker: id, Born: w.incarnation.Born + 1})
		}
	case "lost":
		for _, id := range c.groups[words[1]] {
			record := c.h.workers[id].Worker
			c.h.declareLost(c.h.workers[id], leasesExpired)
			c.track(&record)
		}
	case "gangs", "singles":
		for range int(numbers[0]) {
			if err := c.runJob(int(numbers[1]), words[0] == "gangs", words[3:]); err != nil {
				return err
			}
		}
	default:
		return c.expect(words, numbers)
	}
	return nil
}

func (c *speedCase) addWorker(group string, pace float64) {
	id := fmt.Sprintf("w%03d", len(c.names))
	c.groups[group], c.names, c.paces[id] = append(c.groups[group], id), append(c.names, id), pace
	c.track(&fleet.Worker{ID: id, Born: 1, Service: "s", Rack: "r", Capacity: job.Resources{Accelerators: 8}})
}

// track starts to track a worker as its record does, without polls.
func (c *speedCase) track(record *fleet.Worker) {
	w := workerOf(record)
	c.h.speeds.restoreSpeed(w)
	w.updateTimeFactor(c.h.speeds.sites["s"])
	c.h.workers[record.ID] = w
	c.h.sortedWorkers = nil
}

// runJob runs a job of one step on workers drawn at random and reports its progress every 0.3 s. A gang ends with its
// slowest member.
func (c *speedCase) runJob(size int, gang bool, words []string) error {
	c.jobs++
	id := job.ID(fmt.Sprint("j", c.jobs))
	step := job.Step{Count: size, Each: job.Resources{Accelerators: 1}, Estimate: workTime(words), Gang: gang, Checkpoints: true}
	if slices.Contains(words, "far") {
		step.DataRack = "other"
	}
	c.h.addJob(&job.Request{ID: id, Steps: []job.Step{step}, Terms: job.Terms{Queue: "0", Attempts: 3, Service: "s"}}, nil)
	j := c.h.jobs[id]
	workers := map[int]string{}
	for i, k := range c.random.Perm(max(size, len(c.names)))[:size] {
		workers[i] = c.names[k%len(c.names)]
	}
	d := c.h.demand(j, job.Group{}, time.Now())
	c.h.place(&d, workers, time.Now())
	var runs []*simulatedRun
	for i := range size {
		runs = append(runs, c.beginRun(c.h.workers[workers[i]].runs[j.TaskInGroup(job.Group{}, i)], words))
	}
	if slices.Contains(words, "waits") {
		time.Sleep(3 * time.Second)
		runs[0].confirmed = time.Now()
		for _, r := range runs {
			r.begins = time.Now()
		}
	}
	for c.advance(runs, gang, slices.Contains(words, "silent")) {
		time.Sleep(300 * time.Millisecond)
		c.h.updateSpeeds(time.Now())
	}
	if !j.Progress.State.Final() {
		return errors.Errorf("scheduler: job %s has not ended", id)
	}
	c.h.forget(id)
	return nil
}

// workTime returns the time of a task on a usual worker.
func workTime(words []string) time.Duration {
	if slices.Contains(words, "lengthy") {
		return 8 * time.Second
	}
	return 2 * time.Second
}

// simulatedRun is a run on a worker.
type simulatedRun struct {
	*run
	begins   time.Time
	saved    float64 // Share that was done before it was resumed.
	takes    time.Duration
	reported bool
}

func (c *speedCase) beginRun(r *run, words []string) *simulatedRun {
	s := &simulatedRun{run: r, begins: time.Now(), takes: scale(workTime(words), c.paces[r.worker.ID]*(0.7+0.6*c.random.Float64()))}
	r.confirmed, r.startAnswered = s.begins, true
	for _, word := range words {
		switch word {
		case "resumed":
			r.saved, s.saved = "state", 0.3
		case "adopted":
			r.adopted, r.startAnswered, r.remote = true, false, false
			s.begins = s.begins.Add(-scale(s.takes, 0.3))
		case "far":
			s.takes *= 3
		case "long":
			if c.random.IntN(100) < 3 {
				s.takes *= 7
			}
		}
	}
	return s
}

// advance reports the progress of runs, ends those that are done, and returns whether any is left.
func (c *speedCase) advance(runs []*simulatedRun, gang, silent bool) bool {
	left := false
	for _, r := range runs {
		done := r.saved + time.Since(r.begins).Seconds()/r.takes.Seconds()
		left = left || done < 1
		switch {
		case r.worker.runs[r.task] != r.run:
		case done < 1 && !silent:
			c.h.recordRunning(r.worker, &fleet.Run{Task: r.task, Run: r.number, Done: float64(int(100*done)) / 100})
		case done >= 1 && !gang:
			c.h.endRun(r.worker, r.run, job.Succeeded, "")
		}
	}
	for _, r := range runs {
		if !left && r.worker.runs[r.task] == r.run {
			c.h.endRun(r.worker, r.run, job.Succeeded, "")
		}
	}
	return left
}

func (c *speedCase) expect(words []string, numbers []float64) error {
	c.h.speeds.updatedAt = time.Time{}
	c.h.updateSpeeds(time.Now())
	view := c.h.updateView(time.Now())
	got := 0.0
	switch words[0] {
	case "used":
		used := false
		for i := range view.Workers {
			used = used || view.Workers[i].TimeFactor != 0 || view.Workers[i].TimeFactorHigh != 0
		}
		if used != (words[1] == "yes") {
			return errors.Errorf("scheduler: used %v: %+v", used, c.h.speeds.sites["s"])
		}
		return nil
	case "tight":
		got, numbers = view.Policy.TightFactor, append(numbers, numbers[0])
	case "usual":
		got = c.h.estimates.taskTime(request("new", 2*time.Second), 0).Seconds()
		if l := c.h.estimates.ofQueue("0"); l.runTimes.mean.count >= minSteps {
			got = l.runTimes.estimate(l.scaleDeclaredTime(2 * time.Second)).Seconds()
		}
	case "factor", "high", "expected":
		got, numbers = c.meanOf(view, words[0], c.groups[words[1]]), numbers[1:]
	default:
		return errors.Errorf("scheduler: unknown word %q", words[0])
	}
	if got < numbers[0] || got > numbers[1] {
		return errors.Errorf("scheduler: %v", got)
	}
	return nil
}

// meanOf returns the mean of a value over workers.
func (c *speedCase) meanOf(view *placement.View, value string, names []string) float64 {
	sum := 0.0
	for i := range view.Workers {
		w := &view.Workers[i]
		if !slices.Contains(names, w.ID) {
			continue
		}
		switch value {
		case "factor":
			sum += w.TimeFactor
		case "high":
			sum += w.TimeFactorHigh
		case "expected":
			r := &run{job: &trackedJob{Tracker: job.NewTracker(&job.Request{Terms: job.Terms{Queue: "0"}, Steps: []job.Step{{Count: 1, Estimate: 2 * time.Second}}}, nil)}, worker: c.h.workers[w.ID], placed: time.Now()}
			ends, _ := c.h.expectedEnd(r)
			sum += time.Until(ends).Seconds()
		}
	}
	return sum / float64(len(names))
}

// TestKnownSpeedsAreNotSlowMembers fails if a gang is restarted because its members' workers differ as known, or if a
// member that is far slower than its worker's known speed is not found.
func TestKnownSpeedsAreNotSlowMembers(t *testing.T) {
	for _, c := range []struct {
		name   string
		known  bool
		shares []float64 // Done after a second by members on workers of the factors 0.6, 0.6, 0.6 and 1.6.
		slow   int
	}{
		{"differ as known", true, []float64{0.6, 0.6, 0.6, 0.18}, 0},
		{"differ, unknown", false, []float64{0.6, 0.6, 0.6, 0.18}, 1},
		{"slower than known", true, []float64{0.6, 0.6, 0.6, 0.05}, 1},
		{"a fast worker is slow", true, []float64{0.6, 0.6, 0.1, 0.2}, 1},
	} {
		x := &allocation{}
		began := time.Unix(1000, 0)
		for i, share := range c.shares {
			w := workerOf(&fleet.Worker{ID: fmt.Sprint(i)})
			if c.known {
				w.speed.timeFactor = [...]float64{0.6, 0.6, 0.6, 1.6}[i]
			}
			r := &run{worker: w, confirmed: began}
			r.progress.update(share, began.Add(time.Second))
			x.runs = append(x.runs, r)
		}
		slow, _ := x.slowMembers()
		quicktest.Check(t, len(slow), quicktest.Equals, c.slow, quicktest.Commentf(c.name))
	}
}

// BenchmarkUpdateSpeeds updates the spread of all workers' speeds, which happens once a second under the shard's lock.
func BenchmarkUpdateSpeeds(b *testing.B) {
	for _, size := range []int{350, 12000} {
		b.Run(fmt.Sprintf("workers=%d", size), func(b *testing.B) {
			c := newSpeedCase()
			c.config.Queues = []queue.Queue{{Service: "s", Stretch: 1.5}}
			for n := range size {
				c.addWorker("", 1)
				w := c.h.workers[c.names[n]]
				for k := range 5 {
					w.speedOf().estimate.Observe([]float64{0.6, 1, 1.6}[n%3], 0.05, time.Unix(int64(k), 0))
				}
			}
			for b.Loop() {
				c.h.speeds.updatedAt = time.Time{}
				c.h.updateSpeeds(time.Now())
			}
		})
	}
}

// TestNoValueAtRiskOnTooSlowWorker fails if a run counts as in time that its worker ends late. Nothing is lost by a
// restart of such a run, so it is to be preempted rather than one that is in time.
func TestNoValueAtRiskOnTooSlowWorker(t *testing.T) {
	for factor, atRisk := range map[float64]bool{0: true, 0.6: true, 1.4: true, 2: false} {
		h, w := shardWithRun()
		w.speed.timeFactor = factor
		r := w.runs[job.Task{Job: "j"}]
		request := r.job.Request
		request.Steps[0].Estimate, request.Terms.Stretch, request.Accepted = 2*time.Second, 1.5, r.placed.UnixMilli()
		quicktest.Check(t, h.allocationView(r.allocation, r.placed).ValueAtRisk > 0, quicktest.Equals, atRisk, quicktest.Commentf("%v", factor))
	}
}

// TestSpeedsAreSorted fails if operators get the workers of a rack apart from each other, or in another order each time.
func TestSpeedsAreSorted(t *testing.T) {
	h := offlineShard()
	for _, w := range []fleet.Worker{{ID: "w3", Rack: "b"}, {ID: "w2", Rack: "a"}, {ID: "w1", Rack: "a"}} {
		h.workers[w.ID] = workerOf(&w)
	}
	h.current.Store(h)
	quicktest.Check(t, h.Speeds(), quicktest.DeepEquals, []SpeedReport{
		{Worker: "w1", Rack: "a", Factor: 1, High: 1}, {Worker: "w2", Rack: "a", Factor: 1, High: 1}, {Worker: "w3", Rack: "b", Factor: 1, High: 1},
	})
}

// TestRestartedWorkerIsUncertainAtOnce fails if decisions treat the speed of a restarted worker as certain until the
// next update of all speeds, a second later.
func TestRestartedWorkerIsUncertainAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := learnedSite(t)
		w := c.h.workers[c.names[0]]
		before := w.view(time.Now())
		c.h.trackLaterIncarnation(w, incarnation.ID{Worker: w.ID, Born: w.incarnation.Born + 1})
		after := w.view(time.Now())
		quicktest.Check(t, after.TimeFactorHigh > 1.2*before.TimeFactorHigh, quicktest.IsTrue,
			quicktest.Commentf("%v and %v", before.TimeFactorHigh, after.TimeFactorHigh))
		quicktest.Check(t, w.isSpeedUncertain(), quicktest.IsTrue)
	})
}
