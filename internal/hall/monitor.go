package hall

import (
	"maps"
	"sync"
	"time"

	"github.com/pulleyring/pulleyring/internal/settlement"
	"github.com/pulleyring/pulleyring/internal/worker"
	"github.com/pulleyring/pulleyring/pkg/contract"
)

// Time limits of monitoring workers that are not settings.
const (
	renewTimeout = time.Second
	// leaseMargin is added to a lease before it counts as expired, because clocks run at slightly different speeds.
	leaseMargin = 500 * time.Millisecond
	// orphanRetention is how long a worker keeps an ended task that no row names.
	orphanRetention = 20 * time.Second
	// lastLiveRetention is how long the time of an attempt's last live report is kept. It must be longer than the
	// wait for a lost attempt.
	lastLiveRetention = time.Hour
)

// workerRecord is what this box knows about one worker.
type workerRecord struct {
	lastReport   time.Time // When the last report was requested.
	clock        int64     // The worker's clock in the last report.
	firstFailure time.Time // When the first request since the last report failed; zero if none failed.
	lost         bool      // Requests have failed for longer than a lease.
	usage        contract.Shape
	tasks        map[string]worker.Task
	// Attempts of which the worker has no trace, with the time when that was found.
	missingSince map[string]time.Time
	// Attempts, with the request time of the last report that showed them as live.
	lastLive map[string]time.Time
	// Ended tasks without a row, with the time when they were first seen.
	orphanedSince map[string]time.Time
}

// workerMonitor keeps what the workers of a hall report.
type workerMonitor struct {
	mu      sync.Mutex
	since   time.Time // When this box began to monitor the workers.
	workers map[string]*workerRecord
}

// reset forgets all workers. It is called when this box takes over the hall.
func (m *workerMonitor) reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.since = time.Now()
	m.workers = map[string]*workerRecord{}
}

func (m *workerMonitor) worker(name string) *workerRecord {
	if m.workers == nil {
		m.workers = map[string]*workerRecord{}
	}
	w := m.workers[name]
	if w == nil {
		w = &workerRecord{tasks: map[string]worker.Task{}, missingSince: map[string]time.Time{}, lastLive: map[string]time.Time{}, orphanedSince: map[string]time.Time{}}
		m.workers[name] = w
	}
	return w
}

// recordReport records a report. It ignores a report that was requested before the last recorded one. Ends that were
// reported earlier are kept, even if the worker has no trace of them any more.
func (m *workerMonitor) recordReport(name string, asked time.Time, report worker.Report) {
	m.mu.Lock()
	defer m.mu.Unlock()
	w := m.worker(name)
	if asked.Before(w.lastReport) {
		return
	}
	w.lastReport, w.clock = asked, report.Clock
	w.firstFailure, w.lost = time.Time{}, false
	w.usage = report.Usage
	maps.DeleteFunc(w.tasks, func(_ string, t worker.Task) bool { return !ended(t) })
	for _, t := range report.Tasks {
		w.setTask(t)
		if t.State.Live() {
			w.lastLive[t.Attempt] = asked
		}
	}
	maps.DeleteFunc(w.lastLive, func(_ string, last time.Time) bool { return asked.Sub(last) > lastLiveRetention })
}

// recordFailure records a failed request for a report. A worker counts as lost once a request fails that began more
// than a lease after the first failure. The elapsed time alone does not count, because this box may have been
// suspended.
func (m *workerMonitor) recordFailure(name string, asked time.Time, lease time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	w := m.worker(name)
	if w.firstFailure.IsZero() {
		w.firstFailure = time.Now()
	}
	if asked.Sub(w.firstFailure) > lease+leaseMargin {
		w.lost = true
	}
}

// recordTask records a worker's answer to a step. It does not count as a report, because it tells nothing about
// other attempts.
func (m *workerMonitor) recordTask(name string, t worker.Task) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.worker(name).setTask(t)
}

