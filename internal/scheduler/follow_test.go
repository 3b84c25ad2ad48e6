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

// fullAnswersDirectory first returns a number of full answers, and then answers that are not full. It calls done at the
// second call without a full answer.
type fullAnswersDirectory struct {
	fullAnswers int
	callTimes   []time.Time
	done        context.CancelFunc
}

func (d *fullAnswersDirectory) Workers(context.Context) (Listing, error) {
	return Listing{}, fleet.ErrNoAnswer
}

func (d *fullAnswersDirectory) WatchWorkers(context.Context, int64, time.Duration) (Listing, error) {
	d.callTimes = append(d.callTimes, time.Now())
	if len(d.callTimes) > d.fullAnswers+1 {
		d.done()
	}
	return Listing{Workers: []fleet.Worker{{ID: "w"}}, More: len(d.callTimes) <= d.fullAnswers}, nil
}

// TestNoPauseAfterFullAnswer fails if the scheduler waits before it reads the workers' feed again after a full answer.
// The store then has further changes.
func TestNoPauseAfterFullAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, done := context.WithCancel(context.Background())
		d := &fullAnswersDirectory{fullAnswers: 3, done: done}
		h := offlineShard()
		h.Directory, h.ctx = d, ctx
		h.watchDirectory(0, feedAge{})
		h.background.Wait()
		for i := 1; i < len(d.callTimes); i++ {
			pause := time.Duration(0)
			if i > d.fullAnswers {
				pause = workersPollDelay
			}
			quicktest.Check(t, d.callTimes[i].Sub(d.callTimes[i-1]), quicktest.Equals, pause)
		}
		quicktest.Assert(t, len(d.callTimes), quicktest.Equals, d.fullAnswers+2)
	})
}

// TestAgeOfChanges fails if the remaining time of a departing worker is counted from the time at which a box read its
// record, and not from the time at which the worker wrote it. The last runs then ended in the last ms of the worker's
// process, and their ends were not reported.
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

// lateAnswersDirectory answers each call late with the changes of many workers. It delays the answers itself and does
// not wait for a change. The last answer says that worker w is departing.
type lateAnswersDirectory struct {
	answerDelays []time.Duration
	callTimes    []time.Time
}

func (d *lateAnswersDirectory) Workers(context.Context) (Listing, error) {
	return Listing{}, fleet.ErrNoAnswer
}

func (d *lateAnswersDirectory) WatchWorkers(ctx context.Context, _ int64, _ time.Duration) (Listing, error) {
	if d.callTimes = append(d.callTimes, time.Now()); len(d.callTimes) > len(d.answerDelays) {
		<-ctx.Done()
		return Listing{}, fleet.ErrNoAnswer
	}
	time.Sleep(d.answerDelays[len(d.callTimes)-1])
	leaves := len(d.callTimes) == len(d.answerDelays)
	l := Listing{Workers: []fleet.Worker{{ID: "w", Draining: leaves, TimeLeft: 3 * time.Second}}}
	for i := range maxAwaitedChanges {
		l.Workers = append(l.Workers, fleet.Worker{ID: fmt.Sprint("v", i)})
	}
	return l, nil
}

// TestLateAnswerHasOldChanges fails if the changes in a late answer count as recent although the call did not wait for
// them. With 1,100 workers and a store that rejected some boxes' calls, records 0.4 s old counted as just written.
// Departing workers were then drained too late: the ends of 60 to 90 runs were not reported, and their tasks waited 5 s
// for the leases to expire.
func TestLateAnswerHasOldChanges(t *testing.T) {
	for _, late := range []time.Duration{0, 110 * time.Millisecond, 400 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			h, w := shardWithRun()
			w.clock = 0 // No poll is sent.
			d := &lateAnswersDirectory{answerDelays: []time.Duration{0, late}}
			h.Directory, h.ctx = d, ctx
			h.background.Go(func() { h.watchDirectory(0, feedAge{}) })
			time.Sleep(5 * time.Second)
			cancel()
			h.background.Wait()
			r := w.runs[job.Task{Job: "j"}]
			quicktest.Check(t, r.stopRequested.Sub(d.callTimes[0]), quicktest.Equals, 3*time.Second-h.Bounds.StopTime-stopMargin)
		})
	}
}
