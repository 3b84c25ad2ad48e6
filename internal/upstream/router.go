package upstream

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pulleyring/pulleyring/pkg/contract"
)

// Limits of ejection that are no settings.
const (
	failuresToEject = 3
	firstEjection   = time.Second
	longestEjection = 30 * time.Second
	retryBurst      = 20.0 // Retries that may be saved up.
)

// Router picks the upstream for each call. Fill in the exported fields before use; Update tells it the rest.
type Router struct {
	Hall       string  // The box's own hall; its upstreams go first while they have room.
	RetryShare float64 // Retries allowed as a share of first tries.
	EjectShare float64 // Most upstreams ejected at once, as a share.

	mu      sync.Mutex
	targets []*target
	byName  map[string]*target
	boxes   int
	ejected int
	retries float64 // Retries that may be made now.
}

// target is one upstream as this box sees it.
type target struct {
	contract.Upstream
	drained  bool
	open     int // Calls of this box under way.
	failures int // In a row.
	pause    time.Duration
	until    time.Time // End of an ejection; zero while it is not ejected.
}

// Update takes in the upstreams of a configuration, which of them leave, and the number of boxes that share them.
func (r *Router) Update(list []contract.Upstream, drained func(name string) bool, boxes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.byName
	if old == nil {
		r.retries = retryBurst
	}
	r.byName = map[string]*target{}
	r.targets = r.targets[:0]
	r.ejected = 0
	for _, u := range list {
		t := old[u.Name]
		if t == nil {
			t = &target{}
		}
		t.Upstream = u
		t.drained = drained(u.Name)
		if !t.until.IsZero() {
			r.ejected++
		}
		r.byName[u.Name] = t
		r.targets = append(r.targets, t)
	}
	r.boxes = max(boxes, 1)
}

// share returns the calls that this box may have under way at a target: its part of the connections.
func (r *Router) share(t *target) int { return max(1, t.Connections/r.boxes) }

// Pick takes a place at an upstream: of two picked at random the one with fewer calls under way, in the own hall first.
// It returns false where every upstream is full, leaving or ejected. Done gives the place back.
func (r *Router) Pick(not string) (contract.Upstream, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	var near, far []*target
	for _, t := range r.targets {
		if t.Name == not || !r.takes(t, now) {
			continue
		}
		if t.Hall == r.Hall && t.open < max(1, t.Slots/r.boxes) {
			near = append(near, t)
		}
		far = append(far, t)
	}
	if len(near) > 0 {
		far = near
	}
	if len(far) == 0 {
		return contract.Upstream{}, false
	}
	t := lessBusy(far[rand.IntN(len(far))], far[rand.IntN(len(far))])
	t.open++
	return t.Upstream, true
}

func lessBusy(x, y *target) *target {
	if y.open < x.open {
		return y
	}
	return x
}

// takes reports whether a target takes one more call; one whose ejection has ended takes a single one as a probe.
func (r *Router) takes(t *target, now time.Time) bool {
	if t.drained || t.open >= r.share(t) {
		return false
	}
	if t.until.IsZero() {
		return true
	}
	return !now.Before(t.until) && t.open == 0
}

// Done gives a place back and notes whether the upstream served the call.
func (r *Router) Done(name string, served bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.byName[name]
	if t == nil {
		return
	}
	t.open = max(0, t.open-1)
	if served {
		if !t.until.IsZero() {
			r.ejected--
		}
		t.failures, t.pause, t.until = 0, 0, time.Time{}
		return
	}
	t.failures++
	r.eject(t)
}

// eject takes a failing target out for a while, within the cap.
func (r *Router) eject(t *target) {
	again := !t.until.IsZero()
	if !again && t.failures < failuresToEject {
		return
	}
	if !again && float64(r.ejected+1) > r.EjectShare*float64(len(r.targets)) {
		return
	}
	if !again {
		r.ejected++
	}
	t.pause = min(max(2*t.pause, firstEjection), longestEjection)
	t.until = time.Now().Add(t.pause/2 + rand.N(t.pause))
}

// First notes a first try, which earns a part of a retry.
func (r *Router) First() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retries = min(r.retries+r.RetryShare, retryBurst)
}

// Retry takes one retry out of the budget and reports whether there was one.
func (r *Router) Retry() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.retries < 1 {
		return false
	}
	r.retries--
	return true
}

// Status is an upstream as `show` lists it.
type Status struct {
	Name    string `json:"name"`
	Hall    string `json:"hall"`
	Open    int    `json:"open"`
	Ejected bool   `json:"ejected"`
	Drained bool   `json:"drained"`
}

// Statuses returns every upstream as this box sees it.
func (r *Router) Statuses() []Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]Status, len(r.targets))
	for i, t := range r.targets {
		list[i] = Status{t.Name, t.Hall, t.open, !t.until.IsZero() && time.Now().Before(t.until), t.drained}
	}
	return list
}
