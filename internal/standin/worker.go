package standin

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/worker"
	"github.com/pulleyring/pulleyring/pkg/contract"
	"github.com/pulleyring/pulleyring/pkg/request"
)

// taskPayload is the part of a request's payload that the stand-ins read.
type taskPayload struct {
	WorkMS int64 `json:"work_ms"`
	Fail   bool  `json:"fail"` // Fails wherever it runs.
	// Crash crashes each worker that runs it, at the end of WorkMS, or after failAfter if WorkMS is 0. All tasks on the
	// worker end and their records are lost.
	Crash bool `json:"crash"`
}

// Answer is a stand-in's answer to a request. It lets the caller check that the answer is complete and belongs to its
// request.
type Answer struct {
	Caller  string `json:"caller"`
	ID      string `json:"id"`
	Members []int  `json:"members,omitempty"`
	Sum     uint64 `json:"sum"` // Checksum of the payload, see Sum.
}

// Sum returns the checksum of a payload that an Answer contains.
func Sum(payload json.RawMessage) uint64 { return xxhash.Sum64(payload) }

// Run records that a worker ran its part of a gang; the stand-in worker writes it.
type Run struct {
	Identity request.Identity `json:"identity"`
	Attempt  string           `json:"attempt"`
	Number   int              `json:"number"`
	Worker   string           `json:"worker"`
	Members  []int            `json:"members"`
	Gang     int              `json:"gang"`
	Began    time.Time        `json:"began"`
	Ended    time.Time        `json:"ended,omitzero"`
	State    worker.State     `json:"state"`
	From     float64          `json:"from"` // Seconds of work in the checkpoint that it resumed from.
}

// Workers implements all workers of a site in memory.
type Workers struct {
	Faults *FaultInjector
	// Disabled disables safety checks of the workers, to verify that tests detect the violations.
	Disabled DisabledChecks

	mu      sync.Mutex
	workers map[string]*workerState
}

// DisabledChecks selects safety checks of the workers to disable.
type DisabledChecks struct {
	HoldExpiry bool // An attempt may start after its hold has expired.
	StopFence  bool // An attempt may start after it was stopped.
}

// workerState is the state of one worker: its tasks, the devices they hold and the attempts that must never run.
type workerState struct {
	mu              sync.Mutex
	name            string
	startedAt       time.Time // The worker's clock counts from here; a new incarnation resets it.
	tasks           map[string]*task
	unrecorded      []*task // Tasks that still run, but whose records the worker has lost.
	fenced          map[string]bool
	runs            []*Run
	lostBeforeBegin []string // Attempts whose record was lost after the go command and before they began.
	deviceConflicts int      // Holds refused because another task held one of the devices.
}

// failAfter is the run time after which a failing task fails, or a task that crashes its worker does so if its
// payload names no run time.
const failAfter = 20 * time.Millisecond

// Hold implements worker.Service.
func (s *Workers) Hold(ctx context.Context, w contract.Worker, command worker.Order) error {
	ws, err := s.reachable(ctx, w.Name)
	if err != nil {
		return err
	}
	ws.mu.Lock()
	defer ws.mu.Unlock()
	ws.advance(time.Now())
	if ws.fenced[command.Attempt] {
		return errors.Wrap(worker.ErrRefused, "stopped before")
	}
	if t := ws.tasks[command.Attempt]; t != nil {
		return nil // A repeated command.
	}
	for _, t := range ws.tasks {
		if t.state.Live() && slices.ContainsFunc(t.Devices, func(d int) bool { return slices.Contains(command.Devices, d) }) {
			ws.deviceConflicts++
			return errors.Wrap(worker.ErrRefused, "devices are held")
		}
	}
	ws.tasks[command.Attempt] = &task{Order: command, state: worker.Held, leaseEnd: leaseEndAfter(command.LeaseMS)}
	return nil
}

func leaseEndAfter(ms int64) time.Time { return time.Now().Add(time.Duration(ms) * time.Millisecond) }

// Step implements worker.Service.
func (s *Workers) Step(ctx context.Context, w contract.Worker, verb worker.Verb, attempt string, lease time.Duration) (worker.Task, error) {
	ws, err := s.reachable(ctx, w.Name)
	if err != nil {
		return worker.Task{}, err
	}
	ws.mu.Lock()
	defer ws.mu.Unlock()
	now := time.Now()
	ws.advance(now)
	t := ws.tasks[attempt]
	if verb == worker.Stop {
		return ws.stop(attempt, t, now), nil
	}
	if t == nil {
		return worker.Task{}, errors.Wrap(worker.ErrRefused, "unknown attempt")
	}
	if !s.step(ws, t, verb, lease, now) {
		return t.report(now), errors.Wrapf(worker.ErrRefused, "can't %s what is %s", verb, t.state)
	}
	return t.report(now), nil
}

func (s *Workers) step(ws *workerState, t *task, verb worker.Verb, lease time.Duration, now time.Time) bool {
	switch verb {
	case worker.Arm:
		s.rearmIfUnchecked(ws, t, now)
		if t.state != worker.Held {
			return t.state == worker.Armed || t.state == worker.Going || t.state == worker.Running
		}
		t.state = worker.Armed
	case worker.Go:
		s.rearmIfUnchecked(ws, t, now)
		if t.state != worker.Armed {
			return t.state == worker.Going || t.state == worker.Running || t.state == worker.Finished || t.state == worker.Failed
		}
		s.setRunTime(ws, t)
		t.state = worker.Going
		t.began = now.Add(worker.BeginDelay)
		t.leaseEnd = now.Add(lease)
	case worker.Checkpoint:
		if t.state == worker.Running && !t.paused {
			t.checkpointSeconds = t.From + now.Sub(t.began).Seconds()
			t.paused = true
		}
		return t.state == worker.Running
	case worker.Throttle:
		return t.state == worker.Running
	}
	return true
}

