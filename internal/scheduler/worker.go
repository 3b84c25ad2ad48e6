package scheduler

import (
	"slices"
	"time"

	"github.com/pulleyring/pulleyring/internal/fleet"
	"github.com/pulleyring/pulleyring/internal/incarnation"
	"github.com/pulleyring/pulleyring/internal/job"
	"go.uber.org/zap"
)

// Timing of the communication with workers.
const (
	// pollWait is how long a poll waits for a run to end. Each poll costs as much as a health check.
	pollWait = 1500 * time.Millisecond
	// leavingPollWait replaces pollWait for a leaving worker, whose leases are short.
	leavingPollWait = 700 * time.Millisecond
	// answerTimeout is the timeout of a command, beyond the command's own wait. A worker answers within a few ms;
	// the rest allows for lost packets, which are retransmitted after 200 ms or more.
	answerTimeout = 700 * time.Millisecond
	// settlePause is the pause between polls that don't wait for a run to end.
	settlePause = 30 * time.Millisecond
	// pollRetry is the pause after the first failed poll. It doubles with each further failure, up to
	// pollRetryMax.
	pollRetry    = 100 * time.Millisecond
	pollRetryMax = 800 * time.Millisecond
	// commitWaitLimit limits how long the next poll is delayed until the ends that the last one reported are
	// committed.
	commitWaitLimit = 300 * time.Millisecond
	// clockDrift is the share by which a worker's clock may run slower than this box's clock: 2%, plus a margin
	// for rounding.
	clockDrift = 0.03
	// heartbeatDelay is how long after a worker has written a heartbeat it may be seen here: the interval of the
	// feed and a margin. The worker may have fallen silent in between.
	heartbeatDelay = time.Second
	// recordLingerTime is how long a record may remain in the store after its worker has ended: three
	// heartbeats and the interval of the feed.
	recordLingerTime = 5 * time.Second
	// idlePause is the pause of a poll loop that has nothing to poll its worker for.
	idlePause = time.Second
)

// run is a placed run whose end is not known yet.
type run struct {
	incarnation incarnation.ID // Incarnation that the run was placed on or that reports it.
	task        job.Task
	number      int
	saved       string // Saved state to continue from.
	each        job.Resources
	job         *trackedJob
	worker      *workerState
	allocation  *allocation // nil once its end is known.
	placed      time.Time
	confirmed   time.Time // When the worker first reported or accepted it; zero before that.
	// When the first start command was sent; zero before that, and for a run that a predecessor placed.
	startSent time.Time
	adopted   bool // Placed by a predecessor.
	orphaned  bool // Found on the worker, but not tracked as placed there.
	starting  bool // A start command is in flight.
	// When the retries of its start, which got no answer, were given up; zero if they were not.
	startAbandonedAt time.Time
	stopping         bool
	stopRequested    time.Time
	stopReason       string // Why it is being stopped, for logs and operators.
	movesTo          string // Worker on which its task starts again once it has been stopped; empty if it is not being moved.
	// When the worker accepted the stop; the run can't start there after that.
	stopAccepted    time.Time
	remote          bool // Its worker is remote from its data, so that it takes longer than elsewhere.
	progress        progress
	usedForEstimate bool     // Its progress has been used to estimate run times.
	sampled         bool     // Its run time has been used to estimate the speed of its worker.
	startAnswered   bool     // The worker accepted its first start command, so confirmed is when it began.
	slowestFactor   float64  // Largest time factor of its gang's members when it was placed; 0 outside of gangs.
	lost            *runLoss // Set once it was lost with its worker.
}

func (r *run) group() job.Group { return job.Group{Occurrence: r.task.Occurrence, Step: r.task.Step} }

// lasts reports whether a run goes on until its job is cancelled. Its reported progress is that of its start.
func (r *run) lasts() bool { return r.job.Request.Steps[r.task.Step].Lasting }

// workerState is what the scheduler knows of a worker: its newest record and its tracked incarnation. Fields
// that change together are embedded structs, each declared in the file that changes it.
type workerState struct {
	fleet.Worker
	succession
	registration
	load
	waker
	contact
	*endCursor // Of the tracked incarnation.
	workerHealth
	speed  workerSpeed
	leases leases
	// Runs presumed ended that may still start. No lease is renewed until the worker has accepted their stops.
	pendingStops map[*run]bool
	index        int       // Its index in the roster.
	knownSince   time.Time // When it became known.
	declaredLost bool
}

