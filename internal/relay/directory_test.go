package relay

import (
	"sync"
	"testing"

	"github.com/frankban/quicktest"
	"go.uber.org/zap"
)

// TestRefreshDuringCalls fails under the race detector if a refresh of the list of peers writes what a call through a
// peer reads without the lock. It was seen once, in TestRandomCalms of internal/node.
func TestRefreshDuringCalls(t *testing.T) {
	list := func() []*peer {
		return []*peer{{announcement: announcement{box: "a", address: "10.0.0.1:7015"}}, {announcement: announcement{box: "b", address: "10.0.0.2:7015"}}}
	}
	directory := &PeerDirectory{Box: "own"}
	directory.replacePeers(list(), zap.NewNop())
	var group sync.WaitGroup
	group.Go(func() {
		for range 1000 {
			directory.replacePeers(list(), zap.NewNop())
		}
	})
	for range 1000 {
		for _, p := range directory.choosePeers(2) {
			quicktest.Check(t, p.address, quicktest.Not(quicktest.Equals), "")
		}
	}
	group.Wait()
}
