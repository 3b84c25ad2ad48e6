// Package placement decides which tasks start where and which work is preempted. A decision is a pure
// function of a view: it does no I/O and reads no clock, and the same view gives the same decision.
package placement

import (
	"time"

	"github.com/pulleyring/pulleyring/internal/headroom"
	"github.com/pulleyring/pulleyring/internal/job"
)

// View is the complete input of a decision.
type View struct {
	Now         time.Time
	Workers     []Worker
	Demands     []Demand
	Allocations []Allocation
	Policy      Policy
	// Headroom is what is kept free for urgent work; nil to keep nothing.
	Headroom []headroom.Kept
	// MaxStarts limits the tasks that start, in equal shares of at least minStartShare for the workspaces with demands. A
	// gang may exceed it. 0 means no limit.
	MaxStarts int
}

// Policy holds the site's settings that affect decisions.
type Policy struct {
	// RemoteFactor is the factor by which a run takes longer if a task is not in the rack of its data, or if a gang
	// is spread across racks.
	RemoteFactor         float64
	GuaranteedStartLimit time.Duration // Time within which guaranteed work must start.
	MaxStopTime          time.Duration // Longest time that a stop takes.
	WasteCost            float64       // Cost of a core-second of lost work, in the unit of Demand.Value.
	// TightFactor is the smallest allowed duration of urgent work, as a multiple of its run time; 0 if there is none.
	TightFactor float64
}

// Worker is the state of a worker as last observed by the scheduler.
type Worker struct {
	ID          string
	Service     string
	Rack        string
	Labels      []string
	Capacity    job.Resources
	Free        job.Resources // Capacity not used by any run whose end has not been reported.
	Freeing     job.Resources // Capacity used by runs that are being stopped.
	AcceptsRuns bool          // Accepts new runs.
	Quarantined bool          // Would accept new runs, but those on it fail or stand still.
	HallClosed  bool          // No work may start in its hall.
	Unproven    bool          // Some workers fail every task at present, and no task has succeeded here since that began.
	// SuspectJob is a job that may crash workers and has just started here, so that it is not known yet whether it
	// crashes this one; empty for none.
	SuspectJob   job.ID
	JustStarted  job.ID  // Job that has just started here, suspected or not; empty for none.
	FailureScore float64 // Failure score: 0 without recent failures; higher is worse.
	Slowness     float64 // Factor by which runs take longer here than on other workers; 0 or 1 if they don't.
	// TimeFactor is the expected run time here as a multiple of that on a usual worker; 0 or 1 for a usual worker.
	TimeFactor float64
	// TimeFactorHigh is a factor that the real one exceeds in one case of ten only; 0 or 1 for a usual worker.
	TimeFactorHigh float64
}

// Demand is a group of tasks that are ready to start.
type Demand struct {
	Job                       job.ID
	Group                     job.Group
	Workspace                 string
	Service                   string
	Priority                  int
	Step                      *job.Step
	Waiting                   []int           // Indexes of the waiting tasks.
	Placed                    map[string]int  // Number of tasks of this group that already run, by worker.
	Avoid                     map[string]bool // Workers where it failed or could not start; used only as a last resort.
	ReadySince                time.Time       // Time since which it is ready to start.
	Remaining                 time.Duration   // Expected time from its start to the end of the job.
	TaskTime                  time.Duration   // The part of Remaining that one of its tasks runs on a usual worker.
	Goal                      time.Time       // Ending by this time earns the full value.
	LastGoal                  time.Time       // Ending by this time earns LateValue.
	Value                     float64         // Value that the job earns at most.
	LateValue                 float64         // Value that the job earns between Goal and LastGoal.
	Work                      float64         // Expected core-seconds left in the job.
	Guaranteed                bool            // Within the guarantee of its workspace, and of priority 0.
	Reservation               map[int]string  // Capacity reserved for it: worker by task index.
	ReservedWithoutPreemption bool            // Its reservation was made without preemption.
	// LastAttempts are the waiting tasks that have failed before and are not retried after the next
	// failure. Of a gang it contains all tasks or none.
	LastAttempts map[int]bool
	// AntiAffinity are the jobs that were lost together with this one. Its tasks start on other workers than
	// those jobs where that is possible.
	AntiAffinity map[job.ID]bool
	Suspect      bool // Workers were lost as soon as its tasks had started there, so it may crash them.
	// Exclusive is set if enough worker losses count against its tasks that they must run where nothing else
	// runs. The next loss then shows whether they crash workers.
	Exclusive        bool
	NoPreemptionPlan bool // A recent search for preemption found no plan.
	// PausedUntil is set after it was stopped for urgent work. It does not start earlier unless capacity is ample, its next
	// goal would be missed, or it holds capacity for which other work was stopped.
	PausedUntil time.Time
}

// Allocation is running work that can only be stopped as a whole: a gang or a single task.
type Allocation struct {
	Job               job.ID
	Group             job.Group
	Service           string
	Step              *job.Step
	Priority          int
	Guaranteed        bool          // Within the guarantee of its workspace.
	Stopping          bool          // Already being stopped.
	Each              job.Resources // Resources of each task.
	WorkerIndexes     []int         // Worker indexes in the view, one entry for each task.
	LostWork          float64       // Core-seconds of work that a stop throws away.
	ValueAtRisk       float64       // Value at risk from a restart.
	Remaining         time.Duration // Expected time to its end.
	RemainingReported bool          // Remaining comes from reported progress, not from declared run times.
	SavesCheckpoints  bool          // Continues from its saved state after a stop.
	RecentStops       int           // How often its job was stopped for urgent work recently.
	MovesTo           []int         // Worker indexes where its tasks start again once stopped; nil if it is not being moved.
}

// Start says on which workers tasks of a demand start.
type Start struct {
	Demand  int            // Index of the demand.
	Workers map[int]string // Worker by task index.
	TooSlow bool           // At least one of the workers is slower than the demand's goal allows.
}

// Reservation reserves capacity that is coming free for a demand.
type Reservation struct {
	Demand            int            // Index of the demand.
	Workers           map[int]string // Worker by task index.
	WithoutPreemption bool           // Nothing is preempted for it.
}

// Outcome is the result of a decision.
type Outcome struct {
	Starts              []Start
	Stops               []int // Indexes of the allocations to stop.
	Moves               []Move
	Reservations        []Reservation
	WithoutPlan         []int // Indexes of the demands for which no preemption plan was found.
	DroppedReservations []int // Indexes of the demands whose reservations were used by other demands.
	KeptBack            []KeptBack
	Paused              []int // Indexes of the demands that don't start because they were stopped recently.
	LimitReached        bool  // Demands were not served because of View.MaxStarts.
}
