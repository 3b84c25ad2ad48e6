package scheduler

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/fleet"
	"github.com/pulleyring/pulleyring/internal/interval"
	"github.com/pulleyring/pulleyring/internal/logsink"
	"go.uber.org/zap"
)

// contact is the state of the communication with a worker: its clock and how it answers.
type contact struct {
	clock           int64     // The worker's clock at clockAt; 0 before the first answer.
	clockAt         time.Time // When the answer with that clock arrived.
	newestClock     int64     // The highest clock in any answer.
	reportClock     int64     // The clock in the newest report.
	outdatedReports outdatedReports
	polledAt        time.Time     // When the last poll was answered.
	earlyPolledAt   time.Time     // When the last early poll was sent.
	patientPoll     bool          // A poll with a long timeout is in flight.
	cancelPoll      func()        // Cancels the regular poll in flight.
	answerDelay     time.Duration // How much longer than its own wait a recent poll took.
	// Address at which it accepted its first command of this lease term, or at which the predecessor reached it.
	knownAddress     string
	failures         int       // Consecutive commands without an answer.
	missedAt         time.Time // When minUnanswered consecutive commands had gone unanswered.
	backAt           time.Time // When it last answered again after failures.
	connectionClosed bool      // It closed a connection and has not answered since; for logs.
	silentSince      time.Time // When its leases were found to have expired.
}

// waker interrupts a pause of a worker's poll loop. The loop reads it without a lock, so a later incarnation of
// the worker keeps the same waker.
type waker struct {
	wake chan struct{}
}

func (a *waker) signal() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// recordClock records the worker's clock from an answer; 0 means that the answer had none.
func (c *contact) recordClock(clock int64) {
	if clock == 0 {
		return
	}
	c.clock, c.clockAt, c.connectionClosed = clock, time.Now(), false
	c.newestClock = max(c.newestClock, clock)
}

// pollLoop polls a worker until it is declared lost, and pauses while there is nothing to poll.
func (h *shard) pollLoop(w *workerState) {
	pause := pollRetry
	for h.ctx.Err() == nil {
		next := h.nextPoll(w)
		if next.gone {
			return
		}
		if next.idle {
			interval.SleepOrWoken(h.ctx, idlePause, w.wake)
			continue
		}
		poll := &next.poll
		ctx, cancel := context.WithTimeout(h.ctx, next.timeout)
		h.setCancelPoll(w, next.mark, cancel)
		report, err := h.Commands.Poll(ctx, &next.target, poll)
		cancel()
		if h.ctx.Err() != nil {
			return
		}
		if poll.Wait == 0 {
			h.recordAnswerTime(err, time.Since(next.mark.at))
		}
		if err != nil {
			h.pollFailed(w, next.mark, err)
			h.pollPatiently(w)
			h.pauseAfter(w, next.mark, h.capAtLeaseEnd(w, pause))
			pause = min(2*pause, pollRetryMax)
			continue
		}
		pause = pollRetry
		h.recordPollDelay(w, time.Since(next.mark.at)-poll.Wait)
		if h.applyReport(w, &report, next.mark, poll.Acknowledged) {
			h.awaitCommit(w)
		} else if poll.Wait == 0 {
			interval.Sleep(h.ctx, settlePause)
		}
	}
}

// setCancelPoll registers the cancel function of the regular poll in flight. It cancels the poll at once if
// another incarnation has been tracked since the poll was prepared.
func (h *shard) setCancelPoll(w *workerState, m sendState, end func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	w.cancelPoll = end
	if w.isOutdated(m) {
		end()
	}
}

// pauseAfter waits for d after a failed regular poll. It returns early if another poll is answered or a later
// incarnation is tracked: the runs of that one would otherwise stay unknown until the end of the wait.
func (h *shard) pauseAfter(w *workerState, m sendState, d time.Duration) {
	h.mu.Lock()
	silent := w.failures > 0
	h.mu.Unlock()
	isBack := func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		return w.isOutdated(m) || silent && w.failures == 0
	}
	for end := time.Now().Add(d); time.Until(end) > 0 && h.ctx.Err() == nil && !isBack(); {
		interval.SleepOrWoken(h.ctx, time.Until(end), w.wake)
	}
}

