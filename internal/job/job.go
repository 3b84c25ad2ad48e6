// Package job holds jobs and their progress as plain data: the accepted request, the state of each task, and the
// methods that change the progress when a run is placed or ends. It does no I/O and reads no clock.
package job

import (
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// ID is the name that the caller gave a job.
type ID string

// Resources are the resources that a task requests or that a worker has.
type Resources struct {
	_            struct{} `cbor:",toarray"`
	MilliCPU     int64    // Thousandths of a core.
	MemoryMB     int64
	Accelerators int64
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	r.MilliCPU += o.MilliCPU
	r.MemoryMB += o.MemoryMB
	r.Accelerators += o.Accelerators
	return r
}

// Sub returns r less o.
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

// Cores returns the resources in cores; an accelerator counts as coresPerAccelerator.
func (r Resources) Cores() float64 {
	return float64(r.MilliCPU)/1000 + coresPerAccelerator*float64(r.Accelerators)
}

// coresPerAccelerator is the number of cores that cost as much as one accelerator, by the price rules of the
// users.
const coresPerAccelerator = 8

// Step is a set of identical tasks of a job.
type Step struct {
	_             struct{} `cbor:",toarray"`
	Count         int
	Each          Resources     // Resources that each task requests.
	Estimate      time.Duration // Run time of a task as the caller expects it; may be far off.
	After         []int         // Indexes of the steps that must be finished before this one starts.
	Gang          bool          // All tasks run at the same time or not at all.
	RackLocal     bool          // A gang that spans racks is slowed down by the site's cross-rack factor.
	Label         string        // Label that the worker must have; empty for any worker.
	DataRack      string        // Rack with the data; elsewhere a task is slower by the cross-rack factor. Empty if none.
	MostPerWorker int           // Maximum number of tasks of one occurrence on a worker; 0 for no limit.
	Checkpoints   bool          // Tasks can save their state and continue from it.
	Copies        bool          // A second copy of a task may run at the same time.
	Lasting       bool          // Tasks run until the job is cancelled and are restarted whenever they end.
}

// Schedule repeats the steps of a job; with the zero value they run once, immediately.
type Schedule struct {
	_     struct{}      `cbor:",toarray"`
	Times int           // Number of occurrences; 0 for a job without a schedule.
	First int64         // Start of the first occurrence, Unix time in milliseconds.
	Every time.Duration // Interval between two occurrences.
}

// Terms are the queue's settings for a job, as they were when the job was accepted.
type Terms struct {
	_         struct{} `cbor:",toarray"`
	Queue     string
	Service   string
	Workspace string
	Priority  int           // 0 is the highest priority.
	Attempts  int           // Number of failed runs of a task or gang after which the job fails.
	Stretch   float64       // Allowed duration of the job, as a multiple of its longest chain of dependent work.
	Objective time.Duration // Time added to the allowed duration.
}

// Request is a job as it was accepted.
type Request struct {
	_        struct{} `cbor:",toarray"`
	ID       ID
	Terms    Terms
	Payload  string // What the tasks run; passed to the workers unread.
	Steps    []Step
	Schedule Schedule
	Accepted int64 // Unix time in milliseconds, by the clock of the accepting box.
}

// Occurrences returns how often the steps run.
func (r *Request) Occurrences() int { return max(r.Schedule.Times, 1) }

// TasksPerOccurrence returns the number of tasks of all steps.
func (r *Request) TasksPerOccurrence() int {
	n := 0
	for i := range r.Steps {
		n += r.Steps[i].Count
	}
	return n
}

// Due returns the Unix time in milliseconds from which an occurrence may start.
func (r *Request) Due(occurrence int) int64 {
	if r.Schedule.Times == 0 {
		return r.Accepted
	}
	return r.Schedule.First + int64(occurrence)*r.Schedule.Every.Milliseconds()
}

// MaxTasks is the maximum number of tasks of a job. Its progress must fit into one row of the store: 64 KiB, at
// about 40 bytes a task.
const MaxTasks = 1200

// MaxSteps is the maximum number of steps of a job.
const MaxSteps = 64

// Validate returns an error that describes the first reason why the request can't run, or nil if there is none.
func (r *Request) Validate() error {
	if len(r.Steps) == 0 || len(r.Steps) > MaxSteps {
		return errors.Errorf("job: %d steps, want 1 to %d", len(r.Steps), MaxSteps)
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

// Task identifies a task of a job.
type Task struct {
	Job                     ID
	Occurrence, Step, Index int
}

// String returns the name under which workers know the task.
func (t Task) String() string {
	return string(t.Job) + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// ParseTask parses a task name as String returns it.
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
