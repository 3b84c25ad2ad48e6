package scheduler

import (
	"math"
	"time"
)

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

const (
	// minSteps is the number of a queue's run times that must be known before they are used together with the
	// declared ones.
	minSteps = 5
	// minRecentWeight is the minimum weight of the newest value, so that the mean follows a queue that changes.
	minRecentWeight = 0.05
	// minSquaredError is the lower bound of an estimate's squared error, in squared logarithms. It stands for an
	// error of a tenth, because the tasks of one step differ by more.
	minSquaredError = 0.01
)

// runningMean is a running mean in which the newest value has at least the weight minRecentWeight.
type runningMean struct {
	count, value float64
}

func (m *runningMean) add(x float64) {
	m.count++
	m.value += (x - m.value) * max(1/m.count, minRecentWeight)
}

// estimator estimates the run time of a queue's tasks. It combines the run times so far with the caller's
// declaration, each weighted by its past error. When only the declarations were used, and these were wrong by a
// factor of two or more, gangs waited beside idle workers for a goal that lay a minute further away than it
// seemed. The zero value uses only the declaration.
type estimator struct {
	mean          runningMean // Mean of the logarithms of the run times in seconds.
	meanError     runningMean // Mean squared error of that mean, in logarithms.
	declaredError runningMean // Mean squared error of the declarations, in logarithms.
}

// observe records how long a step's tasks ran, and the run time that the caller had declared; 0 if the caller
// declared none.
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

// estimate returns the expected run time of a task. A declared time of 0 means that the caller declared none; a
// result of 0 means that nothing is known.
func (g *estimator) estimate(declared time.Duration) time.Duration {
	if g.mean.count < minSteps {
		return declared
	}
	usual := g.mean.value
	if declared <= 0 || g.declaredError.count == 0 {
		return seconds(math.Exp(usual))
	}
	trust := max(g.meanError.value, minSquaredError)
	// Weight of the declaration: the larger the error of the mean, the larger the weight.
	trust /= trust + max(g.declaredError.value, minSquaredError)
	return seconds(math.Exp((1-trust)*usual + trust*math.Log(declared.Seconds())))
}
