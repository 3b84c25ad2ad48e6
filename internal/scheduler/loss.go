package scheduler

import (
	"time"

	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/internal/loss"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// lossCause is by what it is known that everything is over that ran on a worker.
type lossCause int

const (
	otherLife  lossCause = iota // Another life answers at its address.
	recordGone                  // Its record is gone, and nothing ran there.
	leasesOver                  // It is silent, and its leases are over.
)

// String returns the cause for logs.
func (c lossCause) String() string {
	return [...]string{"another life answers at its address", "its record is gone", "its leases are over"}[c]
}

// proves reports whether the worker's process has surely ended; otherwise it may be cut off and run on.
func (c lossCause) proves() bool { return c == otherLife }

// name is the cause as a part of a counter's name.
func (c lossCause) name() string {
	return [...]string{"other_life", "record_gone", "leases_over"}[c]
}

// runLoss is what is known of a run that was lost with its worker.
type runLoss struct {
	Cause   lossCause
	Ordered bool          // An order to start it has left.
	Seen    time.Duration // How long after that order the worker answered last.
	Newest  bool          // No run was ordered there after it.
	Beside  int           // Other runs that were lost with it.
}

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (l *runLoss) MarshalLogObject(e zapcore.ObjectEncoder) error {
	e.AddString("cause", l.Cause.String())
	e.AddBool("ordered", l.Ordered)
	e.AddDuration("seen", l.Seen)
	e.AddBool("newest", l.Newest)
	e.AddInt("beside", l.Beside)
	return nil
}

// loseWorker gives up a worker, with everything that ran there.
func (h *shard) loseWorker(w *workerState, cause lossCause) {
	h.Figures.Count("workers_lost_" + cause.name())
	w.gone = true
	h.Log.Warn("scheduler: worker is gone", zap.String("worker", w.ID), zap.Stringer("why", cause), zap.Int("runs", len(w.runs)),
		zap.String("hall", w.Hall), zap.Int("lost_in_hall", h.losses.Together(w.Hall, time.Now())), zap.Duration("known_for", time.Since(w.since)), h.beliefOf(w))
	h.loseRuns(w, cause)
	h.keepOwed(w, cause)
	delete(h.workers, w.ID)
	h.addresses.changed(w.ID)
	h.roster = nil
}

// loseRuns ends everything that ran on a worker and has it judged what that says of its tasks.
func (h *shard) loseRuns(w *workerState, cause lossCause) {
	lost := h.lostWorker(w, cause)
	h.noteGivenUp(w, cause)
	newest, beside := w.newestOrder(), len(w.runs)-1
	for _, r := range w.runs {
		r.lost = &runLoss{
			Cause: cause, Ordered: !r.ordered.IsZero(), Newest: !r.ordered.Before(newest), Beside: beside, Seen: w.seen(r),
		}
		h.endRun(w, r, job.Lapsed, "")
		h.oweStop(w, r)
	}
	if w.Draining { // It had said so: that is no task's doing.
		for _, r := range lost.Runs {
			if j := h.jobs[r.Task.Job]; j != nil {
				h.countStart(j, r.Task)
			}
		}
		return
	}
	h.keepApart(lost.Runs)
	h.charge(h.losses.Lost(lost, time.Now()))
}

// lostWorker is a worker's loss as it is judged. Runs that were never ordered can't have done it.
func (h *shard) lostWorker(w *workerState, cause lossCause) loss.Worker {
	lost := loss.Worker{
		ID: w.ID, Address: w.Address, Heard: w.heardOf(), Missed: w.missedAt, Proven: cause.proves(),
		Hall: loss.Group{Name: w.Hall}, Rack: loss.Group{Name: w.Rack},
	}
	for _, o := range h.workers {
		if o.Hall == w.Hall {
			lost.Hall.Size++
		}
		if o.Rack == w.Rack {
			lost.Rack.Size++
		}
	}
	for _, r := range w.runs {
		if r.ordered.IsZero() && !r.adopted || r.job.Progress.State.Final() {
			continue
		}
		lost.Runs = append(lost.Runs, loss.Run{Task: r.task, Before: r.job.LossesOf(r.task), Seen: w.seen(r), Adopted: r.adopted})
	}
	return lost
}

// apartMost bounds the jobs that are remembered as lost together with one.
const apartMost = 32

// keepApart notes which jobs were lost together.
func (h *shard) keepApart(runs []loss.Run) {
	for i := range runs {
		j := h.jobs[runs[i].Task.Job]
		for k := range runs {
			other := runs[k].Task.Job
			if j == nil || other == runs[i].Task.Job || len(j.apart) >= apartMost {
				continue
			}
			if j.apart == nil {
				j.apart = map[job.ID]bool{}
			}
			j.apart[other] = true
		}
	}
}

// seen is for how long after a run was ordered, or was found by a successor, its worker was heard of.
func (w *workerState) seen(r *run) time.Duration {
	switch {
	case r.adopted:
		return max(w.clockAt.Sub(r.placed), 0)
	case r.ordered.IsZero():
		return 0
	}
	return max(w.clockAt.Sub(r.ordered), 0)
}

// heardOf is when a worker surely lived last.
func (w *workerState) heardOf() time.Time {
	if w.beatAt.After(w.clockAt) {
		return w.beatAt
	}
	return w.clockAt
}

// missedMost is how many orders in a row without an answer show that a worker has gone, or is out of reach: one alone may be lost.
const missedMost = 2

// noteMissed notes since when a worker answers nothing. It is lost by then, if it is.
func (w *workerState) noteMissed() {
	if w.failures >= missedMost && !w.missedAt.After(w.heardOf()) {
		w.missedAt = time.Now()
	}
}

// newestOrder is when the last of a worker's runs was ordered.
func (w *workerState) newestOrder() time.Time {
	var newest time.Time
	for _, r := range w.runs {
		if r.ordered.After(newest) {
			newest = r.ordered
		}
	}
	return newest
}

// charge takes in what losses of workers say of tasks.
func (h *shard) charge(charges []loss.Charge) {
	for _, c := range charges {
		j := h.jobs[c.Task.Job]
		if j == nil || j.Progress.State.Final() || !j.Charge(c.Task, c.Change) {
			continue
		}
		h.touch(c.Task.Job)
		counted := j.LossesOf(c.Task)
		h.Log.Info("scheduler: workers lost under a task", zap.String("task", c.Task.String()), zap.Int("all", counted.All),
			zap.Int("counted", counted.Counted), zap.Int("at_once", counted.AtOnce), zap.Int("change", c.Change.Counted),
			zap.Stringer("why", c.Why), zap.String("worker", c.Worker), zap.Duration("seen", c.Run.Seen), zap.Bool("adopted", c.Run.Adopted))
		h.judge(j, c.Task)
	}
}

// countStart counts a start that ended otherwise than with its worker, where starts count.
func (h *shard) countStart(j *liveJob, t job.Task) {
	if j.Progress.State.Final() || !loss.StartsCount(j.LossesOf(t)) || !j.Charge(t, job.Losses{All: 1}) {
		return
	}
	h.touch(t.Job)
	counted := j.LossesOf(t)
	h.Log.Info("scheduler: a start counts like a lost worker", zap.String("task", t.String()), zap.Int("all", counted.All), zap.Int("counted", counted.Counted))
	h.judge(j, t)
}

// judge returns what follows for a task from the workers that were lost under it, and gives its job up where that is to be.
func (h *shard) judge(j *liveJob, t job.Task) loss.Verdict {
	counted := j.LossesOf(t)
	verdict := h.losses.Weigh(t, counted, time.Now())
	if verdict == loss.Guilty {
		h.giveUp(j, t, counted)
	}
	return verdict
}

// giveUp ends a job one of whose tasks crashes the workers that start it: what is left of it is stopped at once.
func (h *shard) giveUp(j *liveJob, t job.Task, counted job.Losses) {
	if !j.GiveUp(t, job.CrashesWorkers, counted.Counted, time.Now().UnixMilli()) {
		return
	}
	h.Log.Warn("scheduler: job given up", zap.String("job", string(t.Job)), zap.String("task", t.String()), zap.Stringer("reason", job.CrashesWorkers),
		zap.Int("workers_lost", counted.All), zap.Int("counted", counted.Counted), zap.Int("at_once", counted.AtOnce))
	h.touch(t.Job)
	h.jobEnded(j)
}

// jobEnded takes in that a job's state has become final.
func (h *shard) jobEnded(j *liveJob) {
	r, state := j.Request, j.Progress.State
	h.Log.Info("scheduler: job ended", zap.String("job", string(r.ID)), zap.Stringer("state", state), zap.String("reason", j.Progress.Failure.Text()),
		zap.Int("priority", r.Terms.Priority), zap.Duration("took", time.Since(time.UnixMilli(r.Accepted))),
		zap.Duration("goal", h.allowed(r)), zap.Float64("value", h.value(r)), zap.Int("occurrences", r.Occurrences()))
	if j.Progress.Failure != nil {
		h.Figures.Count("jobs_" + j.Progress.Failure.Reason.String())
	}
	if state != job.Completed { // All of its tasks have ended then, a gang's other members with the first.
		h.stopJob(r.ID, "the job has ended")
	}
}

// judgeLosses judges all tasks under which workers were lost, as what was not proven may be by now, and reports whether there are any.
func (h *shard) judgeLosses() (some bool) {
	for _, j := range h.jobs {
		if len(j.Progress.Losses) == 0 || j.Progress.State.Final() {
			continue
		}
		some = true
		for i := range j.Progress.Losses {
			h.judge(j, j.TaskAt(i))
		}
	}
	return some
}

// watchEvery is how often workers are counted, for the rate at which they are lost without a task's doing.
const watchEvery = time.Second

// watchWorkers counts the workers that run no suspect task.
func (h *shard) watchWorkers(now time.Time) {
	if now.Sub(h.watchedAt) < watchEvery {
		return
	}
	h.watchedAt = now
	n := 0
	for _, w := range h.workers {
		if !w.gone && !w.runsSuspect() {
			n++
		}
	}
	h.losses.Watch(n, now)
}

// runsSuspect reports whether a worker runs a task under which others were lost before.
func (w *workerState) runsSuspect() bool {
	for t, r := range w.runs {
		if len(r.job.Progress.Losses) > 0 && r.job.LossesOf(t).All > 0 {
			return true
		}
	}
	return false
}

// stray counts the runs of a task that are found to go on though they are not followed.
func (j *liveJob) stray(t job.Task, change int) {
	if j.strays == nil {
		j.strays = map[job.Task]int{}
	}
	if j.strays[t] += change; j.strays[t] <= 0 {
		delete(j.strays, t)
	}
}

// isHeld reports whether a task is not to start, because a run of it goes on that is being stopped, or because workers have fallen silent under it and may
// have crashed.
func (h *shard) isHeld(j *liveJob, t job.Task) bool {
	if j.strays[t] > 0 {
		return true
	}
	return len(j.Progress.Losses) > 0 && h.losses.Weigh(t, j.LossesOf(t), time.Now()) != loss.Free
}

// suspect is the job of a run on a worker that may be about to crash it, empty for none. One that has gone on for long keeps no other work out: it would keep a
// worker to itself for hours, and by then it has more counted against it than what begins beside it.
func (w *workerState) suspect() job.ID {
	for t, r := range w.runs {
		if len(r.job.Progress.Losses) == 0 || w.seen(r) > loss.CountedWithin {
			continue
		}
		if lost := r.job.LossesOf(t); lost.AtOnce > 0 || lost.Counted >= loss.AloneAfter {
			return t.Job
		}
	}
	return ""
}

// begun is the job that began last on a worker, if that was a moment ago; empty for none.
func (w *workerState) begun(now time.Time) job.ID {
	if now.Sub(w.begunAt) > loss.AtOnceWithin {
		return ""
	}
	return w.begunBy
}

// clear takes in that a run goes on for longer than one does that crashes its worker as soon as it has begun.
func (h *shard) clear(w *workerState, r *run) {
	if len(r.job.Progress.Losses) == 0 || w.seen(r) < loss.ClearedAfter {
		return
	}
	if n := r.job.LossesOf(r.task).AtOnce; n > 0 && r.job.Charge(r.task, job.Losses{AtOnce: -n}) {
		h.Log.Info("scheduler: a task runs well that had lost workers at once", zap.String("task", r.task.String()), zap.Int("at_once", n),
			zap.String("worker", w.ID), zap.Duration("seen", w.seen(r)))
		h.touch(r.task.Job)
	}
}