// recordPollDelay records how much longer than its own wait a poll took. A poll that ended early has no such
// delay.
func (h *shard) recordPollDelay(w *workerState, took time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// The previous delay is halved and not dropped, because a poll that ended early doesn't show the delay.
	w.answerDelay = max(took, w.answerDelay/2)
}

// pollOnce sends one poll in addition to the regular ones, with the given timeout, and applies the report. It
// ignores a failure, because the regular polls handle it.
func (h *shard) pollOnce(w *workerState, within time.Duration) {
	h.mu.Lock()
	poll, target, mark := &fleet.Poll{Token: h.leaseTerm.Epoch(), Acknowledged: w.numberToForget()}, w.target(), w.sendState()
	h.mu.Unlock()
	ctx, cancel := context.WithTimeout(h.ctx, within)
	defer cancel()
	report, err := h.Commands.Poll(ctx, &target, poll)
	if err == nil {
		h.recordPollDelay(w, time.Since(mark.at))
		h.applyReport(w, &report, mark, poll.Acknowledged)
	}
}

// clockMaxAge is how long a worker's clock is used before the worker is polled for it again. A clock that drifts
// by 2% is wrong by 0.6 s after that time.
const clockMaxAge = 30 * time.Second

// setClock polls a worker whose clock was last reported too long ago. After 20 idle minutes the known clock may be
// wrong by 24 s. The first lease would then be presumed to expire 36 s too late and be renewed for longer than
// intended.
func (h *shard) setClock(w *workerState) {
	h.mu.Lock()
	fresh := time.Since(w.clockAt) < clockMaxAge
	h.mu.Unlock()
	if !fresh {
		h.pollOnce(w, answerTimeout)
	}
}

// nextPoll is the next step of the poll loop.
type nextPoll struct {
	poll    fleet.Poll
	target  fleet.Worker
	mark    sendState     // State of the worker when the poll was prepared.
	timeout time.Duration // Timeout of the poll.
	idle    bool          // There is nothing to poll for.
	gone    bool          // The worker was declared lost.
}

// nextPoll prepares the next poll. It is idle while the worker has no runs and no ends to forget.
func (h *shard) nextPoll(w *workerState) nextPoll {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.checkSilence(w)
	if w.declaredLost {
		return nextPoll{gone: true}
	}
	if w.target().Address == "" {
		return nextPoll{idle: true}
	}
	if len(w.runs) == 0 && w.clock != 0 && w.forgetSentUpTo >= w.acknowledged && w.failures == 0 && w.isCertain() {
		return nextPoll{idle: true}
	}
	poll := fleet.Poll{Token: h.leaseTerm.Epoch(), Acknowledged: w.numberToForget()}
	// The leases of a silent worker are not renewed, so that they expire and its tasks can restart elsewhere.
	if w.clock != 0 && len(w.runs) > 0 && w.failures == 0 && w.isCertain() {
		poll.Lease = h.renew(w)
		if !w.hasUnconfirmedRun() {
			poll.Wait = w.pollWait()
		}
	}
	return nextPoll{poll: poll, target: w.target(), mark: w.sendState(), timeout: w.capAtLeaseEnd(poll.Wait + w.currentAnswerTimeout())}
}

// minWait is the shortest timeout of an answer and the shortest pause.
const minWait = 20 * time.Millisecond

// capAtLeaseEnd shortens a wait so that it ends when the leases of a silent worker expire. Without this limit the
// worker's tasks restarted up to 1.5 s later.
func (w *workerState) capAtLeaseEnd(wait time.Duration) time.Duration {
	if w.failures == 0 || len(w.runs) == 0 {
		return wait
	}
	return min(wait, max(time.Until(w.leases.runsEndedBy), minWait))
}

