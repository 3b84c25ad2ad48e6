package main

import (
	"fmt"
	"time"
)

func init() {
	cases["crash"] = playCrash
	cases["gang"] = playGang
}

// playCrash lets a persistent job of one work unit run among eight executors. With the disruption the executor that runs
// it crashes 8 s after each start and is back, as another, after 4.5 s.
func playCrash(s *site, trouble bool) (verdict, error) {
	const (
		id      = "00000000000000e1"
		crashes = 6
		between = 8 * time.Second
		down    = 4500 * time.Millisecond
		limit   = 80 * time.Second
	)
	if err := s.open(8, tenant{"kaje80", "d4a3hwrr6x73d3zji9n7", 32}); err != nil {
		return verdict{}, err
	}
	j := job{Spec: spec(work{Lasts: true, CPU: 1000, Mem: 1024, GPU: 1}), Steps: []step{{Count: 1, CPU: 1000, MemMb: 1024, GPU: 1, Persistent: true}}}
	if err := s.submit(s.boxes[0], normalRoute+id, s.tenants[0].key, &j); err != nil {
		return verdict{}, err
	}
	began, struck := time.Now(), 0
	for struck < crashes && time.Since(began) < limit {
		x := s.cluster.hostOf(id)
		if x == nil {
			if s.quietCall(s.boxes[1], "GET", normalRoute+id, s.tenants[0].key, nil).state == "failed" {
				break
			}
			time.Sleep(50 * time.Millisecond)
			continue
		}
		time.Sleep(between)
		if trouble {
			x.crash(down, fmt.Sprintf("i-%08x", 0x8f3a9100+struck))
		}
		struck++
	}
	// Work units that last are started again within 6 s and 3 s (LOST); 15 s also cover the leases of a silent executor.
	time.Sleep(15 * time.Second)
	a := s.stateOf(s.boxes[1], normalRoute+id, s.tenants[0].key)
	return verdict{
		broken: a.state == "failed",
		text:   fmt.Sprintf("after %d crashes: %s, %d work units at work, %d starts", struck, a.body, s.cluster.runningOf(id), s.cluster.startsOf(id)),
	}, nil
}

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
