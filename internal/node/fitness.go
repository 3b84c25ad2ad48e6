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
	// watchers is how many boxes watch the store closely for all others: the fittest of each hall, and watchersLeast at least of each, so that some keep
	// their paths where a third of the boxes lose theirs.
	watchers      = 5
	watchersLeast = 2
	// standbyPoll is how often the others look at the lease, and standbyWait how much longer it must stand unchanged for them. They are there
	// for the loss of all that watch, which are of all halls.
	standbyPoll = 3 * time.Second
	standbyWait = time.Second
)

// watchersOf is how many boxes of each hall watch the store.
func watchersOf(halls []string) int {
	n := max(len(halls), 1)
	return max((watchers+n-1)/n, watchersLeast)
}

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

// watches reports whether this box watches the store itself: for the others of its hall, because it schedules and must not go by what others know, or
// because it does not know yet who watches.
func (n *Node) watches() bool {
	b := &n.relay.Book
	return n.platform.Network == nil || n.scheduler.Load() != nil || !b.Ranked() || b.IsWatcher()
}
