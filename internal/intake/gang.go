package intake

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/link"
	"github.com/pulleyring/pulleyring/internal/pledge"
	"github.com/pulleyring/pulleyring/internal/settlement"
	"github.com/pulleyring/pulleyring/internal/table"
	"github.com/pulleyring/pulleyring/pkg/contract"
	"github.com/pulleyring/pulleyring/pkg/request"
)

// submitGang commits the rows of a gang and returns its outcome, or accepted if ctx ends first.
func (in *Intake) submitGang(ctx context.Context, req Request) request.Reply {
	loads := in.Loads()
	hall := in.chooseHall(req.Submission, loads)
	if hall == "" {
		return in.refuse(ctx, req, "no hall can hold the gang, or only on devices that may be reclaimed from it")
	}
	if in.reachedJobLimit(req.Submission.Workspace, loads) {
		return in.refuse(ctx, req, "too many unfinished jobs of the workspace")
	}
	c, stop := in.waiters.add(req.Identity, req.Round)
	defer stop()
	reply := in.accept(ctx, req, hall)
	if reply.Outcome != request.Accepted {
		return reply
	}
	return wait(ctx, c, reply)
}

// accept commits the request row and the job row of a gang and returns accepted, or the reply to its caller if it
// can't be accepted.
func (in *Intake) accept(ctx context.Context, req Request, hall string) request.Reply {
	version, reply, blocked := in.replaceableVersion(ctx, req)
	if blocked {
		return reply
	}
	job := settlement.Job{
		Identity: req.Identity, Submission: req.Submission, Round: req.Round, Received: req.Received, Box: in.Box, State: settlement.Waiting,
	}
	requestKey, jobKey := settlement.RequestKey(req.Identity), settlement.JobKey(hall, req.Identity)
	op := table.Op{
		Priority: table.Accept,
		Checks:   []table.Check{{Key: requestKey, Version: version}, {Key: jobKey}},
		Writes:   []table.Write{table.Put(requestKey, job.Record(hall)), table.Put(jobKey, job)},
	}
	limit := acceptTimeout
	if req.Submission.OnOutage == "refuse" {
		limit = refuseTimeout
	}
	within, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
	defer cancel()
	_, err := in.Committer.Do(within, op)
	switch {
	case err == nil:
		in.addEvent(req.Identity, "", "accepted for "+hall)
		in.NotifyChange(settlement.HallPrefix(hall))
		return request.Reply{Outcome: request.Accepted}
	case errors.Is(err, table.ErrQueueFull):
		return in.refuse(ctx, req, "too much waits for the table")
	case errors.Is(err, table.ErrUnavailable):
		return in.refuse(ctx, req, "the table is out")
	}
	return in.replyAfterFailedCommit(ctx, req, err)
}

// recentPlacements records the accelerators of the gangs that this box has sent to each hall in the last
// placementRetention. The reported loads may not include them yet.
type recentPlacements struct {
	mu   sync.Mutex
	sent map[string]int // Number of accelerators by hall.
	at   time.Time      // Start of the period that sent counts.
}

// placementRetention is how long sent gangs are added to the load of a hall. Its preferred box reports a new load by
// then.
const placementRetention = time.Second

func (p *recentPlacements) add(hall string, accelerators int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sent == nil || time.Since(p.at) > placementRetention {
		p.sent = map[string]int{}
		p.at = time.Now()
	}
	p.sent[hall] += accelerators
}

func (p *recentPlacements) get(hall string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Since(p.at) > placementRetention {
		return 0
	}
	return p.sent[hall]
}

// chooseHall returns the hall with the lowest score, where the gang should start soonest. It returns an empty name if
// no hall could ever hold the gang or all that could are emptied.
func (in *Intake) chooseHall(s request.Submission, reported []link.Load) string {
	site, orders := in.Config.Site(), in.Config.Orders()
	loads := map[string]link.Load{}
	for _, l := range reported {
		loads[l.Hall] = l
	}
	best, bestScore := "", 0.0
	for _, h := range site.Halls {
		if !in.canEverHold(site, h, s) || orders.Drained("hall", h.Name) {
			continue
		}
		load, known := loads[h.Name]
		score := in.score(h, load, known, s)
		if best == "" || score < bestScore {
			best, bestScore = h.Name, score
		}
	}
	if best != "" {
		in.placed.add(best, s.Gang*s.Shape.Accelerators)
	}
	return best
}

// canEverHold reports whether a hall could ever run a gang: whether it fits into one of the racks when empty. A gang
// that can neither be checkpointed nor repeated must fit on devices that can't be reclaimed from it.
func (in *Intake) canEverHold(site *contract.Site, h contract.Hall, s request.Submission) bool {
	layout := in.layout.get(site)
	for _, r := range h.Racks {
		if !r.GangFits(s.Gang, s.Shape) {
			continue
		}
		if !s.AtMostOnce || s.Checkpoints || layout.FitsUnreclaimable(r, s.Workspace, s.Gang, s.Shape) {
			return true
		}
	}
	return false
}

// layoutCache caches the plan of reserved capacity (pledges) for a configuration.
type layoutCache struct {
	mu      sync.Mutex
	version int64
	layout  pledge.Layout
}

func (c *layoutCache) get(site *contract.Site) pledge.Layout {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.layout == nil || c.version != site.Version {
		c.layout, _ = pledge.Plan(site, nil) // A configuration in force can always be planned.
		c.version = site.Version
	}
	return c.layout
}

// Terms of a hall's score that are added to its utilization, which is a fraction of its capacity.
const (
	pledgeFreeBonus    = 1.0 // Subtracted if the gang fits into the workspace's free reserved capacity (pledge) there.
	noRoomPenalty      = 0.5 // Added if no rack has room for the gang now.
	unknownLoadPenalty = 2.0 // Used as utilization if the load of the hall is unknown.
)

// score estimates how long a gang would wait in a hall: the lower the score, the sooner it should start.
func (in *Intake) score(h contract.Hall, load link.Load, known bool, s request.Submission) float64 {
	need := s.Gang * s.Shape.Accelerators
	capacity := max(1, h.Capacity().Accelerators)
	sent := in.placed.get(h.Name)
	if !known {
		return unknownLoadPenalty + float64(sent)/float64(capacity)
	}
	used := load.Capacity - load.Free + load.Waiting + sent
	score := float64(used+need) / float64(max(1, load.Capacity))
	if load.PledgeFree[s.Workspace]-sent >= need && need > 0 {
		score -= pledgeFreeBonus
	}
	room := load.LargestFree
	if s.AtMostOnce && !s.Checkpoints {
		room = load.LargestUnreserved
	}
	if room-sent < need {
		score += noRoomPenalty
	}
	return score
}

// reachedJobLimit reports whether a workspace has reached the limit of unfinished jobs in every hall whose load is
// known.
func (in *Intake) reachedJobLimit(workspace string, loads []link.Load) bool {
	limit := in.Settings.Limits.WaitingPerSpace
	for _, l := range loads {
		if l.Unfinished[workspace] < limit {
			return false
		}
	}
	return len(loads) > 0
}
