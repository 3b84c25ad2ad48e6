// Package contract describes what a site has and what it owes: halls, racks, workers, upstreams and workspaces.
package contract

import "fmt"

// Shape is an amount of processors, memory and accelerators.
type Shape struct {
	CPUs         int `json:"cpus"`         // Processor cores.
	MemoryGB     int `json:"memory_gb"`    // Gigabytes.
	Accelerators int `json:"accelerators"` // Whole devices.
}

// Fits reports whether s fits into room in every dimension.
func (s Shape) Fits(room Shape) bool {
	return s.CPUs <= room.CPUs && s.MemoryGB <= room.MemoryGB && s.Accelerators <= room.Accelerators
}

// Add returns the sum of both shapes.
func (s Shape) Add(o Shape) Shape {
	return Shape{s.CPUs + o.CPUs, s.MemoryGB + o.MemoryGB, s.Accelerators + o.Accelerators}
}

// Sub returns s less o.
func (s Shape) Sub(o Shape) Shape {
	return Shape{s.CPUs - o.CPUs, s.MemoryGB - o.MemoryGB, s.Accelerators - o.Accelerators}
}

// Times returns s repeated n times.
func (s Shape) Times(n int) Shape {
	return Shape{s.CPUs * n, s.MemoryGB * n, s.Accelerators * n}
}

// Copies returns how many times s fits into room; an empty shape fits any number of times, reported as MaxCopies.
func (s Shape) Copies(room Shape) int {
	n := MaxCopies
	n = min(n, copies(s.CPUs, room.CPUs))
	n = min(n, copies(s.MemoryGB, room.MemoryGB))
	n = min(n, copies(s.Accelerators, room.Accelerators))
	return max(n, 0)
}

// MaxCopies bounds the result of Shape.Copies.
const MaxCopies = 1 << 20

func copies(need, room int) int {
	if need <= 0 {
		return MaxCopies
	}
	return room / need
}

// String returns the shape in words.
func (s Shape) String() string {
	return fmt.Sprintf("%d cpus, %d GB, %d accelerators", s.CPUs, s.MemoryGB, s.Accelerators)
}
