// Package decider decides which gangs of one hall start, which are stopped and which wait. It does no I/O: a policy
// gets a View of the hall and returns decisions with their reasons.
//
// A pledge is the reserved capacity of a worker: the devices kept for the guarantee of one workspace. Other workspaces
// may borrow a pledge that is not in use, and their work is stopped when the owner reclaims it.
package decider

import (
	"time"

	"github.com/pulleyring/pulleyring/internal/pledge"
	"github.com/pulleyring/pulleyring/pkg/contract"
)

// Job is a waiting or running gang: one or more identical members that start together on one rack.
type Job struct {
	Key             string // Unique in the site.
	Workspace       string
	Kind            string
	Gang            int            // Number of members, at least 1.
	Shape           contract.Shape // Resources of each member.
	DeclaredSeconds float64        // Run time that the user declared.
	Urgent          bool
	AtMostOnce      bool
	Checkpoints     bool
	Arrived         time.Time
	Done            float64  // Seconds of work saved in its last checkpoint.
	Stops           int      // Number of times it was preempted.
	FailedOn        []string // Workers in good standing on which a member failed.
	Losses          int      // Attempts that lost a worker and probably caused the loss.
}

// Accelerators returns the number of accelerators that the whole gang needs.
func (j *Job) Accelerators() int { return j.Gang * j.Shape.Accelerators }

// MayBorrow reports whether the job may run on borrowed devices: it may be run again, or it continues from a
// checkpoint.
func (j *Job) MayBorrow() bool { return !j.AtMostOnce || j.Checkpoints }

// Member places a number of a gang's members on one worker.
type Member struct {
	Worker int // Index into View.Workers.
	Count  int
}

// Running is a gang that holds devices on its workers.
type Running struct {
	Job      Job
	Members  []Member
	Started  time.Time
	Stopping bool // It was told to stop; its devices become free soon.
}

// Worker describes one worker of the hall.
type Worker struct {
	Name     string
	Rack     int // Index into View.Racks.
	Capacity contract.Shape
	Usable   bool // False while the worker is drained, lost or on probation.
	Probe    bool // Takes one gang only, to test whether the worker has recovered.
}

// Rack describes one rack of the hall.
type Rack struct {
	Name    string
	Workers []int // Indexes into View.Workers.
}

// RackReservation reserves a rack for a waiting gang.
type RackReservation struct {
	Job        string
	Rack       int
	Since      time.Time
	Preempting bool // Gangs on the rack were preempted; the devices that they free go to this gang first.
	Pledged    bool // The gang gets devices from the pledge of its workspace.
}

// View is the input of a pass. The decider does not modify it.
type View struct {
	Now              time.Time
	Site             *contract.Site
	Racks            []Rack
	Workers          []Worker
	Layout           pledge.Layout
	Running          []Running
	Waiting          []Job
	Reclaiming       []string // Workspaces that reclaim their whole guarantee.
	RackReservations []RackReservation
	Estimates        *Estimates
	UsedBefore       map[string]int // Accelerators in use in other halls, by workspace.
}

// Kind tells what a decision does.
type Kind string

// Kinds of decisions.
const (
	Start Kind = "start"   // Start the gang on the workers of Members.
	Stop  Kind = "stop"    // Preempt a running gang; it waits again.
	Fail  Kind = "give_up" // Fail the gang: it can never run.
)

// Decision tells what to do with one job.
type Decision struct {
	Kind    Kind
	Job     string
	Members []Member // Of Start.
	AtOnce  bool     // Of Stop: do not wait for a checkpoint.
	For     string   // Of Stop: the job or workspace that gets the devices.
	Reason  *Reason
}

// Wait gives the reason why a job still waits. Jobs with the same request share one Reason.
type Wait struct {
	Job    int // Index into View.Waiting.
	Reason *Reason
}

// Outcome is the result of one pass.
type Outcome struct {
	Decisions        []Decision
	Waits            []Wait
	RackReservations []RackReservation // Input of the next pass.
}

// Policy decides one pass. Implementations keep no state between passes.
type Policy interface {
	Name() string
	Decide(v *View) Outcome
}
