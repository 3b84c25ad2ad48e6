package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/pulleyring/pulleyring/internal/incarnation"
	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/internal/loss"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// lossCause is the evidence by which the runs of a worker are known or presumed to have ended.
type lossCause int

const (
	otherIncarnation lossCause = iota // Another incarnation answers at the worker's address.
	recordGone                        // The worker's record is gone, and nothing ran on it.
	leasesExpired                     // The worker is silent, and its leases have expired.
	restarted                         // A later incarnation of the worker answers.
)

// String returns the cause for logs.
func (c lossCause) String() string {
	return [...]string{"another life answers at its address", "its record is gone", "its leases are over", "it has started again"}[c]
}

// proves reports whether the worker's process has surely ended. Otherwise it may only be cut off and still
// running.
func (c lossCause) proves() bool { return c == otherIncarnation || c == restarted }

// metricName returns the cause as it is written in the names of metrics.
func (c lossCause) metricName() string {
	return [...]string{"other_life", "record_gone", "leases_over", "started_again"}[c]
}

// runLoss describes how a run was lost with its worker, for logs.
type runLoss struct {
	Cause       lossCause
	Ordered     bool          // A command to start the run was sent.
	AnsweredFor time.Duration // How long after the start command the worker last answered.
	Newest      bool          // No later start command was sent to the worker.
	LostBeside  int           // Number of other runs lost with the worker.
}

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (l *runLoss) MarshalLogObject(e zapcore.ObjectEncoder) error {
	e.AddString("cause", l.Cause.String())
	e.AddBool("ordered", l.Ordered)
	e.AddDuration("seen", l.AnsweredFor)
	e.AddBool("newest", l.Newest)
	e.AddInt("beside", l.LostBeside)
	return nil
}

// declareLost declares a worker lost, together with all of its runs.
func (h *shard) declareLost(w *workerState, cause lossCause) {
	h.Figures.Count("workers_lost_" + cause.metricName())
	w.declaredLost = true
	h.Log.Warn("scheduler: worker declared lost; its runs are presumed ended", zap.Inline(w.incarnation), zap.Stringer("why", cause), zap.Int("runs", len(w.runs)),
		zap.String("hall", w.Hall), zap.Int("lost_in_hall", h.lossDetector.RecentlyLost(w.Hall, time.Now())), zap.Duration("known_for", time.Since(w.knownSince)), h.observedStateField(w))
	h.loseRuns(w, cause)
	h.keepPendingStops(w, cause)
	h.speeds.keepSpeed(w, time.Now())
	delete(h.workers, w.ID)
	h.addresses.markChanged(w.ID)
	h.sortedWorkers = nil
}

// loseRuns ends all runs of a worker and assesses whether one of their tasks may have caused its loss.
func (h *shard) loseRuns(w *workerState, cause lossCause) {
	runs := slices.Collect(maps.Values(w.runs))
	lost := h.endLostRuns(w, w.incarnation, runs, cause)
	for _, r := range runs {
		h.addPendingStop(w, r)
	}
	h.assessLoss(lost, w.Draining)
}

// endLostRuns ends runs that were lost with the incarnation l of a worker, and returns the loss to be passed to
// assessLoss.
func (h *shard) endLostRuns(w *workerState, l incarnation.ID, runs []*run, cause lossCause) loss.Worker {
	lost := h.workerLoss(w, l, runs, cause)
	h.recordPresumedEnded(l, runs, cause)
	newest, beside := newestStart(runs), len(runs)-1
	for _, r := range runs {
		r.lost = &runLoss{
			Cause: cause, Ordered: !r.startSent.IsZero(), Newest: !r.startSent.Before(newest), LostBeside: beside, AnsweredFor: w.answeredFor(r),
		}
		h.endRun(w, r, job.Expired, "")
	}
	return lost
}

// assessLoss assesses which tasks may have caused a worker's loss. If the worker had announced its departure, no
// task caused it, and the starts are only counted.
func (h *shard) assessLoss(lost loss.Worker, announced bool) {
	if announced {
		for _, r := range lost.Runs {
			if j := h.jobs[r.Task.Job]; j != nil {
				h.countStart(j, r.Task)
			}
		}
		return
	}
	h.recordLostTogether(lost.Runs)
	h.applyCharges(h.lossDetector.RecordLoss(lost, time.Now()))
}

