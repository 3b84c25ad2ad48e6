package scheduler

import (
	"maps"
	"time"

	"github.com/pulleyring/pulleyring/internal/fleet"
	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/internal/life"
	"go.uber.org/zap"
)

// succession tracks the incarnations of a worker. A restarted worker knows nothing from before: its clock and
// the numbers of its ends begin again, and it has seen no fencing token. Commands name only the worker, so a
// late one may be executed by a later incarnation.
type succession struct {
	life             life.ID
	nextRecord       *fleet.Worker // Record of a later incarnation that has not answered yet; nil for none.
	nextSeenAt       time.Time     // When that record was first seen.
	nextWrittenAfter time.Time     // That record was written after this time; zero if unknown.
	// When an answer had a lower clock than was known when its command was sent, so another incarnation gave
	// it. Zero for never, or once a later poll was answered.
	doubted  time.Time
	previous previousIncarnation // The incarnation tracked before, if any.
	// Runs whose start got no answer. A later incarnation may still execute it.
	openStarts map[*run]openStart
}

// previousIncarnation is what was last known of the incarnation that was tracked before.
type previousIncarnation struct {
	record      fleet.Worker
	incarnation life.ID
	lastSeen    time.Time
	missedAt    time.Time
	answeredAt  time.Time
	lost        bool // Its loss has been recorded.
}

// openStart is a start that got no answer.
type openStart struct {
	sent       time.Time
	stopSentTo life.ID // The last incarnation to which a stop of the run was sent.
}

// openStartRetention is how long a start without an answer may still be executed: far longer than a command is
// in flight.
const openStartRetention = pendingStopRetention

// sentMark is what was known of a worker when a command was sent.
type sentMark struct {
	ends  *listedEnds // Of the incarnation that was tracked.
	clock int64       // The highest clock that was known.
	at    time.Time
}

func (w *workerState) mark() sentMark { return sentMark{w.listedEnds, w.newestClock, time.Now()} }

// target returns the worker to which commands are sent: the newest incarnation that has registered.
func (w *workerState) target() fleet.Worker {
	if w.nextRecord != nil {
		return *w.nextRecord
	}
	return w.Worker
}

// isCertain reports whether nothing indicates that another incarnation than the tracked one answers.
func (w *workerState) isCertain() bool { return w.nextRecord == nil && w.doubted.IsZero() }

// isOld reports whether the command sent at m went to an incarnation that is not tracked any more.
func (w *workerState) isOld(m sentMark) bool { return m.ends != w.listedEnds }

// hasClockGoneBack reports whether an answer's clock shows that a later incarnation gave it. An incarnation's
// clock never goes back; a late answer is compared with the clock known when its command was sent.
func (w *workerState) hasClockGoneBack(m sentMark, clock int64) bool {
	return clock != 0 && clock < m.clock && !w.isOld(m) && w.life.Born != 0
}

// checkForRestart records that another incarnation than the tracked one has executed a command, and polls the
// worker to find out which.
func (h *shard) checkForRestart(w *workerState, clock int64, command string) {
	if !w.doubted.IsZero() || w.gone {
		return
	}
	w.doubted, h.changed = time.Now(), true
	h.Figures.Count("workers_doubted")
	h.Log.Warn("scheduler: worker's clock has gone back; polling it for a restart", zap.Inline(w.life), zap.String("order", command), zap.Int64("clock", clock),
		zap.Int64("newest_clock", w.newestClock), zap.Int("runs", len(w.runs)))
	h.ordering.Go(func() { h.pollOnce(w, answerTimeout) })
}

// noteLaterIncarnation stores the record of a later incarnation. Which commands that one has executed is
// unknown until it answers.
func (h *shard) noteLaterIncarnation(w *workerState, record *fleet.Worker, asOf time.Time) {
	if w.nextRecord != nil && w.nextRecord.Life().Follows(record.Life()) {
		return
	}
	first := w.nextRecord == nil || record.Life().Follows(w.nextRecord.Life())
	copied := *record
	w.nextRecord, w.nextWrittenAfter = &copied, asOf
	if !first {
		return
	}
	w.nextSeenAt, h.changed = time.Now(), true
	w.leases.extend(h.Bounds.longestLease(w.nextSeenAt)) // It may already have been sent commands with a lease.
	h.addresses.markChanged(record.ID)
	h.Log.Warn("scheduler: a later incarnation of the worker has registered; polling it", zap.Inline(w.life), zap.Int64("later", record.Born), zap.String("address", record.Address),
		zap.Int("runs", len(w.runs)), h.beliefOf(w))
	h.ordering.Go(func() { h.pollOnce(w, answerTimeout) })
	w.signal()
	h.signal()
}

// trackReporter records which incarnation sent a report and reports whether that is the one tracked from now on.
func (h *shard) trackReporter(w *workerState, report *fleet.Report, m sentMark) bool {
	switch {
	case w.life.Follows(report.Life), w.gone && !w.life.Is(report.Life):
		return false
	case report.Life.Follows(w.life):
		h.trackLater(w, report.Life)
	case w.life.Born == 0:
		w.life = report.Life
	}
	if w.nextRecord != nil && !w.nextRecord.Life().Follows(w.life) {
		h.applyNextRecord(w)
	}
	if w.nextRecord != nil && m.at.After(w.nextSeenAt) {
		h.Log.Warn("scheduler: worker still answers, although a later incarnation has registered; ignoring that record", zap.Inline(w.life), zap.Int64("later", w.nextRecord.Born))
		w.nextRecord = nil
	}
	if m.at.After(w.doubted) {
		w.doubted = time.Time{}
	}
	return true
}

