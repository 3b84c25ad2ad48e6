package scheduler

import (
	"slices"
	"time"

	"github.com/pulleyring/pulleyring/internal/fleet"
	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/internal/life"
	"go.uber.org/zap"
)

// Timing of the communication with workers.
const (
	// pollWait is how long a poll waits for a run to end. Each poll costs as much as a health check.
	pollWait = 1500 * time.Millisecond
	// leavingPollWait replaces pollWait for a leaving worker, whose leases are short.
	leavingPollWait = 700 * time.Millisecond
	// answerTimeout limits the answer to a command, beyond the command's own wait. A worker answers within a
	// few ms; the rest allows for lost packets, which are retransmitted after 200 ms or more.
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
	// clockDrift is how much slower than ours a worker's clock may run: 2%, plus a margin for rounding.
	clockDrift = 0.03
	// heartbeatDelay is how late a heartbeat may be seen that a worker wrote before it fell silent: the
	// interval of the feed and a margin.
	heartbeatDelay = time.Second
	// recordLingerTime is how long a record may remain in the store after its worker has ended: three
	// heartbeats and the interval of the feed.
	recordLingerTime = 5 * time.Second
	// idlePause is how often a worker is checked for which there is nothing to poll.
	idlePause = time.Second
)

// run is a placed run whose end is not known yet.
type run struct {
	life      life.ID // Incarnation that it was placed on or that reports it.
	task      job.Task
	number    int
	saved     string // Saved state to continue from.
	each      job.Resources
	job       *liveJob
	worker    *workerState
	held      *held // nil once its end is known.
	placed    time.Time
	confirmed time.Time // When the worker first reported or accepted it; zero before that.
	// When the first start command was sent; zero before that and for an adopted run.
	ordered  time.Time
	adopted  bool // Placed by a predecessor.
	stray    bool // Found on the worker, but not tracked as placed there.
	ordering bool // A start command is in flight.
	// When retrying its start, which got no answer, was stopped; zero otherwise.
	gaveUp    time.Time
	stopping  bool
	stopAsked time.Time
	stopWhy   string // Why it is being stopped, for logs and operators.
	// When the worker accepted the stop; the run can't start there after that.
	stopKnown time.Time
	far       bool // It is remote from its data and takes longer than elsewhere.
	progress  progress
	learned   bool     // Its progress has been used to estimate run times.
	lost      *runLoss // Set once it was lost with its worker.
}

func (r *run) group() job.Group { return job.Group{Occurrence: r.task.Occurrence, Step: r.task.Step} }

// workerState is what the scheduler knows of a worker: its newest record and its tracked incarnation. Fields
// that change together are embedded structs, each declared in the file that changes it.
type workerState struct {
	fleet.Worker
	succession
	registration
	load
	waker
	contact
	*listedEnds // Of the tracked incarnation.
	workerHealth
	leases leases
	// Runs presumed ended that may still start. No lease is renewed until the worker has accepted their stops.
	owed       map[*run]bool
	seat       int       // Its index in the roster.
	knownSince time.Time // When it became known.
	gone       bool
}

// registration is what the worker's record in the store tells.
type registration struct {
	listed     bool      // The record exists.
	unlistedAt time.Time // When the record was found missing.
	foreign    bool      // Another writer's record is in its place.
	aliveAt    time.Time // Latest time at which the worker surely lived, by its record.
	// When it leaves: by its first announcement, or as presumed for an unannounced departure. Zero if it stays.
	leavesAt   time.Time
	staysUntil time.Time // Until when it surely stays: the latest time by all of its records.
}

// load is what runs on a worker.
type load struct {
	runs          map[job.Task]*run
	used          job.Resources
	freeing       job.Resources // The part of used that belongs to runs being stopped.
	lastPlacedJob job.ID        // The job whose run was placed there last.
	lastPlacedAt  time.Time     // When that run was placed.
}

// answered records the answer to a command. An answer of another incarnation at the same address is ignored: it
// is no sign that this one lives. When it counted, a worker that had crashed at once and was back after 4 s
// seemed to have lived for these 4 s.
func (h *shard) answered(w *workerState, m sentMark, clock int64, err error, command string) {
	if refusal, refused := refusalOf(err); refused && refusal == fleet.OtherLife || w.isOld(m) {
		return
	}
	if w.hasClockGoneBack(m, clock) {
		h.checkForRestart(w, clock, command)
		return
	}
	w.heard(clock)
}

// usable reports whether the worker accepts new runs.
func (w *workerState) usable(now time.Time) bool {
	return w.listed && !w.gone && !w.Draining && w.isCertain() && w.Life().Is(w.life) && w.clock != 0 && w.failures == 0 && len(w.owed) == 0 && now.After(w.unhealthyUntil)
}

// takeListing applies workers' records. If whole, the listing is complete, and workers missing in it have lost
// their records.
func (h *shard) takeListing(l Listing, whole bool) {
	listed := map[string]bool{}
	for i := range l.Workers {
		listed[l.Workers[i].ID] = true
		if h.applyWorkerRecord(&l.Workers[i], l.AsOf) && !whole {
			h.recordHeartbeat(l.Workers[i].Life())
		}
	}
	for _, id := range l.Gone {
		h.unlist(id, slices.Contains(l.Foreign, id), l.AsOf)
	}
	if whole {
		for id := range h.workers {
			if !listed[id] {
				h.unlist(id, slices.Contains(l.Foreign, id), l.AsOf)
			}
		}
	}
}

