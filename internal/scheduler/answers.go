package scheduler

import "time"

// answerFactor is how many times longer than the slowest answer lately an answer may take.
const answerFactor = 4

// answerTimes follows how long answers take to starts, and to looks that wait for nothing. A box with 0.12 cores and 2 Mbit/s
// gets them late: with bounds for fit boxes alone it gave up starts that were under way, and three days at 120 workers
// were worth 0.04 instead of 0.11. The zero value has seen none.
type answerTimes struct {
	slowest time.Duration // Lately: each answer halves what is remembered of those before.
}

// answered takes in an answer.
func (a *answerTimes) answered(took time.Duration) { a.slowest = max(took, a.slowest/2) }

// missed takes in that none came in time.
func (a *answerTimes) missed() { a.slowest = min(2*a.slowest, answerTimeout) }

// within is how long to wait for an answer, at least so long; answerTimeout before the first.
func (a *answerTimes) within(least time.Duration) time.Duration {
	if a.slowest == 0 {
		return answerTimeout
	}
	return min(max(least, answerFactor*a.slowest), answerTimeout)
}

// startTimeout bounds the answer to a try of a start.
func (h *shard) startTimeout(w *workerState, try int) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(h.answers.within(startTimeouts[try-1]), w.slowBound())
}

// patientTimeout bounds the answers of a worker that answers slowly, or that is silent and may. Without it a worker on a busy machine whose answers all took 0.9 s
// was never heard, and what it had done ran again when its lease was over.
const patientTimeout = 2500 * time.Millisecond

// slowBound is how long to wait for an answer of a worker that answers slowly; 0 for a quick one.
func (c *contact) slowBound() time.Duration { return min(2*c.answerTime, patientTimeout) }

// answerBound is how long to wait for an answer beyond the order's own wait.
func (c *contact) answerBound() time.Duration { return max(answerTimeout, c.slowBound()) }

// lookPatiently looks at a silent worker that may only be slow, beside the quick looks, which find at once that it is back. One such look is under way at a time.
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

// noteAnswer takes in how long an answer took, or that none came.
func (h *shard) noteAnswer(err error, took time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, refused := refusalOf(err); err == nil || refused {
		h.answers.answered(took)
		return
	}
	h.answers.missed()
}
