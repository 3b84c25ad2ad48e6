package hall

import (
	"context"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/settlement"
	"github.com/pulleyring/pulleyring/internal/table"
)

// CancelResult says what a cancellation did.
type CancelResult string

// The results of Keeper.Cancel.
const (
	CancelUnrun    CancelResult = "unrun"    // It was settled without running on.
	CancelStopping CancelResult = "stopping" // Its attempt was told to stop and will be settled.
	CancelPast     CancelResult = "past"     // It was cancelled already.
)

// Cancel ends a job from any box: the row's version decides between it and whatever else happens to the job.
// A conflict means that the job moved on meanwhile.
func (k *Keeper) Cancel(ctx context.Context, e *Entry, reason string) (CancelResult, error) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if e.State == settlement.Waiting {
		return CancelUnrun, k.cancelWaiting(ctx, e, reason)
	}
	next, err := e.Job.Stop(settlement.Halt{Reason: reason, AtOnce: true, Cancel: true})
	if errors.Is(err, settlement.ErrStep) {
		return CancelPast, nil
	}
	if _, err := k.write(ctx, e, next, table.Reclaim); err != nil {
		return "", err
	}
	k.note(e.Key(), e.Attempt, reason)
	k.News(settlement.HallPrefix(k.Hall))
	return CancelStopping, nil
}

func (k *Keeper) cancelWaiting(ctx context.Context, e *Entry, reason string) error {
	reply, revision, err := k.trySettle(ctx, e, verdict{outcome: e.Unrun(), reason: reason})
	if err != nil {
		return err
	}
	k.settledAt(e, revision, reply)
	k.News(settlement.HallPrefix(k.Hall))
	return nil
}
