// Package placement decides which tasks start where and what is stopped to make room. It is a pure function of a view:
// no I/O, no clock, the same view gives the same decisions.
package placement

import (
	"time"

	"github.com/pulleyring/pulleyring/internal/job"
)

// View is everything that a decision is made from.
type View struct {
	Now      time.Time
	Workers  []Worker
	Demands  []Demand
	Holdings []Holding
	Policy   Policy
}

// Policy holds the figures of a site that bear on decisions.
type Policy struct {
	FarFactor float64       // How much longer a task takes far from its data, or a gang spread over racks.
	Reclaim   time.Duration // Time within which guaranteed work must have begun.
	StopTime  time.Duration // Longest time that a stop takes.
	WasteCost float64       // What a core-second of work thrown away costs, in the units of a demand's value.
}

// Worker is a worker as the scheduler knows it.
type Worker struct {
	ID       string
	Service  string
	Rack     string
	Labels   []string
	Capacity job.Resources
	Free     job.Resources // Not taken by runs whose end is not known.
	Freeing  job.Resources // Taken by runs that are being stopped.
	Usable   bool          // It takes new runs.
	Closed   bool          // Nothing new may start in its hall.
	Unproven bool          // Workers are about that fail everything, and nothing has worked there since.
	Suspect  job.ID        // A job that may crash its workers and has begun here, so that it is not known yet; empty for none.
	Begun    job.ID        // A job that has just begun here, whether it may crash the worker or not; empty for none.
	Doubt    float64       // 0 for a worker without recent failures; higher is worse.
	Slowness float64       // How many times longer than elsewhere work takes there; 0 or 1 for a sound one.
}

// Demand is a group of tasks that could start now.
type Demand struct {
	Job       job.ID
	Group     job.Group
	Workspace string
	Service   string
	Priority  int
	Step      *job.Step
	Waiting   []int          // Indexes of the tasks.
	Placed    map[string]int // Tasks of this group that run on a worker already.
	Avoid     map[string]bool
	Since     time.Time     // Since when it could have started.
	Remaining time.Duration // Expected time from its start to the end of the job.
	Goal      time.Time     // Ended by then, the job earns all it can.
	LastGoal  time.Time     // Ended by then, it still earns a part.
	Value     float64       // What the job earns at most.
	LateValue float64
	Work      float64        // Expected core-seconds of what is left of the job.
	Covered   bool           // Within its workspace's guarantee, and of priority 0.
	Claim     map[int]string // Room that is being freed for it: task index to worker.
	Draining  bool           // Nothing is stopped for the claim: its room drains.
	// LastAttempts are the waiting tasks that have failed before and fail for good the next time; of a gang all or none.
	LastAttempts map[int]bool
	Apart        map[job.ID]bool // Jobs that were lost together with it: they begin elsewhere where they can.
	Suspect      bool            // Workers were lost as soon as its tasks had begun there: it may be what crashed them.
	Alone        bool            // So much is counted against its tasks that they are to run where nothing else does, so that the next loss tells.
	NoPlan       bool            // A way to make room was looked for lately and not found.
}

// Holding is what runs and can be stopped as a whole: a gang, or one task.
type Holding struct {
	Job       job.ID
	Group     job.Group
	Priority  int
	Covered   bool
	Stopping  bool
	Each      job.Resources
	Places    []int         // Workers by their index in the view, once for each task.
	Loss      float64       // Core-seconds that a stop throws away.
	Risk      float64       // Value that is lost if it starts anew.
	Remaining time.Duration // Expected time to its end.
	Known     bool          // Remaining follows from the progress that its workers tell, not from declared run times.
}

// Start orders tasks of a demand.
type Start struct {
	Demand  int
	Workers map[int]string // Task index to worker.
}

// Claim reserves room that is being freed for a demand.
type Claim struct {
	Demand   int
	Workers  map[int]string
	Draining bool // Nothing is stopped for it.
}

// Outcome is what was decided.
type Outcome struct {
	Starts  []Start
	Stops   []int // Indexes of holdings.
	Claims  []Claim
	NoPlans []int // Demands for which no way to make room was found.
	Dropped []int // Demands whose draining room was taken by a demand before them.
}
