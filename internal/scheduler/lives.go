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
	life   life.ID
	next   *fleet.Worker // Record of a later incarnation that has not answered yet; nil for none.
	nextAt time.Time     // When that record was first seen.
	nextOf time.Time     // That record was written after this time; zero if unknown.
	// When an answer had a lower clock than was known when its command was sent, so another incarnation gave
	// it. Zero for never, or once a later poll was answered.
	doubted time.Time
	former  formerLife // The incarnation tracked before, if any.
	// Runs whose start got no answer. A later incarnation may still execute it.
	open map[*run]openStart
}

// formerLife is what was last known of the incarnation that was tracked before.
type formerLife struct {
	record   fleet.Worker
	life     life.ID
	heard    time.Time
	missed   time.Time
	answered time.Time
	lost     bool // Its loss has been recorded.
}

// openStart is a start that got no answer.
type openStart struct {
	sent time.Time
	by   life.ID // The last incarnation to which a stop of the run was sent.
}

// openKept is how long a start without an answer may still be executed: far longer than a command is in flight.
const openKept = owedKept

// sentMark is what was known of a worker when a command was sent.
type sentMark struct {
	ends  *listedEnds // Of the incarnation that was tracked.
	clock int64       // The highest clock that was known.
	at    time.Time
}

func (w *workerState) mark() sentMark { return sentMark{w.listedEnds, w.newest, time.Now()} }

// target returns the worker to which commands are sent: the newest incarnation that has registered.
func (w *workerState) target() fleet.Worker {
	if w.next != nil {
		return *w.next
	}
	return w.Worker
}

// isCertain reports whether nothing indicates that another incarnation than the tracked one answers.
func (w *workerState) isCertain() bool { return w.next == nil && w.doubted.IsZero() }

// isOld reports whether the command sent at m went to an incarnation that is not tracked any more.
func (w *workerState) isOld(m sentMark) bool { return m.ends != w.listedEnds }

// hasGoneBack reports whether an answer's clock shows that a later incarnation gave it. An incarnation's clock
// never goes back; a late answer is compared with the clock known when its command was sent.
func (w *workerState) hasGoneBack(m sentMark, clock int64) bool {
	return clock != 0 && clock < m.clock && !w.isOld(m) && w.life.Born != 0
}

// doubt records that another incarnation than the tracked one has executed a command, and polls the worker to
// find out which.
func (h *shard) doubt(w *workerState, clock int64, order string) {
	if !w.doubted.IsZero() || w.gone {
		return
	}
	w.doubted, h.changed = time.Now(), true
	h.Figures.Count("workers_doubted")
	h.Log.Warn("scheduler: worker's clock has gone back; polling it for a restart", zap.Inline(w.life), zap.String("order", order), zap.Int64("clock", clock),
		zap.Int64("newest_clock", w.newest), zap.Int("runs", len(w.runs)))
	h.ordering.Go(func() { h.lookOnce(w, answerTimeout) })
}

// announce records the record of a later incarnation. Which commands that one has executed is unknown until it
// answers.
func (h *shard) announce(w *workerState, record *fleet.Worker, asOf time.Time) {
	if w.next != nil && w.next.Life().Follows(record.Life()) {
		return
	}
	first := w.next == nil || record.Life().Follows(w.next.Life())
	copied := *record
	w.next, w.nextOf = &copied, asOf
	if !first {
		return
	}
	w.nextAt, h.changed = time.Now(), true
	w.leases.extend(h.Bounds.longestLease(w.nextAt)) // It may already have been sent commands with a lease.
	h.addresses.changed(record.ID)
	h.Log.Warn("scheduler: a later incarnation of the worker has registered; polling it", zap.Inline(w.life), zap.Int64("later", record.Born), zap.String("address", record.Address),
		zap.Int("runs", len(w.runs)), h.beliefOf(w))
	h.ordering.Go(func() { h.lookOnce(w, answerTimeout) })
	w.signal()
	h.signal()
}

// takeLife records which incarnation sent a report and reports whether that is the one tracked from now on.
func (h *shard) takeLife(w *workerState, report *fleet.Report, m sentMark) bool {
	switch {
	case w.life.Follows(report.Life), w.gone && !w.life.Is(report.Life):
		return false
	case report.Life.Follows(w.life):
		h.succeed(w, report.Life)
	case w.life.Born == 0:
		w.life = report.Life
	}
	if w.next != nil && !w.next.Life().Follows(w.life) {
		h.takeNext(w)
	}
	if w.next != nil && m.at.After(w.nextAt) {
		h.Log.Warn("scheduler: worker still answers, although a later incarnation has registered; ignoring that record", zap.Inline(w.life), zap.Int64("later", w.next.Born))
		w.next = nil
	}
	if m.at.After(w.doubted) {
		w.doubted = time.Time{}
	}
	return true
}

