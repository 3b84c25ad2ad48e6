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
	"github.com/pulleyring/pulleyring/internal/life"
)

// Fleet emulates the workers and their records, and checks the commands that the workers get. Make it with NewFleet.
type Fleet struct {
	MaxLease time.Duration
	GangWait time.Duration
	// EmptyWithin is the time after a hall was emptied in which work may still start there.
	EmptyWithin time.Duration
	// Observe is called with every event; it must not block or call the fleet. Set it before the first worker is
	// added.
	Observe func(e Event)

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
	reads   int // Answers to reads of the worker records.
	crashes map[job.Task]time.Duration
	crash   Crash
	lives   int // Restarts after a crash; makes names unique.
	lasts   map[job.ID]LastMoments
	// By departing worker, announced or not: the time until which it surely stays.
	dueAt  map[string]time.Time
	unsaid map[string]bool         // Workers that leave without an announcement.
	former map[string]fleet.Worker // By worker: the last record of its previous incarnation.
	untold bool                    // Workers don't report when they started.
	stops  time.Duration           // Time that a stop takes.
	drift  float64                 // Share by which the clocks of newly added workers run slow.
}

// record is a worker's record with the version at which it was last written.
type record struct {
	worker  fleet.Worker
	version int64
	gone    bool
}

// gangRun identifies a run of a gang.
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

// NewFleet returns a fleet without workers that runs until ctx ends.
func NewFleet(ctx context.Context, maxLease, gangWait time.Duration) *Fleet {
	return &Fleet{
		MaxLease: maxLease, GangWait: gangWait, ctx: ctx, workers: map[string]*worker{}, records: map[string]record{},
		changed: make(chan struct{}), gangs: map[gangRun]*gang{}, jobs: map[job.ID]*job.Request{},
		work: map[job.ID]time.Duration{}, judge: newJudge(), crashes: map[job.Task]time.Duration{}, lasts: map[job.ID]LastMoments{}, dueAt: map[string]time.Time{}, unsaid: map[string]bool{}, former: map[string]fleet.Worker{},
	}
}

// Add starts a worker and returns its first record.
func (f *Fleet) Add(w fleet.Worker) fleet.Worker {
	return f.begin(w, 0)
}

// begin starts an incarnation of a worker and returns its first record, which it writes after the time unlisted.
func (f *Fleet) begin(record fleet.Worker, unlisted time.Duration) fleet.Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := &worker{
		fleet: f, record: record, born: time.Now(), drift: f.drift, runs: map[job.Task]*activity{}, rejected: map[job.Task]int{},
		changed: make(chan struct{}), begun: make(chan struct{}, 1),
	}
	w.life = life.ID{Worker: record.ID, Born: w.born.UnixMilli()}
	if before := f.workers[record.ID]; before != nil {
		w.life.Born = max(w.life.Born, before.life.Born+1)
		w.disturbed = w.born
	}
	if !f.untold {
		w.record.Born = w.life.Born
	}
	f.workers[record.ID] = w
	go w.run(f.ctx)
	if unlisted == 0 {
		f.put(w.record, false)
		return w.record
	}
	w.listedAt = w.born.Add(unlisted)
	time.AfterFunc(unlisted, func() { f.Record(record.ID) })
	return w.record
}

// SetUntold sets whether workers that start from now on leave out their start time.
func (f *Fleet) SetUntold(untold bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.untold = untold
}

func (f *Fleet) put(w fleet.Worker, gone bool) {
	f.version++
	f.records[w.ID] = record{w, f.version, gone}
	close(f.changed)
	f.changed = make(chan struct{})
}

// SetDrift sets the share by which the clocks of workers added from now on run slow.
func (f *Fleet) SetDrift(share float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.drift = share
}

// Expect sets how long a job's tasks really run.
func (f *Fleet) Expect(r *job.Request, work time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.jobs[r.ID], f.work[r.ID] = r, work
}

