package scheduler

import (
	"context"
	"math"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"github.com/pulleyring/pulleyring/internal/fleet"
	"github.com/pulleyring/pulleyring/internal/incarnation"
	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/internal/ledger"
	"github.com/pulleyring/pulleyring/internal/queue"
	"github.com/pulleyring/pulleyring/internal/store"
	"go.uber.org/zap"
	"pgregory.net/rapid"
)

// speedsStore is a store that holds only rows of speeds. All other tables are empty.
type speedsStore struct {
	rows    []store.Row
	version int64
	delay   time.Duration // Of reads of speeds.
	err     error         // Of reads of speeds.
}

func (s *speedsStore) Commit(_ context.Context, tx *store.Transaction) (int64, error) {
	for i := range tx.Writes {
		if tx.Writes[i].Table == "speeds" {
			s.rows = append(s.rows, tx.Writes[i])
		}
	}
	s.version++
	return s.version, nil
}

func (s *speedsStore) Read(ctx context.Context, r store.Range) (store.Page, error) {
	if r.Table != "speeds" {
		return store.Page{Version: s.version}, nil
	}
	select {
	case <-time.After(s.delay):
		return store.Page{Version: s.version, Rows: s.rows}, s.err
	case <-ctx.Done():
		return store.Page{}, ctx.Err()
	}
}

func (s *speedsStore) Watch(ctx context.Context, _ string, since int64, _ time.Duration) (store.Page, error) {
	<-ctx.Done()
	return store.Page{Version: since}, ctx.Err()
}

// fixedDirectory lists the same workers in every answer.
type fixedDirectory struct{ workers []fleet.Worker }

func (d *fixedDirectory) Workers(context.Context) (Listing, error) {
	return Listing{Workers: d.workers}, nil
}

func (d *fixedDirectory) WatchWorkers(context.Context, int64, time.Duration) (Listing, error) {
	return Listing{}, fleet.ErrNoAnswer
}

// silentWorkers are workers that answer no command.
type silentWorkers struct{}

func (silentWorkers) Start(context.Context, *fleet.Worker, *fleet.Start) (int64, error) {
	return 0, fleet.ErrNoAnswer
}

func (silentWorkers) Stop(context.Context, *fleet.Worker, *fleet.Stop) (int64, error) {
	return 0, fleet.ErrNoAnswer
}

func (silentWorkers) Poll(ctx context.Context, _ *fleet.Worker, _ *fleet.Poll) (fleet.Report, error) {
	<-ctx.Done()
	return fleet.Report{}, fleet.ErrNoAnswer
}

// learnedSite returns a shard that has learned the speeds of an uneven site.
func learnedSite(t *testing.T) *speedCase {
	c := newSpeedCase()
	for _, line := range []string{"queue 0 1.5", "workers 0.6 20", "workers 1 20", "workers 1.6 20", "gangs 100 5", "used yes"} {
		quicktest.Assert(t, c.step(strings.Fields(line)), quicktest.IsNil)
	}
	return c
}

// writtenSpeeds returns the rows that a shard writes until it has none left.
func writtenSpeeds(h *shard) map[int][]ledger.Speed {
	rows := map[int][]ledger.Speed{}
	for range 3 * ledger.SpeedRowCount {
		time.Sleep(speedRowInterval)
		var b ledger.Batch
		h.collectSpeeds(&b, time.Now())
		for row, list := range b.Speeds {
			rows[row] = list
		}
	}
	return rows
}

