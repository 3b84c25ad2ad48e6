package scheduler

import "time"

// answerFactor is how many times longer than the slowest recent answer an answer may take.
const answerFactor = 4

// answerTimes tracks how long workers take to answer starts, and polls that don't wait. A box with 0.12 cores and
// 2 Mbit/s gets answers late. With the timeouts for fast boxes alone it gave up starts that were in flight, and
// three days with 120 workers scored 0.04 instead of 0.11. The zero value has seen no answer.
type answerTimes struct {
	slowest time.Duration // Duration of the slowest recent answer. Each answer halves it first, so that it falls again.
}

// recordAnswer records the duration of an answer.
func (a *answerTimes) recordAnswer(took time.Duration) { a.slowest = max(took, a.slowest/2) }

// recordMissed doubles the slowest duration, because no answer came in time.
func (a *answerTimes) recordMissed() { a.slowest = min(2*a.slowest, answerTimeout) }

// timeout returns how long to wait for an answer: at least the given time and at most answerTimeout. Before the
// first answer it returns answerTimeout.
func (a *answerTimes) timeout(least time.Duration) time.Duration {
	if a.slowest == 0 {
		return answerTimeout
	}
	return min(max(least, answerFactor*a.slowest), answerTimeout)
}

// startTimeout returns the timeout of the given attempt to start a run; the first attempt is 1.
func (h *shard) startTimeout(w *workerState, try int) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(h.answers.timeout(startTimeouts[try-1]), w.slowTimeout())
}

// slowAnswerTimeout is the longest timeout for a worker that answers slowly, or that is silent and may be slow.
// With shorter timeouts alone, a worker on a busy machine whose answers all took 0.9 s seemed silent, and its work
// ran again when its lease had expired.
const slowAnswerTimeout = 2500 * time.Millisecond

// slowTimeout returns the timeout for the worker by the delay of its recent answers. It is about 0 for a worker
// that answers quickly.
func (c *contact) slowTimeout() time.Duration { return min(2*c.answerDelay, slowAnswerTimeout) }

// currentAnswerTimeout returns how long to wait for the worker's answer to a command, beyond the command's own
// wait.
func (c *contact) currentAnswerTimeout() time.Duration { return max(answerTimeout, c.slowTimeout()) }

// pollPatiently polls a silent worker with a long timeout, because it may only be slow. The regular polls, with
// shorter timeouts, go on and find quickly that it is back. Only one such poll is in flight at a time.
func (h *shard) pollPatiently(w *workerState) {
	h.mu.Lock()
	begin := w.failures > 0 && !w.patientPoll
	w.patientPoll = w.patientPoll || begin
	h.mu.Unlock()
	if !begin {
		return
	}
	h.background.Go(func() {
		h.pollOnce(w, slowAnswerTimeout)
		h.mu.Lock()
		defer h.mu.Unlock()
		w.patientPoll = false
	})
}

// recordAnswerTime records how long an answer took, or that none came. A refusal is an answer too.
func (h *shard) recordAnswerTime(err error, took time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, refused := refusalOf(err); err == nil || refused {
		h.answers.recordAnswer(took)
		return
	}
	h.answers.recordMissed()
}
