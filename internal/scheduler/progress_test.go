package scheduler

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// progressOf returns the progress of a run after polls every 500 ms that found these shares, and the time of the last
// poll.
func progressOf(shares ...float64) (p progress, last time.Time) {
	now := time.Unix(1000, 0)
	for i, share := range shares {
		last = now.Add(time.Duration(i) * 500 * time.Millisecond)
		p.update(share, last)
	}
	return p, last
}

// TestPredictedEnd fails if the end of a run is not predicted from its current rate.
func TestPredictedEnd(t *testing.T) {
	p, now := progressOf(0.1, 0.2, 0.3, 0.4, 0.5) // 0.2 per second.
	ends, knownUntil := p.predictedEnd()
	quicktest.Assert(t, ends.Sub(now).Round(10*time.Millisecond), quicktest.Equals, 2500*time.Millisecond)
	quicktest.Assert(t, knownUntil, quicktest.Equals, now.Add(progressMaxAge))
	_, knownUntil = (&progress{}).predictedEnd()
	quicktest.Assert(t, knownUntil.IsZero(), quicktest.IsTrue)
}

// TestStalled fails if a stalled run is not detected. It also fails if a run counts as stalled that makes progress, is
// done, or is so slow that no progress could be expected yet.
func TestStalled(t *testing.T) {
	for _, c := range []struct {
		name   string
		shares []float64
		total  time.Duration
		want   time.Duration
	}{
		{"moves on", []float64{0.1, 0.2, 0.3, 0.4, 0.5}, 5 * time.Second, 0},
		{"stands still", []float64{0.1, 0.2, 0.3, 0.3, 0.3, 0.3, 0.3}, 5 * time.Second, 2 * time.Second},
		{"stands still from the start", []float64{0, 0, 0, 0, 0}, 5 * time.Second, 2 * time.Second},
		{"for a moment", []float64{0.1, 0.2, 0.3, 0.3, 0.3}, 5 * time.Second, 0},
		{"so long that nothing shows yet", []float64{0, 0, 0, 0, 0}, 100 * time.Second, 0},
		{"is done", []float64{0.9, 1, 1, 1, 1, 1}, 5 * time.Second, 0},
	} {
		p, _ := progressOf(c.shares...)
		quicktest.Check(t, p.stalledFor(c.total), quicktest.Equals, c.want, quicktest.Commentf(c.name))
	}
}

// TestSlowdown fails if a run whose rate drops is not reported as slower than its best rate.
func TestSlowdown(t *testing.T) {
	p, _ := progressOf(0.1, 0.2, 0.3, 0.4, 0.42, 0.44, 0.46, 0.48)
	quicktest.Assert(t, p.slowdown() > 3, quicktest.IsTrue, quicktest.Commentf("%v", p.slowdown()))
	p, _ = progressOf(0.1, 0.2, 0.3, 0.4, 0.5)
	quicktest.Assert(t, p.slowdown() < 1.01, quicktest.IsTrue)
}
