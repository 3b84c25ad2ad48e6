package scheduler

import (
	"fmt"
	"slices"
	"time"

	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/internal/loss"
	"github.com/pulleyring/pulleyring/internal/placement"
)

// Why returns the reasons why a job's tasks wait, as of the last decision. It returns false if this box does not hold
// the shard's lease, or if it does not know the job.
func (s *Scheduler) Why(id job.ID) ([]string, bool) {
	h := s.current.Load()
	if h == nil {
		return nil, false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	j := h.jobs[id]
	if j == nil {
		return nil, false
	}
	lines := h.explainHeldTasks(j)
	for i := range h.view.Demands {
		if d := &h.view.Demands[i]; d.Job == id && j.isWaiting(d) {
			lines = append(lines, explainWait(&h.view, i)+h.explainHeadroom(d))
		}
	}
	return lines, true
}

// isWaiting reports whether any task of a demand, which waited at the last decision, still waits.
func (j *trackedJob) isWaiting(d *placement.Demand) bool {
	tasks := j.Tasks(d.Group)
	for _, i := range d.Waiting {
		if tasks[i].State == job.Waiting {
			return !j.Progress.State.Final()
		}
	}
	return false
}

// explainHeldTasks returns the reasons why waiting tasks of a job are held back: an orphaned run of the task is being
// stopped, or workers that ran the task became silent.
func (h *shard) explainHeldTasks(j *trackedJob) []string {
	lines := h.explainOrphans(j)
	for i, counted := range j.Progress.Losses {
		t := j.TaskAt(i)
		if p, ok := j.Task(t); !ok || p.State != job.Waiting || j.Progress.State.Final() {
			continue
		}
		open := h.lossDetector.UnprovenLosses(t, time.Now())
		if h.lossDetector.Verdict(t, counted, time.Now()) == loss.OnHold {
			lines = append(lines, fmt.Sprintf("task %d of step %d is held: of %d workers that were lost under it %d may have been cut off; it is known after %s at the latest",
				t.Index, t.Step, counted.Counted, open.Counted, loss.ProvenAfter))
		}
	}
	return lines
}

// explainOrphans returns a line for each orphaned run of a job. Its task is not started while the orphaned run may
// still run or begin.
func (h *shard) explainOrphans(j *trackedJob) []string {
	var lines []string
	for t := range j.orphans {
		for _, w := range h.workers {
			if r := w.runs[t]; r != nil && r.orphaned {
				lines = append(lines, fmt.Sprintf("task %d of step %d is held: its run %d on %s is being stopped since %s, as %s",
					t.Index, t.Step, r.number, w.incarnation, time.Since(r.stopRequested).Round(time.Millisecond), r.stopReason))
			}
		}
	}
	slices.Sort(lines)
	return lines
}

// explainWait returns a line that explains why a demand of a view waits.
func explainWait(v *placement.View, i int) string {
	d, w := &v.Demands[i], placement.Explain(v, i)
	text := fmt.Sprintf("step %d waits for room for %d tasks since %s: %d workers are suitable, there is room for %d now", d.Group.Step, w.WaitingTasks,
		v.Now.Sub(d.ReadySince).Round(time.Millisecond), w.SuitableWorkers, w.FitNow)
	if w.FitFastEnough < w.FitNow {
		text += fmt.Sprintf(", for %d on workers that are fast enough for its goal", w.FitFastEnough)
	}
	if d.Step.RackLocal {
		text += fmt.Sprintf(", for %d in one rack", w.FitInRack)
	}
	if w.ClosedWorkers > 0 {
		text += fmt.Sprintf("; %d workers are in emptied halls", w.ClosedWorkers)
	}
	if d.Reservation != nil {
		text += "; room is being freed"
	}
	return text
}
