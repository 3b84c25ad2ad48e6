package scheduler

import (
	"math"
	"time"
)

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

const (
	// minSteps is how many run times of a queue's steps must be known before they are used beside the
	// declared ones.
	minSteps = 5
	// minRecentWeight is the minimum weight of the newest value, so that the mean follows a queue that changes.
	minRecentWeight = 0.05
	// minError is the lower bound of an estimate's squared error: a tenth, squared, as the tasks of one step
	// differ by more.
	minError = 0.01
)

// runningMean is a running mean that favors new values: the newest one counts at least minRecentWeight.
type runningMean struct {
	count, value float64
}

func (m *runningMean) add(x float64) {
	m.count++
	m.value += (x - m.value) * max(1/m.count, minRecentWeight)
}

// estimator estimates the run time of a queue's tasks. It combines the run times so far with the caller's
// declaration, each weighted by its past error. When callers' declarations alone were used, and were off by
// twice and more, gangs waited beside idle workers for a goal that lay a minute further away than it seemed.
// The zero value uses only the declaration.
type estimator struct {
	mean          runningMean // Logarithm of seconds.
	meanError     runningMean // Squared, in logarithms.
	declaredError runningMean
}

// observe records how long a step's tasks ran, and the run time expected by the declaration; 0 for none.
func (g *estimator) observe(took, declared time.Duration) {
	x := math.Log(max(took.Seconds(), minEstimate.Seconds()))
	if g.mean.count > 0 {
		g.meanError.add((x - g.mean.value) * (x - g.mean.value))
	}
	if declared > 0 {
		off := x - math.Log(declared.Seconds())
		g.declaredError.add(off * off)
	}
	g.mean.add(x)
}

// estimate returns the expected run time of a task with the given declaration; 0 for none.
func (g *estimator) estimate(declared time.Duration) time.Duration {
	if g.mean.count < minSteps {
		return declared
	}
	usual := g.mean.value
	if declared <= 0 || g.declaredError.count == 0 {
		return seconds(math.Exp(usual))
	}
	trust := max(g.meanError.value, minError)
	// Weight of the declaration: the larger the other error, the more.
	trust /= trust + max(g.declaredError.value, minError)
	return seconds(math.Exp((1-trust)*usual + trust*math.Log(declared.Seconds())))
}
