package scheduler

import "time"

// answerFactor is how many times longer than the slowest recent answer an answer may take.
const answerFactor = 4

// answerTimes tracks how long answers take to starts, and to polls that don't wait. A box with 0.12 cores and 2
// Mbit/s gets them late: with the timeouts for fast boxes alone it gave up starts that were in flight, and
// three days with 120 workers scored 0.04 instead of 0.11. The zero value has seen none.
type answerTimes struct {
	slowest time.Duration // Slowest recent answer; each answer halves the previous value.
}

// recordAnswer records the duration of an answer.
func (a *answerTimes) recordAnswer(took time.Duration) { a.slowest = max(took, a.slowest/2) }

// recordMissed records that no answer came in time.
func (a *answerTimes) recordMissed() { a.slowest = min(2*a.slowest, answerTimeout) }

// timeout returns the timeout of an answer, which is at least the given one, or answerTimeout before the first
// answer.
func (a *answerTimes) timeout(least time.Duration) time.Duration {
	if a.slowest == 0 {
		return answerTimeout
	}
	return min(max(least, answerFactor*a.slowest), answerTimeout)
}

// startTimeout returns the timeout of an attempt to start a run.
func (h *shard) startTimeout(w *workerState, try int) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(h.answers.timeout(startTimeouts[try-1]), w.slowTimeout())
}

// slowAnswerTimeout limits the timeout of a worker that answers slowly, or that is silent and may be slow.
// Without the longer timeout a worker on a busy machine, whose answers all took 0.9 s, was never seen, and its
// work ran again when its lease had expired.
const slowAnswerTimeout = 2500 * time.Millisecond

// slowTimeout returns the timeout for a worker that answers slowly. It is about 0 for a quick one.
func (c *contact) slowTimeout() time.Duration { return min(2*c.answerDelay, slowAnswerTimeout) }

// currentAnswerTimeout returns the timeout of an answer, beyond the command's own wait.
func (c *contact) currentAnswerTimeout() time.Duration { return max(answerTimeout, c.slowTimeout()) }

// pollPatiently polls a silent worker with a long timeout, as it may only be slow. The regular polls find
// quickly that it is back. Only one such poll is in flight at a time.
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

// recordAnswerTime records how long an answer took, or that none came.
func (h *shard) recordAnswerTime(err error, took time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, refused := refusalOf(err); err == nil || refused {
		h.answers.recordAnswer(took)
		return
	}
	h.answers.recordMissed()
}