// TestTakeoverDoesNotWaitForSpeeds fails if rows of speeds that are missing, unreadable, of another version or late
// delay a takeover or make it fail, or if readable rows are not used.
func TestTakeoverDoesNotWaitForSpeeds(t *testing.T) {
	for _, c := range []struct {
		name     string
		value    func(valid []byte) []byte // Value of each row; nil for no rows.
		delay    time.Duration
		err      error
		used     bool
		rewrites int // Number of rows that are written again.
	}{
		{name: "readable", value: func(valid []byte) []byte { return valid }, used: true},
		{name: "read after the takeover", value: func(valid []byte) []byte { return valid }, delay: 300 * time.Millisecond, used: true},
		{name: "too late", value: func(valid []byte) []byte { return valid }, delay: 5 * time.Second},
		{name: "missing"},
		{name: "refused", err: store.ErrRefused},
		{name: "truncated", value: func(valid []byte) []byte { return valid[:len(valid)/2] }, rewrites: ledger.SpeedRowCount},
		{name: "empty", value: func([]byte) []byte { return nil }, rewrites: ledger.SpeedRowCount},
		{name: "of another version", value: func(valid []byte) []byte { valid[1] = 2; return valid }, rewrites: ledger.SpeedRowCount},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				before := learnedSite(t)
				rows := &speedsStore{delay: c.delay, err: c.err}
				l := &ledger.Ledger{Store: rows, Shard: "main"}
				term, err := l.Claim(t.Context(), "box-1/a", ledger.Lease{}, time.Now())
				quicktest.Assert(t, err, quicktest.IsNil)
				written := writtenSpeeds(before.h)
				quicktest.Assert(t, written, quicktest.HasLen, ledger.SpeedRowCount)
				for row, list := range written {
					quicktest.Assert(t, term.Commit(t.Context(), &ledger.Batch{Speeds: map[int][]ledger.Speed{row: list}}), quicktest.IsNil)
				}
				for i := range rows.rows {
					if c.value != nil {
						rows.rows[i].Value = c.value(rows.rows[i].Value)
					}
				}
				if c.value == nil {
					rows.rows = nil
				}
				d := &fixedDirectory{}
				for _, id := range before.names {
					d.workers = append(d.workers, before.h.workers[id].Worker)
				}
				s := &Scheduler{Ledger: l, Directory: d, Commands: silentWorkers{}, Configuration: func() *queue.Configuration { return &before.config }, Log: zap.NewNop()}
				ctx, cancel := context.WithCancel(context.Background())
				h := newShard(ctx, s, term)
				began := time.Now()
				_, _, err = h.takeOver(ctx)
				quicktest.Check(t, err, quicktest.IsNil)
				quicktest.Check(t, time.Since(began), quicktest.Equals, time.Duration(0))
				time.Sleep(speedsReadTimeout)
				h.mu.Lock()
				h.updateSpeeds(time.Now())
				for _, id := range before.names {
					own, want := &h.workers[id].speed, 0.0
					if c.used {
						want = before.h.workers[id].speed.timeFactor
					}
					quicktest.Check(t, math.Abs(own.timeFactor-want) < 0.15, quicktest.IsTrue, quicktest.Commentf("%s: %v and %v", id, own.timeFactor, want))
				}
				quicktest.Check(t, h.speeds.rows.stale, quicktest.HasLen, c.rewrites)
				h.mu.Unlock()
				cancel()
				h.background.Wait()
			})
		})
	}
}

// TestSpeedsAreWrittenSeldom fails if rows of speeds are written more often than once in speedRowInterval, without
// need, or for a site whose workers do not differ, or if a row is lost with a batch that failed.
func TestSpeedsAreWrittenSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := learnedSite(t)
		time.Sleep(speedRowInterval)
		f := c.h.prepare(true)
		quicktest.Assert(t, f.batch.Speeds, quicktest.HasLen, 1)
		quicktest.Check(t, c.h.prepare(true).batch.Speeds, quicktest.HasLen, 0)
		time.Sleep(speedRowInterval - time.Millisecond)
		quicktest.Check(t, c.h.prepare(true).batch.Speeds, quicktest.HasLen, 0)
		c.h.restoreChanges(f)
		quicktest.Check(t, writtenSpeeds(c.h), quicktest.HasLen, ledger.SpeedRowCount)
		c.h.speeds.updatedAt = time.Time{}
		c.h.updateSpeeds(time.Now())
		quicktest.Check(t, len(writtenSpeeds(c.h)) <= 1, quicktest.IsTrue)
		quicktest.Check(t, c.h.prepare(false), quicktest.IsNil)
		moved := c.h.workers[c.names[0]]
		for range 20 {
			moved.speed.estimate.Observe(1.2*moved.speed.estimate.Factor(), 0.01, time.Now())
		}
		c.h.speeds.updatedAt = time.Time{}
		c.h.updateSpeeds(time.Now())
		quicktest.Check(t, c.h.prepare(false), quicktest.IsNil, quicktest.Commentf("a row of speeds alone must not make a commit"))
		quicktest.Check(t, writtenSpeeds(c.h)[ledger.SpeedRow(moved.ID)], quicktest.Not(quicktest.HasLen), 0)

		uniform := newSpeedCase()
		for _, line := range []string{"queue 0 1.5", "workers 1 40", "gangs 100 5"} {
			quicktest.Assert(t, uniform.step(strings.Fields(line)), quicktest.IsNil)
		}
		quicktest.Check(t, writtenSpeeds(uniform.h), quicktest.HasLen, 0)
	})
}

