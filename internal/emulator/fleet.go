package emulator

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pulleyring/pulleyring/internal/fleet"
	"github.com/pulleyring/pulleyring/internal/interval"
	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/internal/scheduler"
)

// Fleet is the workers with their records, and the judge of what they were ordered. Make it with NewFleet.
type Fleet struct {
	MaxLease time.Duration
	GangWait time.Duration

	mu      sync.Mutex
	ctx     context.Context
	workers map[string]*worker
	records map[string]record
	version int64
	changed chan struct{}
	gangs   map[gangRun]*gang
	jobs    map[job.ID]*job.Request
	work    map[job.ID]time.Duration
	judge   judge
	reads   int // Answers to those who follow the records.
}

// record is a worker's entry as of a version.
type record struct {
	worker  fleet.Worker
	version int64
	gone    bool
}

// gangRun names a run of a gang.
type gangRun struct {
	job    job.ID
	group  job.Group
	number int
}

type gang struct {
	size    int
	present map[int]bool
	over    bool
	done    bool
}

type gangState int

const (
	gangRunning gangState = iota
	gangIncomplete
	gangOver
	gangDone
)

// NewFleet returns a fleet without workers that lives until ctx ends.
func NewFleet(ctx context.Context, maxLease, gangWait time.Duration) *Fleet {
	return &Fleet{
		MaxLease: maxLease, GangWait: gangWait, ctx: ctx, workers: map[string]*worker{}, records: map[string]record{},
		changed: make(chan struct{}), gangs: map[gangRun]*gang{}, jobs: map[job.ID]*job.Request{},
		work: map[job.ID]time.Duration{}, judge: newJudge(),
	}
}

// Add starts a worker.
func (f *Fleet) Add(w fleet.Worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	life := &worker{
		fleet: f, record: w, born: time.Now(), runs: map[job.Task]*activity{}, rejected: map[job.Task]int{}, changed: make(chan struct{}),
	}
	f.workers[w.ID] = life
	f.put(w, false)
	go life.run(f.ctx)
}

func (f *Fleet) put(w fleet.Worker, gone bool) {
	f.version++
	f.records[w.ID] = record{w, f.version, gone}
	close(f.changed)
	f.changed = make(chan struct{})
}

// Expect tells the fleet how long a job's tasks really take.
func (f *Fleet) Expect(r *job.Request, work time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.jobs[r.ID], f.work[r.ID] = r, work
}

// change changes a worker's condition.
func (f *Fleet) change(id string, do func(w *worker)) error {
	f.mu.Lock()
	w := f.workers[id]
	f.mu.Unlock()
	if w == nil {
		return fmt.Errorf("emulator: no worker %q", id)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	do(w)
	return nil
}

// Crash ends a life: everything on it is gone and nobody is answered. Its record goes only when it is forgotten.
func (f *Fleet) Crash(id string) error {
	return f.change(id, func(w *worker) {
		w.dead = true
		f.leased(w, time.Time{})
		for _, a := range w.sorted() {
			delete(w.runs, a.task)
			f.ended(w, a, job.Lapsed)
		}
	})
}

// End ends a worker's process: its connections are closed, its address refuses, and its record stays until it is forgotten.
func (f *Fleet) End(id string) error {
	if err := f.Crash(id); err != nil {
		return err
	}
	return f.change(id, func(w *worker) {
		w.over = true
		w.notify()
	})
}

// Forget removes a worker's record.
func (f *Fleet) Forget(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.put(f.records[id].worker, true)
}

// Record puts a worker's record back.
func (f *Fleet) Record(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.put(f.records[id].worker, false)
}

// Heartbeat writes every worker's record anew at an interval, one worker after the other, until the fleet's context ends.
// Nothing in the records changes.
func (f *Fleet) Heartbeat(every time.Duration) {
	f.mu.Lock()
	ids := slices.Sorted(maps.Keys(f.records))
	f.mu.Unlock()
	go func() {
		for n := 0; interval.Sleep(f.ctx, every/time.Duration(len(ids))); n++ {
			f.Record(ids[n%len(ids)])
		}
	}()
}

// RecordReads is how many answers those who follow the records got.
func (f *Fleet) RecordReads() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reads
}

// Drain marks a worker's record as draining.
func (f *Fleet) Drain(id string, leaves time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.records[id].worker
	w.Draining, w.Leaves = true, leaves
	f.put(w, false)
}

// Cut makes a worker run on without answering, or answer again.
func (f *Fleet) Cut(id string, cut bool) error { return f.change(id, func(w *worker) { w.cut = cut }) }

// Fail makes everything that starts on a worker fail, or ends that.
func (f *Fleet) Fail(id string, fail bool) error {
	return f.change(id, func(w *worker) { w.fails = fail })
}

// Stick makes the work on a worker stand still, or go on.
func (f *Fleet) Stick(id string, stuck bool) error {
	return f.change(id, func(w *worker) { w.stuck = stuck })
}

// Slow makes all work on a worker take n times as long.
func (f *Fleet) Slow(id string, n int) error { return f.change(id, func(w *worker) { w.slower = n }) }

// Late lets the next n orders to a worker go unanswered and be carried out late.
func (f *Fleet) Late(id string, n int) error { return f.change(id, func(w *worker) { w.late = n }) }

// Mute lets the next n orders to a worker be carried out without an answer.
func (f *Fleet) Mute(id string, n int) error { return f.change(id, func(w *worker) { w.mute = n }) }

