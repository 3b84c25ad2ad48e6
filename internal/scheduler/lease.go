package scheduler

import "time"

const (
	// leaseDuration is the time for which leases on workers are renewed, if the site allows that much. Runs of a silent
	// worker are started elsewhere only once its lease has certainly expired, so each second delays them. If leases
	// are too short, work ends during takeovers between boxes. Between 4, 6, 8 and 10 s the mean value of 20 days
	// with faults differs by 0.001 at each of two sites, with a standard error of 0.009 to 0.011.
	leaseDuration = 6 * time.Second
	// departingLeaseDuration is the same for a worker that is departing or whose record was removed: it will soon be
	// silent, and its runs end with it in any case.
	departingLeaseDuration = 2500 * time.Millisecond
	// maxRenewalTime is how long after its last commit a lease term may renew leases on workers. A box that was replaced
	// and has not noticed must stop at some time, because its successor may be unable to reach every worker that it
	// can reach. In an outage of the store, runs continue for this time plus one lease.
	maxRenewalTime = 8 * time.Second
	// stopSlack is how much longer than the stop time a worker may need to end its runs after its lease has expired,
	// as processes on a busy machine are late.
	stopSlack = 300 * time.Millisecond
)

// leaseTermTimes holds the times that limit which leases on workers this box may renew, and how long a predecessor's
// leases may last.
type leaseTermTimes struct {
	// Start of the last successful commit. The shard's lease was certainly held at some time after that.
	lastCommit             time.Time
	lastCommitSuspended    time.Duration // Total time that the machine had been suspended by then.
	recentCommits          commitMarks   // The last commits with the versions that the store gave them.
	predecessorsQuietSince time.Time     // No predecessor committed anything after this time.
	storeFailedAt          time.Time     // Time of the last failed call to the store.
	replaced               bool          // Another box holds the lease.
}

// leases holds what is known about the leases on a worker.
type leases struct {
	// The worker has accepted a command with this lease term's token, so no predecessor can renew its leases.
	ownTerm bool
	endedBy time.Time // By then all runs on the worker have certainly ended, unless leases are renewed.
}

// extend records that runs may last until a given time. An earlier time than the recorded one has no effect.
func (l *leases) extend(until time.Time) {
	if until.After(l.endedBy) {
		l.endedBy = until
	}
}

// onSlowClock returns the longest time until a worker's clock, which may be slow, has advanced by d.
func onSlowClock(d time.Duration) time.Duration { return time.Duration(float64(d) * (1 + clockDrift)) }

// maxEndDelay returns how long after its lease has expired, by its own clock, a worker has certainly ended all runs.
func (b *Bounds) maxEndDelay() time.Duration { return b.StopTime + stopSlack }

// latestEnd returns the time by which all runs have certainly ended if their leases were last renewed, by any box,
// at the given time.
func (b *Bounds) latestEnd(renewed time.Time) time.Time {
	return renewed.Add(onSlowClock(b.MaxLease) + b.maxEndDelay())
}

// renewalTime returns the time for which leases on a worker are renewed.
func (b *Bounds) renewalTime(departing bool) time.Duration {
	if departing {
		return min(departingLeaseDuration, b.MaxLease)
	}
	return min(leaseDuration, b.MaxLease)
}

// isDeparting reports whether a worker is departing: it has announced that, or its record was removed.
func (w *workerState) isDeparting() bool { return w.Draining || !w.listed }

// renew returns the time, in ms of the worker's clock, until which a command may renew the worker's leases, and
// records that they may last until then. It returns 0 if they must not be renewed: the last commit of the lease term
// is too long ago, stops are pending for the worker, or another incarnation of it might execute the command.
func (h *shard) renew(w *workerState) int64 {
	now := time.Now()
	renewed := now
	if last := h.lastCommit.Add(maxRenewalTime - h.suspendedSince(h.lastCommitSuspended)); renewed.After(last) {
		renewed = last
	}
	until := renewed.Add(h.Bounds.renewalTime(w.isDeparting()))
	if !until.After(now) || len(w.pendingStops) > 0 || !w.isCertain() {
		return 0
	}
	w.leases.extend(w.clockAt.Add(onSlowClock(until.Sub(w.clockAt)) + h.Bounds.maxEndDelay()))
	return w.clock + until.Sub(w.clockAt).Milliseconds()
}

// recordFirstCommand records that a worker has executed a command of this lease term. From now on it refuses commands of
// predecessors.
func (h *shard) recordFirstCommand(w *workerState) {
	if !w.leases.ownTerm {
		w.leases = leases{ownTerm: true, endedBy: h.Bounds.latestEnd(time.Now())}
		w.knownAddress = w.target().Address
	}
}

// suspendedSince returns how long the machine has been suspended since the total time suspended was the given one.
// The clock does not count that time.
func (h *shard) suspendedSince(before time.Duration) time.Duration {
	return max(h.totalSuspended()-before, 0)
}

// totalSuspended returns the total time that the machine has been suspended, or 0 if it can't be measured.
func (h *shard) totalSuspended() time.Duration {
	if h.Suspended == nil {
		return 0
	}
	return h.Suspended()
}
