package pledge

import "github.com/pulleyring/pulleyring/pkg/contract"

// Unreserved returns the unreserved capacity of a worker.
func (l Layout) Unreserved(w contract.Worker) contract.Shape {
	free := w.Capacity
	for _, s := range l[w.Name] {
		free = free.Sub(s.Shape)
	}
	return free
}

// PledgedShape returns the capacity of a worker that is pledged to a workspace.
func (l Layout) PledgedShape(w contract.Worker, workspace string) contract.Shape {
	for _, s := range l[w.Name] {
		if s.Workspace == workspace {
			return s.Shape
		}
	}
	return contract.Shape{}
}

// FitsUnreclaimable reports whether an empty rack could fit a gang of a workspace on devices that cannot be
// reclaimed from it: on each worker, either those pledged to the workspace or the unreserved ones.
func (l Layout) FitsUnreclaimable(r contract.Rack, workspace string, gang int, shape contract.Shape) bool {
	room := 0
	for _, w := range r.Workers {
		room += max(shape.Copies(l.Unreserved(w)), shape.Copies(l.PledgedShape(w, workspace)))
	}
	return room >= gang
}

// Proportionate reports whether a shape asks for no more CPUs and memory per accelerator than every worker of a hall
// has. A guaranteed block includes CPUs and memory in that proportion.
func Proportionate(h contract.Hall, shape contract.Shape) bool {
	for _, r := range h.Racks {
		for _, w := range r.Workers {
			if w.Capacity.Accelerators > 0 && !shape.Fits(proportion(w.Capacity, shape.Accelerators)) {
				return false
			}
		}
	}
	return true
}
