package hall

import (
	"maps"
	"sync"
	"time"

	"github.com/pulleyring/pulleyring/internal/settlement"
	"github.com/pulleyring/pulleyring/internal/worker"
	"github.com/pulleyring/pulleyring/pkg/contract"
)

// Times of the watch over workers that are no settings.
const (
	renewTimeout = time.Second
	// leaseMargin is added to a lease before it counts as over, for clocks that run at slightly different speeds.
	leaseMargin = 500 * time.Millisecond
	// orphanAfter is how long an ended task without a row is left at its worker before it is forgotten there.
	orphanAfter = 20 * time.Second
	// listedFor is how long it is kept when an attempt was last listed; longer than a lost one is waited for.
	listedFor = time.Hour
)

// watched is what this box knows of one worker.
type watched struct {
	heard     time.Time // When the last report was asked for.
	clock     int64     // The worker's clock in it.
	silent    time.Time // When the first try since then had failed; zero where the last one did not fail.
	lost      bool      // Tries have failed for longer than a lease.
	usage     contract.Shape
	tasks     map[string]worker.Task
	traceless map[string]time.Time // Attempts that the worker was found to have no trace of, since when.
	listed    map[string]time.Time // When reports were asked for that listed attempts as live, the last one each.
	orphans   map[string]time.Time // Ended tasks without a row, by when they were first seen.
}

// watch keeps what the workers of a hall report.
type watch struct {
	mu      sync.Mutex
	since   time.Time // Begin of this box's watch.
	workers map[string]*watched
}

// reset forgets everything, as a box becomes preferred.
func (s *watch) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.since = time.Now()
	s.workers = map[string]*watched{}
}

func (s *watch) worker(name string) *watched {
	if s.workers == nil {
		s.workers = map[string]*watched{}
	}
	w := s.workers[name]
	if w == nil {
		w = &watched{tasks: map[string]worker.Task{}, traceless: map[string]time.Time{}, listed: map[string]time.Time{}, orphans: map[string]time.Time{}}
		s.workers[name] = w
	}
	return w
}

// take notes a report; one that was overtaken by a later one says nothing new. Ends that were listed before count also where the worker
// has no trace of them any more.
func (s *watch) take(name string, asked time.Time, report worker.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.worker(name)
	if asked.Before(w.heard) {
		return
	}
	w.heard, w.clock = asked, report.Clock
	w.silent, w.lost = time.Time{}, false
	w.usage = report.Usage
	maps.DeleteFunc(w.tasks, func(_ string, t worker.Task) bool { return !ended(t) })
	for _, t := range report.Tasks {
		w.note(t)
		if t.State.Live() {
			w.listed[t.Attempt] = asked
		}
	}
	maps.DeleteFunc(w.listed, func(_ string, last time.Time) bool { return asked.Sub(last) > listedFor })
}

// fail notes that a report could not be had. A worker is lost once a try that began more than a lease after the first failure fails
// too; the time alone says nothing, as this box may have stood still meanwhile.
func (s *watch) fail(name string, asked time.Time, lease time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.worker(name)
	if w.silent.IsZero() {
		w.silent = time.Now()
	}
	if asked.Sub(w.silent) > lease+leaseMargin {
		w.lost = true
	}
}

// takeTask notes what a worker answered to a step. It says nothing of other attempts, so it does not count as a report.
func (s *watch) takeTask(name string, t worker.Task) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.worker(name).note(t)
}

// note keeps what a worker said of an attempt, unless it is known to have ended: an answer that was overtaken may still call it live.
func (w *watched) note(t worker.Task) {
	if !ended(w.tasks[t.Attempt]) {
		w.tasks[t.Attempt] = t
	}
}

// ended reports whether a worker listed the end of a task.
func ended(t worker.Task) bool {
	return t.State != "" && t.State != worker.Unknown && !t.State.Live()
}

// task returns what a worker last said of an attempt.
func (s *watch) task(name, attempt string) worker.Task {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.worker(name).tasks[attempt]
}

// clocks returns the workers' clocks as they last reported.
func (s *watch) clocks() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make(map[string]int64, len(s.workers))
	for name, w := range s.workers {
		list[name] = w.clock
	}
	return list
}

// reachable reports whether a worker reported lately.
func (s *watch) reachable(name string, within time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.workers[name]
	return w != nil && time.Since(w.heard) <= within
}

// usage returns the usage that a worker last reported.
func (s *watch) usage(name string) contract.Shape {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w := s.workers[name]; w != nil {
		return w.usage
	}
	return contract.Shape{}
}

// bounds are the times from which sights are judged.
type bounds struct {
	fresh     time.Duration // Age up to which a report says how a live task stands.
	lease     time.Duration // Of a running gang.
	unchecked time.Duration // How long other boxes may renew an attempt that a row says to stop.
}

// sights returns what is known of the seats of an attempt.
func (s *watch) sights(e *Entry, b bounds) []settlement.Sight {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]settlement.Sight, len(e.Seats))
	for i, seat := range e.Seats {
		list[i] = s.worker(seat.Worker).sight(e, b)
	}
	return list
}

// sight returns what is known of an attempt at one worker.
func (w *watched) sight(e *Entry, b bounds) settlement.Sight {
	task := w.tasks[e.Attempt]
	if ended(task) { // It stays so.
		return settlement.Sight{Task: task, Known: true}
	}
	found := task.State.Live()
	if found {
		delete(w.traceless, e.Attempt)
	}
	asked := time.Since(w.heard) <= b.fresh && w.heard.After(e.Learned)
	if found && asked {
		return settlement.Sight{Task: task, Known: true}
	}
	if asked && w.traceless[e.Attempt].IsZero() {
		w.traceless[e.Attempt] = time.Now()
	}
	if since := w.traceless[e.Attempt]; !since.IsZero() {
		return settlement.Sight{Lost: true, Traceless: true, Expired: time.Since(since) > b.lease+leaseMargin}
	}
	return settlement.Sight{Lost: w.lost, Expired: w.lost && e.overBy(b)}
}

// overBy reports whether no box can be renewing an attempt any more, so that its lease is over: each of them reads the rows anew, or stops
// to renew once it could not do so for a while. A go that is carried out late falls into the same time.
func (e *Entry) overBy(b bounds) bool {
	return !e.Stopping.IsZero() && time.Since(e.Stopping) > b.unchecked+b.lease+leaseMargin
}

// bounds returns the times from which sights are judged.
func (k *Keeper) bounds() bounds {
	return bounds{fresh: k.fresh(), lease: k.Settings.Lease.Run, unchecked: k.Settings.Lease.Unchecked}
}

// fresh is the age up to which a worker's report says how a live task stands.
func (k *Keeper) fresh() time.Duration { return 2*k.Settings.Lease.Renew + renewTimeout }
