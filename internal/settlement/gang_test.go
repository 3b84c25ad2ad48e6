package settlement

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/worker"
)

// TestCancelledOnLostWorker guards against a wrong outcome for a cancelled gang whose worker was lost before it
// reported whether the gang ran. An at-most-once gang stays unresolved; any other fails, or is cancelled if it did
// not start.
func TestCancelledOnLostWorker(t *testing.T) {
	lost := []WorkerState{{Expired: true}}
	for _, c := range []struct {
		name       string
		atMostOnce bool
		sights     []WorkerState
		want       Step
	}{
		{"at most once, lost", true, lost, Unknown},
		{"repeatable, lost", false, lost, Fail},
		{"repeatable, lost its memory", false, []WorkerState{{Known: true, Task: worker.Task{State: worker.Unknown}}}, Fail},
		{"repeatable, never began", false, []WorkerState{{Known: true, Task: worker.Task{State: worker.Refused}}}, Cancel},
		{"at most once, never began", true, []WorkerState{{Known: true, Task: worker.Task{State: worker.Refused}}}, Cancel},
	} {
		j := &Job{State: Stopping, Halt: &Halt{Cancel: true}}
		j.Submission.AtMostOnce = c.atMostOnce
		qt.Check(t, NextStep(j, c.sights), qt.Equals, c.want, qt.Commentf(c.name))
	}
}
