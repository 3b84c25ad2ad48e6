package scheduler

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/fleet"
	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/internal/script"
)

// TestEndsOfUntrackedRunsAreApplied runs the cases of testdata/ends.txt. It fails if the end of a run that was
// presumed ended is acknowledged without being applied. Finished tasks then ran again, and failed runs were not counted
// as attempts. When a silent worker answered again, the box also stopped runs there that it had placed itself, with the
// reason "nobody placed it here".
func TestEndsOfUntrackedRunsAreApplied(t *testing.T) {
	for _, c := range script.Cases(t, "testdata/ends.txt") {
		p := &reportCase{h: offlineShard(), workers: map[string]*workerState{}}
		c.Run(t, p.step)
	}
}

// reportCase is the shard of a test case. It sends no commands because no worker has an address.
type reportCase struct {
	h       *shard
	workers map[string]*workerState // Last incarnation of each worker, including those declared lost.
}

func (c *reportCase) step(words []string) error {
	switch words[0] {
	case "job":
		return c.submit(words[1:])
	case "workers":
		for _, id := range words[1:] {
			c.addWorker(id)
		}
		return nil
	case "place":
		return c.place(words[1:])
	case "silent":
		c.h.loseRuns(c.workers[words[1]], leasesExpired)
		return nil
	case "gone":
		c.h.declareLost(c.workers[words[1]], recordGone)
		return nil
	case "returns":
		c.addWorker(words[1])
		return nil
	case "report":
		return c.report(words[1:])
	case "commit":
		return c.commit()
	}
	return c.expect(words)
}

func (c *reportCase) addWorker(id string) {
	w := workerOf(&fleet.Worker{ID: id})
	c.workers[id], c.h.workers[id] = w, w
	c.h.sortedWorkers = nil
}

func (c *reportCase) submit(words []string) error {
	r := &job.Request{ID: "j", Steps: []job.Step{{Count: 1}}, Terms: job.Terms{Attempts: 1}}
	for i := 0; i < len(words); i++ {
		if words[i] == "gang" {
			r.Steps[0].Gang = true
			continue
		}
		n, err := strconv.Atoi(words[i+1])
		if err != nil {
			return errors.Wrap(err, "scheduler: not a number")
		}
		switch words[i] {
		case "tasks":
			r.Steps[0].Count = n
		case "attempts":
			r.Terms.Attempts = n
		default:
			return errors.Errorf("scheduler: unknown word %q", words[i])
		}
		i++
	}
	c.h.addJob(r, nil)
	return nil
}

func (c *reportCase) place(names []string) error {
	demands := c.h.updateView(time.Now()).Demands
	if len(demands) != 1 || len(demands[0].Waiting) != len(names) {
		return errors.Errorf("scheduler: unexpected waiting demands: %+v", demands)
	}
	workers := map[int]string{}
	for n, i := range demands[0].Waiting {
		workers[i] = names[n]
	}
	c.h.place(&demands[0], workers, time.Now())
	return nil
}

func (c *reportCase) report(words []string) error {
	clock, err := strconv.ParseInt(words[1], 10, 64)
	if err != nil {
		return errors.Wrap(err, "scheduler: clock is not a number")
	}
	w := c.workers[words[0]]
	report, acknowledged := fleet.Report{Incarnation: w.incarnation, Clock: clock}, int64(0)
	part := ""
	for _, word := range words[2:] {
		if word == "more" {
			report.More = true
			continue
		}
		if word == "told" || word == "runs" || word == "ended" {
			part = word
			continue
		}
		switch part {
		case "told":
			acknowledged, err = strconv.ParseInt(word, 10, 64)
		case "runs":
			x := fleet.Run{Task: job.Task{Job: "j"}, Done: -1}
			_, err = fmt.Sscanf(word, "%d/%d", &x.Task.Index, &x.Run)
			report.Running = append(report.Running, x)
		case "ended":
			err = addEnd(&report, word)
		}
		if err != nil {
			return errors.Wrapf(err, "scheduler: %q", word)
		}
	}
	c.h.applyReport(w, &report, w.sendState(), acknowledged)
	return nil
}

// addEnd adds the end of a run to a report. The word "broken" instead changes the outcome of the end before it.
func addEnd(report *fleet.Report, word string) error {
	e, how := fleet.End{Task: job.Task{Job: "j"}}, ""
	if word == "broken" {
		report.Ended[len(report.Ended)-1].Outcome = job.GangBroken
		return nil
	}
	if _, err := fmt.Sscanf(word, "%d:%d/%d:%s", &e.Number, &e.Task.Index, &e.Run, &how); err != nil {
		return errors.Wrap(err, "scheduler: invalid end")
	}
	e.Outcome = map[string]job.Outcome{"succeeded": job.Succeeded, "failed": job.FailedRun, "stopped": job.Stopped, "gang": job.GangBroken}[how]
	report.Ended = append(report.Ended, e)
	return nil
}

// commit commits all changes and checks that no end would be acknowledged before its effect is committed.
func (c *reportCase) commit() error {
	dirty := c.h.dirtyJobs["j"]
	f := c.h.prepare(true)
	if dirty && f.batch.Progress["j"] == nil {
		return errors.New("scheduler: the batch lacks the job's progress")
	}
	for ends, a := range f.appliedEnds {
		ends.acknowledged = a.upTo
	}
	return nil
}

func (c *reportCase) expect(words []string) error {
	j := c.h.jobs["j"]
	got, want := "", strings.Join(words[2:], " ")
	index, _ := strconv.Atoi(words[1]) // The second word is a number only if a task is checked.
	task := j.Tasks(job.Group{})[index]
	switch words[0] {
	case "state":
		got, want = j.Progress.State.String(), words[1]
	case "task":
		got = task.State.String()
	case "failures":
		got = strconv.Itoa(task.Failures)
	case "follows":
		got = trackedRuns(c.workers[words[1]])
	case "acknowledges":
		got = strconv.FormatInt(c.workers[words[1]].acknowledged, 10)
	default:
		return errors.Errorf("scheduler: unknown step %q", words[0])
	}
	if got != want {
		return errors.Errorf("scheduler: got %q", got)
	}
	return nil
}

// trackedRuns lists the tracked runs of a worker.
func trackedRuns(w *workerState) string {
	var list []string
	for t, r := range w.runs {
		name := fmt.Sprintf("%d/%d", t.Index, r.number)
		if r.stopping {
			name += "/stopping"
		}
		list = append(list, name)
	}
	slices.Sort(list)
	return strings.Join(list, " ")
}
