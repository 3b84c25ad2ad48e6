package scheduler

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/job"
)

// TestEndsOfLastingTasksKeepOthersWaitingTime fails if the ends of some tasks of a group that lasts set back the waiting
// time of the others: with one that fails all the time, the others would never have waited long enough to start elsewhere.
func TestEndsOfLastingTasksKeepOthersWaitingTime(t *testing.T) {
	inBubble(t, "end", func(t *testing.T) {
		for _, outcome := range []job.Outcome{job.FailedRun, job.Succeeded, job.Stopped, job.Expired} {
			h, w, j, r := lastingShard(3)
			since := time.Now()
			h.updateView(since)
			time.Sleep(time.Second)
			h.endRun(w, r, outcome, "")
			quicktest.Check(t, j.readySince[job.Group{}], quicktest.Equals, since)
		}
		h, w, j, r := lastingShard(1)
		h.updateView(time.Now())
		time.Sleep(time.Second)
		h.endRun(w, r, job.FailedRun, "")
		_, waits := j.readySince[job.Group{}]
		quicktest.Check(t, waits, quicktest.IsFalse)
	})
}
