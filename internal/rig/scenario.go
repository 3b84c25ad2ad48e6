package rig

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Scenario describes the processes and settings of a play, and the steps that happen in it.
type Scenario struct {
	Boxes, Workers int
	Slots          int     // Number of tasks that fit on a worker.
	Alone          int     // 1 if boxes don't forward calls to the store through each other.
	Uneven         int     // 1 if the workers differ in speed.
	MayFail        int     // 1 if jobs may fail after using up their attempts.
	Drift          float64 // Fraction by which the workers' clocks run slow.
	Heartbeat      time.Duration
	Lease          time.Duration
	Until          time.Duration // Maximum length of the play.
	Steps          []Step
}

// Step is one action at a time after the boxes are ready.
type Step struct {
	At           time.Duration
	Target, Verb string
	Args         []string
	Line         int
	Count        int           // Number of tasks of a job, or of busy processes.
	Work         time.Duration // Run time of a task.
}

// maxBoxes and maxWorkers limit the processes of a scenario. Each box and worker has a proxy, so these are a few
// hundred processes.
const maxBoxes, maxWorkers = 12, 100

// Parse reads a scenario. A line is either a key and its value, or "at TIME TARGET VERB ARGS". The targets are:
//
//	box-N, wN      a box or a worker
//	holder         the box that schedules
//	loaded         the worker with the most runs
//	box-N.store    the proxy between a box and the store
//	wN.proxy       the proxy in front of a worker
//	store          the store
//	operator       "configure next" puts the next version of the configuration in force
//	client         "submit TASKS WORK" submits a job
//	machine        "busy PROCESSES" keeps that many cores busy
//
// The verb "return" restarts a worker under a new name, "again" restarts it under its own name, and "twin" starts a
// second process of a box. Options of a submitted job are "gang", "ordered" (two steps), "once" (no retry after a
// refusal) and the time after which the client cancels it.
func Parse(text string) (*Scenario, error) {
	s := &Scenario{Boxes: 2, Workers: 3, Slots: 4, Heartbeat: 1500 * time.Millisecond, Lease: 10 * time.Second, Until: 30 * time.Second}
	for i, line := range strings.Split(text, "\n") {
		line, _, _ = strings.Cut(line, "#")
		fields := strings.Fields(line)
		if len(fields) == 0 {
			continue
		}
		if err := s.parseLine(fields, i+1); err != nil {
			return nil, errors.WithMessagef(err, "rig: line %d", i+1)
		}
	}
	if s.Boxes < 1 || s.Boxes > maxBoxes || s.Workers < 1 || s.Workers > maxWorkers || s.Until > maxLength {
		return nil, errors.Errorf("rig: a scenario needs 1 to %d boxes, 1 to %d workers and an end within %s", maxBoxes, maxWorkers, maxLength)
	}
	return s, nil
}

func (s *Scenario) parseLine(fields []string, line int) (err error) {
	numbers := map[string]*int{"boxes": &s.Boxes, "workers": &s.Workers, "slots": &s.Slots, "alone": &s.Alone, "uneven": &s.Uneven, "may_fail": &s.MayFail}
	times := map[string]*time.Duration{"heartbeat": &s.Heartbeat, "lease": &s.Lease, "until": &s.Until}
	key, values := fields[0], fields[1:]
	switch {
	case key == "at" && len(values) >= 3:
		return s.parseStep(values, line)
	case numbers[key] != nil && len(values) == 1:
		*numbers[key], err = strconv.Atoi(values[0])
	case times[key] != nil && len(values) == 1:
		*times[key], err = time.ParseDuration(values[0])
	case key == "drift" && len(values) == 1:
		s.Drift, err = strconv.ParseFloat(values[0], 64)
	default:
		return errors.Errorf("%q is not understood", strings.Join(fields, " "))
	}
	return err
}

func (s *Scenario) parseStep(fields []string, line int) (err error) {
	step := Step{Target: fields[1], Verb: fields[2], Args: fields[3:], Line: line}
	if step.At, err = time.ParseDuration(fields[0]); err != nil {
		return err
	}
	if n := len(s.Steps); n > 0 && s.Steps[n-1].At > step.At {
		return errors.New("the step is earlier than the one before it")
	}
	required := map[string]int{"client": 2, "machine": 1}[step.Target]
	if len(step.Args) < required {
		return errors.Errorf("want %d values", required)
	}
	if required > 0 {
		step.Count, err = strconv.Atoi(step.Args[0])
	}
	if required > 1 && err == nil {
		step.Work, err = time.ParseDuration(step.Args[1])
		err = firstError(err, checkOptions(step.Args[2:]))
	}
	s.Steps = append(s.Steps, step)
	return err
}

// checkOptions returns an error if a word after a job's tasks and work is not an option or a duration.
func checkOptions(words []string) error {
	for _, word := range words {
		if slices.Contains([]string{"gang", "ordered", "once"}, word) {
			continue
		}
		if _, err := time.ParseDuration(word); err != nil {
			return errors.Wrap(err, "unknown option of a job")
		}
	}
	return nil
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
