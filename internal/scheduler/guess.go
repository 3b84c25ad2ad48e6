package scheduler

import (
	"math"
	"time"
)

// seconds turns a number of seconds into a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

const (
	// leastSteps is how many steps of a queue must have told their run time before it is used beside the declared ones.
	leastSteps = 5
	// recentWeight is the least weight of the newest step, so that what was learned follows a queue that changes.
	recentWeight = 0.05
	// leastError bounds how exact a guess is taken to be: a tenth, squared, as tasks of a step differ by more.
	leastError = 0.01
)

// recent is a running mean that forgets: the newest value counts recentWeight at least.
type recent struct {
	count, value float64
}

func (m *recent) add(x float64) {
	m.count++
	m.value += (x - m.value) * max(1/m.count, recentWeight)
}

// guess weighs two ways to tell how long tasks of a queue will run, by how far off each was: what the queue's tasks took
// so far, and what the caller declares. Callers whose declarations are off by twice and more made gangs wait beside
// idle workers for a goal that lay a minute further away than it seemed. The zero value goes by the declaration.
type guess struct {
	usual         recent // Logarithm of seconds.
	usualError    recent // Squared, in logarithms.
	declaredError recent
}

// take takes in how long a step's tasks ran, and what was expected by the declaration; 0 for none.
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

// blend is the expected run time of a task with a declaration, 0 for none.
func (g *guess) blend(declared time.Duration) time.Duration {
	if g.usual.count < leastSteps {
		return declared
	}
	usual := g.usual.value
	if declared <= 0 || g.declaredError.count == 0 {
		return seconds(math.Exp(usual))
	}
	trust := max(g.usualError.value, leastError)
	trust /= trust + max(g.declaredError.value, leastError) // Of the declaration: the further off the usual, the more.
	return seconds(math.Exp((1-trust)*usual + trust*math.Log(declared.Seconds())))
}
