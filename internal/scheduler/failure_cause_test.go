package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/fleet"
	"github.com/pulleyring/pulleyring/internal/incarnation"
	"github.com/pulleyring/pulleyring/internal/job"
)

// causeCase describes a shard in which runs of jobs fail as soon as they have begun.
type causeCase struct {
	name        string
	workers     int
	workspaces  int // Over which the jobs are divided.
	jobs, tasks int
	gang, lasts bool
	bad         int // Workers that fail every run; 0 if all runs fail wherever they are.
	rounds      int
	quarantined int // The most workers that may be quarantined at the end.
	known       int // The fewest of the bad workers that must be.
}

// TestQuarantineFollowsTheCause fails if jobs that fail wherever they run have workers quarantined for everybody, or if
// workers that fail whatever runs there are not.
func TestQuarantineFollowsTheCause(t *testing.T) {
	for _, c := range []causeCase{
		{name: "one task that lasts", workers: 24, workspaces: 1, jobs: 1, tasks: 1, lasts: true, rounds: 10},
		{name: "one task that lasts on two workers", workers: 2, workspaces: 1, jobs: 1, tasks: 1, lasts: true, rounds: 10},
		{name: "wide", workers: 24, workspaces: 1, jobs: 1, tasks: 240, rounds: 1},
		{name: "wide, lasting", workers: 24, workspaces: 2, jobs: 10, tasks: 100, lasts: true, rounds: 6},
		{name: "gang", workers: 24, workspaces: 1, jobs: 1, tasks: 12, gang: true, lasts: true, rounds: 6},
		{name: "small jobs of one workspace", workers: 24, workspaces: 1, jobs: 100, tasks: 1, rounds: 1},
		{name: "bad workers", workers: 48, workspaces: 4, jobs: 40, tasks: 10, bad: 5, rounds: 3, quarantined: 5, known: 5},
		{name: "bad workers, wide job", workers: 48, workspaces: 1, jobs: 1, tasks: 480, bad: 8, rounds: 2, quarantined: 8, known: 8},
		{name: "bad workers, gangs", workers: 100, workspaces: 2, jobs: 20, tasks: 30, gang: true, bad: 9, rounds: 2, quarantined: 9, known: 9},
	} {
		inBubble(t, c.name, func(t *testing.T) { c.play(t) })
	}
}

func (c *causeCase) play(t *testing.T) {
	h := offlineShard()
	for k := range c.workers {
		id := fmt.Sprint("w", k)
		h.workers[id] = workerOf(&fleet.Worker{ID: id, Service: "s"})
	}
	for n := range c.jobs {
		r := request(fmt.Sprint("j", n), 4*time.Second)
		r.Terms.Workspace, r.Terms.Attempts = fmt.Sprint("workspace", n%c.workspaces), 100
		r.Steps[0].Count, r.Steps[0].Gang, r.Steps[0].Lasting = c.tasks, c.gang, c.lasts
		h.addJob(r, nil)
	}
	next := 0
	for range c.rounds {
		for _, j := range h.jobs {
			c.place(h, j, &next)
		}
		time.Sleep(30 * time.Millisecond)
		c.fail(h)
		time.Sleep(time.Second)
	}
	quarantined, known := 0, 0
	for id, w := range h.workers {
		if w.failureScore.quarantined(time.Now()) {
			quarantined++
			if c.isBad(id) {
				known++
			}
		}
	}
	quicktest.Check(t, quarantined <= c.quarantined, quicktest.IsTrue, quicktest.Commentf("%d quarantined, at most %d", quarantined, c.quarantined))
	quicktest.Check(t, known >= c.known, quicktest.IsTrue, quicktest.Commentf("%d bad workers known, at least %d", known, c.known))
}

// place places all waiting tasks of a job on workers that are not quarantined, in turn.
func (c *causeCase) place(h *shard, j *trackedJob, next *int) {
	workers := map[int]incarnation.ID{}
	for i, p := range j.Tasks(job.Group{}) {
		if p.State != job.Waiting {
			continue
		}
		for range c.workers {
			*next++
			if !h.workers[fmt.Sprint("w", *next%c.workers)].failureScore.quarantined(time.Now()) {
				break
			}
		}
		workers[i] = incarnation.ID{Worker: fmt.Sprint("w", *next%c.workers)}
	}
	for _, o := range j.Place(job.Group{}, workers) {
		h.addRun(h.workers[o.Worker.Worker], &run{incarnation: o.Worker, task: o.Task, number: o.Run, job: j, placed: time.Now(), confirmed: time.Now()})
	}
}

func (c *causeCase) isBad(worker string) bool {
	var k int
	_, err := fmt.Sscanf(worker, "w%d", &k)
	return err == nil && k < c.bad
}

// fail ends the runs that fail, then the others: broken, or succeeded.
func (c *causeCase) fail(h *shard) {
	rest := job.Succeeded
	if c.gang {
		rest = job.GangBroken
	}
	for _, failing := range []bool{true, false} {
		for id, w := range h.workers {
			for _, r := range w.runs {
				switch {
				case failing && (c.bad == 0 || c.isBad(id)):
					h.endRun(w, r, job.FailedRun, "")
				case !failing:
					h.endRun(w, r, rest, "")
				}
			}
		}
	}
}

// TestRestartPause fails if a task that lasts and ends early is started again at once all the time, if the pause lets it
// stand still for long, or if the pause stays after a run of usual length.
func TestRestartPause(t *testing.T) {
	inBubble(t, "pause", func(t *testing.T) {
		for _, outcome := range []job.Outcome{job.FailedRun, job.Succeeded} {
			r := request("a", time.Second)
			r.Steps[0].Lasting = true
			j := &trackedJob{Tracker: job.NewTracker(r, nil)}
			sum := time.Duration(0)
			for n := range 20 {
				j.recordRestart(&run{job: j, task: job.Task{Job: "a"}, number: n + 1, placed: time.Now(), confirmed: time.Now()}, outcome, time.Now())
				pause := time.Duration(0)
				for j.crashLoops.isPaused(job.Task{Job: "a"}, r, time.Now()) {
					time.Sleep(time.Millisecond)
					pause += time.Millisecond
				}
				quicktest.Check(t, pause <= maxLoopPause, quicktest.IsTrue)
				quicktest.Check(t, n > 0 || pause == 0, quicktest.IsTrue)
				sum += pause
			}
			quicktest.Check(t, sum > 20*time.Second, quicktest.IsTrue, quicktest.Commentf("%s", sum))
			j.recordRestart(&run{job: j, task: job.Task{Job: "a"}, number: 30, placed: time.Now().Add(-shortRun), confirmed: time.Now().Add(-shortRun)}, outcome, time.Now())
			quicktest.Check(t, j.crashLoops.isPaused(job.Task{Job: "a"}, r, time.Now()), quicktest.IsFalse)
		}
	})
}
