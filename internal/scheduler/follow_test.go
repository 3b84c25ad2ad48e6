package scheduler

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/fleet"
	"github.com/pulleyring/pulleyring/internal/job"
)

// fullDirectory returns a number of full answers and then others that are not full. It calls done when asked again
// after the first of those.
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

// TestNoPauseAfterFullAnswer fails if the scheduler pauses after a full answer about workers, while further
// changes wait at the store.
func TestNoPauseAfterFullAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, done := context.WithCancel(context.Background())
		d := &fullDirectory{full: 3, done: done}
		h := offlineShard()
		h.Directory, h.ctx = d, ctx
		h.watchDirectory(0, feedAge{})
		h.background.Wait()
		for i := 1; i < len(d.asked); i++ {
			pause := time.Duration(0)
			if i > d.full {
				pause = workersPollDelay
			}
			quicktest.Check(t, d.asked[i].Sub(d.asked[i-1]), quicktest.Equals, pause)
		}
		quicktest.Assert(t, len(d.asked), quicktest.Equals, d.full+2)
	})
}

// TestAgeOfChanges fails if the remaining time of a departing worker is counted from when a box read its record, not
// from when the worker wrote it. The last runs then ended in the last ms of the worker's process, and their ends were
// not reported.
func TestAgeOfChanges(t *testing.T) {
	const ms = time.Millisecond
	begin := time.Now()
	at := func(d time.Duration) time.Time { return begin.Add(d) }
	age := feedAge{at(0)}
	for _, c := range []struct {
		name        string
		began, came time.Duration
		news        int
		more        bool
		want        time.Duration
	}{
		{"answered at once: written since the last read began", 300 * ms, 305 * ms, 9, false, 0},
		{"answered when there was something", 600 * ms, 1600 * ms, 1, false, 1500 * ms},
		{"at once after that", 1900 * ms, 1905 * ms, 9, false, 1500 * ms},
		{"full", 2200 * ms, 2205 * ms, 500, true, 1900 * ms},
		{"what a full answer left out", 2205 * ms, 2210 * ms, 9, false, 1900 * ms},
		{"after all was read", 2510 * ms, 2515 * ms, 9, false, 2205 * ms},
		{"full, and long under way: it did not wait", 2900 * ms, 3600 * ms, 500, true, 2510 * ms},
		{"what that left out", 3600 * ms, 3610 * ms, 9, false, 2510 * ms},
		{"much news, long under way: it did not wait", 3910 * ms, 4100 * ms, 200, false, 3600 * ms},
		{"after that", 4400 * ms, 4405 * ms, 1, false, 3910 * ms},
	} {
		quicktest.Check(t, age.record(at(c.began), at(c.came), c.news, c.more), quicktest.Equals, at(c.want), quicktest.Commentf(c.name))
	}
}

// lateDirectory answers each call after a given time, without having waited for a change, with the changes of many
// workers. The last answer says that worker w is departing.
type lateDirectory struct {
	takes []time.Duration
	asked []time.Time
}

func (d *lateDirectory) Workers(context.Context) (Listing, error) {
	return Listing{}, fleet.ErrNoAnswer
}

func (d *lateDirectory) WatchWorkers(ctx context.Context, _ int64, _ time.Duration) (Listing, error) {
	if d.asked = append(d.asked, time.Now()); len(d.asked) > len(d.takes) {
		<-ctx.Done()
		return Listing{}, fleet.ErrNoAnswer
	}
	time.Sleep(d.takes[len(d.asked)-1])
	leaves := len(d.asked) == len(d.takes)
	l := Listing{Workers: []fleet.Worker{{ID: "w", Draining: leaves, TimeLeft: 3 * time.Second}}}
	for i := range maxAwaitedChanges {
		l.Workers = append(l.Workers, fleet.Worker{ID: fmt.Sprint("v", i)})
	}
	return l, nil
}

// TestLateAnswerHasOldChanges fails if a late answer to a call that did not wait counts as recent changes. With 1,100
// workers and a store that rejected some boxes' calls, records 0.4 s old counted as just written: workers were
// drained so late that the ends of 60 to 90 runs were not reported and waited 5 s for the leases to expire.
func TestLateAnswerHasOldChanges(t *testing.T) {
	for _, late := range []time.Duration{0, 110 * time.Millisecond, 400 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			h, w := shardWithRun()
			w.clock = 0 // No poll is sent.
			d := &lateDirectory{takes: []time.Duration{0, late}}
			h.Directory, h.ctx = d, ctx
			h.background.Go(func() { h.watchDirectory(0, feedAge{}) })
			time.Sleep(5 * time.Second)
			cancel()
			h.background.Wait()
			r := w.runs[job.Task{Job: "j"}]
			quicktest.Check(t, r.stopRequested.Sub(d.asked[0]), quicktest.Equals, 3*time.Second-h.Bounds.StopTime-stopMargin)
		})
	}
}
