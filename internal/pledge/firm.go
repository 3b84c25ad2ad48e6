package pledge

import "github.com/pulleyring/pulleyring/pkg/contract"

// Open returns what of a worker is pledged to nobody.
func (l Layout) Open(w contract.Worker) contract.Shape {
	open := w.Capacity
	for _, s := range l[w.Name] {
		open = open.Sub(s.Shape)
	}
	return open
}

// Own returns what of a worker is pledged to a workspace.
func (l Layout) Own(w contract.Worker, workspace string) contract.Shape {
	for _, s := range l[w.Name] {
		if s.Workspace == workspace {
			return s.Shape
		}
	}
	return contract.Shape{}
}

// HoldsFirmly reports whether a rack, when empty, could hold a gang of a workspace on devices that nobody can reclaim
// from it: those pledged to the workspace and those pledged to nobody.
func (l Layout) HoldsFirmly(r contract.Rack, workspace string, gang int, shape contract.Shape) bool {
	room := 0
	for _, w := range r.Workers {
		room += max(shape.Copies(l.Open(w)), shape.Copies(l.Own(w, workspace)))
	}
	return room >= gang
}

// Proportionate reports whether a shape asks for no more cpus and memory beside its accelerators than the workers of a
// hall have in proportion, which is what a guaranteed block comes with.
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
