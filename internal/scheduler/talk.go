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
	clock      int64     // The worker's clock at clockAt; 0 before the first answer.
	clockAt    time.Time // When that answer arrived.
	newest     int64     // The highest clock in any answer.
	reported   int64     // The clock in the newest report.
	passedOver passedOver
	lookedAt   time.Time     // When the last poll was answered.
	patient    bool          // A poll with a long timeout is in flight.
	endLook    func()        // Cancels the regular poll in flight.
	answerTime time.Duration // How much longer than its wait the last poll took.
	// Where it accepted its first command of this lease term, or where the predecessor reached it.
	home        string
	failures    int       // Consecutive commands without an answer.
	missedAt    time.Time // When missedMost consecutive commands had gone unanswered.
	backAt      time.Time // When it answered again after failures.
	hungUp      bool      // It closed a connection and has not answered since; for logs.
	silentSince time.Time // When its leases were found to have expired.
}

// waker interrupts a pause of the poll loop. It is read without a lock, so it stays the same for all
// incarnations of a worker.
type waker struct {
	wake chan struct{}
}

func (a *waker) signal() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// heard records the worker's clock from an answer; 0 means that the answer had none.
func (c *contact) heard(clock int64) {
	if clock == 0 {
		return
	}
	c.clock, c.clockAt, c.hungUp = clock, time.Now(), false
	c.newest = max(c.newest, clock)
}

// talk polls a worker until it is declared lost, and pauses while there is nothing to poll.
func (h *shard) talk(w *workerState) {
	pause := lookRetry
	for h.ctx.Err() == nil {
		next := h.nextLook(w)
		if next.gone {
			return
		}
		if next.idle {
			interval.SleepOrWoken(h.ctx, idlePause, w.wake)
			continue
		}
		look := &next.look
		ctx, cancel := context.WithTimeout(h.ctx, next.within)
		h.setLooking(w, next.mark, cancel)
		report, err := h.Orders.Look(ctx, &next.target, look)
		cancel()
		if h.ctx.Err() != nil {
			return
		}
		if look.Wait == 0 {
			h.noteAnswer(err, time.Since(next.mark.at))
		}
		if err != nil {
			h.lookFailed(w, next.mark, err)
			h.lookPatiently(w)
			h.pauseAfter(w, next.mark, h.untilOver(w, pause))
			pause = min(2*pause, lookRetryMost)
			continue
		}
		pause = lookRetry
		h.noteLook(w, time.Since(next.mark.at)-look.Wait)
		if h.takeReport(w, &report, next.mark, look.Acknowledged) {
			h.awaitCommit(w)
		} else if look.Wait == 0 {
			interval.Sleep(h.ctx, settlePause)
		}
	}
}

// setLooking registers the cancel function of the regular poll in flight. It cancels the poll at once if
// another incarnation has been tracked since the poll was prepared.
func (h *shard) setLooking(w *workerState, m sentMark, end func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	w.endLook = end
	if w.isOld(m) {
		end()
	}
}

// pauseAfter waits after a failed regular poll. It returns early once another poll was answered or a later
// incarnation is tracked, whose runs would otherwise go unseen for that time.
func (h *shard) pauseAfter(w *workerState, m sentMark, d time.Duration) {
	h.mu.Lock()
	silent := w.failures > 0
	h.mu.Unlock()
	isBack := func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		return w.isOld(m) || silent && w.failures == 0
	}
	for end := time.Now().Add(d); time.Until(end) > 0 && h.ctx.Err() == nil && !isBack(); {
		interval.SleepOrWoken(h.ctx, time.Until(end), w.wake)
	}
}

// noteLook records how much longer than its wait a poll took.
func (h *shard) noteLook(w *workerState, took time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	w.answerTime = max(took, w.answerTime/2) // A poll that ended early tells nothing, so the value falls slowly.
}

// lookOnce sends one poll beside the regular ones. It ignores a failure, as the regular polls find the reason.
func (h *shard) lookOnce(w *workerState, within time.Duration) {
	h.mu.Lock()
	look, target, mark := &fleet.Look{Token: h.tenure.Epoch(), Acknowledged: w.toForget()}, w.target(), w.mark()
	h.mu.Unlock()
	ctx, cancel := context.WithTimeout(h.ctx, within)
	defer cancel()
	report, err := h.Orders.Look(ctx, &target, look)
	if err == nil {
		h.noteLook(w, time.Since(mark.at))
		h.takeReport(w, &report, mark, look.Acknowledged)
	}
}

// clockFresh is how long a worker's clock is used without asking again: with 2% drift it is 0.6 s off by then.
const clockFresh = 30 * time.Second

// setClock polls a worker whose clock was last reported too long ago. After 20 idle minutes the clock may be 24
// s off: the first lease would be taken to expire 36 s late and would be renewed for longer than intended.
func (h *shard) setClock(w *workerState) {
	h.mu.Lock()
	fresh := time.Since(w.clockAt) < clockFresh
	h.mu.Unlock()
	if !fresh {
		h.lookOnce(w, answerTimeout)
	}
}

