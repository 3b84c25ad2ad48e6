package scheduler

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

func TestAnswersAreWaitedForAsLongAsTheyTake(t *testing.T) {
	var a answerTimes
	const least = 300 * time.Millisecond
	quicktest.Assert(t, a.within(least), quicktest.Equals, answerTimeout)
	a.answered(4 * time.Millisecond)
	quicktest.Assert(t, a.within(least), quicktest.Equals, least)
	a.missed() // A single lost answer changes nothing.
	quicktest.Assert(t, a.within(least), quicktest.Equals, least)
	a.answered(120 * time.Millisecond)
	quicktest.Assert(t, a.within(least), quicktest.Equals, 480*time.Millisecond)
	a.answered(200 * time.Millisecond)
	quicktest.Assert(t, a.within(least), quicktest.Equals, answerTimeout)
	for range 8 {
		a.answered(4 * time.Millisecond)
	}
	quicktest.Assert(t, a.within(least), quicktest.Equals, least)
}
