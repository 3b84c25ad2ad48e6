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

// Limits of one executor.
const (
	executorSlots       = 8  // Calls that run at once.
	executorConnections = 60 // Calls that run or wait.
)

// Executors implements the executors of a site in memory.
type Executors struct {
	Faults *FaultInjector

	mu        sync.Mutex
	executors map[string]*executor
	runs      []ServedCall
	stats     ExecutorStats
}

// ExecutorStats counts the calls to all executors.
type ExecutorStats struct {
	Calls   int64 `json:"calls"`
	Refused int64 `json:"refused"` // Calls refused because of the connection limit, a repeated attempt or a fault.
}

// ServedCall records one call that an executor ran.
type ServedCall struct {
	Identity request.Identity `json:"identity"`
	Attempt  string           `json:"attempt"`
	Upstream string           `json:"upstream"`
	Began    time.Time        `json:"began"`
}

type executor struct {
	mu           sync.Mutex
	slots        chan struct{}
	open         int
	attempts     map[string]*call
	recordsSince time.Time // It has records of all calls from this time on; zero if it never lost any.
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
	s.record(ServedCall{Identity: c.Identity, Attempt: c.Attempt, Upstream: u.Name, Began: time.Now()})
	var body taskPayload
	_ = json.Unmarshal(c.Payload, &body) // A payload of another form means a run time of 0.
	length := time.Duration(body.WorkMS) * time.Millisecond
	if slices.Contains(faults.SlowUpstreams, u.Name) {
		length += time.Duration(faults.SlowUpstreamMS) * time.Millisecond
	}
	_ = pause(context.WithoutCancel(ctx), length) // The work continues if the caller disconnects.
	raw, _ := json.Marshal(Answer{Caller: c.Identity.Caller, ID: c.Identity.ID, Sum: Sum(c.Payload)})
	answer := upstream.Answer{Attempt: c.Attempt, Identity: c.Identity, Body: raw}
	e.set(c.Attempt, upstream.Ran, answer)
	if body.Fail {
		return upstream.Answer{}, errors.Wrap(upstream.ErrFailed, "the work failed")
	}
	if slices.Contains(faults.BreakUpstreams, u.Name) {
		return upstream.Answer{}, errAnswerLost
	}
	return answer, ctx.Err()
}

// LoseRecords makes an executor lose the records of all its calls, as when its process is replaced behind the same
// address. Running calls continue.
func (s *Executors) LoseRecords(name string) {
	e := s.executor(name)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.attempts = map[string]*call{}
	e.recordsSince = time.Now()
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
		known := c != nil || time.Since(e.recordsSince) > age
		c = &call{fate: upstream.Never}
		e.attempts[attempt] = c
		if !known {
			c.fate = upstream.Lost
		}
	}
	return c.fate, c.answer, nil
}

// Runs returns the records of all calls that were run.
func (s *Executors) Runs() []ServedCall {
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

func (s *Executors) record(served ServedCall) {
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

// errRepeatedCall is the error of a call whose attempt was sent before and may have run.
var errRepeatedCall = errors.New("standin: the call is known already")

// enter takes a connection for an attempt. It refuses an attempt that was sent or fenced before, and every call over
// the connection limit.
func (e *executor) enter(attempt string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch c := e.attempts[attempt]; {
	case c != nil && c.fate == upstream.Never:
		return errors.Wrap(upstream.ErrNotRun, "stopped before")
	case c != nil:
		return errRepeatedCall
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

// begin marks an attempt as running and reports whether it may run: not if it was fenced meanwhile.
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
