package node

import "time"

// These constants rate how fit a box is to schedule: they compare what a takeover of about 700 jobs and 350 workers
// needs with the resources of the box.
const (
	// takeoverMegabits is the data that a takeover reads, in megabits: 1 MB of rows.
	takeoverMegabits = 8
	// takeoverCores is the processor time that a takeover uses, in core seconds. A takeover used 0.09.
	takeoverCores = 0.1
	// fitTakeoverTime is the longest takeover of a fit box. A box that needs longer lets others claim the lease
	// first.
	fitTakeoverTime = 300 * time.Millisecond
	// maxUnfitClaimWait limits how long the least fit box lets others claim first: four renewals of the lease.
	maxUnfitClaimWait = 1200 * time.Millisecond
	// indirectClaimWait is how long a box without a direct path to the store lets others claim first: each of its calls
	// takes one more hop and loads the box that forwards it.
	indirectClaimWait = time.Second
)

const (
	// siteWatchers is how many boxes of a site watch the store for all others, spread over the halls. In each hall the
	// fittest boxes watch, at least minHallWatchers of them. Some of these then keep their paths to the store when a third
	// of the boxes lose theirs.
	siteWatchers    = 5
	minHallWatchers = 2
	// standbyPollInterval is the time between two reads of the lease by a box that is not a watcher. Such a box claims
	// the lease standbyClaimWait later than a watcher would. Both only matter when all watchers, which are spread over
	// all halls, are lost.
	standbyPollInterval = 3 * time.Second
	standbyClaimWait    = time.Second
)

// watchersPerHall returns how many boxes of each hall watch the store.
func watchersPerHall(halls []string) int {
	n := max(len(halls), 1)
	return max((siteWatchers+n-1)/n, minHallWatchers)
}

// Resources holds the resources of a box. A zero value means unknown and counts as plenty.
type Resources struct {
	Cores        float64 // Processor time, in core seconds per second.
	MegabitsPerS float64 // Bandwidth of the network link, in Mbit/s.
	Descriptors  int     // Limit of open files and sockets.
	MemoryMB     int     // In MiB.
}

// takeoverTime returns how long a takeover of a large site takes with these resources.
func (m Resources) takeoverTime() time.Duration {
	seconds := 0.0
	if m.MegabitsPerS > 0 {
		seconds += takeoverMegabits / m.MegabitsPerS
	}
	if m.Cores > 0 {
		seconds += takeoverCores / m.Cores
	}
	return time.Duration(seconds * float64(time.Second))
}

// claimWait returns how long this box lets others claim a free lease first. A weak box is a slow scheduler: on a link
// of 10 Mbit/s with 0.19 cores a takeover of 408 jobs took 1.14 s; with 200 Mbit/s and 0.8 cores one of 642 jobs took
// 0.12 s.
func (n *Node) claimWait() time.Duration {
	wait := min(max(n.settings.Load().Means.takeoverTime()-fitTakeoverTime, 0), maxUnfitClaimWait)
	if !n.relay.Direct.Healthy() {
		wait += indirectClaimWait
	}
	return wait
}

// watches reports whether this box watches the store itself: because it watches for its hall, because it schedules
// and must not rely on copies of other boxes, or because it does not know yet which boxes watch.
func (n *Node) watches() bool {
	book := &n.relay.Directory
	return n.platform.Network == nil || n.scheduler.Load() != nil || !book.CandidatesKnown() || book.IsWatcher()
}
