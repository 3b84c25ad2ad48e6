package scheduler

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// recordRunTimes records the run times of a queue's jobs, given as pairs of the declared and the real time in
// seconds.
func recordRunTimes(e *estimates, pairs [][2]float64) {
	for i, p := range pairs {
		r := request(string(rune('a'+i)), time.Duration(p[0]*float64(time.Second)))
		e.addRun(r, 0, time.Duration(p[1]*float64(time.Second)))
	}
}

func TestWrongDeclarationsCountForLittle(t *testing.T) {
	var e estimates
	recordRunTimes(&e, [][2]float64{{3, 10}, {30, 11}, {5, 9}, {40, 10}, {2, 11}, {28, 10}, {4, 9}, {33, 10}})
	for _, declared := range []time.Duration{3 * time.Second, 40 * time.Second} {
		expected := e.taskTime(request("z", declared), 0)
		quicktest.Check(t, expected > 7*time.Second && expected < 14*time.Second, quicktest.IsTrue, quicktest.Commentf("%v: %v", declared, expected))
	}
}

func TestGoodDeclarationsAreUsed(t *testing.T) {
	var e estimates
	recordRunTimes(&e, [][2]float64{{1, 1.1}, {30, 29}, {5, 5}, {60, 61}, {2, 2.1}, {28, 27}, {4, 4.1}, {33, 33}})
	for _, declared := range []time.Duration{2 * time.Second, 50 * time.Second} {
		expected := e.taskTime(request("z", declared), 0)
		quicktest.Check(t, expected > declared*8/10 && expected < declared*12/10, quicktest.IsTrue, quicktest.Commentf("%v: %v", declared, expected))
	}
}

func TestFewRunTimesAreIgnored(t *testing.T) {
	var e estimates
	recordRunTimes(&e, [][2]float64{{3, 3}, {30, 30}})
	quicktest.Assert(t, e.taskTime(request("z", 7*time.Second), 0).Round(10*time.Millisecond), quicktest.Equals, 7*time.Second)
}
