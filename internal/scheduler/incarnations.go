package scheduler

import (
	"maps"
	"time"

	"github.com/pulleyring/pulleyring/internal/fleet"
	"github.com/pulleyring/pulleyring/internal/incarnation"
	"github.com/pulleyring/pulleyring/internal/job"
	"go.uber.org/zap"
)

// succession tracks the incarnations of a worker. A restarted worker knows nothing from before: its clock and
// the numbers of its ends begin again, and it has seen no fencing token. Commands name only the worker, so a
// late one may be executed by a later incarnation.
type succession struct {
	incarnation      incarnation.ID
	nextRecord       *fleet.Worker // Record of a later incarnation that has not answered yet; nil for none.
	nextSeenAt       time.Time     // When that record was first seen.
	nextWrittenAfter time.Time     // That record was written after this time; zero if unknown.
	// When an answer had a lower clock than was known when its command was sent, so another incarnation gave
	// it. Zero for never, or once a later poll was answered.
	uncertainSince time.Time
	previous       previousIncarnation // The incarnation tracked before, if any.
	// Runs whose start got no answer. A later incarnation may still execute it.
	openStarts map[*run]openStart
}

// previousIncarnation is what was last known of the incarnation that was tracked before.
type previousIncarnation struct {
	record      fleet.Worker
	incarnation incarnation.ID
	lastSeen    time.Time
	missedAt    time.Time
	answeredAt  time.Time
	lost        bool // Its loss has been recorded.
}

// openStart is a start that got no answer.
type openStart struct {
	sent       time.Time
	stopSentTo incarnation.ID // The last incarnation to which a stop of the run was sent.
}

// openStartRetention is how long a start without an answer may still be executed: far longer than a command is
// in flight.
const openStartRetention = pendingStopRetention

// sendState is what was known of a worker when a command was sent.
type sendState struct {
	ends  *endCursor // Of the incarnation that was tracked.
	clock int64      // The highest clock that was known.
	at    time.Time
}

func (w *workerState) sendState() sendState { return sendState{w.endCursor, w.newestClock, time.Now()} }

// target returns the worker to which commands are sent: the newest incarnation that has registered.
func (w *workerState) target() fleet.Worker {
	if w.nextRecord != nil {
		return *w.nextRecord
	}
	return w.Worker
}

// isCertain reports whether nothing indicates that another incarnation than the tracked one answers.
func (w *workerState) isCertain() bool { return w.nextRecord == nil && w.uncertainSince.IsZero() }

// isOutdated reports whether the command sent at m went to an incarnation that is not tracked any more.
func (w *workerState) isOutdated(m sendState) bool { return m.ends != w.endCursor }

// hasClockGoneBack reports whether an answer's clock shows that a later incarnation gave it. An incarnation's
// clock never goes back; a late answer is compared with the clock known when its command was sent.
func (w *workerState) hasClockGoneBack(m sendState, clock int64) bool {
	return clock != 0 && clock < m.clock && !w.isOutdated(m) && w.incarnation.Born != 0
}

// checkForRestart records that another incarnation than the tracked one has executed a command, and polls the
// worker to find out which.
func (h *shard) checkForRestart(w *workerState, clock int64, command string) {
	if !w.uncertainSince.IsZero() || w.declaredLost {
		return
	}
	w.uncertainSince, h.decisionDue = time.Now(), true
	h.Figures.Count("workers_doubted")
	h.Log.Warn("scheduler: worker's clock has gone back; polling it for a restart", zap.Inline(w.incarnation), zap.String("order", command), zap.Int64("clock", clock),
		zap.Int64("newest_clock", w.newestClock), zap.Int("runs", len(w.runs)))
	h.background.Go(func() { h.pollOnce(w, answerTimeout) })
}

// noteLaterIncarnation stores the record of a later incarnation. Which commands that one has executed is
// unknown until it answers.
func (h *shard) noteLaterIncarnation(w *workerState, record *fleet.Worker, asOf time.Time) {
	if w.nextRecord != nil && w.nextRecord.Incarnation().IsLaterThan(record.Incarnation()) {
		return
	}
	first := w.nextRecord == nil || record.Incarnation().IsLaterThan(w.nextRecord.Incarnation())
	copied := *record
	w.nextRecord, w.nextWrittenAfter = &copied, asOf
	if !first {
		return
	}
	w.nextSeenAt, h.decisionDue = time.Now(), true
	w.leases.extend(h.Bounds.latestEnd(w.nextSeenAt)) // It may already have been sent commands with a lease.
	h.addresses.markChanged(record.ID)
	h.Log.Warn("scheduler: a later incarnation of the worker has registered; polling it", zap.Inline(w.incarnation), zap.Int64("later", record.Born), zap.String("address", record.Address),
		zap.Int("runs", len(w.runs)), h.observedStateField(w))
	h.background.Go(func() { h.pollOnce(w, answerTimeout) })
	w.signal()
	h.signal()
}

// trackReporter records which incarnation sent a report and reports whether that is the one tracked from now on.
func (h *shard) trackReporter(w *workerState, report *fleet.Report, m sendState) bool {
	switch {
	case w.incarnation.IsLaterThan(report.Incarnation), w.declaredLost && !w.incarnation.Matches(report.Incarnation):
		return false
	case report.Incarnation.IsLaterThan(w.incarnation):
		h.trackLater(w, report.Incarnation)
	case w.incarnation.Born == 0:
		w.incarnation = report.Incarnation
	}
	if w.nextRecord != nil && !w.nextRecord.Incarnation().IsLaterThan(w.incarnation) {
		h.applyNextRecord(w)
	}
	if w.nextRecord != nil && m.at.After(w.nextSeenAt) {
		h.Log.Warn("scheduler: worker still answers, although a later incarnation has registered; ignoring that record", zap.Inline(w.incarnation), zap.Int64("later", w.nextRecord.Born))
		w.nextRecord = nil
	}
	if m.at.After(w.uncertainSince) {
		w.uncertainSince = time.Time{}
	}
	return true
}