// nextLook is the next step of the poll loop.
type nextLook struct {
	look   fleet.Look
	target fleet.Worker
	mark   sentMark
	within time.Duration // Timeout of the poll.
	idle   bool          // There is nothing to poll for.
	gone   bool          // The worker was declared lost.
}

// nextLook prepares the next poll. It is idle while the worker has no runs and no ends to forget.
func (h *shard) nextLook(w *workerState) nextLook {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.judgeSilence(w)
	if w.gone {
		return nextLook{gone: true}
	}
	if w.target().Address == "" {
		return nextLook{idle: true}
	}
	if len(w.runs) == 0 && w.clock != 0 && w.told >= w.acknowledged && w.failures == 0 && w.isCertain() {
		return nextLook{idle: true}
	}
	look := fleet.Look{Token: h.tenure.Epoch(), Acknowledged: w.toForget()}
	// The leases of a silent worker are not renewed, so that they surely expire.
	if w.clock != 0 && len(w.runs) > 0 && w.failures == 0 && w.isCertain() {
		look.Lease = h.renew(w)
		if !w.unsettled() {
			look.Wait = w.lookWait()
		}
	}
	return nextLook{look: look, target: w.target(), mark: w.mark(), within: w.untilOver(look.Wait + w.answerBound())}
}

// leastWait is the shortest timeout of an answer and the shortest pause.
const leastWait = 20 * time.Millisecond

// untilOver shortens a wait so that it ends when the leases of a silent worker expire. Without it the worker's
// tasks started again up to 1.5 s later.
func (w *workerState) untilOver(wait time.Duration) time.Duration {
	if w.failures == 0 || len(w.runs) == 0 {
		return wait
	}
	return min(wait, max(time.Until(w.leases.over), leastWait))
}

func (h *shard) untilOver(w *workerState, wait time.Duration) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return w.untilOver(wait)
}

// lookWait returns how long a poll waits for a run to end.
func (w *workerState) lookWait() time.Duration {
	if w.leaves() {
		return leavingWait
	}
	return lookWait
}

// unsettled reports whether the worker has to be polled soon, as a run was adopted, or its start or stop is not
// confirmed.
func (w *workerState) unsettled() bool {
	for _, r := range w.runs {
		if r.confirmed.IsZero() && (r.adopted || !r.gaveUp.IsZero() || !r.stopKnown.IsZero()) {
			return true
		}
	}
	return false
}

// awaitCommit waits until the ends from the last report are committed, so that the next poll can acknowledge
// them.
func (h *shard) awaitCommit(w *workerState) {
	deadline := time.Now().Add(commitPatience)
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

// lookFailed records a poll without an answer.
func (h *shard) lookFailed(w *workerState, m sentMark, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.noteFailure(w, m, err, "look")
}

// refusalOf returns the refusal in an error, or false if the worker did not answer.
func refusalOf(err error) (fleet.Refusal, bool) {
	var r fleet.Refusal
	ok := errors.As(err, &r)
	return r, ok
}

// noteFailure records that a worker refused a command or did not answer it.
func (h *shard) noteFailure(w *workerState, m sentMark, err error, order string) {
	refusal, refused := refusalOf(err)
	if w.isOld(m) && (!refused || refusal != fleet.Fenced) {
		return // It was sent to an earlier incarnation.
	}
	if !refused || refusal == fleet.OtherLife && !w.isHome() {
		w.hungUp = w.hungUp || errors.Is(err, fleet.ErrHungUp)
		h.Figures.Count("orders_unanswered")
		w.failures++
		w.noteMissed()
		if w.failures == 1 {
			h.Log.Warn("scheduler: worker does not answer; retrying", zap.Inline(w.life), zap.String("order", order), logsink.Error(err))
			h.changed = true
		}
		return
	}
	switch refusal {
	case fleet.OtherLife:
		h.endLife(w)
	case fleet.Fenced:
		h.endTenure(w)
	case fleet.Unhealthy, fleet.NoRoom:
		w.unhealthy = time.Now().Add(unhealthyFor)
	}
	h.changed = true
	h.signal()
}

// isHome reports whether the worker's address is the one where it was reached in this lease term or the one
// before, or whether none is known. At an address from a later record, an answer of another incarnation does
// not prove that this one has ended.
func (w *workerState) isHome() bool { return w.home == "" || w.home == w.target().Address }

// endTenure ends the lease term, because a worker has seen the fencing token of a later holder.
func (h *shard) endTenure(w *workerState) {
	if !h.replaced {
		h.Log.Warn("scheduler: worker has seen a later lease holder; ending the lease term", zap.Inline(w.life), zap.Int64("epoch", h.tenure.Epoch()))
	}
	h.replaced = true
}

// unhealthyFor is how long a worker that refused a start gets no new ones.
const unhealthyFor = 500 * time.Millisecond
