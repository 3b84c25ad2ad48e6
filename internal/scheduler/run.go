package scheduler

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/fleet"
	"github.com/pulleyring/pulleyring/internal/interval"
	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/internal/logsink"
	"go.uber.org/zap"
)

// startTimeouts holds the shortest time to wait for an answer to a start command, for each try. Repeating a start is
// safe because a worker starts the same run only once. A worker answers within a few ms, and a lost packet is sent
// again after 200 ms. Each failed try delays a whole gang. After the last try the gang starts again from the beginning.
// If 1 in 20 commands gets no answer, two tries fail for 1 member in 400, and thus for 1 in 10 gangs of 40. Three tries
// fail for 1 in 200 such gangs.
var startTimeouts = [...]time.Duration{300 * time.Millisecond, 400 * time.Millisecond, answerTimeout}

// stopRetryDelay is the delay before a stop that got no answer is sent again.
const stopRetryDelay = 150 * time.Millisecond

// launch queues the start of a run whose placement is committed.
func (h *shard) launch(r *run) {
	if r.worker.runs[r.task] != r || r.stopping {
		return
	}
	r.starting = true
	h.startQueue.queued = append(h.startQueue.queued, r)
}

// start sends the start command of a run until the worker answers or refuses it, or all tries have failed.
func (h *shard) start(w *workerState, r *run) {
	h.setClock(w)
	for try := 1; ; try++ {
		command, target, mark := h.nextStart(w, r, try)
		if command == nil {
			return
		}
		ctx, cancel := context.WithTimeout(h.ctx, h.startTimeout(w, try))
		clock, err := h.Commands.Start(ctx, &target, command)
		cancel()
		if h.ctx.Err() != nil {
			return
		}
		h.recordAnswerTime(err, time.Since(mark.at))
		if h.handleStartAnswer(w, r, mark, clock, err, try) {
			return
		}
	}
}

// nextStart returns the start command for a try and its recipient. The command is nil if the run must not start any
// more.
func (h *shard) nextStart(w *workerState, r *run, try int) (*fleet.Start, fleet.Worker, sendState) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if w.runs[r.task] != r || r.stopping {
		r.starting = false
		return nil, fleet.Worker{}, sendState{}
	}
	if !w.isCertain() || !w.incarnation.Matches(r.incarnation) {
		h.withdrawStart(w, r, try, "its worker may have started again")
		return nil, fleet.Worker{}, sendState{}
	}
	if halls := h.openHalls(); !halls.isOpen(w.Hall, time.Now()) {
		h.withdrawStart(w, r, try, "its hall is emptied")
		return nil, fleet.Worker{}, sendState{}
	}
	if r.startSent.IsZero() {
		r.startSent = time.Now()
	}
	return &fleet.Start{
		PlacedRun: job.PlacedRun{Task: r.task, Run: r.number, Worker: r.incarnation, Saved: r.saved},
		Payload:   r.job.Request.Payload,
		Lease:     h.renew(w),
		Token:     h.leaseTerm.Epoch(),
	}, w.target(), w.sendState()
}

// handleStartAnswer handles the answer to a start and reports whether no further try is needed.
func (h *shard) handleStartAnswer(w *workerState, r *run, m sendState, clock int64, err error, try int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.recordAnswer(w, m, clock, err, "start")
	if err == nil {
		if !w.isOutdated(m) && w.uncertainSince.IsZero() {
			h.recordFirstCommand(w)
		}
		r.starting = false
		r.confirmed, r.startAnswered = time.Now(), try == 1
		h.recordBegun(r.job)
		w.signal()
		h.pollEarly(w, r)
		return true
	}
	h.Log.Info("scheduler: start not taken", zap.String("task", r.task.String()), zap.Int("run", r.number),
		zap.Inline(r.incarnation), zap.Int("try", try), logsink.Error(err))
	refusal, refused := refusalOf(err)
	if !refused && !certainlyNotSent(err) {
		w.recordUnansweredStart(r, m.at)
	}
	neverStarted := try == 1 && (refused && refusal != fleet.OutdatedRun || certainlyNotSent(err))
	if neverStarted {
		r.startSent = time.Time{} // Without it, the run is not suspected if the worker fails.
		if r.lost != nil {
			h.applyCharges(h.lossDetector.RecordNeverStarted(r.incarnation, r.task))
		}
	}
	h.recordFailure(w, m, err, "start")
	switch {
	case refused && refusal == fleet.OutdatedRun:
		// The run has already ended on the worker, or its stop arrived before its start. It can't start any more. The
		// next poll tells which of the two happened.
		r.starting = false
		r.stopAccepted = time.Now()
		w.signal()
		return true
	case neverStarted:
		r.starting = false
		h.endUnstarted(w, r)
		return true
	case !refused && try < len(startTimeouts) && !w.Draining && !w.declaredLost:
		return false
	}
	// An earlier try may have started the run, or may still start it.
	r.starting = false
	r.startAbandonedAt = time.Now()
	h.stop(w, r, "the start got no answer")
	h.stopGang(r, "a member's start got no answer")
	return true
}

// certainlyNotSent reports whether a command certainly did not reach the worker.
func certainlyNotSent(err error) bool {
	return errors.Is(err, fleet.ErrNotSent) || errors.Is(err, fleet.ErrConnectionRefused)
}