// applyNextRecord applies the record of the incarnation that is tracked now.
func (h *shard) applyNextRecord(w *workerState) {
	record, asOf := w.nextRecord, w.nextWrittenAfter
	w.nextRecord = nil
	if !w.life.Follows(record.Life()) {
		h.applyRecord(w, record, asOf)
	}
}

// trackLater starts to track a later incarnation of a worker. The runs of the earlier one are ended by
// endEarlierRuns, as far as the later one does not list them.
func (h *shard) trackLater(w *workerState, next life.ID) {
	h.Figures.Count("workers_started_again")
	h.Log.Warn("scheduler: worker has restarted; tracking its new incarnation", zap.Inline(next), zap.Int64("before", w.life.Born), zap.Int("runs", len(w.runs)),
		zap.Int("open_starts", len(w.openStarts)), zap.Int("owed", len(w.owed)), zap.String("hall", w.Hall), h.beliefOf(w))
	w.previous = previousIncarnation{record: w.Worker, incarnation: w.life, lastSeen: w.lastSeen(), missedAt: w.missedAt, answeredAt: w.clockAt}
	h.addresses.markChanged(w.ID)
	w.life, w.doubted = next, time.Time{}
	if w.cancelPoll != nil {
		w.cancelPoll() // The incarnation that it was sent to may never answer.
	}
	w.contact = contact{patientPoll: w.patientPoll}
	w.listedEnds, w.workerHealth = &listedEnds{}, workerHealth{}
	w.leases = leases{over: h.Bounds.longestLease(time.Now())}
	w.Draining, w.Leaves = false, 0
	w.leavesAt, w.staysUntil, w.aliveAt = time.Time{}, time.Time{}, time.Time{}
	for r := range w.owed {
		w.noteOpen(r, r.ordered)
	}
	w.owed = nil
	w.silentSince = time.Time{}
	h.changed = true
}

// endEarlierRuns ends the runs of earlier incarnations of a worker that the present one does not list. A start
// that got no answer may still be executed by the present one, so it is stopped before its task starts again.
func (h *shard) endEarlierRuns(w *workerState, listed map[job.Task]int, m sentMark) {
	byIncarnation := map[life.ID][]*run{}
	for _, r := range w.runs {
		if !w.life.Follows(r.life) {
			continue
		}
		startedSince := r.confirmed.After(m.at) // The answer to its start arrived after the poll was sent.
		if listed[r.task] == r.number || startedSince {
			r.life = w.life
			continue
		}
		byIncarnation[r.life] = append(byIncarnation[r.life], r)
	}
	if !w.previous.lost && w.life.Follows(w.previous.incarnation) && byIncarnation[w.previous.incarnation] == nil {
		byIncarnation[w.previous.incarnation] = nil
	}
	for l, runs := range byIncarnation {
		h.loseEarlier(w, l, runs)
	}
	for r, o := range w.openStarts {
		if !w.life.Follows(r.life) || w.life.Is(o.stopSentTo) {
			continue
		}
		if time.Since(o.sent) > openStartRetention {
			delete(w.openStarts, r)
			continue
		}
		w.openStarts[r] = openStart{o.sent, w.life}
		if listed[r.task] != r.number {
			h.preventLateStart(w, r)
		}
	}
}

// loseEarlier records that an earlier incarnation of a worker has ended, together with some runs.
func (h *shard) loseEarlier(w *workerState, earlier life.ID, runs []*run) {
	var begun []*run
	for _, r := range runs {
		if r.ordering {
			w.noteOpen(r, time.Now())
		}
		if r.stray || r.ordered.IsZero() && !r.adopted {
			h.endRun(w, r, job.NeverRan, "")
			continue
		}
		begun = append(begun, r)
	}
	w.previous.lost = w.previous.lost || w.previous.incarnation.Is(earlier)
	lost := h.endLostRuns(w, earlier, begun, restarted)
	h.assessLoss(lost, w.previous.incarnation.Is(earlier) && w.previous.record.Draining)
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
	orphan := &run{task: r.task, number: r.number, each: r.each, job: r.job, life: w.life, placed: time.Now(), ordered: r.ordered, stray: true}
	h.addRun(w, orphan)
	orphan.job.countOrphan(orphan.task, 1)
	h.stop(w, orphan, "it was ordered to an earlier life")
}

// noteOpen records a start that got no answer.
func (w *workerState) noteOpen(r *run, sent time.Time) {
	if w.openStarts == nil {
		w.openStarts = map[*run]openStart{}
	}
	maps.DeleteFunc(w.openStarts, func(_ *run, o openStart) bool { return time.Since(o.sent) > openStartRetention })
	w.openStarts[r] = openStart{sent, w.openStarts[r].stopSentTo}
}