// TestStoredSpeedsOfOthersAreCorrected fails if rows in which the speeds of workers are swapped keep affecting
// placement.
func TestStoredSpeedsOfOthersAreCorrected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		before := learnedSite(t)
		c := newSpeedCase()
		for _, list := range writtenSpeeds(before.h) {
			for i := range list {
				n, err := strconv.Atoi(list[i].Incarnation.Worker[1:])
				quicktest.Assert(t, err, quicktest.IsNil)
				list[i].Incarnation.Worker = before.names[len(before.names)-1-n]
				c.h.restoreStored(&list[i], time.Now())
			}
		}
		for _, line := range []string{
			"queue 0 1.5", "workers 0.6 20", "workers 1 20", "workers 1.6 20",
			"used yes", "factor 0.6 1.4 1.8", "gangs 300 5", "factor 0.6 0.55 0.75", "factor 1.6 1.4 1.8",
		} {
			quicktest.Assert(t, c.step(strings.Fields(line)), quicktest.IsNil, quicktest.Commentf(line))
		}
	})
}

// TestAbsurdStoredSpeeds draws stored speeds and fails if one leads to a factor that is no positive number, to a
// takeover that panics, or to a row that can't be written.
func TestAbsurdStoredSpeeds(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		c := newSpeedCase()
		c.config.Queues = []queue.Queue{{Service: "s", Stretch: 1.1}}
		for n := range rapid.IntRange(0, 30).Draw(r, "stored") {
			c.h.restoreStored(&ledger.Speed{
				Incarnation: incarnation.ID{Worker: rapid.SampledFrom([]string{"", "w000", "w001", "w010", "w020", "x" + strconv.Itoa(n)}).Draw(r, "worker"), Born: rapid.Int64().Draw(r, "born")},
				Log:         rapid.OneOf(rapid.Int(), rapid.IntRange(-3000, 3000)).Draw(r, "log"),
				Variance:    rapid.OneOf(rapid.Int(), rapid.IntRange(-10, 300)).Draw(r, "variance"), Samples: rapid.Int().Draw(r, "samples"),
			}, time.Now())
		}
		for range 25 {
			c.addWorker("", 1)
		}
		now := time.Now()
		c.h.updateSpeeds(now)
		view := c.h.updateView(now)
		for i := range view.Workers {
			w := &view.Workers[i]
			if w.TimeFactor < 0 || math.IsNaN(w.TimeFactor) || w.TimeFactorHigh < w.TimeFactor || math.IsInf(w.TimeFactorHigh, 0) {
				r.Fatalf("%s: %v to %v", w.ID, w.TimeFactor, w.TimeFactorHigh)
			}
		}
		for row := range ledger.SpeedRowCount {
			if _, err := cbor.Marshal(c.h.speedRow(row)); err != nil {
				r.Fatal(err)
			}
		}
	})
}

// TestSpeedsForOperators fails if the list for operators lacks a worker or is not sorted, or if it is not empty on a
// box that does not hold the lease.
func TestSpeedsForOperators(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := learnedSite(t)
		quicktest.Check(t, c.h.Speeds(), quicktest.HasLen, 0)
		c.h.current.Store(c.h)
		list := c.h.Speeds()
		quicktest.Assert(t, list, quicktest.HasLen, len(c.names))
		for i, id := range c.names {
			w := c.h.workers[id]
			quicktest.Check(t, list[i], quicktest.Equals, SpeedReport{Worker: id, Rack: "r", Factor: w.speed.timeFactor, High: w.speed.timeFactorHigh, Samples: w.speed.estimate.Samples()})
		}
	})
}

// TestRestoredIncarnations fails if the speed of an earlier incarnation counts as certain for a later one, or if it is
// forgotten.
func TestRestoredIncarnations(t *testing.T) {
	h := offlineShard()
	stored := ledger.Speed{Incarnation: incarnation.ID{Worker: "w", Born: 5}, Log: 470, Variance: 12, Samples: 20}
	for _, c := range []struct {
		born    int64
		samples int
	}{{5, 20}, {6, 0}, {4, 0}, {0, 20}} {
		h.restoreStored(&stored, time.Now())
		w := workerOf(&fleet.Worker{ID: "w", Born: c.born, Capacity: job.Resources{Accelerators: 8}})
		h.speeds.restoreSpeed(w)
		own := w.speedOf()
		quicktest.Check(t, own.estimate.Log(), quicktest.Equals, 0.47)
		quicktest.Check(t, own.estimate.Samples(), quicktest.Equals, c.samples, quicktest.Commentf("born %d", c.born))
	}
}
