package scheduler

import (
	"maps"
	"time"

	"github.com/pulleyring/pulleyring/internal/fleet"
	"github.com/pulleyring/pulleyring/internal/incarnation"
	"github.com/pulleyring/pulleyring/internal/job"
	"go.uber.org/zap"
)

// succession tracks the incarnations of a worker. A restarted worker keeps no state: its clock and the numbers of
// the ends that it reports begin again, and it has seen no fencing token. Commands name only the worker, so a late
// command may be executed by a later incarnation.
type succession struct {
	incarnation      incarnation.ID
	nextRecord       *fleet.Worker // Record of a later incarnation that has not answered yet; nil if there is none.
	nextSeenAt       time.Time     // When nextRecord was first seen.
	nextWrittenAfter time.Time     // nextRecord was written after this time; zero if unknown.
	// When an answer came whose clock was lower than the clock known when its command was sent: another
	// incarnation gave that answer. Zero if there was none, or a later poll has been answered.
	uncertainSince time.Time
	previous       previousIncarnation // The incarnation tracked before, if any.
	// Runs whose start got no answer. A later incarnation may still execute it.
	unansweredStarts map[*run]unansweredStart
}

// previousIncarnation is the last known state of the incarnation that was tracked before the present one.
type previousIncarnation struct {
	record      fleet.Worker
	incarnation incarnation.ID
	lastSeen    time.Time
	missedAt    time.Time
	answeredAt  time.Time
	lost        bool // Its loss has been recorded.
}

// unansweredStart is a start command that got no answer.
type unansweredStart struct {
	sent       time.Time
	stopSentTo incarnation.ID // The last incarnation to which a stop of the run was sent.
}

// unansweredStartRetention is how long a start without an answer is kept, because it may still be executed. It is
// far longer than a command is in flight.
const unansweredStartRetention = pendingStopRetention

// sendState is the known state of a worker at the time at which a command was sent to it.
type sendState struct {
	ends  *endCursor // Cursor of the incarnation that was tracked then.
	clock int64      // The highest clock of the worker that was known then.
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

// isCertain reports whether there is no sign of another incarnation of the worker than the tracked one.
func (w *workerState) isCertain() bool { return w.nextRecord == nil && w.uncertainSince.IsZero() }

// isOutdated reports whether another incarnation is tracked now than when the command with send state m was sent.
func (w *workerState) isOutdated(m sendState) bool { return m.ends != w.endCursor }

// hasClockGoneBack reports whether an answer's clock shows that a later incarnation gave it. An incarnation's
// clock never goes back; a late answer is compared with the clock known when its command was sent.
func (w *workerState) hasClockGoneBack(m sendState, clock int64) bool {
	return clock != 0 && clock < m.clock && !w.isOutdated(m) && w.incarnation.Born != 0
}

// checkForRestart records that another incarnation than the tracked one has answered a command, and polls the
// worker to find out which one.
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

// noteLaterIncarnation stores the record, written after asOf, of a later incarnation and polls it. Until it
// answers, it is unknown which commands it has executed.
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
	w.leases.extend(h.Bounds.latestEnd(w.nextSeenAt)) // It may have executed commands with a lease.
	h.addresses.markChanged(record.ID)
	h.Log.Warn("scheduler: a later incarnation of the worker has registered; polling it", zap.Inline(w.incarnation), zap.Int64("later", record.Born), zap.String("address", record.Address),
		zap.Int("runs", len(w.runs)), h.observedStateField(w))
	h.background.Go(func() { h.pollOnce(w, answerTimeout) })
	w.signal()
	h.signal()
}

