package node

import (
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/emulator"
	"github.com/pulleyring/pulleyring/internal/job"
)

// signCommand makes a worker look gone that lives, to all boxes or to one, or ends that.
func (w *world) signCommand(words []string, id string) error {
	box := ""
	if len(words) > 2 {
		box = w.named(words[2])
	}
	switch words[0] {
	case "cut":
		if box != "" {
			return w.fleet.CutFrom(id, box, true)
		}
		return w.fleet.Cut(id, true)
	case "heal":
		return w.fleet.Cut(id, false)
	case "shut", "open":
		return w.fleet.Shut(id, box, words[0] == "shut")
	}
	d, err := time.ParseDuration(box)
	if err != nil {
		return err
	}
	return w.fleet.HoldBack(id, d)
}

// nameWorker gives the worker a name that runs a job's first task, once it runs.
func (w *world) nameWorker(name string, id job.ID) error {
	for end := time.Now().Add(strikeWithin); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if worker, _ := w.fleet.WhereRuns(job.Task{Job: id}); worker != "" {
			w.names[name] = worker
			return nil
		}
	}
	return errors.New("it does not run")
}

// workerNamed is the worker of a name, which is its own where no script gave it.
func (w *world) workerNamed(name string) string {
	if id, ok := w.names[name]; ok {
		return id
	}
	return name
}

// endWith ends the process of the worker on which a job's next run is done.
func (w *world) endWith(id job.ID, words []string) {
	w.fleet.EndWith(id, emulator.LastMoments{Lost: slices.Contains(words, "lost"), Crash: slices.Contains(words, "crash")})
}

// attempts is how many failed runs of a task end a job of a queue.
func (w *world) attempts(queueName string) int {
	for i := range w.operator.current.Queues {
		if q := &w.operator.current.Queues[i]; q.Name == queueName {
			return q.Attempts
		}
	}
	return 0
}

// weakFor is for how long a box counts as weak, which nothing ends.
const weakFor = 24 * time.Hour

// noteImpairment tells the judge what is wrong with boxes, their links and the store.
func (w *world) noteImpairment(words []string) {
	switch words[0] {
	case "store":
		w.fleet.Ail(words[1] != "up" && words[1] != "compact")
	case "part":
		w.fleet.Ail(true)
	case "weak":
		w.fleet.Impair(time.Now().Add(weakFor))
	case "freeze":
		d, err := time.ParseDuration(words[2])
		if err != nil {
			return // The command fails.
		}
		w.fleet.Impair(time.Now().Add(d))
	case "kill", "stop", "start", "lose", "boxes":
		w.fleet.Impair(time.Now())
	}
}