// applyWorkerRecord applies a worker's record and reports whether it is one of the tracked incarnation. A
// record that has changed was written after asOf.
func (h *shard) applyWorkerRecord(record *fleet.Worker, asOf time.Time) bool {
	l := record.Life()
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
	case l.Born == 0 && w.life.Born != 0: // It lacks the start time that the worker's own records have.
		h.unlist(record.ID, true, asOf)
		return false
	case w.life.Follows(l):
		return false // It is older than the tracked incarnation.
	case l.Follows(w.life):
		h.noteLaterIncarnation(w, record, asOf)
		return false
	}
	h.applyRecord(w, record, asOf)
	return true
}

// applyRecord applies a record of the tracked incarnation.
func (h *shard) applyRecord(w *workerState, record *fleet.Worker, asOf time.Time) {
	if w.life.Born == 0 {
		w.life = record.Life()
	}
	first := w.Address == ""
	if first {
		h.losses.Replaced(record.Address, record.Life())
	}
	if !w.listed {
		h.charge(h.losses.Returned(record.Life()))
	}
	if record.Draining != w.Draining || first || !w.listed {
		h.Log.Info("scheduler: worker registered or changed its record", zap.Inline(record.Life()), zap.String("rack", record.Rack),
			zap.Bool("draining", record.Draining), zap.Duration("leaves", record.Leaves))
		h.changed = true
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
		h.sendStops(w)
	}
	if leaves && len(w.runs) > 0 && w.clock != 0 {
		h.ordering.Go(func() { h.pollOnce(w, answerTimeout) }) // The last report on its runs may be 1.5 s old.
	}
	w.signal()
}

// recordHeartbeat records that a worker has rewritten its record. The worker lives, so if it was silent it was
// only cut off, and the losses counted against its tasks are taken back.
func (h *shard) recordHeartbeat(l life.ID) {
	h.logReturnByRecord(l, true)
	w := h.workers[l.Worker]
	if w == nil {
		return
	}
	w.markAlive(time.Now().Add(-heartbeatDelay))
	if !w.silentSince.IsZero() && w.aliveAt.After(w.silentSince) {
		h.charge(h.losses.Returned(l))
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
			h.ordering.Go(func() { h.sendStop(w, r) })
		}
	}
}

// workerOf returns the state of a worker of which only the record is known.
func workerOf(record *fleet.Worker) *workerState {
	return &workerState{
		Worker: *record, succession: succession{life: record.Life()}, load: load{runs: map[job.Task]*run{}}, waker: waker{make(chan struct{}, 1)},
		listedEnds: &listedEnds{},
	}
}

// newWorker adds an incarnation of a worker. It may have no record any more if a predecessor placed runs on it;
// its address then comes from the predecessor.
func (h *shard) newWorker(l life.ID) *workerState {
	w := workerOf(&fleet.Worker{ID: l.Worker, Born: l.Born, Address: h.addresses.previous.Of(l)})
	w.unlistedAt, w.knownSince, w.failures = time.Now(), time.Now(), 1
	w.leases.extend(h.Bounds.longestLease(h.quiet.Add(renewedFor)))
	w.home = w.Address
	h.workers[w.ID] = w
	h.restorePendingStops(w)
	h.roster = nil
	h.ordering.Go(func() { h.pollLoop(w) })
	return w
}

// unlist records that a worker's record is gone since asOf. If foreign, another writer's record is in its
// place, which tells nothing about the worker.
func (h *shard) unlist(id string, foreign bool, asOf time.Time) {
	w := h.workers[id]
	if w == nil || !w.listed && (!w.foreign || foreign) {
		return
	}
	w.listed, w.unlistedAt, w.foreign = false, time.Now(), foreign
	if !foreign && !w.Draining && len(w.runs) > 0 {
		h.watchUnannounced(w, asOf)
	}
	h.Log.Info("scheduler: worker's record is missing from the store", zap.Inline(w.life), zap.Int("runs", len(w.runs)))
	w.signal()
	h.changed = true
	h.signal()
}

// adopt starts to track a run that a predecessor placed.
func (h *shard) adopt(j *liveJob, o job.Order) {
	w := h.workers[o.Worker.Worker]
	if w == nil {
		w = h.newWorker(o.Worker)
		h.watchUnannounced(w, time.Time{})
	}
	if o.Worker.Follows(w.life) || w.life.Born == 0 { // The known record is that of an earlier incarnation.
		w.life = o.Worker
	}
	h.addRun(w, &run{life: o.Worker, task: o.Task, number: o.Run, saved: o.Saved, job: j, each: j.Request.Steps[o.Task.Step].Each, placed: time.Now(), adopted: true})
}

func (h *shard) addRun(w *workerState, r *run) {
	w.runs[r.task] = r
	w.used = w.used.Add(r.each)
	w.lastPlacedJob, w.lastPlacedAt = r.task.Job, r.placed
	r.worker = w
	h.holdings.add(r)
	w.signal()
}

func (h *shard) dropRun(w *workerState, r *run) {
	if w.runs[r.task] != r {
		return
	}
	delete(w.runs, r.task)
	if r.stray {
		r.job.countOrphan(r.task, -1)
	}
	w.used = w.used.Sub(r.each)
	if r.stopping {
		w.freeing = w.freeing.Sub(r.each)
	}
	h.holdings.drop(r)
	h.changed = true
	h.signal()
}
