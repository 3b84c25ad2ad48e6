// Package contract describes the configuration of a site: its halls, racks, workers and upstreams, the guarantees and
// limits of its workspaces, and its callers and operators.
package contract

import "fmt"

// Shape is an amount of CPU cores, memory and accelerators.
type Shape struct {
	CPUs         int `json:"cpus"`         // Processor cores.
	MemoryGB     int `json:"memory_gb"`    // Gigabytes.
	Accelerators int `json:"accelerators"` // Whole devices.
}

// Fits reports whether no amount of s exceeds that of room.
func (s Shape) Fits(room Shape) bool {
	return s.CPUs <= room.CPUs && s.MemoryGB <= room.MemoryGB && s.Accelerators <= room.Accelerators
}

// Add returns the sum of both shapes.
func (s Shape) Add(o Shape) Shape {
	return Shape{s.CPUs + o.CPUs, s.MemoryGB + o.MemoryGB, s.Accelerators + o.Accelerators}
}

// Sub returns s minus o.
func (s Shape) Sub(o Shape) Shape {
	return Shape{s.CPUs - o.CPUs, s.MemoryGB - o.MemoryGB, s.Accelerators - o.Accelerators}
}

// Times returns s multiplied by n.
func (s Shape) Times(n int) Shape {
	return Shape{s.CPUs * n, s.MemoryGB * n, s.Accelerators * n}
}

// Copies returns how many times s fits into room, at most MaxCopies. An empty shape fits MaxCopies times.
func (s Shape) Copies(room Shape) int {
	n := MaxCopies
	n = min(n, copies(s.CPUs, room.CPUs))
	n = min(n, copies(s.MemoryGB, room.MemoryGB))
	n = min(n, copies(s.Accelerators, room.Accelerators))
	return max(n, 0)
}

// MaxCopies is the largest result of Shape.Copies.
const MaxCopies = 1 << 20

// copies returns how often need fits into room for one kind of resource.
func copies(need, room int) int {
	if need <= 0 {
		return MaxCopies
	}
	return room / need
}

// String returns the shape as text, such as "4 cpus, 16 GB, 2 accelerators".
func (s Shape) String() string {
	return fmt.Sprintf("%d cpus, %d GB, %d accelerators", s.CPUs, s.MemoryGB, s.Accelerators)
}
