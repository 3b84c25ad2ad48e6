package main

import (
	"fmt"
	"time"
)

func init() { cases["gang"] = playGang }

// playGang submits two persistent jobs, a gang of two and a single work unit. With the disruption their runs end as done
// after 5 s.
func playGang(s *site, trouble bool) (verdict, error) {
	const (
		gangID, singleID = "00000000000000d1", "00000000000000d2"
		watched          = 30 * time.Second
		limit            = 9 * time.Second // LOST: 3 s, from 6 s after the last run
	)
	if err := s.open(8, tenant{"kaje80", "d4a3hwrr6x73d3zji9n7", 32}); err != nil {
		return verdict{}, err
	}
	w := work{Lasts: true, CPU: 1000, Mem: 1024, GPU: 8}
	if trouble {
		w.EndsMs = 5000
	}
	single := job{Spec: spec(w), Steps: []step{{Count: 1, CPU: 1000, MemMb: 1024, GPU: 8, Persistent: true}}}
	w.Gang = 2
	gang := job{Spec: spec(w), Steps: []step{{Count: 2, CPU: 1000, MemMb: 1024, GPU: 8, Gang: true, Persistent: true}}}
	if err := s.submit(s.boxes[0], normalRoute+gangID, s.tenants[0].key, &gang); err != nil {
		return verdict{}, err
	}
	if err := s.submit(s.boxes[0], normalRoute+singleID, s.tenants[0].key, &single); err != nil {
		return verdict{}, err
	}
	longest, idle := time.Duration(0), time.Now()
	for end := time.Now().Add(watched); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if s.cluster.runningOf(gangID) > 0 {
			idle = time.Now()
		}
		longest = max(longest, time.Since(idle))
	}
	g, one := s.stateOf(s.boxes[1], normalRoute+gangID, s.tenants[0].key), s.stateOf(s.boxes[1], normalRoute+singleID, s.tenants[0].key)
	return verdict{
		broken: longest > limit,
		text: fmt.Sprintf("gang: shown as %q, %d starts, nothing at work for up to %v; single work unit: shown as %q, %d starts",
			g.state, s.cluster.startsOf(gangID), longest.Round(100*time.Millisecond), one.state, s.cluster.startsOf(singleID)),
	}, nil
}
