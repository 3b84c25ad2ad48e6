package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
)

// TestSuspensionDoesNotExtendRenewals fails if a box that was suspended renews leases for longer than its successor
// expects. Its clock does not advance during the suspension, so that it took its last commit for recent. It renewed the
// leases of a worker that the successor could not reach, while the successor started the same tasks elsewhere.
func TestSuspensionDoesNotExtendRenewals(t *testing.T) {
	for _, suspended := range []time.Duration{0, time.Second, 5 * time.Second, 7900 * time.Millisecond, 8 * time.Second, 20 * time.Second, time.Hour} {
		synctest.Test(t, func(t *testing.T) {
			before, w := shardWithRun()
			total := time.Duration(0)
			before.Suspended = func() time.Duration { return total }
			replacedAt := time.Now() // The successor's claim took effect right after the last commit.
			bound := before.Bounds.latestEnd(replacedAt.Add(maxRenewalTime))
			time.Sleep(100 * time.Millisecond)
			total = suspended
			renewed := true
			for ; renewed; time.Sleep(100 * time.Millisecond) {
				w.recordClock((time.Since(replacedAt) + total).Milliseconds() + 1) // The worker was not suspended.
				until := before.renew(w)
				renewed = until > 0
				if ends := replacedAt.Add(onSlowClock(milliseconds(until))); !ends.Before(bound) {
					t.Fatalf("suspended for %s: leases last until %s after the last commit, a successor expects at most %s", suspended, ends.Sub(replacedAt), bound.Sub(replacedAt))
				}
			}
			// The renewals must not end earlier than without a suspension.
			quicktest.Check(t, time.Since(replacedAt)+suspended > maxRenewalTime, quicktest.IsTrue)
		})
	}
}
