package standin

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/upstream"
	"github.com/pulleyring/pulleyring/pkg/contract"
	"github.com/pulleyring/pulleyring/pkg/request"
)

// Sizes of an executor.
const (
	executorSlots       = 8
	executorConnections = 60
)

// Executors are the executors of a site.
type Executors struct {
	Faults *FaultBox

	mu        sync.Mutex
	executors map[string]*executor
	runs      []Served
	stats     ExecutorStats
}

// ExecutorStats counts what the executors were asked.
type ExecutorStats struct {
	Calls   int64 `json:"calls"`
	Refused int64 `json:"refused"` // Over the connections, or by fault.
}

// Served is one call that an executor really ran.
type Served struct {
	Identity request.Identity `json:"identity"`
	Attempt  string           `json:"attempt"`
	Upstream string           `json:"upstream"`
	Began    time.Time        `json:"began"`
}

type executor struct {
	mu       sync.Mutex
	slots    chan struct{}
	open     int
	attempts map[string]*call
	since    time.Time // From when on it knows all its calls; zero from ever.
}

type call struct {
	fate   upstream.Fate
	answer upstream.Answer
}

// Run implements upstream.Service.
func (s *Executors) Run(ctx context.Context, u contract.Upstream, c upstream.Call) (upstream.Answer, error) {
	faults := s.Faults.Get()
	e := s.executor(u.Name)
	if slices.Contains(faults.FailUpstreams, u.Name) {
		s.count(true)
		return upstream.Answer{}, errors.Wrap(upstream.ErrNotRun, "refused")
	}
	if err := e.enter(c.Attempt); err != nil {
		s.count(true)
		return upstream.Answer{}, err
	}
	s.count(false)
	defer e.leave()
	select {
	case e.slots <- struct{}{}:
	case <-ctx.Done():
		e.set(c.Attempt, upstream.Never, upstream.Answer{})
		return upstream.Answer{}, ctx.Err()
	}
	defer func() { <-e.slots }()
	if !e.begin(c.Attempt) {
		return upstream.Answer{}, errors.Wrap(upstream.ErrNotRun, "stopped before")
	}
	return s.serve(ctx, u, c, e, faults)
}

func (s *Executors) serve(ctx context.Context, u contract.Upstream, c upstream.Call, e *executor, faults Faults) (upstream.Answer, error) {
	s.record(Served{Identity: c.Identity, Attempt: c.Attempt, Upstream: u.Name, Began: time.Now()})
	var body work
	_ = json.Unmarshal(c.Payload, &body) // A payload of another form is work of no length.
	length := time.Duration(body.WorkMS) * time.Millisecond
	if slices.Contains(faults.SlowUpstreams, u.Name) {
		length += time.Duration(faults.SlowUpstreamMS) * time.Millisecond
	}
	_ = pause(context.WithoutCancel(ctx), length) // The work goes on when the caller has left.
	raw, _ := json.Marshal(Answer{Caller: c.Identity.Caller, ID: c.Identity.ID, Sum: Sum(c.Payload)})
	answer := upstream.Answer{Attempt: c.Attempt, Identity: c.Identity, Body: raw}
	e.set(c.Attempt, upstream.Ran, answer)
	if body.Fail {
		return upstream.Answer{}, errors.Wrap(upstream.ErrFailed, "the work failed")
	}
	if slices.Contains(faults.BreakUpstreams, u.Name) {
		return upstream.Answer{}, errLost
	}
	return answer, ctx.Err()
}

// Blank takes from an executor the trace of all its calls, as where its process is replaced behind the same address. What runs goes on.
func (s *Executors) Blank(name string) {
	e := s.executor(name)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.attempts = map[string]*call{}
	e.since = time.Now()
}

// Fence implements upstream.Service.
func (s *Executors) Fence(ctx context.Context, u contract.Upstream, attempt string, age time.Duration) (upstream.Fate, upstream.Answer, error) {
	if err := ctx.Err(); err != nil {
		return "", upstream.Answer{}, err
	}
	e := s.executor(u.Name)
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.attempts[attempt]
	if c == nil || c.fate == "" {
		known := c != nil || time.Since(e.since) > age
		c = &call{fate: upstream.Never}
		e.attempts[attempt] = c
		if !known {
			c.fate = upstream.Lost
		}
	}
	return c.fate, c.answer, nil
}

// Runs returns every call that was run.
func (s *Executors) Runs() []Served {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.runs)
}

// Stats returns the counts so far.
func (s *Executors) Stats() ExecutorStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

func (s *Executors) count(refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Calls++
	if refused {
		s.stats.Refused++
	}
}

func (s *Executors) record(served Served) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, served)
}

func (s *Executors) executor(name string) *executor {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.executors == nil {
		s.executors = map[string]*executor{}
	}
	e := s.executors[name]
	if e == nil {
		e = &executor{slots: make(chan struct{}, executorSlots), attempts: map[string]*call{}}
		s.executors[name] = e
	}
	return e
}

// errRepeated is told for a call that was sent before, which may run.
var errRepeated = errors.New("standin: the call is known already")

// enter takes a connection; an attempt that is known already is not taken again.
func (e *executor) enter(attempt string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch c := e.attempts[attempt]; {
	case c != nil && c.fate == upstream.Never:
		return errors.Wrap(upstream.ErrNotRun, "stopped before")
	case c != nil:
		return errRepeated
	case e.open >= executorConnections:
		return errors.Wrap(upstream.ErrNotRun, "full")
	}
	e.open++
	e.attempts[attempt] = &call{}
	return nil
}

func (e *executor) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.open--
}

// begin lets an attempt run unless it was forbidden meanwhile.
func (e *executor) begin(attempt string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c := e.attempts[attempt]; c != nil && c.fate != "" {
		return false
	}
	e.attempts[attempt] = &call{fate: upstream.Running}
	return true
}

func (e *executor) set(attempt string, fate upstream.Fate, answer upstream.Answer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.attempts[attempt] = &call{fate: fate, answer: answer}
}
