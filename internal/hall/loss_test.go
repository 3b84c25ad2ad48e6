package hall

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/loss"
	"github.com/pulleyring/pulleyring/internal/settlement"
	"github.com/pulleyring/pulleyring/pkg/request"
)

// lossOf has the loss of an attempt's first worker judged, of a gang that was heard of there for a time.
func lossOf(k *Keeper, id string, ran time.Duration, before int, workers ...string) (counts, late bool) {
	now := time.Now()
	e := &Entry{Learned: now.Add(-ran), Job: settlement.Job{Identity: request.Identity{Caller: "clerk", ID: id}, Started: now.Add(-ran), Attempt: id, Losses: before}}
	for _, name := range workers {
		e.Seats = append(e.Seats, settlement.Seat{Worker: name})
	}
	k.watch.mu.Lock()
	k.watch.worker(workers[0]).listed[id] = now
	k.watch.mu.Unlock()
	sights := make([]settlement.Sight, len(workers))
	sights[0].Lost = true
	return k.judgeLoss(e, sights)
}

// TestLateLosses holds when the loss of a worker counts against the gang that ran there: soon after its start always, later only where it is hardly chance.
func TestLateLosses(t *testing.T) {
	for name, c := range map[string]struct {
		ran, watched time.Duration // watched is for how long ten workers were.
		lost         float64       // Of those, in that time.
		others       []string      // Workers that were lost under others a moment before.
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
			k := &Keeper{}
			k.losses.Background = loss.Background{Lost: c.lost, Watched: 10 * c.watched.Seconds()}
			for _, other := range c.others {
				lossOf(k, "of "+other, time.Minute, 0, other)
			}
			counts, late := lossOf(k, "a", c.ran, 0, "w1", "w2")
			qt.Check(t, counts, qt.Equals, c.counts)
			qt.Check(t, late, qt.Equals, c.late)
		})
	}
}

// TestLostTogether: workers that are lost within moments count once, and those of a suspect gang not at all.
func TestLostTogether(t *testing.T) {
	k := &Keeper{}
	for _, name := range []string{"w1", "w2", "w3"} {
		lossOf(k, "of "+name, time.Minute, 0, name)
	}
	qt.Check(t, k.losses.Lost, qt.Equals, 1.0)
	k = &Keeper{}
	lossOf(k, "suspect", time.Minute, 1, "w4")
	qt.Check(t, k.losses.Lost, qt.Equals, 0.0)
}
