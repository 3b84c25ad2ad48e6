// Package intake takes requests from callers, settles small ones at the upstreams, hands gangs to their hall, and
// tells callers what became of them.
package intake

import (
	"sync"

	"github.com/pulleyring/pulleyring/pkg/contract"
)

// Admission bounds the small requests in flight in a box and divides the room among workspaces when it gets short.
// Fill in Most before use.
type Admission struct {
	Most int

	mu    sync.Mutex
	total int
	used  map[string]int
}

// crowded is the share of the room from which workspaces are held to their shares.
const crowded = 0.5

// Enter takes a place for a request of a workspace and reports whether there was one for it.
func (a *Admission) Enter(site *contract.Site, workspace string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.used == nil {
		a.used = map[string]int{}
	}
	if a.total >= a.Most {
		return false
	}
	if float64(a.total) >= crowded*float64(a.Most) && a.used[workspace] >= a.share(site, workspace) {
		return false
	}
	a.total++
	a.used[workspace]++
	return true
}

// share returns the places of a workspace among those that have requests in flight.
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
	return max(1, int(own/sum*float64(a.Most)))
}

// Leave gives a place back.
func (a *Admission) Leave(workspace string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.total--
	a.used[workspace]--
	if a.used[workspace] == 0 {
		delete(a.used, workspace)
	}
}

// InFlight returns the requests in flight.
func (a *Admission) InFlight() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.total
}
