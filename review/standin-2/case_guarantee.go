package main

import (
	"fmt"
	"time"
)

func init() {
	cases["chain"] = playChain
	cases["times"] = playTimes
	cases["cores"] = playCores
}

const reclaim = 3400 * time.Millisecond // bounds.reclaimMs

// awaitStarts waits until a job has so many starts and returns how long that took, at most limit.
func (s *site) awaitStarts(id string, n int, limit time.Duration) time.Duration {
	at := time.Now()
	for s.cluster.startsOf(id) < n && time.Since(at) < limit {
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(at)
}

// playChain submits jobs of a tenant with a guarantee of 32 of 64 accelerators: one of a single step, then one of two
// steps, one after the other, each of 32. With the disruption a tenant without a guarantee has borrowed all of them.
func playChain(s *site, trouble bool) (verdict, error) {
	const (
		single, chain = "00000000000000c1", "00000000000000c2"
		limit         = 45 * time.Second
	)
	if err := s.open(8, tenant{"kaje80", "d4a3hwrr6x73d3zji9n7", 32}, tenant{"lomu41", "3hh2b9wu3fexd9dnn2ct", 0}); err != nil {
		return verdict{}, err
	}
	if trouble {
		for i := range 8 {
			j := job{Spec: spec(work{Lasts: true, CPU: 1000, Mem: 1024, GPU: 8}), Steps: []step{{Count: 1, CPU: 1000, MemMb: 1024, GPU: 8, Persistent: true}}}
			if err := s.submit(s.boxes[i%3], urgentRoute+fmt.Sprintf("%016x", 0xb000+i), s.tenants[1].key, &j); err != nil {
				return verdict{}, err
			}
		}
		time.Sleep(5 * time.Second)
	}
	first := step{Count: 4, CPU: 1000, MemMb: 1024, GPU: 8, EstimateMs: 2000}
	second := first
	second.SinceRev = []int{0}
	own := spec(work{Ms: 2000, CPU: 1000, Mem: 1024, GPU: 8})
	if err := s.submit(s.boxes[0], urgentRoute+single, s.tenants[0].key, &job{Spec: own, Steps: []step{first}}); err != nil {
		return verdict{}, err
	}
	singleTook := s.awaitStarts(single, 4, 10*time.Second)
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		if s.quietCall(s.boxes[1], "GET", urgentRoute+single, s.tenants[0].key, nil).state == "completed" {
			break
		}
	}
	if state := s.stateOf(s.boxes[1], urgentRoute+single, s.tenants[0].key).state; state != "completed" {
		return verdict{}, fmt.Errorf("the job of one step is %q: no case without it", state)
	}
	time.Sleep(3 * time.Second)
	if err := s.submit(s.boxes[0], urgentRoute+chain, s.tenants[0].key, &job{Spec: own, Steps: []step{first, second}}); err != nil {
		return verdict{}, err
	}
	took := s.awaitStarts(chain, 4, limit)
	state := s.stateOf(s.boxes[1], urgentRoute+chain, s.tenants[0].key).state
	return verdict{
		broken: took > reclaim,
		text: fmt.Sprintf("job of one step: all work units begun after %v; job of two steps: %d starts after %v (bound 3.4 s), shown as %q",
			singleTook.Round(10*time.Millisecond), s.cluster.startsOf(chain), took.Round(10*time.Millisecond), state),
	}, nil
}

// playTimes submits a job within the guarantee of its tenant, 32 of 64 accelerators. Before it, the tenant that owns the
// other 32 hands in a persistent job with times of 32 each: one time without the disruption, two that overlap with it.
func playTimes(s *site, trouble bool) (verdict, error) {
	const (
		own   = "00000000000000f2"
		timed = "00000000000000f1"
		limit = 45 * time.Second
	)
	if err := s.open(8, tenant{"kaje80", "d4a3hwrr6x73d3zji9n7", 32}, tenant{"lomu41", "3hh2b9wu3fexd9dnn2ct", 32}); err != nil {
		return verdict{}, err
	}
	lasting := job{
		Spec: spec(work{Lasts: true, CPU: 1000, Mem: 1024, GPU: 8}), Steps: []step{{Count: 4, CPU: 1000, MemMb: 1024, GPU: 8, Persistent: true}},
		FirstRunMs: time.Now().Add(time.Second).UnixMilli(), IntervalMs: 3000, RepeatCount: 1,
	}
	if trouble {
		lasting.RepeatCount = 2
	}
	if err := s.submit(s.boxes[0], urgentRoute+timed, s.tenants[1].key, &lasting); err != nil {
		return verdict{}, err
	}
	time.Sleep(8 * time.Second)
	j := job{Spec: spec(work{Ms: 2000, CPU: 1000, Mem: 1024, GPU: 8}), Steps: []step{{Count: 4, CPU: 1000, MemMb: 1024, GPU: 8, EstimateMs: 2000}}}
	if err := s.submit(s.boxes[0], urgentRoute+own, s.tenants[0].key, &j); err != nil {
		return verdict{}, err
	}
	took := s.awaitStarts(own, 4, limit)
	return verdict{
		broken: took > reclaim,
		text: fmt.Sprintf("job within its tenant's guarantee: %d starts after %v (bound 3.4 s); the other tenant, with a guarantee of 32 accelerators, has %d in use",
			s.cluster.startsOf(own), took.Round(10*time.Millisecond), 8*s.cluster.runningOf(timed)),
	}, nil
}

// playCores submits a job within the guarantee of its tenant, 32 of 64 accelerators. With the disruption a tenant without
// a guarantee has persistent jobs on all cores before it, of priority 0 and without accelerators.
func playCores(s *site, trouble bool) (verdict, error) {
	const (
		own   = "00000000000000f4"
		limit = 45 * time.Second
	)
	if err := s.open(8, tenant{"kaje80", "d4a3hwrr6x73d3zji9n7", 32}, tenant{"lomu41", "3hh2b9wu3fexd9dnn2ct", 0}); err != nil {
		return verdict{}, err
	}
	if trouble {
		for i := range 8 {
			j := job{Spec: spec(work{Lasts: true, CPU: 64000, Mem: 1024}), Steps: []step{{Count: 1, CPU: 64000, MemMb: 1024, Persistent: true}}}
			if err := s.submit(s.boxes[i%3], urgentRoute+fmt.Sprintf("%016x", 0xb000+i), s.tenants[1].key, &j); err != nil {
				return verdict{}, err
			}
		}
		time.Sleep(5 * time.Second)
	}
	j := job{Spec: spec(work{Ms: 2000, CPU: 1000, Mem: 1024, GPU: 8}), Steps: []step{{Count: 4, CPU: 1000, MemMb: 1024, GPU: 8, EstimateMs: 2000}}}
	if err := s.submit(s.boxes[0], urgentRoute+own, s.tenants[0].key, &j); err != nil {
		return verdict{}, err
	}
	took := s.awaitStarts(own, 4, limit)
	return verdict{
		broken: took > reclaim,
		text:   fmt.Sprintf("job within its tenant's guarantee: %d starts after %v (bound 3.4 s)", s.cluster.startsOf(own), took.Round(10*time.Millisecond)),
	}, nil
}
