// Package headroom estimates how much capacity must stay free so that urgent work can start without preemption. It
// learns how much capacity urgent work takes, and how much that varies, for each shape of task. It reads no clock.
package headroom

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/pulleyring/pulleyring/internal/job"
)

const (
	// timeConstant is the time constant of the exponentially weighted averages. A bulk task holds its capacity for
	// about as long, so capacity that is given away now is missing for that time.
	timeConstant = 8 * time.Second
	// keptDeviations is the number of standard deviations above the mean up to which urgent work finds free capacity.
	// Urgent jobs of 2.1 to 2.5 s are late if they wait for half of their run time, and a stop takes up to 0.9 s. They
	// must find free capacity in more than nine cases of ten; for a normal distribution that takes 1.3 deviations.
	keptDeviations = 1.5
	// maxShapes limits the shapes that are tracked, and with them memory and the time of a decision. Tasks of further
	// shapes count as tasks of the largest tracked one of their service.
	maxShapes = 16
	// minSlots is the number of slots below which nothing is kept. A shape that has no present load and falls below
	// it is no longer tracked.
	minSlots = 0.5
)

// Shape is what a task needs: resources on one worker of a service, with a label if that is not empty.
type Shape struct {
	Service string
	Label   string
	Each    job.Resources
}

// Fitting returns how many tasks of the shape fit into the free capacity of one worker.
func (s *Shape) Fitting(free job.Resources) int {
	n := int64(math.MaxInt32)
	for _, r := range [...]struct{ free, each int64 }{
		{free.MilliCPU, s.Each.MilliCPU}, {free.MemoryMB, s.Each.MemoryMB}, {free.Accelerators, s.Each.Accelerators},
	} {
		switch {
		case r.each <= 0:
		case r.free < r.each:
			return 0
		default:
			n = min(n, r.free/r.each)
		}
	}
	return int(n)
}

// CompareSize orders shapes by size: by accelerators, then by processors, then by memory.
func (s *Shape) CompareSize(o *Shape) int {
	return cmp.Or(
		cmp.Compare(s.Each.Accelerators, o.Each.Accelerators),
		cmp.Compare(s.Each.MilliCPU, o.Each.MilliCPU),
		cmp.Compare(s.Each.MemoryMB, o.Each.MemoryMB))
}

// Load is the urgent work of one shape at one time, in tasks.
type Load struct {
	Shape
	Held    int // Tasks that run.
	Waiting int // Tasks that are ready and wait.
}

// Kept is the number of slots of a shape to keep for urgent work, beyond what such work holds and waits for.
type Kept struct {
	Shape
	Slots int
}

// Report describes the estimate for one shape, in tasks.
type Report struct {
	Load
	Mean      float64 // Mean number of tasks that run or wait.
	Deviation float64 // Standard deviation of that number.
	Slots     int     // Slots that are kept.
}

// Estimator learns the load of urgent work from successive calls of Update. The zero value keeps nothing.
type Estimator struct {
	updated time.Time // Time of the last update; zero before the first one.
	// weight is the sum of the weights of all past loads. It is below 1 in the first seconds. Means are divided by
	// it, so that they follow the present load at first instead of starting from 0.
	weight float64
	shapes []estimate
}

// estimate holds the load of one shape, and the exponentially weighted sums of its past loads.
type estimate struct {
	Load
	sum        float64
	sumSquares float64
}

// Update records the present load. The load of the last update counts for the time between the two.
func (e *Estimator) Update(now time.Time, loads []Load) {
	e.advance(now)
	for i := range e.shapes {
		e.shapes[i].Held, e.shapes[i].Waiting = 0, 0
	}
	for i := range loads {
		e.add(&loads[i])
	}
	e.shapes = slices.DeleteFunc(e.shapes, func(s estimate) bool {
		return s.Held+s.Waiting == 0 && e.target(&s) < minSlots
	})
}

// advance applies the load of the last update for the time since then.
func (e *Estimator) advance(now time.Time) {
	if e.updated.IsZero() {
		e.updated = now
	}
	past := now.Sub(e.updated)
	if past <= 0 {
		return
	}
	e.updated = now
	decay := math.Exp(-past.Seconds() / timeConstant.Seconds())
	e.weight = e.weight*decay + 1 - decay
	for i := range e.shapes {
		s := &e.shapes[i]
		load := float64(s.Held + s.Waiting)
		s.sum = s.sum*decay + (1-decay)*load
		s.sumSquares = s.sumSquares*decay + (1-decay)*load*load
	}
}

// add adds a load to the present load of its shape. Work that needs no resources is ignored.
func (e *Estimator) add(l *Load) {
	if l.Each == (job.Resources{}) || l.Held+l.Waiting == 0 {
		return
	}
	i := slices.IndexFunc(e.shapes, func(s estimate) bool { return s.Shape == l.Shape })
	if i < 0 && len(e.shapes) < maxShapes {
		i = len(e.shapes)
		e.shapes = append(e.shapes, estimate{Load: Load{Shape: l.Shape}})
	}
	if i >= 0 {
		e.shapes[i].Held += l.Held
		e.shapes[i].Waiting += l.Waiting
		return
	}
	largest := e.largest(l.Service)
	if largest == nil {
		return
	}
	perTask := max(l.Fitting(largest.Each), 1) // Tasks of this shape that one slot of the largest shape holds.
	largest.Held += (l.Held + perTask - 1) / perTask
	largest.Waiting += (l.Waiting + perTask - 1) / perTask
}

// largest returns the largest tracked shape of a service, or nil if there is none.
func (e *Estimator) largest(service string) *estimate {
	var best *estimate
	for i := range e.shapes {
		if s := &e.shapes[i]; s.Service == service && (best == nil || s.CompareSize(&best.Shape) > 0) {
			best = s
		}
	}
	return best
}

// moments returns mean and standard deviation of a shape's load. Before any time has passed, the mean is the present
// load.
func (e *Estimator) moments(s *estimate) (mean, deviation float64) {
	if e.weight == 0 {
		return float64(s.Held + s.Waiting), 0
	}
	mean = s.sum / e.weight
	return mean, math.Sqrt(max(s.sumSquares/e.weight-mean*mean, 0))
}

// target returns the number of slots of a shape that urgent work should find, those that it holds included.
func (e *Estimator) target(s *estimate) float64 {
	mean, deviation := e.moments(s)
	return mean + keptDeviations*deviation
}

// slots returns the number of slots to keep for a shape.
func (e *Estimator) slots(s *estimate) int {
	slots := e.target(s) - float64(s.Held+s.Waiting)
	if slots < minSlots {
		return 0
	}
	return int(math.Round(slots))
}

// Kept returns the slots to keep, by shape. Shapes with nothing to keep are included: as long as such work waits,
// the slots that it waits for must not be given away.
func (e *Estimator) Kept() []Kept {
	var kept []Kept
	for i := range e.shapes {
		kept = append(kept, Kept{e.shapes[i].Shape, e.slots(&e.shapes[i])})
	}
	return kept
}

// Reports describes the estimates of all shapes.
func (e *Estimator) Reports() []Report {
	var list []Report
	for i := range e.shapes {
		s := &e.shapes[i]
		mean, deviation := e.moments(s)
		list = append(list, Report{Load: s.Load, Mean: mean, Deviation: deviation, Slots: e.slots(s)})
	}
	return list
}
