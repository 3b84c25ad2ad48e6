// Package admission decides whether a submission is refused because of the load. A decision is a pure function of a
// summary of the load and of the submission: it does no I/O and reads no clock.
package admission

import (
	"slices"
	"time"

	"github.com/pulleyring/pulleyring/internal/job"
)

// ClassCount is the number of classes of work that differ in how long they wait for room: single tasks, gangs of 2 to
// maxSmallGang tasks, and larger gangs.
const (
	ClassCount   = 3
	maxSmallGang = 8
)

// ClassOf returns the class of a step.
func ClassOf(s *job.Step) int {
	switch {
	case !s.Gang || s.Count <= 1:
		return 0
	case s.Count <= maxSmallGang:
		return 1
	}
	return ClassCount - 1
}

// Load is the summary of the load of a shard that its scheduler publishes. It contains only queues in which a job may
// have to wait for too long, and workspaces that hold too much memory.
type Load struct {
	_      struct{} `cbor:",toarray"`
	Made   int64    // Unix time in milliseconds, by the clock of the scheduler's box.
	Queues map[string]Queue
	Full   Full `cbor:"-"` // A row of its own: earlier versions can't read further fields.
}

// Full tells what a scheduler has no memory for.
type Full struct {
	_             struct{} `cbor:",toarray"`
	Made          int64    // That of the summary that it belongs to; it is not valid beside another one.
	Workspaces    []string // Workspaces that must not submit further jobs, sorted. The empty name means callers without one.
	Cancellations bool     // Cancellations of unknown jobs are not kept.
}

// IsEmpty reports whether there is memory for everything.
func (f Full) IsEmpty() bool { return len(f.Workspaces) == 0 && !f.Cancellations }

// Queue is the load of one queue.
type Queue struct {
	_            struct{} `cbor:",toarray"`
	Waits        [ClassCount]Wait
	RunTimeRatio int64 // Real run times as a multiple of the declared ones, in thousandths; 0 if unknown.
}

// Wait is the expected wait of a new job. It holds for tasks that need at least the resources Least.
type Wait struct {
	_     struct{} `cbor:",toarray"`
	Ms    int64    // In milliseconds; 0 if the wait is short or unknown.
	Least job.Resources
}

// holdsFor reports whether the expected wait holds for tasks with the given resources.
func (w *Wait) holdsFor(each job.Resources) bool { return w.Ms > 0 && each.Fits(w.Least) }

// Work is work that is served before a new job, or that runs and is not stopped for it.
type Work struct {
	Class int // Of work that runs already: 0.
	Tasks int
	Each  job.Resources
	Time  time.Duration // Expected time until each of its tasks has ended, from their start or from now if they run.
	Runs  bool
}

// backlogShare is the part of the expected work that an expected wait is based on. Expected run times are off by half.
const backlogShare = 0.5

// ExpectedWait returns a lower bound of how long a new job of a class waits behind other work, which shares the
// capacity of a service. The bound assumes that all capacity is used without gaps, and that the new job starts as soon
// as the last of the work has started. Waiting work of a larger class does not count: the new job may start in gaps
// that such work can't use.
func ExpectedWait(class int, ahead []Work, capacity job.Resources) Wait {
	var longest Wait
	for _, of := range []func(job.Resources) int64{
		func(r job.Resources) int64 { return r.Accelerators },
		func(r job.Resources) int64 { return r.MilliCPU },
		func(r job.Resources) int64 { return r.MemoryMB },
	} {
		if w := waitFor(of, class, ahead, capacity); w.Ms > longest.Ms {
			longest = w
		}
	}
	return longest
}

// waitFor returns the expected wait for one of the resources.
func waitFor(of func(job.Resources) int64, class int, ahead []Work, capacity job.Resources) Wait {
	if of(capacity) <= 0 {
		return Wait{}
	}
	sum, last := 0.0, time.Duration(0)
	var least job.Resources
	waiting := false
	for i := range ahead {
		w := &ahead[i]
		if of(w.Each) <= 0 || w.Class > class || w.Tasks <= 0 {
			continue
		}
		sum += float64(w.Tasks) * float64(of(w.Each)) * w.Time.Seconds()
		last = max(last, w.Time)
		switch {
		case w.Runs:
		case !waiting:
			waiting, least = true, w.Each
		default:
			least = smaller(least, w.Each)
		}
	}
	wait := backlogShare*sum/float64(of(capacity)) - last.Seconds()
	if !waiting || wait <= 0 {
		return Wait{}
	}
	return Wait{Ms: int64(1000 * min(wait, maxWait.Seconds())), Least: least}
}

// maxWait limits expected waits.
const maxWait = 24 * time.Hour

// smaller returns the smaller of each of the resources.
func smaller(x, y job.Resources) job.Resources {
	return job.Resources{
		MilliCPU: min(x.MilliCPU, y.MilliCPU), MemoryMB: min(x.MemoryMB, y.MemoryMB),
		Accelerators: min(x.Accelerators, y.Accelerators),
	}
}

// refreshInterval is the age at which a summary that restricts anything is replaced even if nothing has changed. Boxes
// ignore summaries older than MaxAge.
const refreshInterval = 2 * time.Second

// A wait has changed materially if it differs by more than changedShare of the published one, and by more than
// changedMs.
const (
	changedShare = 0.2
	changedMs    = 500
)

// restricts reports whether any job or cancellation may be refused by the summary.
func (l *Load) restricts() bool { return len(l.Queues) > 0 || !l.Full.IsEmpty() }

// Outdated reports whether a summary must be replaced by a newer one. Both may be empty.
func (l *Load) Outdated(newer *Load) bool {
	if len(l.Queues) != len(newer.Queues) || !slices.Equal(l.Full.Workspaces, newer.Full.Workspaces) || l.Full.Cancellations != newer.Full.Cancellations {
		return true
	}
	for name, q := range newer.Queues {
		old, known := l.Queues[name]
		if !known {
			return true
		}
		for c := range q.Waits {
			if changed(&old.Waits[c], &q.Waits[c]) {
				return true
			}
		}
	}
	return l.restricts() && newer.Made-l.Made >= refreshInterval.Milliseconds()
}

// changed reports whether a wait has changed materially.
func changed(old, now *Wait) bool {
	by := now.Ms - old.Ms
	return old.Least != now.Least || max(by, -by) > max(changedMs, int64(changedShare*float64(old.Ms)))
}