// setTask records the state of a task, unless the task is known to have ended: an older answer may arrive late and
// still show it as live.
func (w *workerRecord) setTask(t worker.Task) {
	if !ended(w.tasks[t.Attempt]) {
		w.tasks[t.Attempt] = t
	}
}

// ended reports whether a worker reported the end of a task.
func ended(t worker.Task) bool {
	return t.State != "" && t.State != worker.Unknown && !t.State.Live()
}

// task returns the last reported state of an attempt at a worker.
func (m *workerMonitor) task(name, attempt string) worker.Task {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.worker(name).tasks[attempt]
}

// clocks returns the last reported clock of each worker.
func (m *workerMonitor) clocks() map[string]int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make(map[string]int64, len(m.workers))
	for name, w := range m.workers {
		list[name] = w.clock
	}
	return list
}

// reachable reports whether a worker reported within the given time.
func (m *workerMonitor) reachable(name string, within time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	w := m.workers[name]
	return w != nil && time.Since(w.lastReport) <= within
}

// usage returns the last reported usage of a worker.
func (m *workerMonitor) usage(name string) contract.Shape {
	m.mu.Lock()
	defer m.mu.Unlock()
	if w := m.workers[name]; w != nil {
		return w.usage
	}
	return contract.Shape{}
}

// timeLimits are the durations by which the state of an attempt at a worker is judged.
type timeLimits struct {
	reportMaxAge time.Duration // Age up to which a report counts as the state of a live task.
	lease        time.Duration // Lease of a running gang.
	rowsMaxAge   time.Duration // How long other boxes may renew leases without having refreshed their rows.
}

// workerStates returns the last observed state of an attempt at each of its workers.
func (m *workerMonitor) workerStates(j *CachedJob, b timeLimits) []settlement.WorkerState {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]settlement.WorkerState, len(j.Placements))
	for i, placement := range j.Placements {
		list[i] = m.worker(placement.Worker).state(j, b)
	}
	return list
}

// state returns the last observed state of an attempt at one worker.
func (w *workerRecord) state(j *CachedJob, b timeLimits) settlement.WorkerState {
	task := w.tasks[j.Attempt]
	if ended(task) { // An end is final.
		return settlement.WorkerState{Task: task, Known: true}
	}
	found := task.State.Live()
	if found {
		delete(w.missingSince, j.Attempt)
	}
	recent := time.Since(w.lastReport) <= b.reportMaxAge && w.lastReport.After(j.FirstSeen)
	if found && recent {
		return settlement.WorkerState{Task: task, Known: true}
	}
	if recent && w.missingSince[j.Attempt].IsZero() {
		w.missingSince[j.Attempt] = time.Now()
	}
	if since := w.missingSince[j.Attempt]; !since.IsZero() {
		return settlement.WorkerState{Lost: true, NoTrace: true, Expired: time.Since(since) > b.lease+leaseMargin}
	}
	return settlement.WorkerState{Lost: w.lost, Expired: w.lost && j.leaseExpired(b)}
}

// leaseExpired reports whether the lease of a stopping attempt has surely expired. Every other box either reads that
// the attempt must stop, or ends its renewals once its rows are older than rowsMaxAge. That time also covers a start
// command that a worker carries out late.
func (j *CachedJob) leaseExpired(b timeLimits) bool {
	return !j.StopSeen.IsZero() && time.Since(j.StopSeen) > b.rowsMaxAge+b.lease+leaseMargin
}

// timeLimits returns the time limits from the settings.
func (c *Controller) timeLimits() timeLimits {
	return timeLimits{reportMaxAge: c.reportMaxAge(), lease: c.Settings.Lease.Run, rowsMaxAge: c.Settings.Lease.Unchecked}
}

// reportMaxAge returns the age up to which a worker's report counts as the state of its live tasks.
func (c *Controller) reportMaxAge() time.Duration { return 2*c.Settings.Lease.Renew + renewTimeout }
