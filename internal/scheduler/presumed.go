package scheduler

import (
	"maps"
	"time"

	"github.com/pulleyring/pulleyring/internal/fleet"
	"github.com/pulleyring/pulleyring/internal/incarnation"
	"github.com/pulleyring/pulleyring/internal/job"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// workerObservation is the state of a worker as last observed. It is logged when the worker's runs are presumed
// ended.
type workerObservation struct {
	AnsweredAgo time.Duration // Since its last answer; negative if there was none.
	AliveAgo    time.Duration // Since the latest time at which it surely lived, by its record; negative if unknown.
	LeaseLeft   time.Duration // Until its lease has surely expired; negative once it has.
	// The worker accepted a command of this lease term, so no predecessor can renew its lease.
	LeaseOwn         bool
	Listed           bool
	UnlistedFor      time.Duration // How long its record has been missing.
	Draining         bool
	ConnectionClosed bool
	Failures         int
}

// workerObservation returns the worker's state as last observed.
func (w *workerState) lastObservation(now time.Time) *workerObservation {
	b := &workerObservation{
		AnsweredAgo: -1, AliveAgo: -1, LeaseLeft: w.leases.runsEndedBy.Sub(now), LeaseOwn: w.leases.acceptedOwnToken,
		Listed: w.listed, Draining: w.Draining, ConnectionClosed: w.connectionClosed, Failures: w.failures,
	}
	if !w.clockAt.IsZero() {
		b.AnsweredAgo = now.Sub(w.clockAt)
	}
	if !w.aliveAt.IsZero() {
		b.AliveAgo = now.Sub(w.aliveAt)
	}
	if !w.listed {
		b.UnlistedFor = now.Sub(w.unlistedAt)
	}
	return b
}

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (b *workerObservation) MarshalLogObject(e zapcore.ObjectEncoder) error {
	if b.AnsweredAgo >= 0 {
		e.AddDuration("answered_ago", b.AnsweredAgo)
	}
	if b.AliveAgo >= 0 {
		e.AddDuration("beat_ago", b.AliveAgo)
	}
	e.AddDuration("lease_left", b.LeaseLeft)
	e.AddBool("lease_own", b.LeaseOwn)
	e.AddBool("listed", b.Listed)
	if !b.Listed {
		e.AddDuration("unlisted_for", b.UnlistedFor)
	}
	e.AddBool("draining", b.Draining)
	e.AddBool("hung_up", b.ConnectionClosed)
	e.AddInt("failures", b.Failures)
	return nil
}

// observedStateField returns the log field with a worker's state as last observed.
func (h *shard) observedStateField(w *workerState) zap.Field {
	return zap.Object("belief", w.lastObservation(time.Now()))
}

// runOnIncarnation identifies a run on an incarnation of a worker.
type runOnIncarnation struct {
	task        job.Task
	number      int
	incarnation incarnation.ID
}

// presumedLoss records that the runs of a worker were presumed ended, without a report of the worker.
type presumedLoss struct {
	at       time.Time
	cause    lossCause
	runs     int
	reported bool // The worker has sent a report since then.
	recorded bool // The worker's record has been seen since then.
}

const (
	// presumedLossRetention is how long presumed losses are kept, to log the return of the workers. It is far
	// longer than any lease.
	presumedLossRetention = 5 * time.Minute
	// presumedLossLimit is the maximum number of presumed losses that are kept, and of runs presumed ended that
	// are kept for each job. A site has fewer workers.
	presumedLossLimit = 4096
)

// recordPresumedEnded records that runs on the incarnation l of a worker were presumed ended.
func (h *shard) recordPresumedEnded(l incarnation.ID, runs []*run, cause lossCause) {
	if len(runs) == 0 {
		return
	}
	now := time.Now()
	maps.DeleteFunc(h.presumedLosses, func(_ incarnation.ID, g *presumedLoss) bool { return now.Sub(g.at) > presumedLossRetention })
	if len(h.presumedLosses) < presumedLossLimit {
		h.presumedLosses[l] = &presumedLoss{at: now, cause: cause, runs: len(runs)}
	}
	for _, r := range runs {
		r.job.recordPresumedEnded(l, r, now)
	}
}

// recordPresumedEnded records that a run on the incarnation l was presumed ended. It leaves out runs of lasting
// tasks, which are restarted however they end.
func (j *trackedJob) recordPresumedEnded(l incarnation.ID, r *run, now time.Time) {
	if j.Request.Steps[r.task.Step].Lasting || len(j.presumedEnded) >= presumedLossLimit {
		return
	}
	if j.presumedEnded == nil {
		j.presumedEnded = map[runOnIncarnation]time.Time{}
	}
	j.presumedEnded[runOnIncarnation{r.task, r.number, l}] = now
}

// logReturnByReport logs the first report of a worker whose runs were presumed ended.
func (h *shard) logReturnByReport(w *workerState, report *fleet.Report) {
	g := h.presumedLosses[w.incarnation]
	if g == nil || g.reported {
		return
	}
	first := !g.recorded
	g.reported = true
	h.logReturn(w.incarnation, g, first, zap.String("by", "report"), zap.Int("running", len(report.Running)), zap.Int("ended", len(report.Ended)),
		zap.Strings("has", runNames(report)))
}

// logReturnByRecord logs the first record of a worker whose runs were presumed ended. If written is true, the
// worker has just written the record; otherwise the record may be old.
func (h *shard) logReturnByRecord(l incarnation.ID, written bool) {
	g := h.presumedLosses[l]
	if g == nil || g.recorded || g.cause == leasesExpired && !written {
		return
	}
	if g.cause.proves() && (!written || time.Since(g.at) < heartbeatDelay) {
		return
	}
	first := !g.reported
	g.recorded = true
	h.logReturn(l, g, first, zap.String("by", "record"))
}

func (h *shard) logReturn(l incarnation.ID, g *presumedLoss, first bool, fields ...zap.Field) {
	if first {
		h.Figures.Count("workers_back")
	}
	h.Log.Warn("scheduler: worker whose runs were presumed ended is back", append(fields, zap.Inline(l), zap.Duration("given_up_ago", time.Since(g.at)),
		zap.Stringer("why", g.cause), zap.Int("runs_given_up", g.runs))...)
}

// maxLoggedNames is the maximum number of run names in a log line.
const maxLoggedNames = 16

// runNames returns the tasks of the first maxLoggedNames runs that a report lists, with the outcomes of those that
// ended.
func runNames(report *fleet.Report) []string {
	var names []string
	for i := range report.Running {
		names = append(names, report.Running[i].Task.String())
	}
	for i := range report.Ended {
		names = append(names, report.Ended[i].Task.String()+" "+report.Ended[i].Outcome.String())
	}
	return names[:min(len(names), maxLoggedNames)]
}

// untrackedReason is the reason why a reported end belongs to no tracked run.
type untrackedReason int

const (
	unknownJob untrackedReason = iota
	unknownTask
	runPresumedEnded // The run was presumed ended before.
	runEndKnown      // The run is the task's last one, on the same worker, and its end is known.
	otherRun         // The task's last run is another one or is on another worker.
)

// String returns the reason for logs.
func (u untrackedReason) String() string {
	return [...]string{"no such job", "no such task", "the run was given up", "the run's end is known", "another run is the last"}[u]
}

// metricName returns the reason as it is written in the names of metrics.
func (u untrackedReason) metricName() string {
	return [...]string{"unknown_job", "unknown_task", "given_up", "known", "other_run"}[u]
}

// untrackedEnd is the reported end of a run that is not tracked, for logs.
type untrackedEnd struct {
	*fleet.End
	Worker          *workerState
	Incarnation     incarnation.ID // The incarnation that reported it.
	Why             untrackedReason
	TaskBefore      job.TaskProgress // The task's progress before the end was applied.
	PresumedLoss    *presumedLoss    // Set if the worker's runs were presumed ended before.
	ChangedProgress bool             // The end changed the job's progress.
}

func (h *shard) untrackedEnd(w *workerState, l incarnation.ID, e *fleet.End) *untrackedEnd {
	u := &untrackedEnd{End: e, Worker: w, Incarnation: l, PresumedLoss: h.presumedLosses[l]}
	j := h.jobs[e.Task.Job]
	if j == nil {
		return u
	}
	known := false
	u.TaskBefore, known = j.Task(e.Task)
	_, lost := j.presumedEnded[runOnIncarnation{e.Task, e.Run, l}]
	switch {
	case !known:
		u.Why = unknownTask
	case lost:
		u.Why = runPresumedEnded
	case u.TaskBefore.Run == e.Run && u.TaskBefore.Worker.Matches(l):
		u.Why = runEndKnown
	default:
		u.Why = otherRun
	}
	return u
}

// logUntrackedEnd logs and counts the end of a run that is not tracked.
func (h *shard) logUntrackedEnd(u *untrackedEnd) {
	h.Figures.Count("ends_unfollowed_" + u.Why.metricName())
	if u.ChangedProgress {
		h.Figures.Count("ends_unfollowed_counted")
	}
	fields := []zap.Field{
		zap.String("task", u.Task.String()), zap.Int("run", u.Run), zap.Stringer("outcome", u.Outcome), zap.Bool("counts", u.ChangedProgress),
		zap.Int64("number", u.Number), zap.Inline(u.Incarnation), zap.Stringer("why", u.Why), zap.Int64("last_taken", u.Worker.applied),
		zap.Int64("told", u.Worker.forgetSentUpTo), zap.Bool("gone", u.Worker.declaredLost),
		zap.Stringer("task_state", u.TaskBefore.State), zap.Int("task_run", u.TaskBefore.Run), zap.Stringer("task_worker", u.TaskBefore.Worker),
	}
	if u.PresumedLoss != nil {
		fields = append(fields, zap.Duration("given_up_ago", time.Since(u.PresumedLoss.at)), zap.Stringer("given_up_for", u.PresumedLoss.cause))
	}
	h.Log.Info("scheduler: worker reported the end of a run that is not tracked", fields...)
}