// change applies a fault or a recovery to a worker.
func (f *Fleet) change(id string, do func(w *worker)) error {
	f.mu.Lock()
	w := f.workers[id]
	f.judge.disturbed = time.Now()
	f.mu.Unlock()
	if w == nil {
		return fmt.Errorf("emulator: no worker %q", id)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	do(w)
	w.disturbed = time.Now()
	return nil
}

// Crash ends a worker's incarnation with all its runs; it answers nobody any more. Its record stays until Forget.
func (f *Fleet) Crash(id string) error { return f.change(id, func(w *worker) { w.die(false) }) }

// End ends a worker's process: its connections are closed and its address refuses new ones. Its record stays until
// Forget.
func (f *Fleet) End(id string) error { return f.change(id, func(w *worker) { w.die(true) }) }

// Forget removes a worker's record.
func (f *Fleet) Forget(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.judge.disturbed = time.Now()
	f.put(f.records[id].worker, true)
}

// Record makes a worker write its record again; a dead worker writes nothing.
func (f *Fleet) Record(id string) {
	f.mu.Lock()
	w := f.workers[id]
	f.mu.Unlock()
	if w == nil || w.isDead() {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unsaid[id] || time.Now().Before(w.listedAt) {
		return
	}
	if f.records[id].worker.Born != w.record.Born {
		f.put(w.record, false) // The present record is of another incarnation.
		return
	}
	if f.records[id].gone {
		f.judge.disturbed = time.Now()
	}
	record := f.records[id].worker
	if due, said := f.dueAt[id]; said && record.Draining {
		record.Leaves = max(time.Until(due), 0)
	}
	f.put(record, false)
}

// Heartbeat makes every worker rewrite its record once per interval, one after the other, until the fleet's context
// ends. Only the time that a departing worker still stays changes in the records.
func (f *Fleet) Heartbeat(every time.Duration) {
	go func() {
		for f.ctx.Err() == nil {
			f.mu.Lock()
			ids := slices.Sorted(maps.Keys(f.records))
			f.mu.Unlock()
			if len(ids) == 0 {
				interval.Sleep(f.ctx, every)
			}
			for _, id := range ids {
				if interval.Sleep(f.ctx, every/time.Duration(len(ids))) && f.isRecorded(id) {
					f.Record(id)
				}
			}
		}
	}()
}

// isRecorded reports whether a worker has a record.
func (f *Fleet) isRecorded(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.records[id].gone
}

// RecordReads returns the number of answers to reads of the worker records.
func (f *Fleet) RecordReads() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reads
}

// Drain marks a worker's record as draining; the worker stays for the time leaves.
func (f *Fleet) Drain(id string, leaves time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.records[id].worker
	w.Draining, w.Leaves = true, leaves
	f.judge.disturbed = time.Now()
	f.dueAt[id] = time.Now().Add(leaves)
	f.put(w, false)
}

// LeaveUnsaid removes the record of a worker that leaves without an announcement and stays for a time. It writes no
// record after that.
func (f *Fleet) LeaveUnsaid(id string, stays time.Duration) {
	f.Forget(id)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dueAt[id] = time.Now().Add(stays)
	f.unsaid[id] = true
}

// isDraining reports whether a worker's last record says that it drains.
func (f *Fleet) isDraining(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.records[id].worker.Draining
}

// Fail makes all runs on a worker fail, earlier ones included, or ends this fault.
func (f *Fleet) Fail(id string, fail bool) error {
	return f.change(id, func(w *worker) { w.fails = fail })
}

// Spoil makes runs that start on a worker from now on fail, or ends this fault.
func (f *Fleet) Spoil(id string, spoil bool) error {
	return f.change(id, func(w *worker) { w.spoils = spoil })
}

// Stick stops the progress of the work on a worker, or lets it continue.
func (f *Fleet) Stick(id string, stuck bool) error {
	return f.change(id, func(w *worker) { w.stuck = stuck })
}

// Slow makes all work on a worker take n times as long.
func (f *Fleet) Slow(id string, n int) error { return f.change(id, func(w *worker) { w.slower = n }) }

// Late makes the next n commands to a worker get no answer and take effect after a default delay.
func (f *Fleet) Late(id string, n int) error { return f.LateBy(id, n, lateBy) }

// LateBy makes the next n commands to a worker get no answer and take effect after a delay.
func (f *Fleet) LateBy(id string, n int, by time.Duration) error {
	return f.change(id, func(w *worker) { w.late, w.lateBy = n, by })
}

// LateLooks makes the next n polls of a worker get no answer and take effect after a delay.
func (f *Fleet) LateLooks(id string, n int, by time.Duration) error {
	return f.change(id, func(w *worker) { w.lateLooks, w.lateLookBy = n, by })
}

// Mute makes the next n commands and polls of a worker get no answer; the commands take effect.
func (f *Fleet) Mute(id string, n int) error { return f.change(id, func(w *worker) { w.mute = n }) }

// Refuse makes a worker refuse starts, or accept them again.
func (f *Fleet) Refuse(id string, refuse bool) error {
	return f.change(id, func(w *worker) { w.refuse = refuse })
}
