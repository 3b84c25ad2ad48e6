package hall

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/loss"
	"github.com/pulleyring/pulleyring/internal/settlement"
	"github.com/pulleyring/pulleyring/pkg/request"
)

// classifyTestLoss classifies the loss of the first worker of an attempt that has run for a given time.
func classifyTestLoss(c *Controller, id string, ran time.Duration, before int, workers ...string) (counts, late bool) {
	now := time.Now()
	j := &CachedJob{FirstSeen: now.Add(-ran), Job: settlement.Job{Identity: request.Identity{Caller: "clerk", ID: id}, Started: now.Add(-ran), Attempt: id, Losses: before}}
	for _, name := range workers {
		j.Placements = append(j.Placements, settlement.Placement{Worker: name})
	}
	c.monitor.mu.Lock()
	c.monitor.worker(workers[0]).lastLive[id] = now
	c.monitor.mu.Unlock()
	states := make([]settlement.WorkerState, len(workers))
	states[0].Lost = true
	return c.classifyLoss(j, states)
}

// TestLossAttribution guards against jobs that are blamed for workers lost to another cause, and against jobs that
// crash workers without being blamed. An early loss always counts; a late one only if chance hardly explains it.
func TestLossAttribution(t *testing.T) {
	for name, c := range map[string]struct {
		ran, watched time.Duration // How long the attempt ran, and how long ten workers were monitored.
		lost         float64       // How many of these ten workers were lost in that time.
		others       []string      // Workers of other jobs that were lost a moment before.
		counts, late bool
	}{
		"at once":                            {ran: time.Second, lost: 1000, counts: true},
		"late, nothing else":                 {ran: time.Minute, watched: time.Hour, counts: true, late: true},
		"late, where workers are lost often": {ran: 10 * time.Minute, watched: time.Hour, lost: 60, late: true},
		"hours, where they are lost seldom":  {ran: 2 * time.Hour, watched: 48 * time.Hour, lost: 1, counts: true, late: true},
		"late, with three others":            {ran: time.Minute, watched: time.Hour, others: []string{"x", "y", "z"}, late: true},
		"late, with two others":              {ran: time.Minute, watched: time.Hour, others: []string{"x", "y"}, counts: true, late: true},
	} {
		t.Run(name, func(t *testing.T) {
			controller := &Controller{}
			controller.losses.Background = loss.Background{Lost: c.lost, Watched: 10 * c.watched.Seconds()}
			for _, other := range c.others {
				classifyTestLoss(controller, "of "+other, time.Minute, 0, other)
			}
			counts, late := classifyTestLoss(controller, "a", c.ran, 0, "w1", "w2")
			qt.Check(t, counts, qt.Equals, c.counts)
			qt.Check(t, late, qt.Equals, c.late)
		})
	}
}

// TestSimultaneousLossesCountOnce fails if workers that are lost within moments count as several background losses,
// or if the loss of a suspect gang counts as one at all.
func TestSimultaneousLossesCountOnce(t *testing.T) {
	c := &Controller{}
	for _, name := range []string{"w1", "w2", "w3"} {
		classifyTestLoss(c, "of "+name, time.Minute, 0, name)
	}
	qt.Check(t, c.losses.Lost, qt.Equals, 1.0)
	c = &Controller{}
	classifyTestLoss(c, "suspect", time.Minute, 1, "w4")
	qt.Check(t, c.losses.Lost, qt.Equals, 0.0)
}
