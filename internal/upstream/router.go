package upstream

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pulleyring/pulleyring/pkg/contract"
)

// Parameters of ejection and retries that can't be configured.
const (
	failuresToEject     = 3 // Failed calls in a row.
	firstEjection       = time.Second
	maxEjection         = 30 * time.Second
	maxAvailableRetries = 20.0 // Most unused retries that can accumulate.
)

// Router selects the upstream for each call. Fill in the exported fields and call Update before use.
type Router struct {
	Hall       string  // Hall of this box; its upstreams are preferred while they have free slots.
	RetryShare float64 // Retries allowed per first try, as a fraction.
	EjectShare float64 // Largest fraction of the upstreams that may be ejected at the same time.

	mu               sync.Mutex
	targets          []*target
	byName           map[string]*target
	boxes            int
	ejectedCount     int
	availableRetries float64 // Retries available now.
}

// target is an upstream with the state of this box's calls to it.
type target struct {
	contract.Upstream
	drained             bool
	inFlight            int           // Calls of this box in flight.
	consecutiveFailures int           // Consecutive failed calls.
	ejectionTime        time.Duration // Base length of the last ejection; doubles with each further one.
	ejectedUntil        time.Time     // End of the ejection; zero if not ejected. Stays set until a call succeeds.
}

// Update sets the upstreams of a configuration, which of them are drained, and the number of boxes that share them.
func (r *Router) Update(list []contract.Upstream, drained func(name string) bool, boxes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	previous := r.byName
	if previous == nil {
		r.availableRetries = maxAvailableRetries
	}
	r.byName = map[string]*target{}
	r.targets = r.targets[:0]
	r.ejectedCount = 0
	for _, u := range list {
		t := previous[u.Name]
		if t == nil {
			t = &target{}
		}
		t.Upstream = u
		t.drained = drained(u.Name)
		if !t.ejectedUntil.IsZero() {
			r.ejectedCount++
		}
		r.byName[u.Name] = t
		r.targets = append(r.targets, t)
	}
	r.boxes = max(boxes, 1)
}

// share returns the number of calls that this box may have in flight at a target: its share of the connections.
func (r *Router) share(t *target) int { return max(1, t.Connections/r.boxes) }

// Acquire selects an upstream other than the one named excluded and counts a call in flight there, which Done ends. It
// prefers upstreams in this box's hall; of two chosen at random it takes the one with fewer calls in flight. It
// returns false if every upstream is full, drained or ejected.
func (r *Router) Acquire(excluded string) (contract.Upstream, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	var local, eligible []*target
	for _, t := range r.targets {
		if t.Name == excluded || !r.accepts(t, now) {
			continue
		}
		if t.Hall == r.Hall && t.inFlight < max(1, t.Slots/r.boxes) {
			local = append(local, t)
		}
		eligible = append(eligible, t)
	}
	if len(local) > 0 {
		eligible = local
	}
	if len(eligible) == 0 {
		return contract.Upstream{}, false
	}
	t := fewerInFlight(eligible[rand.IntN(len(eligible))], eligible[rand.IntN(len(eligible))])
	t.inFlight++
	return t.Upstream, true
}

func fewerInFlight(x, y *target) *target {
	if y.inFlight < x.inFlight {
		return y
	}
	return x
}

// accepts reports whether a target accepts one more call. After an ejection it accepts one call at a time, as a probe,
// until one succeeds.
func (r *Router) accepts(t *target, now time.Time) bool {
	if t.drained || t.inFlight >= r.share(t) {
		return false
	}
	if t.ejectedUntil.IsZero() {
		return true
	}
	return !now.Before(t.ejectedUntil) && t.inFlight == 0
}

// Release ends a call counted by Pick and records whether the upstream served it.
func (r *Router) Release(name string, served bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.byName[name]
	if t == nil {
		return
	}
	t.inFlight = max(0, t.inFlight-1)
	if served {
		if !t.ejectedUntil.IsZero() {
			r.ejectedCount--
		}
		t.consecutiveFailures, t.ejectionTime, t.ejectedUntil = 0, 0, time.Time{}
		return
	}
	t.consecutiveFailures++
	r.eject(t)
}

// eject excludes a failing target for some time, unless too many targets are ejected already. The time doubles with
// each failed probe, up to maxEjection, and is spread at random by half of it in both directions.
func (r *Router) eject(t *target) {
	again := !t.ejectedUntil.IsZero()
	if !again && t.consecutiveFailures < failuresToEject {
		return
	}
	if !again && float64(r.ejectedCount+1) > r.EjectShare*float64(len(r.targets)) {
		return
	}
	if !again {
		r.ejectedCount++
	}
	t.ejectionTime = min(max(2*t.ejectionTime, firstEjection), maxEjection)
	t.ejectedUntil = time.Now().Add(t.ejectionTime/2 + rand.N(t.ejectionTime))
}

// RecordFirstTry records a first try, which adds RetryShare to the available retries.
func (r *Router) RecordFirstTry() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.availableRetries = min(r.availableRetries+r.RetryShare, maxAvailableRetries)
}

// TakeRetry takes one retry from the budget and reports whether one was available.
func (r *Router) TakeRetry() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.availableRetries < 1 {
		return false
	}
	r.availableRetries--
	return true
}

// Status is the state of an upstream as listed by the operator command `show`.
type Status struct {
	Name    string `json:"name"`
	Hall    string `json:"hall"`
	Open    int    `json:"open"`
	Ejected bool   `json:"ejected"`
	Drained bool   `json:"drained"`
}

// Statuses returns the state of every upstream, as observed by this box.
func (r *Router) Statuses() []Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]Status, len(r.targets))
	for i, t := range r.targets {
		list[i] = Status{t.Name, t.Hall, t.inFlight, !t.ejectedUntil.IsZero() && time.Now().Before(t.ejectedUntil), t.drained}
	}
	return list
}