// Refuse makes a worker refuse starts, or take them again.
func (f *Fleet) Refuse(id string, refuse bool) error {
	return f.change(id, func(w *worker) { w.refuse = refuse })
}

// For returns the fleet as one box sees it.
func (f *Fleet) For(gate *Gate) *View { return &View{f, gate} }

// View is a fleet as one box sees it; it implements fleet.Orders and scheduler.Directory.
type View struct {
	fleet *Fleet
	gate  *Gate
}

// orderLatency is how long an order is under way.
const orderLatency = time.Millisecond

// reach finds the worker of an order and waits for the order's turn.
func (v *View) reach(ctx context.Context, target *fleet.Worker) (*worker, error) {
	if !v.gate.pass(ctx) || !interval.Sleep(ctx, orderLatency) {
		return nil, fleet.ErrNoAnswer
	}
	v.fleet.mu.Lock()
	w := v.fleet.workers[target.ID]
	v.fleet.mu.Unlock()
	if w == nil {
		<-ctx.Done()
		return nil, fleet.ErrNoAnswer
	}
	return w, nil
}

// order carries an order out, at once or late.
func (v *View) order(ctx context.Context, target *fleet.Worker, do func(w *worker) error) (int64, error) {
	w, err := v.reach(ctx, target)
	if err != nil {
		return 0, err
	}
	w.mu.Lock()
	if w.over {
		w.mu.Unlock()
		return 0, fleet.ErrNotListening
	}
	if w.late > 0 {
		w.late--
		w.mu.Unlock()
		time.AfterFunc(lateBy, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			_ = do(w) // Nobody hears the answer.
		})
		<-ctx.Done()
		return 0, fleet.ErrNoAnswer
	}
	err = do(w)
	clock := w.clock()
	if w.mute > 0 {
		w.mute--
		err = fleet.ErrNoAnswer
	}
	w.mu.Unlock()
	if err == fleet.ErrNoAnswer {
		<-ctx.Done()
		return 0, err
	}
	if !v.gate.pass(ctx) {
		return 0, fleet.ErrNoAnswer
	}
	return clock, err
}

// Start implements fleet.Orders.
func (v *View) Start(ctx context.Context, target *fleet.Worker, o *fleet.Start) (int64, error) {
	return v.order(ctx, target, func(w *worker) error { return w.start(o) })
}

// Stop implements fleet.Orders.
func (v *View) Stop(ctx context.Context, target *fleet.Worker, o *fleet.Stop) (int64, error) {
	return v.order(ctx, target, func(w *worker) error { return w.stop(o) })
}

// Look implements fleet.Orders.
func (v *View) Look(ctx context.Context, target *fleet.Worker, o *fleet.Look) (fleet.Report, error) {
	w, err := v.reach(ctx, target)
	if err != nil {
		return fleet.Report{}, err
	}
	if w.muted() {
		<-ctx.Done()
		return fleet.Report{}, fleet.ErrNoAnswer
	}
	over, stop := interval.After(o.Wait)
	defer stop()
	for first := true; ; first = false {
		w.mu.Lock()
		report, err := w.report(o)
		changed, ended := w.changed, w.over
		w.mu.Unlock()
		if ended {
			return report, lookAtEnded(first)
		}
		if err == fleet.ErrNoAnswer {
			<-ctx.Done()
			return report, err
		}
		if err != nil || len(report.Ended) > 0 || o.Wait == 0 || !first {
			if !v.gate.pass(ctx) {
				return fleet.Report{}, fleet.ErrNoAnswer
			}
			return report, err
		}
		select {
		case <-ctx.Done():
			return fleet.Report{}, fleet.ErrNoAnswer
		case <-over:
		case <-changed:
		}
	}
}

// lookAtEnded is how a look ends whose worker's process has ended: before it was sent, or while it waited.
func lookAtEnded(before bool) error {
	if before {
		return fleet.ErrNotListening
	}
	return fleet.ErrHungUp
}

// muted reports whether a look gets no answer, and counts it.
func (w *worker) muted() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.mute == 0 {
		return false
	}
	w.mute--
	return true
}

// Workers implements scheduler.Directory.
func (v *View) Workers(ctx context.Context) (scheduler.Listing, error) {
	if !v.gate.pass(ctx) || !interval.Sleep(ctx, storeLatency) {
		return scheduler.Listing{}, fleet.ErrNoAnswer
	}
	l, _ := v.fleet.since(-1)
	l.Gone = nil
	return l, nil
}

// WatchWorkers implements scheduler.Directory.
func (v *View) WatchWorkers(ctx context.Context, since int64, wait time.Duration) (scheduler.Listing, error) {
	if !v.gate.pass(ctx) {
		return scheduler.Listing{}, fleet.ErrNoAnswer
	}
	over, stop := interval.After(wait)
	defer stop()
	for {
		l, changed := v.fleet.since(since)
		if len(l.Workers)+len(l.Gone) > 0 {
			return l, nil
		}
		select {
		case <-ctx.Done():
			return l, fleet.ErrNoAnswer
		case <-over:
			return l, nil
		case <-changed:
		}
	}
}

func (f *Fleet) since(version int64) (scheduler.Listing, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := scheduler.Listing{Version: f.version}
	f.reads++
	for id, r := range f.records {
		switch {
		case r.version <= version:
		case r.gone:
			l.Gone = append(l.Gone, id)
		default:
			l.Workers = append(l.Workers, r.worker)
		}
	}
	return l, f.changed
}
