package placement

import (
	"slices"

	"github.com/pulleyring/pulleyring/internal/headroom"
	"github.com/pulleyring/pulleyring/internal/job"
)

// urgentRoom counts the free slots of urgent work during a decision, by shape. The counts are made once, for the
// first demand that must leave capacity to urgent work, and are then updated for each worker whose free capacity
// has changed.
type urgentRoom struct {
	shapes  []shapeRoom
	counted []job.Resources // By worker: the free capacity that the counts contain.
	// By worker: capacity that is free, but reserved without preemption. Urgent work may use it, so it is a part of the
	// slots on the worker. A task on the rest of the worker's free capacity takes these slots.
	reserved  []job.Resources
	drains    []drain // All reservations without preemption.
	seenPlans int     // Number of reservations of this decision that drains contains.
	version   int     // Changes whenever counted or reserved changes.
	// admitting caches the workers on which at least one task may start, by the resources of the task. Most
	// waiting tasks of bulk work are alike, and hundreds of demands may wait.
	admitting map[job.Resources]admittingWorkers
}

// shapeRoom holds the free slots of one shape.
type shapeRoom struct {
	headroom.Shape
	usable []bool // By worker: may run tasks of this shape.
	kept   int    // Slots to keep for this shape and larger ones together.
	free   int    // Free slots on all usable workers.
}

// drain is a reservation without preemption.
type drain struct {
	demand  int  // Index of the demand.
	isNew   bool // Made by this decision.
	active  bool // Contained in reserved.
	each    job.Resources
	workers []int // Index of the worker of each task.
}

// updateUrgentRoom counts the free slots by shape, or updates the counts for the workers that have changed.
func (pl *planner) updateUrgentRoom() {
	u := &pl.urgent
	if u.counted == nil {
		u.counted, u.reserved = make([]job.Resources, len(pl.free)), make([]job.Resources, len(pl.free))
		u.admitting = map[job.Resources]admittingWorkers{}
		u.shapes = pl.shapesToKeep()
		for i := range pl.view.Demands {
			if d := &pl.view.Demands[i]; d.ReservedWithoutPreemption {
				u.drains = append(u.drains, pl.drainOf(i, d.Reservation, false))
			}
		}
	}
	pl.updateReserved()
	for k := range pl.free {
		if pl.free[k] == u.counted[k] {
			continue
		}
		u.version++
		for s := range u.shapes {
			if room := &u.shapes[s]; room.usable[k] {
				room.free += room.Fitting(pl.free[k]) - room.Fitting(u.counted[k])
			}
		}
		u.counted[k] = pl.free[k]
	}
}

// updateReserved updates the capacity that is reserved without preemption at present.
func (pl *planner) updateReserved() {
	u := &pl.urgent
	for ; u.seenPlans < len(pl.outcome.Reservations); u.seenPlans++ {
		if r := &pl.outcome.Reservations[u.seenPlans]; r.WithoutPreemption {
			u.drains = append(u.drains, pl.drainOf(r.Demand, r.Workers, true))
		}
	}
	changed := false
	for i := range u.drains {
		r := &u.drains[i]
		active := r.isNew || pl.deductedReservations[r.demand]
		changed, r.active = changed || active != r.active, active
	}
	if !changed {
		return
	}
	u.version++
	clear(u.reserved)
	for _, r := range u.drains {
		if !r.active {
			continue
		}
		for _, k := range r.workers {
			u.reserved[k] = u.reserved[k].Add(r.each)
		}
	}
}

// drainOf returns the reservation without preemption of demand i.
func (pl *planner) drainOf(i int, workers map[int]string, isNew bool) drain {
	r := drain{demand: i, isNew: isNew, each: pl.view.Demands[i].Step.Each}
	for _, worker := range workers {
		if k, ok := pl.workerIndex(worker); ok {
			r.workers = append(r.workers, k)
		}
	}
	return r
}