// rearmIfUnchecked arms a refused task again if the check that refused it is disabled.
func (s *Workers) rearmIfUnchecked(ws *workerState, t *task, now time.Time) {
	if t.state != worker.Refused {
		return
	}
	stopped := ws.fenced[t.Attempt]
	if stopped && s.Disabled.StopFence || !stopped && s.Disabled.HoldExpiry {
		t.state = worker.Armed
		t.leaseEnd = now.Add(time.Hour)
	}
}

// setRunTime sets a task's run time and whether it will fail or crash its worker.
func (s *Workers) setRunTime(ws *workerState, t *task) {
	var body taskPayload
	_ = json.Unmarshal(t.Payload, &body) // A payload of another form means a run time of 0.
	t.runTime = time.Duration(body.WorkMS)*time.Millisecond - time.Duration(t.From*float64(time.Second))
	t.willFail = body.Fail || slices.Contains(s.Faults.Get().FailWorkers, ws.name)
	t.willCrash = body.Crash
	if t.willFail || t.willCrash && body.WorkMS == 0 {
		t.runTime = failAfter
	}
}

// stop ends a task and fences its attempt, so that the attempt never starts later, even if the worker doesn't know it
// yet.
func (ws *workerState) stop(attempt string, t *task, now time.Time) worker.Task {
	ws.fenced[attempt] = true
	if t == nil {
		return worker.Task{Attempt: attempt, State: worker.Unknown}
	}
	switch t.state {
	case worker.Held, worker.Armed, worker.Going:
		t.state = worker.Refused
	case worker.Running:
		t.end(worker.Stopped, now)
	}
	return t.report(now)
}

// Renew implements worker.Service.
func (s *Workers) Renew(ctx context.Context, w contract.Worker, renewal worker.Renewal) (worker.Report, error) {
	ws, err := s.reachable(ctx, w.Name)
	if err != nil {
		return worker.Report{}, err
	}
	ws.mu.Lock()
	defer ws.mu.Unlock()
	now := time.Now()
	ws.advance(now)
	for _, attempt := range renewal.Attempts {
		if t := ws.tasks[attempt]; t != nil && t.state.Live() {
			t.extend(ws.timeOfReading(renewal.Clock, now), renewal.LeaseMS)
		}
	}
	for _, attempt := range renewal.Forget {
		if t := ws.tasks[attempt]; t != nil && !t.state.Live() {
			delete(ws.tasks, attempt)
			ws.fenced[attempt] = true
		}
	}
	report := worker.Report{Clock: ws.clock(now)}
	for _, t := range ws.tasks {
		report.Tasks = append(report.Tasks, t.report(now))
		if t.state == worker.Running {
			report.Usage = report.Usage.Add(t.Shape.Times(len(t.Members)))
		}
	}
	return report, nil
}

// reachable returns a worker's state. A worker that the faults make unreachable gets an error; its tasks are stopped
// and removed.
func (s *Workers) reachable(ctx context.Context, name string) (*workerState, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	ws := s.worker(name)
	if !slices.Contains(s.Faults.Get().LostWorkers, name) {
		return ws, nil
	}
	ws.mu.Lock()
	defer ws.mu.Unlock()
	now := time.Now()
	ws.advance(now)
	for attempt, t := range ws.tasks {
		if t.state == worker.Running {
			t.end(worker.Stopped, now)
		}
		delete(ws.tasks, attempt)
		ws.fenced[attempt] = true
	}
	return nil, errors.New("standin: the worker can't be reached")
}

// LoseRecords makes a worker lose the records of all its tasks, as when its worker process is replaced. Running tasks
// continue until they finish or their lease expires.
func (s *Workers) LoseRecords(name string) {
	ws := s.worker(name)
	ws.mu.Lock()
	defer ws.mu.Unlock()
	now := time.Now()
	ws.advance(now)
	ws.startedAt = now
	for attempt, t := range ws.tasks {
		ws.unrecorded = append(ws.unrecorded, t)
		if t.state == worker.Going {
			ws.lostBeforeBegin = append(ws.lostBeforeBegin, attempt)
		}
		delete(ws.tasks, attempt)
	}
}

func (s *Workers) worker(name string) *workerState {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.workers == nil {
		s.workers = map[string]*workerState{}
	}
	ws := s.workers[name]
	if ws == nil {
		ws = &workerState{name: name, startedAt: time.Now(), tasks: map[string]*task{}, fenced: map[string]bool{}}
		s.workers[name] = ws
	}
	return ws
}

// Runs returns the run records of all workers as of now, ordered by start.
func (s *Workers) Runs() []Run {
	s.mu.Lock()
	workers := make([]*workerState, 0, len(s.workers))
	for _, ws := range s.workers {
		workers = append(workers, ws)
	}
	s.mu.Unlock()
	var list []Run
	for _, ws := range workers {
		ws.mu.Lock()
		ws.advance(time.Now())
		for _, r := range ws.runs {
			list = append(list, *r)
		}
		ws.mu.Unlock()
	}
	slices.SortFunc(list, func(a, b Run) int { return a.Began.Compare(b.Began) })
	return list
}

// LostBeforeBegin returns the attempts that lost a worker, or its record of them, between its go command and their
// beginning. The other workers of the gang can't be kept from beginning then, so such a gang may run in part.
func (s *Workers) LostBeforeBegin() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []string
	for _, ws := range s.workers {
		ws.mu.Lock()
		list = append(list, ws.lostBeforeBegin...)
		ws.mu.Unlock()
	}
	return list
}
