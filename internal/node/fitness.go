package node

import "time"

// Fitness of a box to schedule: what a take-over of about 700 jobs and 350 workers needs, set against the box's own means.
const (
	// takeoverMegabits is what it reads: 1 MB of rows.
	takeoverMegabits = 8
	// takeoverCores is the processor time that it uses, in seconds of a core: measured 0.09.
	takeoverCores = 0.1
	// fitWithin is the time of a take-over up to which a box counts as fit and does not let others go first.
	fitWithin = 300 * time.Millisecond
	// unfitMost bounds how long the least fit box lets others go first: four renewals of the lease.
	unfitMost = 1200 * time.Millisecond
	// indirectWait is how long a box that reaches the store only through others lets others go first: each call takes a hop
	// more, and loads the box that passes it on.
	indirectWait = time.Second
)

const (
	// deputies is how many boxes, the fittest of each hall by turns, watch the lease closely. The others look seldom: at 41 boxes the
	// looks of all were a quarter of all calls to the store (6,204 of 23,703 on a calm day of 85 s). With 3, all of them were
	// among the third of the boxes that the store turned away in 4 of 13 tries, and 3.5 to 3.7 s went by without a scheduler.
	deputies = 5
	// standbyPoll is how often the others look, and standbyWait how much longer the lease must stand unchanged for them. They are there
	// for the loss of all deputies, which are of all halls; with 1.5 s the looks of all were 17% of all calls to
	// the store at 45 boxes (3,507 of 20,249 on a day of 83 s).
	standbyPoll = 3 * time.Second
	standbyWait = time.Second
)

// Means is what a box has to work with; zero values are not known and count as plenty.
type Means struct {
	Cores        float64 // Processor time a second, in cores.
	MegabitsPerS float64 // Of its network link.
	Descriptors  int     // Files and sockets that a box may have open.
}

// takeover is how long a take-over of a large site would take with these means.
func (m Means) takeover() time.Duration {
	seconds := 0.0
	if m.MegabitsPerS > 0 {
		seconds += takeoverMegabits / m.MegabitsPerS
	}
	if m.Cores > 0 {
		seconds += takeoverCores / m.Cores
	}
	return time.Duration(seconds * float64(time.Second))
}

// claimWait is how long this box lets others claim a free lease first. A weak scheduler is slow at everything: on a link of
// 10 Mbit/s and 0.19 cores a take-over of 408 jobs took 1.14 s, on 200 Mbit/s and 0.8 cores one of 642 jobs 0.12 s.
func (n *Node) claimWait() time.Duration {
	wait := min(max(n.settings.Load().Means.takeover()-fitWithin, 0), unfitMost)
	if !n.relay.Direct.Healthy() {
		wait += indirectWait
	}
	return wait
}

// isDeputy reports whether this box is one of those that watch the lease closely.
func (n *Node) isDeputy() bool { return n.relay.Book.Rank() < deputies }
