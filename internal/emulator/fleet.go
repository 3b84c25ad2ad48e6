package emulator

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pulleyring/pulleyring/internal/fleet"
	"github.com/pulleyring/pulleyring/internal/incarnation"
	"github.com/pulleyring/pulleyring/internal/interval"
	"github.com/pulleyring/pulleyring/internal/job"
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

	mu         sync.Mutex
	ctx        context.Context
	workers    map[string]*worker
	records    map[string]record
	version    int64
	changed    chan struct{}
	gangs      map[gangRun]*gang
	jobs       map[job.ID]*job.Request
	work       map[job.ID]time.Duration
	checker    checker
	reads      int // Answers to reads of the worker records.
	crashAfter map[job.Task]time.Duration
	crash      Crash
	restarts   int // Restarts after a crash; makes names unique.
	exits      map[job.ID]ExitMode
	runEnds    map[job.ID]RunEnd
	savedBytes int // Least size of a saved state.
	// By departing worker, announced or not: the time until which it surely stays.
	departsAt       map[string]time.Time
	unannounced     map[string]bool         // Workers that leave without an announcement.
	previousRecords map[string]fleet.Worker // By worker: the last record of its previous incarnation.
	hideStartTime   bool                    // Workers don't report when they started.
	stopDuration    time.Duration           // Time that a stop takes.
	drift           float64                 // Share by which the clocks of newly added workers run slow.
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
	broken  bool
	done    bool
}

type gangState int

const (
	gangRunning gangState = iota
	gangIncomplete
	gangBroken
	gangDone
)

// NewFleet returns a fleet without workers that runs until ctx ends.
func NewFleet(ctx context.Context, maxLease, gangWait time.Duration) *Fleet {
	return &Fleet{
		MaxLease: maxLease, GangWait: gangWait, ctx: ctx, workers: map[string]*worker{}, records: map[string]record{},
		changed: make(chan struct{}), gangs: map[gangRun]*gang{}, jobs: map[job.ID]*job.Request{},
		work: map[job.ID]time.Duration{}, checker: newChecker(), crashAfter: map[job.Task]time.Duration{}, exits: map[job.ID]ExitMode{}, departsAt: map[string]time.Time{}, unannounced: map[string]bool{}, previousRecords: map[string]fleet.Worker{},
	}
}

// Add starts a worker and returns its first record.
func (f *Fleet) Add(w fleet.Worker) fleet.Worker {
	return f.startIncarnation(w, 0)
}

// startIncarnation starts an incarnation of a worker and returns its first record, which it writes after the time
// firstRecordAfter.
func (f *Fleet) startIncarnation(record fleet.Worker, firstRecordAfter time.Duration) fleet.Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := &worker{
		fleet: f, record: record, born: time.Now(), drift: f.drift, runs: map[job.Task]*taskRun{}, rejected: map[job.Task]int{},
		changed: make(chan struct{}), runBegan: make(chan struct{}, 1),
	}
	w.incarnation = incarnation.ID{Worker: record.ID, Born: w.born.UnixMilli()}
	if before := f.workers[record.ID]; before != nil {
		w.incarnation.Born = max(w.incarnation.Born, before.incarnation.Born+1)
		w.disturbedAt = w.born
	}
	if !f.hideStartTime {
		w.record.Born = w.incarnation.Born
	}
	f.workers[record.ID] = w
	go w.run(f.ctx)
	if firstRecordAfter == 0 {
		f.put(w.record, false)
		return w.record
	}
	w.listedAt = w.born.Add(firstRecordAfter)
	time.AfterFunc(firstRecordAfter, func() { f.Record(record.ID) })
	return w.record
}

