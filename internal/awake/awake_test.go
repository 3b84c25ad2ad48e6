package awake

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// clocks is a machine's clocks; a reading takes as long as is next.
type clocks struct {
	awake, slept time.Duration
	readings     []time.Duration
}

func (c *clocks) read(clock time.Duration) time.Duration {
	if len(c.readings) > 0 {
		c.awake += c.readings[0]
		c.readings = c.readings[1:]
	}
	return c.awake + clock
}

func (c *clocks) between() time.Duration {
	return between(func() time.Duration { return c.read(0) }, func() time.Duration { return c.read(c.slept) })
}

// TestAStandstillIsNoSuspension: a process that stands still between two readings of the clocks, on a busy machine, has not been suspended, and a suspension is told in full all the same.
func TestAStandstillIsNoSuspension(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name     string
		slept    time.Duration
		readings []time.Duration
	}{
		{"never suspended", 0, nil},
		{"suspended", 5 * time.Second, nil},
		{"stands still before the first reading", 5 * time.Second, []time.Duration{80 * ms}},
		{"stands still before the second reading", 0, []time.Duration{0, 80 * ms}},
		{"stands still before the third reading", 5 * time.Second, []time.Duration{0, 0, 80 * ms}},
		{"stands still again and again", 5 * time.Second, []time.Duration{0, 80 * ms, 0, 0, 0, 80 * ms, 0, 80 * ms, 80 * ms}},
	} {
		x := &clocks{awake: time.Hour, slept: c.slept, readings: c.readings}
		quicktest.Check(t, x.between(), quicktest.Equals, c.slept, quicktest.Commentf(c.name))
	}
}

// TestSleptIsSteady: this machine is not suspended during the test.
func TestSleptIsSteady(t *testing.T) {
	before := Slept()
	for range 1000 {
		now := Slept()
		quicktest.Assert(t, now-before < time.Millisecond && before-now < time.Millisecond, quicktest.IsTrue, quicktest.Commentf("%s, then %s", before, now))
	}
}
