package hall

import (
	"context"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/settlement"
	"github.com/pulleyring/pulleyring/internal/table"
)

// CancelResult is what a cancellation did.
type CancelResult string

// The results of Cancel.
const (
	CancelUnrun    CancelResult = "unrun"    // The job was settled and won't run any further.
	CancelStopping CancelResult = "stopping" // The attempt must stop; the job is settled after that.
	CancelPast     CancelResult = "past"     // The job had been cancelled before.
)

// Cancel cancels a job. Any box may call it: the check of the row's version makes sure that no concurrent change is
// overwritten. A conflict error means that the job changed meanwhile.
func (c *Controller) Cancel(ctx context.Context, j *CachedJob, reason string) (CancelResult, error) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if j.State == settlement.Waiting {
		return CancelUnrun, c.cancelWaiting(ctx, j, reason)
	}
	next, err := j.Job.Stop(settlement.Halt{Reason: reason, AtOnce: true, Cancel: true})
	if errors.Is(err, settlement.ErrTransition) {
		return CancelPast, nil
	}
	if _, err := c.write(ctx, j, next, table.Reclaim); err != nil {
		return "", err
	}
	c.recordEvent(j.Key(), j.Attempt, reason)
	c.NotifyChanged(settlement.HallPrefix(c.Hall))
	return CancelStopping, nil
}

func (c *Controller) cancelWaiting(ctx context.Context, j *CachedJob, reason string) error {
	reply, revision, err := c.trySettle(ctx, j, result{outcome: j.OutcomeWhileWaiting(), reason: reason})
	if err != nil {
		return err
	}
	c.finishSettlement(j, revision, reply)
	c.NotifyChanged(settlement.HallPrefix(c.Hall))
	return nil
}