// SetHideStartTime sets whether workers that start from now on leave out their start time.
func (f *Fleet) SetHideStartTime(hide bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hideStartTime = hide
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

// SetWork sets the request of a job and how long its tasks really run.
func (f *Fleet) SetWork(r *job.Request, work time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.jobs[r.ID], f.work[r.ID] = r, work
}

// update applies a fault or a recovery to a worker.
func (f *Fleet) update(id string, apply func(w *worker)) error {
	f.mu.Lock()
	w := f.workers[id]
	f.checker.disturbedAt = time.Now()
	f.mu.Unlock()
	if w == nil {
		return fmt.Errorf("emulator: no worker %q", id)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	apply(w)
	w.disturbedAt = time.Now()
	return nil
}

// Crash ends a worker's incarnation with all its runs; it answers nobody any more. Its record stays until Forget.
func (f *Fleet) Crash(id string) error { return f.update(id, func(w *worker) { w.terminate(false) }) }

// End ends a worker's process: its connections are closed and its address refuses new ones. Its record stays until
// Forget.
func (f *Fleet) End(id string) error { return f.update(id, func(w *worker) { w.terminate(true) }) }

// Forget removes a worker's record.
func (f *Fleet) Forget(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.checker.disturbedAt = time.Now()
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
	if f.unannounced[id] || time.Now().Before(w.listedAt) {
		return
	}
	if f.records[id].worker.Born != w.record.Born {
		f.put(w.record, false) // The present record is of another incarnation.
		return
	}
	if f.records[id].gone {
		f.checker.disturbedAt = time.Now()
	}
	record := f.records[id].worker
	if due, departing := f.departsAt[id]; departing && record.Draining {
		record.TimeLeft = max(time.Until(due), 0)
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

// Drain marks a worker's record as draining; the worker stays for the time timeLeft.
func (f *Fleet) Drain(id string, timeLeft time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.records[id].worker
	w.Draining, w.TimeLeft = true, timeLeft
	f.checker.disturbedAt = time.Now()
	f.departsAt[id] = time.Now().Add(timeLeft)
	f.put(w, false)
}

// LeaveUnannounced removes the record of a worker that leaves without an announcement and stays for a time. It
// writes no record after that.
func (f *Fleet) LeaveUnannounced(id string, stays time.Duration) {
	f.Forget(id)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.departsAt[id] = time.Now().Add(stays)
	f.unannounced[id] = true
}

// isDraining reports whether a worker's last record says that it drains.
func (f *Fleet) isDraining(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.records[id].worker.Draining
}

// FailRuns makes all runs on a worker fail, earlier ones included, or ends this fault.
func (f *Fleet) FailRuns(id string, fail bool) error {
	return f.update(id, func(w *worker) { w.failsRuns = fail })
}

// FailNewRuns makes runs that start on a worker from now on fail, or ends this fault.
func (f *Fleet) FailNewRuns(id string, spoil bool) error {
	return f.update(id, func(w *worker) { w.failsNewRuns = spoil })
}

// Stall stops the progress of the work on a worker, or lets it continue.
func (f *Fleet) Stall(id string, stuck bool) error {
	return f.update(id, func(w *worker) { w.stalled = stuck })
}

// Slow makes all work on a worker take n times as long.
func (f *Fleet) Slow(id string, n int) error { return f.update(id, func(w *worker) { w.slowdown = n }) }

// DelayCommands makes the next n commands to a worker get no answer and take effect after a default delay.
func (f *Fleet) DelayCommands(id string, n int) error {
	return f.DelayCommandsBy(id, n, defaultCommandDelay)
}

// DelayCommandsBy makes the next n commands to a worker get no answer and take effect after a delay.
func (f *Fleet) DelayCommandsBy(id string, n int, by time.Duration) error {
	return f.update(id, func(w *worker) { w.delayedCommands, w.commandDelay = n, by })
}

// DelayPolls makes the next n polls of a worker get no answer and take effect after a delay.
func (f *Fleet) DelayPolls(id string, n int, by time.Duration) error {
	return f.update(id, func(w *worker) { w.delayedPolls, w.pollDelay = n, by })
}

// DropAnswers makes the next n commands and polls of a worker get no answer; the commands take effect.
func (f *Fleet) DropAnswers(id string, n int) error {
	return f.update(id, func(w *worker) { w.droppedAnswers = n })
}

// RefuseStarts makes a worker refuse starts, or accept them again.
func (f *Fleet) RefuseStarts(id string, refuse bool) error {
	return f.update(id, func(w *worker) { w.refusesStarts = refuse })
}
