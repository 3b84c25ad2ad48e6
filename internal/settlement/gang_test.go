package settlement

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/worker"
)

// TestJudgeCancelledOnLostWorker says what follows a cancellation whose worker was lost before it told whether it ran: a
// gang that must not be repeated stays open, as nobody can know; any other ends.
func TestJudgeCancelledOnLostWorker(t *testing.T) {
	lost := []Sight{{Expired: true}}
	for _, c := range []struct {
		name   string
		once   bool
		sights []Sight
		want   Step
	}{
		{"at most once, lost", true, lost, Unknown},
		{"repeatable, lost", false, lost, Fail},
		{"repeatable, lost its memory", false, []Sight{{Known: true, Task: worker.Task{State: worker.Unknown}}}, Fail},
		{"repeatable, never began", false, []Sight{{Known: true, Task: worker.Task{State: worker.Refused}}}, Cancel},
		{"at most once, never began", true, []Sight{{Known: true, Task: worker.Task{State: worker.Refused}}}, Cancel},
	} {
		j := &Job{State: Stopping, Halt: &Halt{Cancel: true}}
		j.Submission.AtMostOnce = c.once
		qt.Check(t, Judge(j, c.sights), qt.Equals, c.want, qt.Commentf(c.name))
	}
}