// shapesToKeep returns the shapes of urgent work with the slots to keep for each, and no slot counted as free. A slot
// of a larger shape counts as the slots of the smaller shape that it holds.
func (pl *planner) shapesToKeep() []shapeRoom {
	waiting := pl.unservedUrgentTasks()
	shapes := make([]shapeRoom, len(pl.view.Headroom))
	for s := range shapes {
		room := &shapes[s]
		room.Shape, room.usable = pl.view.Headroom[s].Shape, make([]bool, len(pl.free))
		for k := range pl.view.Workers {
			room.usable[k] = pl.view.Workers[k].mayRun(&room.Shape)
		}
		for o := range pl.view.Headroom {
			other := &pl.view.Headroom[o]
			if other.Service != room.Service || room.Label != "" && other.Label != room.Label {
				continue
			}
			if other.CompareSize(&room.Shape) < 0 {
				continue
			}
			room.kept += (other.Slots + waiting[other.Shape]) * max(room.Fitting(other.Each), 1)
		}
	}
	return shapes
}

// CapacitySlots returns how many tasks of a shape fit on the workers of a view if these are empty. Workers that accept no
// runs at present are included.
func CapacitySlots(v *View, s *headroom.Shape) int {
	slots := 0
	for k := range v.Workers {
		if w := &v.Workers[k]; w.Service == s.Service && w.hasLabel(s.Label) {
			slots += s.Fitting(w.Capacity)
		}
	}
	return slots
}

// unservedUrgentTasks returns the number of urgent tasks, by shape, that this decision neither starts nor reserves
// capacity for. If bulk work took the slots that a waiting gang lacks only a few of, the gang would preempt more.
func (pl *planner) unservedUrgentTasks() map[headroom.Shape]int {
	served := map[int]int{}
	for _, s := range pl.outcome.Starts {
		served[s.Demand] += len(s.Workers)
	}
	for _, r := range pl.outcome.Reservations {
		served[r.Demand] += len(r.Workers)
	}
	waiting := map[headroom.Shape]int{}
	for i := range pl.view.Demands {
		d := &pl.view.Demands[i]
		if d.Priority > 0 || len(pl.reservationOf(i)) > 0 || pl.hasMissedAllGoals(d) {
			continue
		}
		waiting[ShapeOf(d.Service, d.Step)] += max(len(d.Waiting)-served[i], 0)
	}
	return waiting
}

// mayRun reports whether a worker may run tasks of a shape, whether it has free capacity or not.
func (w *Worker) mayRun(s *headroom.Shape) bool { return w.AcceptsRuns && w.fitsShape(s) }

// mayRunInQuarantine reports whether a worker could run tasks of a shape if it were not quarantined.
func (w *Worker) mayRunInQuarantine(s *headroom.Shape) bool { return w.Quarantined && w.fitsShape(s) }

func (w *Worker) fitsShape(s *headroom.Shape) bool {
	return w.Service == s.Service && w.hasLabel(s.Label)
}

// hasLabel reports whether a worker has a label. Every worker has the empty one.
func (w *Worker) hasLabel(label string) bool { return label == "" || slices.Contains(w.Labels, label) }

// ShapeOf returns the shape of a step's tasks.
func ShapeOf(service string, step *job.Step) headroom.Shape {
	return headroom.Shape{Service: service, Label: step.Label, Each: step.Each}
}

// FreeSlots returns how many tasks of a shape fit into the free capacity of a view, reserved capacity included.
func FreeSlots(v *View, s *headroom.Shape) int {
	free := 0
	for k := range v.Workers {
		if w := &v.Workers[k]; w.mayRun(s) {
			free += s.Fitting(w.Free)
		}
	}
	return free
}

// isShort reports whether too few slots of a shape would be left if the free capacity of a worker changed.
func (u *urgentRoom) isShort(s, k int, before, after job.Resources, left int) bool {
	if room := &u.shapes[s]; room.kept == 0 || !room.usable[k] {
		return false
	}
	lost := u.lostSlots(s, k, before, after)
	return lost > 0 && left < lost
}

// lostSlots returns how many slots of a shape are lost if the free capacity of a worker changes.
func (u *urgentRoom) lostSlots(s, k int, before, after job.Resources) int {
	room, reserved := &u.shapes[s], u.reserved[k]
	lost := room.Fitting(before) - room.Fitting(after)
	if reserved == (job.Resources{}) {
		return lost
	}
	return max(lost, room.Fitting(before.Add(reserved))-room.Fitting(after.Add(reserved)))
}