// trackReporter records which incarnation sent a report, and tracks that one if it is later than the tracked one.
// It returns false if the sender is not the tracked incarnation then.
func (h *shard) trackReporter(w *workerState, report *fleet.Report, m sendState) bool {
	switch {
	case w.incarnation.IsLaterThan(report.Incarnation), w.declaredLost && !w.incarnation.Matches(report.Incarnation):
		return false
	case report.Incarnation.IsLaterThan(w.incarnation):
		h.trackLaterIncarnation(w, report.Incarnation)
	case w.incarnation.Born == 0:
		w.incarnation = report.Incarnation
	}
	if w.nextRecord != nil && !w.nextRecord.Incarnation().IsLaterThan(w.incarnation) {
		h.applyLaterIncarnationRecord(w)
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

// applyLaterIncarnationRecord clears nextRecord, and applies that record if it is of the incarnation tracked now.
func (h *shard) applyLaterIncarnationRecord(w *workerState) {
	record, asOf := w.nextRecord, w.nextWrittenAfter
	w.nextRecord = nil
	if !w.incarnation.IsLaterThan(record.Incarnation()) {
		h.applyRecord(w, record, asOf)
	}
}

// trackLaterIncarnation starts to track a later incarnation of a worker. Runs of the earlier one that the later
// one does not list are ended by endEarlierRuns.
func (h *shard) trackLaterIncarnation(w *workerState, next incarnation.ID) {
	h.Figures.Count("workers_started_again")
	h.Log.Warn("scheduler: worker has restarted; tracking its new incarnation", zap.Inline(next), zap.Int64("before", w.incarnation.Born), zap.Int("runs", len(w.runs)),
		zap.Int("open_starts", len(w.unansweredStarts)), zap.Int("owed", len(w.pendingStops)), zap.String("hall", w.Hall), h.observedStateField(w))
	w.previous = previousIncarnation{record: w.Worker, incarnation: w.incarnation, lastSeen: w.lastSeen(), missedAt: w.missedAt, answeredAt: w.clockAt}
	h.addresses.markChanged(w.ID)
	w.incarnation, w.uncertainSince = next, time.Time{}
	w.updateTimeFactor(h.speeds.sites[w.Service])
	if w.cancelPoll != nil {
		w.cancelPoll() // The incarnation that it was sent to may never answer.
	}
	w.contact = contact{patientPoll: w.patientPoll}
	w.endCursor, w.workerHealth = &endCursor{}, workerHealth{}
	w.leases = leases{runsEndedBy: h.Bounds.latestEnd(time.Now())}
	w.Draining, w.TimeLeft = false, 0
	w.leavesAt, w.staysUntil, w.aliveAt = time.Time{}, time.Time{}, time.Time{}
	for r := range w.pendingStops {
		w.recordUnansweredStart(r, r.startSent)
	}
	w.pendingStops = nil
	w.silentSince = time.Time{}
	h.decisionDue = true
}

// endEarlierRuns ends the runs of earlier incarnations of a worker that the present one does not list in its
// report. Listed is the number of the newest run that it lists of each task, and m the send state of the poll. A
// start that got no answer may still be executed by the present incarnation, so it is stopped before its task
// starts again.
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
		h.loseEarlierIncarnation(w, l, runs)
	}
	for r, o := range w.unansweredStarts {
		if !w.incarnation.IsLaterThan(r.incarnation) || w.incarnation.Matches(o.stopSentTo) {
			continue
		}
		if time.Since(o.sent) > unansweredStartRetention {
			delete(w.unansweredStarts, r)
			continue
		}
		w.unansweredStarts[r] = unansweredStart{o.sent, w.incarnation}
		if listed[r.task] != r.number {
			h.preventLateStart(w, r)
		}
	}
}

// loseEarlierIncarnation ends the given runs, because the earlier incarnation of a worker on which they ran has
// ended.
func (h *shard) loseEarlierIncarnation(w *workerState, earlier incarnation.ID, runs []*run) {
	var begun []*run
	for _, r := range runs {
		if r.starting {
			w.recordUnansweredStart(r, time.Now())
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

// preventLateStart sends the worker's present incarnation a stop for a run whose start command was sent to an
// earlier one. The present incarnation then refuses or stops the run. The task does not start again until the
// worker has accepted the stop and a later poll does not find the run.
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

// recordUnansweredStart records that the start of a run, sent at the given time, got no answer.
func (w *workerState) recordUnansweredStart(r *run, sent time.Time) {
	if w.unansweredStarts == nil {
		w.unansweredStarts = map[*run]unansweredStart{}
	}
	maps.DeleteFunc(w.unansweredStarts, func(_ *run, o unansweredStart) bool { return time.Since(o.sent) > unansweredStartRetention })
	w.unansweredStarts[r] = unansweredStart{sent, w.unansweredStarts[r].stopSentTo}
}
