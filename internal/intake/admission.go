// Package intake accepts requests from callers, runs small ones on the upstreams, passes gangs to a hall, and returns
// the outcomes to the callers.
package intake

import (
	"sync"

	"github.com/pulleyring/pulleyring/pkg/contract"
)

// Admission limits the number of small requests in flight in a box. From a certain load on, it also limits each
// workspace to its share. Set Most before use.
type Admission struct {
	MaxInFlight int // Largest number of requests in flight.

	mu    sync.Mutex
	total int
	used  map[string]int
}

// shareThreshold is the fraction of Most in flight from which each workspace is limited to its share.
const shareThreshold = 0.5

// Acquire admits a request of a workspace and reports whether it did. Each admitted request must call Release when it
// ends.
func (a *Admission) Acquire(site *contract.Site, workspace string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.used == nil {
		a.used = map[string]int{}
	}
	if a.total >= a.MaxInFlight {
		return false
	}
	if float64(a.total) >= shareThreshold*float64(a.MaxInFlight) && a.used[workspace] >= a.share(site, workspace) {
		return false
	}
	a.total++
	a.used[workspace]++
	return true
}

// share returns how many requests a workspace may have in flight, given the shares of the workspaces that have some
// now.
func (a *Admission) share(site *contract.Site, workspace string) int {
	own, sum := 0.0, 0.0
	for _, w := range site.Workspaces {
		if w.Name == workspace {
			own = w.Share
		}
		if w.Name == workspace || a.used[w.Name] > 0 {
			sum += w.Share
		}
	}
	if sum == 0 {
		return 0
	}
	return max(1, int(own/sum*float64(a.MaxInFlight)))
}

// Release ends an admitted request of a workspace.
func (a *Admission) Release(workspace string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.total--
	a.used[workspace]--
	if a.used[workspace] == 0 {
		delete(a.used, workspace)
	}
}

// InFlight returns the number of requests in flight.
func (a *Admission) InFlight() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.total
}