// takeNext applies the record of the incarnation that is tracked now.
func (h *shard) takeNext(w *workerState) {
	record, asOf := w.next, w.nextOf
	w.next = nil
	if !w.life.Follows(record.Life()) {
		h.takeRecord(w, record, asOf)
	}
}

// succeed starts to track a later incarnation of a worker. The runs of the earlier one are ended by endFormer,
// as far as the later one does not list them.
func (h *shard) succeed(w *workerState, next life.ID) {
	h.Figures.Count("workers_started_again")
	h.Log.Warn("scheduler: worker has restarted; tracking its new incarnation", zap.Inline(next), zap.Int64("before", w.life.Born), zap.Int("runs", len(w.runs)),
		zap.Int("open_starts", len(w.open)), zap.Int("owed", len(w.owed)), zap.String("hall", w.Hall), h.beliefOf(w))
	w.former = formerLife{record: w.Worker, life: w.life, heard: w.heardOf(), missed: w.missedAt, answered: w.clockAt}
	h.addresses.changed(w.ID)
	w.life, w.doubted = next, time.Time{}
	if w.endLook != nil {
		w.endLook() // The incarnation that it was sent to may never answer.
	}
	w.contact = contact{patient: w.patient}
	w.listedEnds, w.conduct = &listedEnds{}, conduct{}
	w.leases = leases{over: h.Bounds.longestLease(time.Now())}
	w.Draining, w.Leaves = false, 0
	w.leavesAt, w.stays, w.beatAt = time.Time{}, time.Time{}, time.Time{}
	for r := range w.owed {
		w.noteOpen(r, r.ordered)
	}
	w.owed = nil
	w.silentSince = time.Time{}
	h.changed = true
}

// endFormer ends the runs of earlier incarnations of a worker that the present one does not list. A start that
// got no answer may still be executed by the present one, so it is stopped before its task starts again.
func (h *shard) endFormer(w *workerState, listed map[job.Task]int, m sentMark) {
	byLife := map[life.ID][]*run{}
	for _, r := range w.runs {
		if !w.life.Follows(r.life) {
			continue
		}
		begunSince := r.confirmed.After(m.at) // The answer to its start arrived after the poll was sent.
		if listed[r.task] == r.number || begunSince {
			r.life = w.life
			continue
		}
		byLife[r.life] = append(byLife[r.life], r)
	}
	if !w.former.lost && w.life.Follows(w.former.life) && byLife[w.former.life] == nil {
		byLife[w.former.life] = nil
	}
	for l, runs := range byLife {
		h.loseFormer(w, l, runs)
	}
	for r, o := range w.open {
		if !w.life.Follows(r.life) || w.life.Is(o.by) {
			continue
		}
		if time.Since(o.sent) > openKept {
			delete(w.open, r)
			continue
		}
		w.open[r] = openStart{o.sent, w.life}
		if listed[r.task] != r.number {
			h.forestall(w, r)
		}
	}
}

// loseFormer records that an earlier incarnation of a worker has ended, together with some runs.
func (h *shard) loseFormer(w *workerState, former life.ID, runs []*run) {
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
	w.former.lost = w.former.lost || w.former.life.Is(former)
	lost := h.endLost(w, former, begun, startedAgain)
	h.chargeLost(lost, w.former.life.Is(former) && w.former.record.Draining)
}

// forestall sends the worker's present incarnation a stop for a run that an earlier one was commanded to start,
// so that it refuses or stops the run. The task is held until the worker has accepted the stop and a later poll
// does not find the run.
func (h *shard) forestall(w *workerState, r *run) {
	p, known := h.jobTask(r.task)
	if !known || w.runs[r.task] != nil || p.State == job.Finished {
		h.stopUnfollowed(w, r.task, r.number)
		return
	}
	late := &run{task: r.task, number: r.number, each: r.each, job: r.job, life: w.life, placed: time.Now(), ordered: r.ordered, stray: true}
	h.addRun(w, late)
	late.job.stray(late.task, 1)
	h.stop(w, late, "it was ordered to an earlier life")
}

// noteOpen records a start that got no answer.
func (w *workerState) noteOpen(r *run, sent time.Time) {
	if w.open == nil {
		w.open = map[*run]openStart{}
	}
	maps.DeleteFunc(w.open, func(_ *run, o openStart) bool { return time.Since(o.sent) > openKept })
	w.open[r] = openStart{sent, w.open[r].by}
}