// applyNextRecord applies the record of the incarnation that is tracked now.
func (h *shard) applyNextRecord(w *workerState) {
	record, asOf := w.nextRecord, w.nextWrittenAfter
	w.nextRecord = nil
	if !w.incarnation.IsLaterThan(record.Incarnation()) {
		h.applyRecord(w, record, asOf)
	}
}

// trackLater starts to track a later incarnation of a worker. The runs of the earlier one are ended by
// endEarlierRuns, as far as the later one does not list them.
func (h *shard) trackLater(w *workerState, next incarnation.ID) {
	h.Figures.Count("workers_started_again")
	h.Log.Warn("scheduler: worker has restarted; tracking its new incarnation", zap.Inline(next), zap.Int64("before", w.incarnation.Born), zap.Int("runs", len(w.runs)),
		zap.Int("open_starts", len(w.openStarts)), zap.Int("owed", len(w.pendingStops)), zap.String("hall", w.Hall), h.observedStateField(w))
	w.previous = previousIncarnation{record: w.Worker, incarnation: w.incarnation, lastSeen: w.lastSeen(), missedAt: w.missedAt, answeredAt: w.clockAt}
	h.addresses.markChanged(w.ID)
	w.incarnation, w.uncertainSince = next, time.Time{}
	if w.cancelPoll != nil {
		w.cancelPoll() // The incarnation that it was sent to may never answer.
	}
	w.contact = contact{patientPoll: w.patientPoll}
	w.endCursor, w.workerHealth = &endCursor{}, workerHealth{}
	w.leases = leases{endedBy: h.Bounds.latestEnd(time.Now())}
	w.Draining, w.TimeLeft = false, 0
	w.leavesAt, w.staysUntil, w.aliveAt = time.Time{}, time.Time{}, time.Time{}
	for r := range w.pendingStops {
		w.recordOpenStart(r, r.startSent)
	}
	w.pendingStops = nil
	w.silentSince = time.Time{}
	h.decisionDue = true
}

// endEarlierRuns ends the runs of earlier incarnations of a worker that the present one does not list. A start
// that got no answer may still be executed by the present one, so it is stopped before its task starts again.
func (h *shard) endEarlierRuns(w *workerState, listed map[job.Task]int, m sendState) {
	byIncarnation := map[incarnation.ID][]*run{}
	for _, r := range w.runs {
		if !w.incarnation.IsLaterThan(r.incarnation) {
			continue
		}
		startedSince := r.confirmed.After(m.at) // The answer to its start arrived after the poll was sent.
		if listed[r.task] == r.number || startedSince {
			r.incarnation = w.incarnation
			continue
		}
		byIncarnation[r.incarnation] = append(byIncarnation[r.incarnation], r)
	}
	if !w.previous.lost && w.incarnation.IsLaterThan(w.previous.incarnation) && byIncarnation[w.previous.incarnation] == nil {
		byIncarnation[w.previous.incarnation] = nil
	}
	for l, runs := range byIncarnation {
		h.loseEarlier(w, l, runs)
	}
	for r, o := range w.openStarts {
		if !w.incarnation.IsLaterThan(r.incarnation) || w.incarnation.Matches(o.stopSentTo) {
			continue
		}
		if time.Since(o.sent) > openStartRetention {
			delete(w.openStarts, r)
			continue
		}
		w.openStarts[r] = openStart{o.sent, w.incarnation}
		if listed[r.task] != r.number {
			h.preventLateStart(w, r)
		}
	}
}

// loseEarlier records that an earlier incarnation of a worker has ended, together with some runs.
func (h *shard) loseEarlier(w *workerState, earlier incarnation.ID, runs []*run) {
	var begun []*run
	for _, r := range runs {
		if r.starting {
			w.recordOpenStart(r, time.Now())
		}
		if r.orphaned || r.startSent.IsZero() && !r.adopted {
			h.endRun(w, r, job.NeverRan, "")
			continue
		}
		begun = append(begun, r)
	}
	w.previous.lost = w.previous.lost || w.previous.incarnation.Matches(earlier)
	lost := h.endLostRuns(w, earlier, begun, restarted)
	h.assessLoss(lost, w.previous.incarnation.Matches(earlier) && w.previous.record.Draining)
}

// preventLateStart sends the worker's present incarnation a stop for a run that an earlier one was commanded to
// start, so that it refuses or stops the run. The task is held until the worker has accepted the stop and a
// later poll does not find the run.
func (h *shard) preventLateStart(w *workerState, r *run) {
	p, known := h.jobTask(r.task)
	if !known || w.runs[r.task] != nil || p.State == job.Finished {
		h.stopUntracked(w, r.task, r.number)
		return
	}
	orphan := &run{task: r.task, number: r.number, each: r.each, job: r.job, incarnation: w.incarnation, placed: time.Now(), startSent: r.startSent, orphaned: true}
	h.addRun(w, orphan)
	orphan.job.countOrphan(orphan.task, 1)
	h.stop(w, orphan, "it was ordered to an earlier life")
}

// recordOpenStart records a start that got no answer.
func (w *workerState) recordOpenStart(r *run, sent time.Time) {
	if w.openStarts == nil {
		w.openStarts = map[*run]openStart{}
	}
	maps.DeleteFunc(w.openStarts, func(_ *run, o openStart) bool { return time.Since(o.sent) > openStartRetention })
	w.openStarts[r] = openStart{sent, w.openStarts[r].stopSentTo}
}
