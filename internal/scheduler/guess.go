package scheduler

import (
	"math"
	"time"
)

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

const (
	// leastSteps is how many run times of a queue's steps must be known before they are used beside the
	// declared ones.
	leastSteps = 5
	// recentWeight is the minimum weight of the newest value, so that the mean follows a queue that changes.
	recentWeight = 0.05
	// leastError is the lower bound of an estimate's squared error: a tenth, squared, as the tasks of one step
	// differ by more.
	leastError = 0.01
)

// recent is a running mean that favors new values: the newest one counts at least recentWeight.
type recent struct {
	count, value float64
}

func (m *recent) add(x float64) {
	m.count++
	m.value += (x - m.value) * max(1/m.count, recentWeight)
}

// guess estimates the run time of a queue's tasks. It combines the run times so far with the caller's
// declaration, each weighted by its past error. When callers' declarations alone were used, and were off by
// twice and more, gangs waited beside idle workers for a goal that lay a minute further away than it seemed.
// The zero value uses only the declaration.
type guess struct {
	usual         recent // Logarithm of seconds.
	usualError    recent // Squared, in logarithms.
	declaredError recent
}

// take records how long a step's tasks ran, and the run time expected by the declaration; 0 for none.
func (g *guess) take(took, declared time.Duration) {
	x := math.Log(max(took.Seconds(), leastEstimate.Seconds()))
	if g.usual.count > 0 {
		g.usualError.add((x - g.usual.value) * (x - g.usual.value))
	}
	if declared > 0 {
		off := x - math.Log(declared.Seconds())
		g.declaredError.add(off * off)
	}
	g.usual.add(x)
}

// blend returns the expected run time of a task with the given declaration; 0 for none.
func (g *guess) blend(declared time.Duration) time.Duration {
	if g.usual.count < leastSteps {
		return declared
	}
	usual := g.usual.value
	if declared <= 0 || g.declaredError.count == 0 {
		return seconds(math.Exp(usual))
	}
	trust := max(g.usualError.value, leastError)
	// Weight of the declaration: the larger the other error, the more.
	trust /= trust + max(g.declaredError.value, leastError)
	return seconds(math.Exp((1-trust)*usual + trust*math.Log(declared.Seconds())))
}
