package scheduler

import (
	"time"

	"github.com/pulleyring/pulleyring/internal/headroom"
	"github.com/pulleyring/pulleyring/internal/placement"
)

// urgentLoad learns how much capacity urgent work takes. The zero value is ready to use.
type urgentLoad struct {
	estimator headroom.Estimator
	loads     []headroom.Load // Buffer of updateHeadroom, reused between calls.
}

// updateHeadroom updates the load of urgent work from a view, and the capacity in it that is kept for such work.
func (h *shard) updateHeadroom(v *placement.View, now time.Time) {
	v.Headroom = nil
	if h.Bounds.DisableHeadroom {
		return
	}
	u := &h.urgentLoad
	u.loads = u.loads[:0]
	for _, x := range h.allocations.list {
		r := x.runs[0]
		if terms := &r.job.Request.Terms; terms.Priority == 0 && !x.stopping {
			shape := placement.ShapeOf(terms.Service, &r.job.Request.Steps[r.task.Step])
			u.loads = append(u.loads, headroom.Load{Shape: shape, Held: len(x.runs)})
		}
	}
	for i := range v.Demands {
		if d := &v.Demands[i]; d.Priority == 0 {
			u.loads = append(u.loads, headroom.Load{Shape: placement.ShapeOf(d.Service, d.Step), Waiting: len(d.Waiting)})
		}
	}
	u.estimator.Update(now, u.loads)
	v.Headroom = u.estimator.Kept()
}
