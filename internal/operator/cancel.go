package operator

import (
	"context"
	"sync"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/command"
	"github.com/pulleyring/pulleyring/internal/hall"
	"github.com/pulleyring/pulleyring/internal/table"
)

// maxConcurrentCancels limits the concurrent cancellations of one command.
const maxConcurrentCancels = 256

// cancel cancels one job, or all jobs that match the conditions.
func (d *Runner) cancel(ctx context.Context, name string, c *command.Cancel) (*command.List, error) {
	targets, refusal, err := d.targets(ctx, c)
	if err != nil || refusal != nil {
		return refusal, err
	}
	counts := d.cancelAll(ctx, name, targets)
	answer := command.Did(counts.notRun+counts.stopping, "cancelled %d: %d will not run, %d were told to stop, %d were past cancelling",
		len(targets), counts.notRun, counts.stopping, counts.tooLate)
	if counts.unknown > 0 {
		answer.Text += "; the table did not say what became of " + itoa(counts.unknown) + ", repeating the command is safe"
	}
	return answer, nil
}

// target is a job to cancel, with the controller of its hall.
type target struct {
	controller *hall.Controller
	entry      *hall.CachedJob
}

func (d *Runner) targets(ctx context.Context, c *command.Cancel) ([]target, *command.List, error) {
	if c.Job != "" {
		k, e, err := d.find(ctx, c.Job)
		if err != nil {
			return nil, nil, err
		}
		if e == nil {
			return nil, command.Refuse("there is no unfinished job %s", c.Job), nil
		}
		return []target{{k, e}}, nil, nil
	}
	jobs, entries, err := d.listJobs(ctx)
	if err != nil {
		return nil, nil, err
	}
	if err := jobs.Check(c.Where, ""); err != nil {
		return nil, nil, err
	}
	var list []target
	for i, row := range jobs.Rows {
		if jobs.Meets(row, c.Where) {
			list = append(list, entries[i])
		}
	}
	return list, nil, nil
}

// cancelCounts counts the jobs of one command by result: cancelled before they ran, told to stop, too late to cancel,
// and unknown because the table did not answer.
type cancelCounts struct{ notRun, stopping, tooLate, unknown int }

func (d *Runner) cancelAll(ctx context.Context, name string, targets []target) cancelCounts {
	var mu sync.Mutex
	var counts cancelCounts
	var group sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentCancels)
	for _, t := range targets {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			result, err := t.controller.Cancel(ctx, t.entry, "cancelled by "+name)
			mu.Lock()
			defer mu.Unlock()
			var conflict *table.Conflict
			switch {
			case errors.As(err, &conflict):
				counts.tooLate++
			case err != nil:
				counts.unknown++
			case result == hall.CancelUnrun:
				counts.notRun++
			case result == hall.CancelStopping:
				counts.stopping++
			default:
				counts.tooLate++
			}
		})
	}
	group.Wait()
	return counts
}
