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

// answered records the duration of an answer.
func (a *answerTimes) answered(took time.Duration) { a.slowest = max(took, a.slowest/2) }

// missed records that no answer came in time.
func (a *answerTimes) missed() { a.slowest = min(2*a.slowest, answerTimeout) }

// within returns the timeout of an answer, which is at least the given one, or answerTimeout before the first
// answer.
func (a *answerTimes) within(least time.Duration) time.Duration {
	if a.slowest == 0 {
		return answerTimeout
	}
	return min(max(least, answerFactor*a.slowest), answerTimeout)
}

// startTimeout returns the timeout of an attempt to start a run.
func (h *shard) startTimeout(w *workerState, try int) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(h.answers.within(startTimeouts[try-1]), w.slowBound())
}

// patientTimeout limits the timeout of a worker that answers slowly, or that is silent and may be slow. Without
// the longer timeout a worker on a busy machine, whose answers all took 0.9 s, was never seen, and its work ran
// again when its lease had expired.
const patientTimeout = 2500 * time.Millisecond

// slowBound returns the timeout for a worker that answers slowly. It is about 0 for a quick one.
func (c *contact) slowBound() time.Duration { return min(2*c.answerTime, patientTimeout) }

// answerBound returns the timeout of an answer, beyond the command's own wait.
func (c *contact) answerBound() time.Duration { return max(answerTimeout, c.slowBound()) }

// lookPatiently polls a silent worker with a long timeout, as it may only be slow. The regular polls find
// quickly that it is back. Only one such poll is in flight at a time.
func (h *shard) lookPatiently(w *workerState) {
	h.mu.Lock()
	begin := w.failures > 0 && !w.patient
	w.patient = w.patient || begin
	h.mu.Unlock()
	if !begin {
		return
	}
	h.ordering.Go(func() {
		h.lookOnce(w, patientTimeout)
		h.mu.Lock()
		defer h.mu.Unlock()
		w.patient = false
	})
}

// noteAnswer records how long an answer took, or that none came.
func (h *shard) noteAnswer(err error, took time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, refused := refusalOf(err); err == nil || refused {
		h.answers.answered(took)
		return
	}
	h.answers.missed()
}
