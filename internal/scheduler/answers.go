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
func (h *shard) startTimeout(try int) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.answers.within(startTimeouts[try-1])
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
