package main

import (
	"fmt"
	"time"
)

func init() { cases["failing"] = playFailing }

// playFailing submits a gang of 8 executors of 24. With the disruption another tenant has a persistent job before it, whose
// work units fail 50 ms after each start.
func playFailing(s *site, trouble bool) (verdict, error) {
	const (
		id, gangID = "00000000000000b1", "00000000000000b2"
		units      = 4
		executors  = 24
		members    = 8
		limit      = 60 * time.Second
		idleLimit  = 3 * time.Second // LOST
	)
	if err := s.open(executors, tenant{"kaje80", "d4a3hwrr6x73d3zji9n7", 64}, tenant{"lomu41", "3hh2b9wu3fexd9dnn2ct", 64}); err != nil {
		return verdict{}, err
	}
	service := work{Lasts: true, CPU: 1000, Mem: 1024, GPU: 1}
	if trouble {
		service.FailMs = 50
	}
	j := job{Spec: spec(service), Steps: []step{{Count: units, CPU: 1000, MemMb: 1024, GPU: 1, Persistent: true}}}
	if err := s.submit(s.boxes[0], normalRoute+id, s.tenants[1].key, &j); err != nil {
		return verdict{}, err
	}
	time.Sleep(5 * time.Second)
	g := job{Spec: spec(work{Ms: 2000, CPU: 1000, Mem: 1024, GPU: 8, Gang: members}), Steps: []step{{Count: members, CPU: 1000, MemMb: 1024, GPU: 8, Gang: true, EstimateMs: 2000}}}
	if err := s.submit(s.boxes[1], normalRoute+gangID, s.tenants[0].key, &g); err != nil {
		return verdict{}, err
	}
	at, most := time.Now(), 0
	for s.cluster.firstStart(gangID).IsZero() && time.Since(at) < limit {
		most = max(most, s.cluster.watchUse(100*time.Millisecond))
	}
	waited := time.Since(at)
	a := s.stateOf(s.boxes[2], normalRoute+gangID, s.tenants[0].key)
	return verdict{
		broken: waited > idleLimit,
		text: fmt.Sprintf("gang: %d starts after %v, shown as %q; meanwhile at most %d work units ran at a time, of one accelerator each, of %d; the persistent job was started %d times",
			s.cluster.startsOf(gangID), waited.Round(10*time.Millisecond), a.state, most, 8*executors, s.cluster.startsOf(id)),
	}, nil
}
