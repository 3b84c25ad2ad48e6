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

// submitGang commits a gang's rows and returns accepted, or its outcome where it comes before ctx ends.
func (in *Intake) submitGang(ctx context.Context, o Order) request.Reply {
	loads := in.Loads()
	hall := in.chooseHall(o.Submission, loads)
	if hall == "" {
		return in.refuse(ctx, o, "no hall can hold the gang, or only on devices that may be reclaimed from it")
	}
	if in.tooMany(o.Submission.Workspace, loads) {
		return in.refuse(ctx, o, "too many unfinished jobs of the workspace")
	}
	c, stop := in.waiters.add(o.Identity, o.Round)
	defer stop()
	reply := in.accept(ctx, o, hall)
	if reply.Outcome != request.Accepted {
		return reply
	}
	return wait(ctx, c, reply)
}

// accept commits the rows of a gang.
func (in *Intake) accept(ctx context.Context, o Order, hall string) request.Reply {
	version, reply, blocked := in.place(ctx, o)
	if blocked {
		return reply
	}
	job := settlement.Job{
		Identity: o.Identity, Submission: o.Submission, Round: o.Round, Received: o.Received, Box: in.Box, State: settlement.Waiting,
	}
	requestKey, jobKey := settlement.RequestKey(o.Identity), settlement.JobKey(hall, o.Identity)
	op := table.Op{
		Priority: table.Accept,
		Checks:   []table.Check{{Key: requestKey, Version: version}, {Key: jobKey}},
		Writes:   []table.Write{table.Put(requestKey, job.Record(hall)), table.Put(jobKey, job)},
	}
	limit := acceptWithin
	if o.Submission.OnOutage == "refuse" {
		limit = refuseWithin
	}
	within, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
	defer cancel()
	_, err := in.Committer.Do(within, op)
	switch {
	case err == nil:
		in.note(o.Identity, "", "accepted for "+hall)
		in.News(settlement.HallPrefix(hall))
		return request.Reply{Outcome: request.Accepted}
	case errors.Is(err, table.ErrQueueFull):
		return in.refuse(ctx, o, "too much waits for the table")
	case errors.Is(err, table.ErrUnavailable):
		return in.refuse(ctx, o, "the table is out")
	}
	return in.afterConflict(ctx, o, err)
}

// placedBook remembers what this box sent to halls since they last told their load.
type placedBook struct {
	mu   sync.Mutex
	sent map[string]int // Accelerators by hall.
	at   time.Time
}

// placedFor is how long sent work is added to a hall's load, until its preferred box tells a new one.
const placedFor = time.Second

func (p *placedBook) add(hall string, accelerators int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sent == nil || time.Since(p.at) > placedFor {
		p.sent = map[string]int{}
		p.at = time.Now()
	}
	p.sent[hall] += accelerators
}

func (p *placedBook) get(hall string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Since(p.at) > placedFor {
		return 0
	}
	return p.sent[hall]
}

// chooseHall returns the hall where a gang should start the soonest, or an empty name where none could ever hold it.
func (in *Intake) chooseHall(s request.Submission, told []link.Load) string {
	site, orders := in.Config.Site(), in.Config.Orders()
	loads := map[string]link.Load{}
	for _, l := range told {
		loads[l.Hall] = l
	}
	best, bestScore := "", 0.0
	for _, h := range site.Halls {
		if !in.holds(site, h, s) || orders.Drained("hall", h.Name) {
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

// holds reports whether a hall could ever run a gang: in an empty rack, and where the gang may neither be cut nor
// repeated, on devices that nobody can reclaim.
func (in *Intake) holds(site *contract.Site, h contract.Hall, s request.Submission) bool {
	layout := in.layout.get(site)
	for _, r := range h.Racks {
		if !r.GangFits(s.Gang, s.Shape) {
			continue
		}
		if !s.AtMostOnce || s.Checkpoints || layout.HoldsFirmly(r, s.Workspace, s.Gang, s.Shape) {
			return true
		}
	}
	return false
}

// layoutCache keeps the pledge plan of a configuration.
type layoutCache struct {
	mu      sync.Mutex
	version int64
	layout  pledge.Layout
}

func (c *layoutCache) get(site *contract.Site) pledge.Layout {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.layout == nil || c.version != site.Version {
		c.layout, _ = pledge.Plan(site, nil) // A configuration in force fits.
		c.version = site.Version
	}
	return c.layout
}

// Weights of a hall's score besides how full it is.
const (
	pledgeBonus  = 1.0 // The workspace's pledge there has room for the gang.
	noRoomMalus  = 0.5 // No rack there has room for the gang now.
	unknownMalus = 2.0 // Nobody told how full it is.
)

// score says how long a gang should wait in a hall; lower is sooner.
func (in *Intake) score(h contract.Hall, load link.Load, told bool, s request.Submission) float64 {
	need := s.Gang * s.Shape.Accelerators
	capacity := max(1, h.Capacity().Accelerators)
	sent := in.placed.get(h.Name)
	if !told {
		return unknownMalus + float64(sent)/float64(capacity)
	}
	used := load.Capacity - load.Free + load.Waiting + sent
	score := float64(used+need) / float64(max(1, load.Capacity))
	if load.PledgeFree[s.Workspace]-sent >= need && need > 0 {
		score -= pledgeBonus
	}
	room := load.Largest
	if s.AtMostOnce && !s.Checkpoints {
		room = load.Firm
	}
	if room-sent < need {
		score += noRoomMalus
	}
	return score
}

// tooMany reports whether a workspace has reached the bound of unfinished jobs in every hall.
func (in *Intake) tooMany(workspace string, loads []link.Load) bool {
	limit := in.Settings.Limits.WaitingPerSpace
	for _, l := range loads {
		if l.Unfinished[workspace] < limit {
			return false
		}
	}
	return len(loads) > 0
}
