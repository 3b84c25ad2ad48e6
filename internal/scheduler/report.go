package scheduler

import (
	"context"
	"time"

	"github.com/pulleyring/pulleyring/internal/fleet"
	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/internal/logsink"
	"go.uber.org/zap"
)

// applyReport applies a worker's report, which answers the poll with the send state m. Acknowledged is the number
// up to which that poll told the worker to forget ends. It reports whether ends that the worker reported are not
// committed yet.
func (h *shard) applyReport(w *workerState, report *fleet.Report, m sendState, acknowledged int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.trackReporter(w, report, m) {
		h.applyFormerEnds(w, report)
		return false
	}
	h.logReturnByReport(w, report)
	if !w.isOutdated(m) {
		w.forgetSentUpTo = max(w.forgetSentUpTo, acknowledged)
	}
	if w.declaredLost || report.Clock < w.reportClock {
		h.recordOutdated(w, report)
		// Only the ends are applied. Either the worker was declared lost while the report was in flight, or a
		// newer report was applied before this one.
		h.applyEnds(w, report)
		return !w.declaredLost && w.applied > w.acknowledged
	}
	if w.failures > 0 || w.clock == 0 {
		w.backAt, h.decisionDue = time.Now(), true
		w.signal()
		h.signal()
	}
	w.recordClock(report.Clock)
	h.recordFirstCommand(w)
	w.reportClock, w.outdatedReports = report.Clock, outdatedReports{}
	w.failures, w.polledAt = 0, time.Now()
	h.applyCharges(h.lossDetector.RecordReturn(w.incarnation))
	listed := listedRuns(report)
	if !report.More {
		h.endEarlierRuns(w, listed, m)
	}
	for i := range report.Running {
		h.recordRunning(w, &report.Running[i])
	}
	h.applyEnds(w, report)
	if !report.More {
		h.endAbsent(w, listed, m.at)
	}
	now := time.Now()
	h.stopStalledRuns(w, now)
	h.handleSlowMembers(w, now)
	h.restartLostWork(w, now)
	w.stalled, w.overdue = h.hasStalledTask(w), h.runSlowdown(w, now)
	h.signal()
	return w.applied > w.acknowledged
}

// outdatedReports counts a worker's consecutive reports of which only the ends were applied, because a report with
// a newer clock was applied before them. The zero value has counted none.
type outdatedReports struct {
	since  time.Time
	logged time.Time
	count  int
}

// outdatedLogInterval is the time between two log lines on outdated reports of a worker, and between the first
// such report and its log line. A single outdated report is thus not logged.
const outdatedLogInterval = 2 * time.Second

// recordOutdated records an outdated report of which only the ends are applied.
func (h *shard) recordOutdated(w *workerState, report *fleet.Report) {
	h.Figures.Count("reports_passed_over")
	p, now := &w.outdatedReports, time.Now()
	if p.count++; p.count == 1 {
		p.since, p.logged = now, now
	}
	if now.Sub(p.logged) < outdatedLogInterval {
		return
	}
	p.logged = now
	h.Log.Warn("scheduler: reports of a worker are outdated; applying only the ends in them", zap.Inline(w.incarnation), zap.Int("reports", p.count), zap.Duration("since", now.Sub(p.since)),
		zap.Int64("clock", report.Clock), zap.Int64("newest_clock", w.reportClock), zap.Bool("gone", w.declaredLost), zap.Int("followed", len(w.runs)),
		zap.Int("running", len(report.Running)), zap.Int("ended", len(report.Ended)), zap.Int64("last_taken", w.applied), zap.Strings("has", runNames(report)), h.observedStateField(w))
}

// listedRuns returns the number of the newest run of each task that a report lists as running or ended.
func listedRuns(report *fleet.Report) map[job.Task]int {
	runs := map[job.Task]int{}
	for i := range report.Running {
		runs[report.Running[i].Task] = report.Running[i].Run
	}
	for i := range report.Ended {
		e := &report.Ended[i]
		runs[e.Task] = max(runs[e.Task], e.Run)
	}
	return runs
}

