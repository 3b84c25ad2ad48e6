package emulator

import (
	"fmt"
	"time"

	"github.com/pulleyring/pulleyring/internal/job"
)

// cancelTime is how long tasks of a job may still start after its cancellation was acknowledged (the users' rules).
const cancelTime = 3 * time.Second

// RecordCancelled records that the cancellation of a job was acknowledged.
func (f *Fleet) RecordCancelled(id job.ID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.checker.cancelledAt == nil {
		f.checker.cancelledAt = map[job.ID]time.Time{}
	}
	if _, known := f.checker.cancelledAt[id]; !known {
		f.checker.cancelledAt[id] = time.Now()
	}
}

// checkCancelled finds starts of tasks whose job was cancelled more than cancelTime ago, unless the boxes or the store
// had a fault in the last stablePeriod. Commands that the worker itself carried out late don't count. The caller holds
// the lock.
func (f *Fleet) checkCancelled(w *worker, a *taskRun) {
	at, cancelled := f.checker.cancelledAt[a.task.Job]
	if since := time.Since(at); cancelled && !w.runsDelayedCommand && since > cancelTime && f.checker.isStableBefore(time.Now()) {
		c := &f.checker.verdict
		c.AfterCancel = append(c.AfterCancel, fmt.Sprintf("%s started on %s %s after its job was cancelled", a.task, w.record.ID, since))
	}
}

// checkCancelledRuns finds runs of cancelled jobs that are left after a long time without faults, in which capacities
// were known. The caller holds the lock.
func (f *Fleet) checkCancelledRuns() {
	for t := range f.checker.running {
		if at, cancelled := f.checker.cancelledAt[t.Job]; cancelled && time.Since(at) > quietPeriod {
			delete(f.checker.cancelledAt, t.Job) // It is reported once.
			f.checker.verdict.AfterCancel = append(f.checker.verdict.AfterCancel, fmt.Sprintf("%s still runs %s after its job was cancelled", t, time.Since(at)))
		}
	}
}