// endUnstarted ends a run that certainly did not start, so that its task waits again.
func (h *shard) endUnstarted(w *workerState, r *run) {
	if w.runs[r.task] != r {
		return
	}
	h.endRun(w, r, job.NeverRan, "")
}

// stop tells a worker to stop a run. The run counts as ended only once the worker reports its end.
func (h *shard) stop(w *workerState, r *run, why string) {
	if r.stopping {
		return
	}
	r.stopping, r.stopRequested, r.stopReason = true, time.Now(), why
	if r.allocation != nil {
		r.allocation.stopping = true
		w.freeing = w.freeing.Add(r.each)
	}
	h.Log.Info("scheduler: stopping a run", zap.String("task", r.task.String()), zap.Int("run", r.number),
		zap.Inline(r.incarnation), zap.String("why", why))
	if w.target().Address == "" {
		return
	}
	h.background.Go(func() { h.sendStop(w, r) })
}

// sendStop sends a stop command until the worker has accepted it or the run is no longer tracked.
func (h *shard) sendStop(w *workerState, r *run) {
	for h.ctx.Err() == nil {
		h.mu.Lock()
		wanted, target, bound, mark := w.isStopWanted(r), w.target(), w.currentAnswerTimeout(), w.sendState()
		h.mu.Unlock()
		if !wanted {
			return
		}
		ctx, cancel := context.WithTimeout(h.ctx, bound)
		clock, err := h.Commands.Stop(ctx, &target, &fleet.Stop{Task: r.task, Run: r.number, Token: h.leaseTerm.Epoch()})
		cancel()
		if h.ctx.Err() != nil {
			return
		}
		h.mu.Lock()
		h.recordAnswer(w, mark, clock, err, "stop")
		refusal, refused := refusalOf(err)
		if err == nil || refused && refusal == fleet.OutdatedRun {
			r.stopAccepted = time.Now()
			h.decisionDue = h.decisionDue || w.pendingStops[r] // Without pending stops, the worker may get new runs.
			delete(w.pendingStops, r)
			w.signal()
			h.mu.Unlock()
			return
		}
		h.recordFailure(w, mark, err, "stop")
		h.mu.Unlock()
		interval.Sleep(h.ctx, stopRetryDelay)
	}
}

// stopGang stops the other members of a run's gang.
func (h *shard) stopGang(r *run, why string) {
	if !r.job.Request.Steps[r.task.Step].Gang {
		return
	}
	h.forEachOtherMember(r, func(w *workerState, m *run) { h.stop(w, m, why) })
}

// forEachOtherMember calls f for each other placed member of a run's gang.
func (h *shard) forEachOtherMember(r *run, f func(w *workerState, m *run)) {
	g := r.group()
	for i, t := range r.job.Tasks(g) {
		if i == r.task.Index {
			continue
		}
		name := r.job.TaskInGroup(g, i)
		if w := h.workers[t.Worker.Worker]; w != nil && w.runs[name] != nil && w.runs[name].number == r.number {
			f(w, w.runs[name])
		}
	}
}

// endRun records how a run ended.
func (h *shard) endRun(w *workerState, r *run, outcome job.Outcome, saved string) {
	begun := r.begun()
	h.dropRun(w, r)
	j := r.job
	g := r.group()
	before := j.Progress.State
	if !j.EndRun(r.task, r.number, outcome, saved, time.Now().UnixMilli()) {
		return
	}
	h.holdings.addSaved(j)
	h.markDirty(j.Request.ID)
	h.Figures.Count("runs_" + strings.ReplaceAll(outcome.String(), " ", "_"))
	if lasting := j.Request.Steps[g.Step].Lasting; outcome != job.Succeeded || lasting {
		h.logEnd(w, r, outcome)
		h.stopGang(r, "another member ended") // A gang that lasts starts again once all of its runs have ended.
	}
	j.recordRestart(r, outcome, time.Now())
	h.recordOutcome(w, r, outcome)
	if outcome == job.Succeeded {
		h.sampleEnd(r, begun, time.Now())
	}
	h.pauseAfterStop(r, outcome)
	h.reserveForMoved(r, time.Now())
	if outcome == job.FailedRun || outcome == job.NeverRan {
		j.recordFailure(g, w.ID, outcome == job.FailedRun)
	}
	// If the run never began, its group keeps its waiting time: guaranteed work must start within a time limit. So does one
	// with other tasks that wait until tasks that last have room: ends of its tasks never cease.
	if outcome != job.NeverRan && !j.othersWait(g) {
		delete(j.readySince, g)
	}
	if j.Progress.State != before && j.Progress.State.Final() {
		h.handleJobEnd(j)
	}
	if outcome != job.Succeeded && outcome != job.Expired && outcome != job.NeverRan {
		h.countStart(j, r.task)
	}
}

// logEnd logs a run that did not succeed.
func (h *shard) logEnd(w *workerState, r *run, outcome job.Outcome) {
	fields := []zap.Field{
		zap.String("task", r.task.String()), zap.Int("run", r.number), zap.Inline(r.incarnation), zap.Stringer("outcome", outcome),
		zap.Duration("age", time.Since(r.placed)), zap.String("stopped_for", r.stopReason),
		zap.Float64("core_seconds", h.lostWork(r, &r.job.Request.Steps[r.task.Step], time.Now())),
		h.observedStateField(w),
	}
	if r.lost != nil {
		fields = append(fields, zap.Object("lost", r.lost))
	}
	h.Log.Info("scheduler: run ended", fields...)
}
