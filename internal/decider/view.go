// Package decider decides for one hall which gangs start, stop and wait. It does no input or output: a view of the
// hall goes in, typed decisions with their reasons come out.
package decider

import (
	"time"

	"github.com/pulleyring/pulleyring/internal/pledge"
	"github.com/pulleyring/pulleyring/pkg/contract"
)

// Job is a gang that waits or runs.
type Job struct {
	Key             string // Unique in the site.
	Workspace       string
	Kind            string
	Gang            int            // Members, at least 1.
	Shape           contract.Shape // Of each member.
	DeclaredSeconds float64
	Urgent          bool
	AtMostOnce      bool
	Checkpoints     bool
	Arrived         time.Time
	Done            float64  // Seconds of work that its last checkpoint holds.
	Stops           int      // Times it was stopped to make room.
	FailedOn        []string // Workers that a member failed on.
	Losses          int      // Attempts that lost a worker, probably by their own doing.
}

// Accelerators returns what the whole gang needs.
func (j *Job) Accelerators() int { return j.Gang * j.Shape.Accelerators }

// Lendable reports whether the job may run on devices that can be reclaimed.
func (j *Job) Lendable() bool { return !j.AtMostOnce || j.Checkpoints }

// Member is a number of a gang's members on one worker.
type Member struct {
	Worker int // Index into View.Workers.
	Count  int
}

// Running is a gang that has been placed and has not left its workers.
type Running struct {
	Job      Job
	Members  []Member
	Started  time.Time
	Stopping bool // It was told to stop and its devices come free soon.
}

// Worker is one worker of the hall.
type Worker struct {
	Name     string
	Rack     int // Index into View.Racks.
	Capacity contract.Shape
	Usable   bool // False while it is drained, lost or on probation.
	Probe    bool // Usable for one gang only, to see whether it recovered.
}

// Rack is one rack of the hall.
type Rack struct {
	Name    string
	Workers []int // Indexes into View.Workers.
}

// SetAside keeps a rack for a gang that waits.
type SetAside struct {
	Job      string
	Rack     int
	Since    time.Time
	Vacating bool // Work was told to leave the rack; what it frees goes to the gang before anything else.
	Pledged  bool // The same on the pledge of the gang's workspace.
}

// View is all that a pass sees; the decider changes nothing in it.
type View struct {
	Now        time.Time
	Site       *contract.Site
	Racks      []Rack
	Workers    []Worker
	Layout     pledge.Layout
	Running    []Running
	Waiting    []Job
	Claims     []string // Workspaces that claimed their whole guarantee back.
	SetAsides  []SetAside
	Estimates  *Estimates
	UsedBefore map[string]int // Accelerators that workspaces use in other halls.
}

// Kind is what a decision does.
type Kind string

// The kinds of decisions.
const (
	Start  Kind = "start"   // Place the gang on the members' workers.
	Stop   Kind = "stop"    // Stop a running gang to make room; it waits again.
	GiveUp Kind = "give_up" // The gang can never run.
)

// Decision is one thing to do with one job.
type Decision struct {
	Kind    Kind
	Job     string
	Members []Member // Of Start.
	AtOnce  bool     // Of Stop: without waiting for a checkpoint.
	For     string   // Of Stop: the job or workspace that gets the room.
	Reason  *Reason
}

// Wait is why a job of the view still waits; jobs alike share a reason.
type Wait struct {
	Job    int // Index into View.Waiting.
	Reason *Reason
}

// Outcome is the result of one pass.
type Outcome struct {
	Decisions []Decision
	Waits     []Wait
	SetAsides []SetAside // To be handed to the next pass.
}

// Policy decides one pass; implementations hold no state between passes.
type Policy interface {
	Name() string
	Decide(v *View) Outcome
}
