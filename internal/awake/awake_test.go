package awake

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// clocks simulates the clocks of a machine.
type clocks struct {
	monotonic, suspended time.Duration
	delays               []time.Duration // Time that passes before each of the next readings.
}

// read returns the reading of a clock that is ahead of the monotonic clock by ahead.
func (c *clocks) read(ahead time.Duration) time.Duration {
	if len(c.delays) > 0 {
		c.monotonic += c.delays[0]
		c.delays = c.delays[1:]
	}
	return c.monotonic + ahead
}

func (c *clocks) offset() time.Duration {
	return clockOffset(func() time.Duration { return c.read(0) }, func() time.Duration { return c.read(c.suspended) })
}

// TestPausedProcessIsNotSuspension guards against a false suspension: on a busy machine, the process may be paused
// between two readings of the clocks. A real suspension must still be reported in full.
func TestPausedProcessIsNotSuspension(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name      string
		suspended time.Duration
		delays    []time.Duration
	}{
		{"never suspended", 0, nil},
		{"suspended", 5 * time.Second, nil},
		{"stands still before the first reading", 5 * time.Second, []time.Duration{80 * ms}},
		{"stands still before the second reading", 0, []time.Duration{0, 80 * ms}},
		{"stands still before the third reading", 5 * time.Second, []time.Duration{0, 0, 80 * ms}},
		{"stands still again and again", 5 * time.Second, []time.Duration{0, 80 * ms, 0, 0, 0, 80 * ms, 0, 80 * ms, 80 * ms}},
	} {
		x := &clocks{monotonic: time.Hour, suspended: c.suspended, delays: c.delays}
		quicktest.Check(t, x.offset(), quicktest.Equals, c.suspended, quicktest.Commentf(c.name))
	}
}

// TestSuspendedTimeStaysConstant reads the real clocks. The machine is assumed not to be suspended during the test,
// so successive values must differ by less than a millisecond.
func TestSuspendedTimeStaysConstant(t *testing.T) {
	before := Suspended()
	for range 1000 {
		now := Suspended()
		quicktest.Assert(t, now-before < time.Millisecond && before-now < time.Millisecond, quicktest.IsTrue, quicktest.Commentf("%s, then %s", before, now))
	}
}
