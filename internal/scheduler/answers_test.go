package scheduler

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

func TestAnswerTimeoutFollowsAnswerTimes(t *testing.T) {
	var a answerTimes
	const least = 300 * time.Millisecond
	quicktest.Assert(t, a.timeout(least), quicktest.Equals, answerTimeout)
	a.recordAnswer(4 * time.Millisecond)
	quicktest.Assert(t, a.timeout(least), quicktest.Equals, least)
	a.recordMissed() // A single lost answer changes nothing.
	quicktest.Assert(t, a.timeout(least), quicktest.Equals, least)
	a.recordAnswer(120 * time.Millisecond)
	quicktest.Assert(t, a.timeout(least), quicktest.Equals, 480*time.Millisecond)
	a.recordAnswer(200 * time.Millisecond)
	quicktest.Assert(t, a.timeout(least), quicktest.Equals, answerTimeout)
	for range 8 {
		a.recordAnswer(4 * time.Millisecond)
	}
	quicktest.Assert(t, a.timeout(least), quicktest.Equals, least)
}
