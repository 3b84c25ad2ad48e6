// Package job is the life of a job as plain data and pure steps: what was handed in, what has become of each task, and
// what an order, an end or a loss changes. It does no I/O and reads no clock.
package job

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// ID is the caller's name of a job.
type ID string

// Resources are what a task asks for or a worker has.
type Resources struct {
	_            struct{} `cbor:",toarray"`
	MilliCPU     int64    // Thousandths of a core.
	MemoryMB     int64
	Accelerators int64
}

// Add returns the sum.
func (r Resources) Add(o Resources) Resources {
	r.MilliCPU += o.MilliCPU
	r.MemoryMB += o.MemoryMB
	r.Accelerators += o.Accelerators
	return r
}

// Sub returns the difference.
func (r Resources) Sub(o Resources) Resources {
	r.MilliCPU -= o.MilliCPU
	r.MemoryMB -= o.MemoryMB
	r.Accelerators -= o.Accelerators
	return r
}

// Fits reports whether o fits into r.
func (r Resources) Fits(o Resources) bool {
	return o.MilliCPU <= r.MilliCPU && o.MemoryMB <= r.MemoryMB && o.Accelerators <= r.Accelerators
}

// Cores is the use in cores, an accelerator counted as acceleratorCores.
func (r Resources) Cores() float64 {
	return float64(r.MilliCPU)/1000 + acceleratorCores*float64(r.Accelerators)
}

// acceleratorCores is what an accelerator counts for in cores (the users' rules on prices).
const acceleratorCores = 8

// Step is a number of like tasks of a job.
type Step struct {
	_             struct{} `cbor:",toarray"`
	Count         int
	Each          Resources     // What every task asks for.
	Estimate      time.Duration // The caller's guess at a task's run time; may be far off.
	After         []int         // Steps whose tasks must all be done before.
	Gang          bool          // The tasks run only all together.
	RackLocal     bool          // A gang spread over racks is slower by the site's far factor.
	Label         string        // A label that the worker must have; empty for any.
	DataRack      string        // Elsewhere a task is slower by the site's far factor; empty for anywhere.
	MostPerWorker int           // At most so many tasks of one occurrence on a worker; 0 for no limit.
	Checkpoints   bool
	Copies        bool // Copies of a task may run side by side.
	Lasting       bool // Tasks run until the job is cancelled and are started again however they end.
}

// Schedule repeats the steps of a job; the zero value runs them once, at once.
type Schedule struct {
	_     struct{} `cbor:",toarray"`
	Times int
	First int64         // Unix time in milliseconds.
	Every time.Duration // Between two occurrences.
}

// Terms is what the queue promises a job; they are those in force when the job was accepted.
type Terms struct {
	_         struct{} `cbor:",toarray"`
	Queue     string
	Service   string
	Workspace string
	Priority  int     // 0 goes first.
	Attempts  int     // Failed runs of a task, or of a gang, after which the job has failed.
	Stretch   float64 // Times the longest chain of work that a job may take...
	Objective time.Duration
}

// Request is a job as it was handed in and accepted.
type Request struct {
	_        struct{} `cbor:",toarray"`
	ID       ID
	Terms    Terms
	Payload  string // What the tasks run; passed on as it is.
	Steps    []Step
	Schedule Schedule
	Accepted int64 // Unix time in milliseconds, by the accepting box.
}

// Occurrences is how often the steps run.
func (r *Request) Occurrences() int { return max(r.Schedule.Times, 1) }

// TasksPerOccurrence is the number of tasks of all steps.
func (r *Request) TasksPerOccurrence() int {
	n := 0
	for i := range r.Steps {
		n += r.Steps[i].Count
	}
	return n
}

// Due is the Unix time in milliseconds at which an occurrence may start.
func (r *Request) Due(occurrence int) int64 {
	if r.Schedule.Times == 0 {
		return r.Accepted
	}
	return r.Schedule.First + int64(occurrence)*r.Schedule.Every.Milliseconds()
}

// MaxTasks bounds the tasks of a job, so that its progress fits into one row of the store (64 KiB, about 40 bytes a task).
const MaxTasks = 1200

// maxSteps bounds the steps of a job.
const maxSteps = 64

// Validate reports the first thing that makes a request impossible to carry out.
func (r *Request) Validate() error {
	if len(r.Steps) == 0 || len(r.Steps) > maxSteps {
		return errors.Errorf("job: %d steps, want 1 to %d", len(r.Steps), maxSteps)
	}
	for i := range r.Steps {
		if err := r.Steps[i].validate(i); err != nil {
			return errors.WithMessagef(err, "job: step %d", i)
		}
	}
	if r.Schedule.Times < 0 || r.Schedule.Times > MaxTasks {
		return errors.New("job: the number of occurrences is out of range")
	}
	if n := r.TasksPerOccurrence() * r.Occurrences(); n > MaxTasks {
		return errors.Errorf("job: %d tasks, at most %d", n, MaxTasks)
	}
	return nil
}

func (s *Step) validate(index int) error {
	if s.Count <= 0 || s.Count > MaxTasks {
		return errors.New("the number of tasks is out of range")
	}
	if s.Each.MilliCPU < 0 || s.Each.MemoryMB < 0 || s.Each.Accelerators < 0 || s.Estimate < 0 || s.MostPerWorker < 0 {
		return errors.New("a figure is negative")
	}
	for _, a := range s.After {
		if a < 0 || a >= index {
			return errors.New("it waits for a step that is not an earlier one")
		}
	}
	return nil
}

// Task names one task of a job.
type Task struct {
	Job                     ID
	Occurrence, Step, Index int
}

// String returns the name that workers know the task by.
func (t Task) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Occurrence, t.Step, t.Index)
}

// ParseTask reads a task's name.
func ParseTask(name string) (Task, error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return Task{}, errors.Errorf("job: %q is no task", name)
	}
	var n [3]int
	for i := range n {
		v, err := strconv.Atoi(parts[i+1])
		if err != nil {
			return Task{}, errors.Errorf("job: %q is no task", name)
		}
		n[i] = v
	}
	return Task{ID(parts[0]), n[0], n[1], n[2]}, nil
}
