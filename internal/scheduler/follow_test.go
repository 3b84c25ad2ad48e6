package scheduler

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/fleet"
)

// fullDirectory has so many full answers before the last one, which comes after the others were taken in.
type fullDirectory struct {
	full  int
	asked []time.Time
	done  context.CancelFunc
}

func (d *fullDirectory) Workers(context.Context) (Listing, error) {
	return Listing{}, fleet.ErrNoAnswer
}

func (d *fullDirectory) WatchWorkers(context.Context, int64, time.Duration) (Listing, error) {
	d.asked = append(d.asked, time.Now())
	if len(d.asked) > d.full+1 {
		d.done()
	}
	return Listing{Workers: []fleet.Worker{{ID: "w"}}, More: len(d.asked) <= d.full}, nil
}

// TestFullAnswersAreFollowedAtOnce: while the answers about workers are full, news of them waits at the store.
func TestFullAnswersAreFollowedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, done := context.WithCancel(context.Background())
		d := &fullDirectory{full: 3, done: done}
		h := keptShard()
		h.Directory, h.ctx = d, ctx
		h.followWorkers(0)
		h.ordering.Wait()
		for i := 1; i < len(d.asked); i++ {
			pause := time.Duration(0)
			if i > d.full {
				pause = workersPause
			}
			quicktest.Check(t, d.asked[i].Sub(d.asked[i-1]), quicktest.Equals, pause)
		}
		quicktest.Assert(t, len(d.asked), quicktest.Equals, d.full+2)
	})
}
