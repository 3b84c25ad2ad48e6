package scheduler

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// TestPatienceFollowsTheFeed fails if the time that a feed may be quiet does not follow the mean gap between changes.
func TestPatienceFollowsTheFeed(t *testing.T) {
	var p patience
	quicktest.Assert(t, p.quiet(), quicktest.Equals, quietMost)
	for range 50 {
		p.told(2, 80*time.Millisecond) // 25 changes per second.
	}
	quicktest.Assert(t, p.quiet(), quicktest.Equals, 320*time.Millisecond)
	// No more requests are submitted.
	for _, want := range []time.Duration{640 * time.Millisecond, quietMost, quietMost} {
		p.heardNothing()
		quicktest.Assert(t, p.quiet(), quicktest.Equals, want)
	}
	p.told(1, 40*time.Millisecond)
	quicktest.Assert(t, p.quiet(), quicktest.Equals, 320*time.Millisecond)
	for range 100 {
		p.told(100, 80*time.Millisecond)
	}
	quicktest.Assert(t, p.quiet(), quicktest.Equals, quietLeast)
	for range 100 {
		p.told(1, time.Second)
	}
	quicktest.Assert(t, p.quiet(), quicktest.Equals, quietMost)
}