func (h *shard) capAtLeaseEnd(w *workerState, wait time.Duration) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return w.capAtLeaseEnd(wait)
}

// pollWait returns how long a poll waits for a run to end.
func (w *workerState) pollWait() time.Duration {
	if w.isDeparting() {
		return leavingPollWait
	}
	return pollWait
}

// hasUnconfirmedRun reports whether the worker has a run that it has not confirmed, and that a predecessor placed,
// or whose start was abandoned, or whose stop was accepted. Such a worker is polled without a wait.
func (w *workerState) hasUnconfirmedRun() bool {
	for _, r := range w.runs {
		if r.confirmed.IsZero() && (r.adopted || !r.startAbandonedAt.IsZero() || !r.stopAccepted.IsZero()) {
			return true
		}
	}
	return false
}

// awaitCommit waits until the ends in the worker's last report are committed, at most for commitWaitLimit, so that
// the next poll can acknowledge them.
func (h *shard) awaitCommit(w *workerState) {
	deadline := time.Now().Add(commitWaitLimit)
	for time.Now().Before(deadline) && h.ctx.Err() == nil {
		h.mu.Lock()
		done := w.acknowledged >= w.applied
		h.mu.Unlock()
		if done {
			return
		}
		interval.SleepOrWoken(h.ctx, time.Until(deadline), w.wake)
	}
}

// pollFailed records a poll without an answer.
func (h *shard) pollFailed(w *workerState, m sendState, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.recordFailure(w, m, err, "look")
}

// refusalOf returns the worker's refusal that an error contains. It returns false if the worker did not answer.
func refusalOf(err error) (fleet.Refusal, bool) {
	var r fleet.Refusal
	ok := errors.As(err, &r)
	return r, ok
}

// recordFailure records that a worker refused a command or did not answer it.
func (h *shard) recordFailure(w *workerState, m sendState, err error, command string) {
	refusal, refused := refusalOf(err)
	if w.isOutdated(m) && (!refused || refusal != fleet.Fenced) {
		return // It was sent to an earlier incarnation.
	}
	if !refused || refusal == fleet.OtherIncarnation && !w.isAtKnownAddress() {
		w.connectionClosed = w.connectionClosed || errors.Is(err, fleet.ErrConnectionClosed)
		h.Figures.Count("orders_unanswered")
		w.failures++
		w.recordMissed()
		if w.failures == 1 {
			h.Log.Warn("scheduler: worker does not answer; retrying", zap.Inline(w.incarnation), zap.String("order", command), logsink.Error(err))
			h.decisionDue = true
		}
		return
	}
	switch refusal {
	case fleet.OtherIncarnation:
		h.endIncarnation(w)
	case fleet.Fenced:
		h.endLeaseTerm(w)
	case fleet.Unhealthy, fleet.NoCapacity:
		w.unhealthyUntil = time.Now().Add(unhealthyFor)
	}
	h.decisionDue = true
	h.signal()
}

// isAtKnownAddress reports whether the worker's address is that at which it was reached in this lease term or the
// one before. It also returns true if no such address is known. At an address from a later record, an answer of
// another incarnation does not prove that this one has ended.
func (w *workerState) isAtKnownAddress() bool {
	return w.knownAddress == "" || w.knownAddress == w.target().Address
}

// endLeaseTerm ends the lease term, because a worker has seen the fencing token of a later lease holder.
func (h *shard) endLeaseTerm(w *workerState) {
	if !h.replaced {
		h.Log.Warn("scheduler: worker has seen a later lease holder; ending the lease term", zap.Inline(w.incarnation), zap.Int64("epoch", h.leaseTerm.Epoch()))
	}
	h.replaced = true
}

// unhealthyFor is how long a worker that refused a start gets no new ones.
const unhealthyFor = 500 * time.Millisecond
