package scheduler

// SpeedReport shows operators what is known of a worker's speed.
type SpeedReport struct {
	Worker, Rack string
	Factor       float64 // Expected factor on the run time of a usual worker.
	High         float64 // Factor that the worker exceeds in one case of ten only.
	Samples      int     // Runs from which the factor was learned.
}

// Speeds returns what is known of the workers' speeds. It returns nil if this box does not hold the shard's lease.
func (s *Scheduler) Speeds() []SpeedReport { return nil }

// HeadroomReport shows operators what is kept for expected urgent work of one shape of task. The counts are numbers of
// tasks of this shape.
type HeadroomReport struct {
	MilliCPU, MemoryMB, Accelerators int64 // Resources of a task.
	Held                             int   // What urgent work holds or waits for now.
	Mean, Deviation                  float64
	Kept                             int // What is kept beyond Held.
	Free                             int // What fits on all usable workers now.
}

// Headroom returns what is kept for expected urgent work. It returns nil if this box does not hold the shard's lease.
func (s *Scheduler) Headroom() []HeadroomReport { return nil }
