package scheduler

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/fleet"
)

// TestOtherLifeIsNoSignOfLife: a worker crashes as soon as a task has begun there, and seconds later another life at its address answers an order. Its clock was
// taken for the old life's, so that the task seemed to have run for those seconds.
func TestOtherLifeIsNoSignOfLife(t *testing.T) {
	for _, c := range []struct {
		name  string
		err   error
		heard bool
	}{
		{"no error", nil, true},
		{"a refusal of its own", fleet.NoRoom, true},
		{"another life", fleet.OtherLife, false},
	} {
		w := workerOf(&fleet.Worker{})
		w.answered(7, nil)
		w.clockAt = w.clockAt.Add(-4 * time.Second)
		before := w.clockAt
		w.answered(9, c.err)
		quicktest.Check(t, w.clockAt.After(before), quicktest.Equals, c.heard, quicktest.Commentf(c.name))
	}
}