// recordRunning records that a worker reports the run x as running, and the progress in that report.
func (h *shard) recordRunning(w *workerState, x *fleet.Run) {
	h.recordReportedRun(x.Task, x.Run)
	r := w.runs[x.Task]
	if r == nil || r.number != x.Run {
		h.stopOrphan(w, x)
		return
	}
	if r.confirmed.IsZero() {
		r.confirmed = time.Now()
	}
	if x.Done >= 0 {
		r.progress.update(x.Done, time.Now())
		r.allocation.forecastStale = true
		h.sampleProgress(r)
		h.learnFromProgress(r)
	}
	h.clearImmediateLosses(w, r)
	if r.job.RecordSavedState(x.Task, x.Run, x.Saved) {
		h.holdings.addSaved(r.job)
	}
	if r.job.Progress.State.Final() {
		h.stop(w, r, "the job has ended")
	}
}

// stopOrphan stops an orphaned run: one that a worker reports as running, but that was not placed there or was
// presumed ended.
func (h *shard) stopOrphan(w *workerState, x *fleet.Run) {
	p, ok := h.jobTask(x.Task)
	if ok && p.State == job.Finished && p.Run == x.Run {
		return // The gang has finished, and the worker will soon report the end of this member.
	}
	r := &run{incarnation: w.incarnation, task: x.Task, number: x.Run, confirmed: time.Now(), placed: time.Now(), job: h.jobs[x.Task.Job], orphaned: true}
	if !ok || w.runs[x.Task] != nil {
		h.Log.Warn("scheduler: worker reports an untracked run; stopping it", zap.String("task", x.Task.String()), zap.Int("run", x.Run), zap.Inline(w.incarnation))
		h.stopUntracked(w, x.Task, x.Run)
		return
	}
	r.each = r.job.Request.Steps[x.Task.Step].Each
	h.addRun(w, r)
	r.job.countOrphan(r.task, 1)
	h.stop(w, r, "nobody placed it here")
}

// stopUntracked sends a stop for a run that is not tracked. If it fails, the worker's next report that lists the
// run leads to another stop.
func (h *shard) stopUntracked(w *workerState, t job.Task, number int) {
	command, target := &fleet.Stop{Task: t, Run: number, Token: h.leaseTerm.Epoch()}, w.target()
	h.background.Go(func() {
		ctx, cancel := context.WithTimeout(h.ctx, answerTimeout)
		defer cancel()
		if _, err := h.Commands.Stop(ctx, &target, command); err != nil {
			h.Log.Warn("scheduler: unable to stop an untracked run; waiting for the next report", zap.String("task", t.String()), logsink.Error(err))
		}
	})
}

// countOrphan adds change to the number of a task's orphaned runs. These are runs that are not tracked as the
// task's own and that run or may still start. The task does not start while that number is above 0.
func (j *trackedJob) countOrphan(t job.Task, change int) {
	if j.orphans == nil {
		j.orphans = map[job.Task]int{}
	}
	if j.orphans[t] += change; j.orphans[t] <= 0 {
		delete(j.orphans, t)
	}
}

func (h *shard) jobTask(t job.Task) (job.TaskProgress, bool) {
	j := h.jobs[t.Job]
	if j == nil {
		return job.TaskProgress{}, false
	}
	return j.Task(t)
}

// endAbsent ends the tracked runs that a worker's report does not list and that the worker can't start any more.
// These are runs whose stop it has accepted, and runs that it had reported before. They are also the runs placed
// by a predecessor: the worker refuses their commands because it has seen this lease term's token. Present is the
// number of the newest run that the report lists of each task, and sent is when its poll was sent.
func (h *shard) endAbsent(w *workerState, present map[job.Task]int, sent time.Time) {
	for task, r := range w.runs {
		if present[task] == r.number {
			continue
		}
		stopped := !r.stopAccepted.IsZero() && r.stopAccepted.Before(sent)
		fenced := r.adopted && r.confirmed.IsZero()
		lost := !r.confirmed.IsZero() && r.confirmed.Before(sent)
		if stopped || fenced || lost {
			h.endRun(w, r, job.NeverRan, "")
		}
	}
}
