package job

import "github.com/pulleyring/pulleyring/internal/incarnation"

// State is the state of a job as shown to its caller.
type State int

// States of a job. The last three are final.
const (
	Queued State = iota
	Running
	Completed
	Failed
	Cancelled
)

// String returns the state's name for logs.
func (s State) String() string {
	return [...]string{"queued", "running", "completed", "failed", "cancelled"}[s]
}

// Final reports whether the job has ended, so that the state never changes again.
func (s State) Final() bool { return s >= Completed }

// TaskState is the state of a task.
type TaskState int

// States of a task.
const (
	Waiting  TaskState = iota
	Placed             // A start command for a run was sent or is about to be, and the run's end is not known.
	Finished           // A run has succeeded.
)

// String returns the state's name for logs.
func (s TaskState) String() string {
	return [...]string{"waiting", "placed", "finished"}[s]
}

// TaskProgress is the stored state of a task.
type TaskProgress struct {
	_        struct{} `cbor:",toarray"`
	State    TaskState
	Run      int            // Number of the last run, from 1; 0 before the first.
	Failures int            // Number of failed runs; a gang's are counted at its first task.
	Worker   incarnation.ID // Worker of the last run.
	Saved    string         // Newest saved state; a gang's is kept at its first task.
}

// Progress is the stored state of a job. It takes one row of the store, and further rows for Faults and FailedRuns
// if they are not empty.
type Progress struct {
	_          struct{} `cbor:",toarray"`
	State      State
	EndedAt    int64 // Unix time in milliseconds at which the state became final; 0 before.
	GangRuns   []int // By step of each occurrence, for gangs only: number of the last run counted as failed.
	Tasks      []TaskProgress
	Faults     `cbor:"-"`
	FailedRuns FailedRuns `cbor:"-"`
	// OverflowRows is the number of rows of the store, beside its own, that the progress may take.
	OverflowRows int `cbor:"-"`
}

// FailedRuns are the numbers of the runs known to have failed, by task index; a gang's are kept at its first task.
// They have a row of their own, which boxes of earlier versions ignore.
type FailedRuns map[int][]int

// Total returns the number of runs of all tasks.
func (f FailedRuns) Total() int {
	n := 0
	for _, runs := range f {
		n += len(runs)
	}
	return n
}

// Faults are the worker losses and the failure of a job. They have a row of their own, as few jobs have any.
type Faults struct {
	_       struct{}       `cbor:",toarray"`
	Losses  map[int]Losses // By task index.
	Failure *Failure       // Why the job failed; nil if it did not.
}

// AnyFaults reports whether the job has any losses or a failure.
func (f *Faults) AnyFaults() bool { return len(f.Losses) > 0 || f.Failure != nil }

// Outcome is the way in which a run ended.
type Outcome int

// Outcomes of a run.
const (
	Succeeded    Outcome = iota
	FailedRun            // It failed, by its own fault or the worker's; the only outcome that counts as a failed attempt.
	Stopped              // It was stopped by a command of the scheduler.
	Expired              // Its lease expired, or its worker is gone.
	GangBroken           // Another member of the gang ended.
	GangTimedOut         // The other members of the gang did not start in time.
	NeverRan             // The start command was certainly not carried out and never will be.
)

// String returns the outcome's name for logs.
func (o Outcome) String() string {
	return [...]string{"succeeded", "failed", "stopped", "lapsed", "gang broken", "gang missing", "never ran"}[o]
}
