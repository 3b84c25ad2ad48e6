package node

import (
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/emulator"
	"github.com/pulleyring/pulleyring/internal/job"
)

// connectionCommand makes a live worker look lost, to all boxes or to one, or ends that.
func (w *world) connectionCommand(words []string, id string) error {
	if words[0] == "hold_back" || words[0] == "answers" {
		d, err := time.ParseDuration(words[2])
		if err != nil {
			return err
		}
		if words[0] == "answers" {
			return w.fleet.DelayAnswers(id, d)
		}
		return w.fleet.DelayNextPollAnswer(id, d)
	}
	if words[0] == "heal" || len(words) == 2 && words[0] == "cut" {
		return w.fleet.Cut(id, words[0] == "cut")
	}
	for _, box := range w.boxesNamed(words[2:]) {
		change, on := w.fleet.CloseConnections, words[0] == "shut"
		if words[0] == "cut" {
			change, on = w.fleet.CutFrom, true
		}
		if err := change(id, box, on); err != nil {
			return err
		}
	}
	return nil
}

// boxesNamed returns the boxes that a condition applies to: one box, the holder of the lease, all others, or with no
// word all boxes, which is the empty name.
func (w *world) boxesNamed(words []string) []string {
	switch {
	case len(words) == 0:
		return []string{""}
	case words[0] != "others":
		return []string{w.named(words[0])}
	}
	holder := w.holder()
	return slices.DeleteFunc(slices.Clone(w.clientBoxes), func(name string) bool { return name == holder })
}

// nameWorker gives a name to the worker that runs a task of a job: the first task, or the one with an index. It waits
// until the task runs, unless a worker is given for that case.
func (w *world) nameWorker(words []string) error {
	task := job.Task{Job: job.ID(words[2])}
	if len(words) > 3 {
		var err error
		if task.Index, err = strconv.Atoi(words[3]); err != nil {
			return err
		}
	}
	for end := time.Now().Add(runStartTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		worker, _ := w.fleet.TaskLocation(task)
		if worker == "" && words[0] == "meet" {
			worker = words[4]
		}
		if worker != "" {
			w.names[words[1]] = worker
			return nil
		}
	}
	return errors.New("the task does not run")
}

// workerNamed returns the worker that a script has named, or the worker with that ID.
func (w *world) workerNamed(name string) string {
	if id, ok := w.names[name]; ok {
		return id
	}
	return name
}

// endWorkerWith ends the process of the worker on which the next run of a job completes.
func (w *world) endWorkerWith(id job.ID, words []string) {
	w.fleet.ExitAfterRun(id, emulator.ExitMode{LosesAnswers: slices.Contains(words, "lost"), Crash: slices.Contains(words, "crash"), AtDeparture: slices.Contains(words, "due")})
}

// applyToAllWorkers runs a worker command on every worker that was added.
func (w *world) applyToAllWorkers(words []string) error {
	for _, id := range w.workers {
		one := slices.Clone(words)
		one[1] = id
		if err := w.workerCommand(one); err != nil {
			return err
		}
	}
	return nil
}

// setStopTime sets how long a stop takes.
func (w *world) setStopTime(text string) error {
	d, err := time.ParseDuration(text)
	w.fleet.SetStopDuration(d)
	return err
}

// drift sets the share by which the clocks of workers are slow.
func (w *world) drift(text string) error {
	share, err := strconv.ParseFloat(text, 64)
	w.fleet.SetDrift(share)
	return err
}

// healWorkers ends every fault of the workers that were added.
func (w *world) healWorkers() error {
	for _, end := range []string{"open", "heal", "record", "well", "unspoil", "take", "unstick"} {
		if err := w.applyToAllWorkers([]string{end, "all"}); err != nil {
			return err
		}
	}
	return nil
}

// setRetention sets how long jobs are shown after their end.
func (w *world) setRetention(text string) error {
	d, err := time.ParseDuration(text)
	w.retain = d
	return err
}

// attempts returns how many failed runs of a task make a job of a queue fail.
func (w *world) attempts(queueName string) int {
	for i := range w.operator.current.Queues {
		if q := &w.operator.current.Queues[i]; q.Name == queueName {
			return q.Attempts
		}
	}
	return 0
}

// weakFor is how long a box counts as weak. No command ends it.
const weakFor = 24 * time.Hour

// noteImpairment tells the emulator, which judges the runs, which boxes, links or stores are impaired.
func (w *world) noteImpairment(words []string) {
	switch words[0] {
	case "store":
		w.fleet.SetStoreFaulty(words[1] != "up" && words[1] != "compact")
	case "part":
		w.fleet.SetStoreFaulty(true)
	case "weak":
		w.fleet.ImpairUntil(time.Now().Add(weakFor))
	case "freeze":
		d, err := time.ParseDuration(words[2])
		if err != nil {
			return // The command fails.
		}
		w.fleet.ImpairUntil(time.Now().Add(d))
	case "kill", "stop", "start", "lose", "boxes":
		w.fleet.ImpairUntil(time.Now())
	}
}
