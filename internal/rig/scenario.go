package rig

import (
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Scenario is what is played.
type Scenario struct {
	Boxes, Workers int
	Slots          int  // Tasks that fit on a worker.
	Alone          bool // Boxes don't call the store through each other.
	Heartbeat      time.Duration
	Lease          time.Duration
	Until          time.Duration // When it ends at the latest.
	Steps          []Step
}

// Step is what happens at a time after the boxes are ready.
type Step struct {
	At           time.Duration
	Target, Verb string
	Args         []string
	Line         int
	Count        int           // Tasks of a job, or busy processes.
	Work         time.Duration // Of a task.
}

// Parse reads a scenario: lines of a key with its value, and of "at TIME TARGET VERB ARGS". Targets are box-N, wN, "holder" (the box
// that schedules), "successor" (another box), "loaded" (the worker with the most runs), each of the first four with ".store" for its path
// to the store, each worker with ".proxy" for what stands before it; "client submit TASKS WORK"; and "machine busy PROCESSES".
func Parse(text string) (*Scenario, error) {
	s := &Scenario{Boxes: 2, Workers: 3, Slots: 4, Heartbeat: 1500 * time.Millisecond, Lease: 10 * time.Second, Until: 30 * time.Second}
	for i, line := range strings.Split(text, "\n") {
		line, _, _ = strings.Cut(line, "#")
		fields := strings.Fields(line)
		if len(fields) == 0 {
			continue
		}
		if err := s.take(fields, i+1); err != nil {
			return nil, errors.WithMessagef(err, "rig: line %d", i+1)
		}
	}
	if s.Boxes < 1 || s.Boxes > 3 || s.Workers < 1 || s.Workers > 12 || s.Until > untilMost {
		return nil, errors.Errorf("rig: 1 to 3 boxes, 1 to 12 workers, at most %s", untilMost)
	}
	return s, nil
}

func (s *Scenario) take(fields []string, line int) (err error) {
	if len(fields) < 2 {
		return errors.New("a key without a value")
	}
	switch fields[0] {
	case "boxes":
		s.Boxes, err = strconv.Atoi(fields[1])
	case "workers":
		s.Workers, err = strconv.Atoi(fields[1])
	case "slots":
		s.Slots, err = strconv.Atoi(fields[1])
	case "heartbeat":
		s.Heartbeat, err = time.ParseDuration(fields[1])
	case "lease":
		s.Lease, err = time.ParseDuration(fields[1])
	case "alone":
		s.Alone, err = strconv.ParseBool(fields[1])
	case "until":
		s.Until, err = time.ParseDuration(fields[1])
	case "at":
		return s.takeStep(fields[1:], line)
	default:
		return errors.Errorf("unknown key %q", fields[0])
	}
	return err
}

func (s *Scenario) takeStep(fields []string, line int) (err error) {
	if len(fields) < 3 {
		return errors.New("want a time, a target and a verb")
	}
	step := Step{Target: fields[1], Verb: fields[2], Args: fields[3:], Line: line}
	if step.At, err = time.ParseDuration(fields[0]); err != nil {
		return err
	}
	if n := len(s.Steps); n > 0 && s.Steps[n-1].At > step.At {
		return errors.New("earlier than the step before")
	}
	if step.Target == "client" || step.Target == "machine" {
		if len(step.Args) == 0 {
			return errors.New("want a number")
		}
		if step.Count, err = strconv.Atoi(step.Args[0]); err != nil {
			return err
		}
	}
	if step.Target == "client" {
		if len(step.Args) != 2 {
			return errors.New("want tasks and work")
		}
		step.Work, err = time.ParseDuration(step.Args[1])
	}
	s.Steps = append(s.Steps, step)
	return err
}