// registration is the state of a worker by its record in the store.
type registration struct {
	listed     bool      // The record exists.
	unlistedAt time.Time // When the record was found missing.
	foreign    bool      // Another writer's record is in its place.
	aliveAt    time.Time // Latest time at which the worker surely lived, by its record.
	// When the worker leaves, by its first announcement or, if it leaves unannounced, as presumed. Zero if it
	// stays.
	leavesAt   time.Time
	staysUntil time.Time // Time until which the worker surely stays: the latest by any of its records.
}

// load is the runs on a worker and the resources that they use.
type load struct {
	runs          map[job.Task]*run
	used          job.Resources
	freeing       job.Resources // The part of used that belongs to runs being stopped.
	lastPlacedJob job.ID        // The job whose run was placed there last.
	lastPlacedAt  time.Time     // When that run was placed.
}

// recordAnswer records the answer to a command. An answer of another incarnation at the same address is ignored,
// because it does not show that the tracked one lives. When such an answer was recorded, a worker that had crashed
// at once and restarted after 4 s seemed to have lived for these 4 s.
func (h *shard) recordAnswer(w *workerState, m sendState, clock int64, err error, command string) {
	if refusal, refused := refusalOf(err); refused && refusal == fleet.OtherIncarnation || w.isOutdated(m) {
		return
	}
	if w.hasClockGoneBack(m, clock) {
		h.checkForRestart(w, clock, command)
		return
	}
	w.recordClock(clock)
}

// usable reports whether the worker accepts new runs.
func (w *workerState) usable(now time.Time) bool {
	return w.listed && !w.declaredLost && !w.Draining && w.isCertain() && w.Incarnation().Matches(w.incarnation) && w.clock != 0 && w.failures == 0 && len(w.pendingStops) == 0 && now.After(w.unhealthyUntil)
}

// applyListing applies a listing of workers' records. If whole is true, the listing is complete, and the records
// of workers that it lacks are gone. Otherwise it has only the records that changed.
func (h *shard) applyListing(l Listing, whole bool) {
	listed := map[string]bool{}
	for i := range l.Workers {
		listed[l.Workers[i].ID] = true
		if h.applyWorkerRecord(&l.Workers[i], l.AsOf) && !whole {
			h.recordHeartbeat(l.Workers[i].Incarnation())
		}
	}
	for _, id := range l.Gone {
		h.unlist(id, slices.Contains(l.Invalid, id), l.AsOf)
	}
	if whole {
		for id := range h.workers {
			if !listed[id] {
				h.unlist(id, slices.Contains(l.Invalid, id), l.AsOf)
			}
		}
	}
}

// applyWorkerRecord applies a worker's record and reports whether it is of the tracked incarnation. If the record
// has changed, the worker wrote it after asOf.
func (h *shard) applyWorkerRecord(record *fleet.Worker, asOf time.Time) bool {
	l := record.Incarnation()
	if h.workers[record.ID] == nil {
		h.logReturnByRecord(l, false)
	}
	if h.hasEnded(l) {
		return false
	}
	w := h.workers[record.ID]
	if w == nil {
		w = h.newWorker(l)
	}
	switch {
	case l.Born == 0 && w.incarnation.Born != 0: // The record lacks the start time that the worker's own records have.
		h.unlist(record.ID, true, asOf)
		return false
	case w.incarnation.IsLaterThan(l):
		return false // The record is of an earlier incarnation than the tracked one.
	case l.IsLaterThan(w.incarnation):
		h.noteLaterIncarnation(w, record, asOf)
		return false
	}
	h.applyRecord(w, record, asOf)
	return true
}

// applyRecord applies a record of the tracked incarnation of a worker.
func (h *shard) applyRecord(w *workerState, record *fleet.Worker, asOf time.Time) {
	if w.incarnation.Born == 0 {
		w.incarnation = record.Incarnation()
	}
	first := w.Address == ""
	if first {
		h.lossDetector.RecordReplacement(record.Address, record.Incarnation())
	}
	if !w.listed {
		h.applyCharges(h.lossDetector.RecordReturn(record.Incarnation()))
	}
	if record.Draining != w.Draining || first || !w.listed {
		h.Log.Info("scheduler: worker registered or changed its record", zap.Inline(record.Incarnation()), zap.String("rack", record.Rack),
			zap.Bool("draining", record.Draining), zap.Duration("leaves", record.TimeLeft))
		h.decisionDue = true
		h.signal()
	}
	leaves := record.Draining && w.leavesAt.IsZero()
	h.recordDeparture(w, record, asOf)
	if w.Address != record.Address {
		h.addresses.markChanged(record.ID)
	}
	w.Worker, w.listed, w.foreign = *record, true, false
	w.markAlive(time.Now().Add(-recordLingerTime))
	if first {
		w.updateTimeFactor(h.speeds.sites[w.Service])
		h.sendStops(w)
	}
	if leaves && len(w.runs) > 0 && w.clock != 0 {
		h.background.Go(func() { h.pollOnce(w, answerTimeout) }) // The last report on its runs may be 1.5 s old.
	}
	w.signal()
}