// workerLoss returns the description of the loss of the incarnation l with the given runs. Runs whose start was
// never sent are left out, because they can't have caused the loss.
func (h *shard) workerLoss(w *workerState, l incarnation.ID, runs []*run, cause lossCause) loss.Worker {
	lost := loss.Worker{Incarnation: l, Address: w.Address, LastSeen: w.lastSeen(), CommandUnanswered: w.missedAt, EndProven: cause.proves() || w.nextRecord != nil}
	hall, rack := w.Hall, w.Rack
	if cause == restarted { // The fields of w describe the present incarnation, not the lost one.
		lost.LastSeen, lost.CommandUnanswered = time.Time{}, time.Time{}
		if f := &w.previous; f.incarnation.Matches(l) {
			lost.Address, lost.LastSeen, lost.CommandUnanswered = f.record.Address, f.lastSeen, f.missedAt
			hall, rack = f.record.Hall, f.record.Rack
		}
	}
	lost.Hall.Name, lost.Rack.Name = hall, rack
	for _, o := range h.workers {
		if o.Hall == hall {
			lost.Hall.Size++
		}
		if o.Rack == rack {
			lost.Rack.Size++
		}
	}
	for _, r := range runs {
		if r.startSent.IsZero() && !r.adopted || r.job.Progress.State.Final() {
			continue
		}
		lost.Runs = append(lost.Runs, loss.Run{Task: r.task, LossesBefore: r.job.LossesOf(r.task), SeenAfterStart: w.answeredFor(r), StartedByPredecessor: r.adopted})
	}
	return lost
}

// maxLostTogether limits the number of other jobs in trackedJob.lostTogether.
const maxLostTogether = 32

// recordLostTogether records for each job which other jobs had runs on the same lost worker.
func (h *shard) recordLostTogether(runs []loss.Run) {
	for i := range runs {
		j := h.jobs[runs[i].Task.Job]
		for k := range runs {
			other := runs[k].Task.Job
			if j == nil || other == runs[i].Task.Job || len(j.lostTogether) >= maxLostTogether {
				continue
			}
			if j.lostTogether == nil {
				j.lostTogether = map[job.ID]bool{}
			}
			j.lostTogether[other] = true
		}
	}
}

// answeredFor returns the time from the start command of a run to the last answer of the incarnation that it was
// placed on. For an adopted run, the time begins when it was adopted.
func (w *workerState) answeredFor(r *run) time.Duration {
	answered := w.clockAt
	if w.incarnation.IsLaterThan(r.incarnation) {
		answered = time.Time{}
		if w.previous.incarnation.Matches(r.incarnation) {
			answered = w.previous.answeredAt
		}
	}
	switch {
	case r.adopted:
		return max(answered.Sub(r.placed), 0)
	case r.startSent.IsZero():
		return 0
	}
	return max(answered.Sub(r.startSent), 0)
}

// lastSeen returns the latest time at which the worker surely lived, by its answers and its record.
func (w *workerState) lastSeen() time.Time {
	if w.aliveAt.After(w.clockAt) {
		return w.aliveAt
	}
	return w.clockAt
}

// minUnanswered is how many consecutive commands without an answer show that a worker is gone or unreachable. It
// is more than one because a single answer may be lost.
const minUnanswered = 2

// recordMissed records the time at which minUnanswered consecutive commands had gone unanswered. A worker that is
// lost was lost by then.
func (w *workerState) recordMissed() {
	if w.failures >= minUnanswered && !w.missedAt.After(w.lastSeen()) {
		w.missedAt = time.Now()
	}
}

// newestStart returns when the latest start command of the given runs was sent; zero if none was.
func newestStart(runs []*run) time.Time {
	var newest time.Time
	for _, r := range runs {
		if r.startSent.After(newest) {
			newest = r.startSent
		}
	}
	return newest
}
