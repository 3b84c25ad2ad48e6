package scheduler

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// TestFeedTimeoutFollowsMeanGap fails if the time that a feed may be quiet does not follow the mean gap between
// changes.
func TestFeedTimeoutFollowsMeanGap(t *testing.T) {
	var p feedTimeout
	quicktest.Assert(t, p.next(), quicktest.Equals, maxQuietTime)
	for range 50 {
		p.recordChanges(2, 80*time.Millisecond) // 25 changes per second.
	}
	quicktest.Assert(t, p.next(), quicktest.Equals, 320*time.Millisecond)
	// No more requests are submitted.
	for _, want := range []time.Duration{640 * time.Millisecond, maxQuietTime, maxQuietTime} {
		p.recordNoChange()
		quicktest.Assert(t, p.next(), quicktest.Equals, want)
	}
	p.recordChanges(1, 40*time.Millisecond)
	quicktest.Assert(t, p.next(), quicktest.Equals, 320*time.Millisecond)
	for range 100 {
		p.recordChanges(100, 80*time.Millisecond)
	}
	quicktest.Assert(t, p.next(), quicktest.Equals, minQuietTime)
	for range 100 {
		p.recordChanges(1, time.Second)
	}
	quicktest.Assert(t, p.next(), quicktest.Equals, maxQuietTime)
}