// recordHeartbeat records that a worker has rewritten its record, which shows that it lives. A worker that was
// silent was thus only cut off, and the losses counted against its tasks are taken back.
func (h *shard) recordHeartbeat(l incarnation.ID) {
	h.logReturnByRecord(l, true)
	w := h.workers[l.Worker]
	if w == nil {
		return
	}
	w.markAlive(time.Now().Add(-heartbeatDelay))
	if !w.silentSince.IsZero() && w.aliveAt.After(w.silentSince) {
		h.applyCharges(h.lossDetector.RecordReturn(l))
	}
}

// markAlive records that the worker surely lived at the given time, as its record shows.
func (r *registration) markAlive(at time.Time) {
	if at.After(r.aliveAt) {
		r.aliveAt = at
	}
}

// sendStops sends the stops that were requested before the worker's address was known.
func (h *shard) sendStops(w *workerState) {
	for _, r := range w.runs {
		if r.stopping {
			h.background.Go(func() { h.sendStop(w, r) })
		}
	}
}

// workerOf returns the initial state of a worker of which only the record is known.
func workerOf(record *fleet.Worker) *workerState {
	return &workerState{
		Worker: *record, succession: succession{incarnation: record.Incarnation()}, load: load{runs: map[job.Task]*run{}}, waker: waker{make(chan struct{}, 1)},
		endCursor: &endCursor{},
	}
}

// newWorker starts to track the incarnation l of a worker that is not tracked yet. If a predecessor placed runs on
// it, its record may be gone. Its address is then the one that the predecessor wrote.
func (h *shard) newWorker(l incarnation.ID) *workerState {
	w := workerOf(&fleet.Worker{ID: l.Worker, Born: l.Born, Address: h.addresses.previous.Lookup(l)})
	w.unlistedAt, w.knownSince, w.failures = time.Now(), time.Now(), 1
	w.leases.extend(h.Bounds.latestEnd(h.predecessorsQuietSince.Add(maxRenewalTime)))
	w.knownAddress = w.Address
	h.speeds.restoreSpeed(w)
	h.workers[w.ID] = w
	h.restorePendingStops(w)
	h.sortedWorkers = nil
	h.background.Go(func() { h.pollLoop(w) })
	return w
}

// unlist records that a worker's record has gone missing after asOf. If foreign is true, another writer's record
// is in its place, which tells nothing about the worker.
func (h *shard) unlist(id string, foreign bool, asOf time.Time) {
	w := h.workers[id]
	if w == nil || !w.listed && (!w.foreign || foreign) {
		return
	}
	w.listed, w.unlistedAt, w.foreign = false, time.Now(), foreign
	if !foreign && !w.Draining && len(w.runs) > 0 {
		h.watchUnannounced(w, asOf)
	}
	h.Log.Info("scheduler: worker's record is missing from the store", zap.Inline(w.incarnation), zap.Int("runs", len(w.runs)))
	w.signal()
	h.decisionDue = true
	h.signal()
}

// adopt starts to track a run that a predecessor placed.
func (h *shard) adopt(j *trackedJob, o job.PlacedRun) {
	w := h.workers[o.Worker.Worker]
	if w == nil {
		w = h.newWorker(o.Worker)
		h.watchUnannounced(w, time.Time{})
	}
	if o.Worker.IsLaterThan(w.incarnation) || w.incarnation.Born == 0 { // The known record is of an earlier incarnation.
		w.incarnation = o.Worker
	}
	h.addRun(w, &run{incarnation: o.Worker, task: o.Task, number: o.Run, saved: o.Saved, job: j, each: j.Request.Steps[o.Task.Step].Each, placed: time.Now(), adopted: true})
}

func (h *shard) addRun(w *workerState, r *run) {
	w.runs[r.task] = r
	w.used = w.used.Add(r.each)
	w.lastPlacedJob, w.lastPlacedAt = r.task.Job, r.placed
	r.worker = w
	h.allocations.add(r)
	w.signal()
}

func (h *shard) dropRun(w *workerState, r *run) {
	if w.runs[r.task] != r {
		return
	}
	delete(w.runs, r.task)
	if r.orphaned {
		r.job.countOrphan(r.task, -1)
	}
	w.used = w.used.Sub(r.each)
	if r.stopping {
		w.freeing = w.freeing.Sub(r.each)
	}
	h.allocations.remove(r)
	h.decisionDue = true
	h.signal()
}
