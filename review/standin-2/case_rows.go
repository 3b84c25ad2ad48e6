package main

import (
	"fmt"
	"time"
)

func init() { cases["rows"] = playRows }

// playRows submits a job as large as the largest of tower-dump, then small jobs of another tenant. With the disruption
// the executors have names of 36 characters (UUIDs), without it names of 10, as in the examples.
func playRows(s *site, trouble bool) (verdict, error) {
	const (
		executors = 24
		unitsEach = 64 // Work units of one core that an executor has room for.
		steps     = 3  // tower-dump: at most 3.2
		width     = 94 // tower-dump: at most 94
		times     = 4  // tower-dump: 4
		unitMs    = 2500
		largeID   = "5c0e7a21d94b36f8"
		traffic   = 44 * time.Second
		finish    = 14 * time.Second // bounds.finish_s
		idleLimit = 3 * time.Second  // LOST
	)
	name := shortName
	if trouble {
		name = func(i int) string { return fmt.Sprintf("7f3a91c2-5c0e-4a21-9b36-f80bb87a%04x", 0x1000+i) }
	}
	if err := s.addExecutors(executors, name); err != nil {
		return verdict{}, err
	}
	s.tenants = []tenant{{"kaje80", "d4a3hwrr6x73d3zji9n7", 64}, {"lomu41", "3hh2b9wu3fexd9dnn2ct", 64}}
	if err := s.configure(); err != nil {
		return verdict{}, err
	}
	if err := s.startBoxes(3); err != nil {
		return verdict{}, err
	}
	large := work{Ms: unitMs, CPU: 1000, Mem: 1024, Saves: true}
	j := job{Spec: spec(large), FirstRunMs: time.Now().Add(time.Second).UnixMilli(), IntervalMs: 3000, RepeatCount: times}
	for range steps {
		j.Steps = append(j.Steps, step{Count: width, CPU: large.CPU, MemMb: large.Mem, EstimateMs: unitMs, Checkpointing: true})
	}
	if err := s.submit(s.boxes[0], bulkRoute+largeID, s.tenants[0].key, &j); err != nil {
		return verdict{}, err
	}
	small := work{Ms: 500, CPU: 1000, Mem: 1024, GPU: 1}
	accepted := map[string]time.Time{}
	most, began := 0, time.Now() // Most work units that ran at a time, while small jobs came and after that.
	for i := 0; time.Since(began) < traffic; i++ {
		id := fmt.Sprintf("%016x", 0xa000+i)
		j := job{Spec: spec(small), Steps: []step{{Count: 1, CPU: small.CPU, MemMb: small.Mem, GPU: small.GPU, EstimateMs: 500}}}
		if s.submit(s.boxes[i%len(s.boxes)], urgentRoute+id, s.tenants[1].key, &j) == nil {
			accepted[id] = time.Now()
		}
		most = max(most, s.cluster.watchUse(2*time.Second))
	}
	most = max(most, s.cluster.watchUse(finish))
	late, never, unfinished, longest := 0, 0, 0, time.Duration(0)
	for id, at := range accepted {
		first := s.cluster.firstStart(id)
		if first.IsZero() {
			never++
			first = time.Now()
		}
		if wait := first.Sub(at); wait > idleLimit {
			late++
			longest = max(longest, wait)
		}
		if s.stateOf(s.boxes[0], urgentRoute+id, s.tenants[1].key).state != "completed" {
			unfinished++
		}
	}
	state := s.stateOf(s.boxes[1], bulkRoute+largeID, s.tenants[0].key)
	return verdict{
		broken: late > 0 && most < executors*unitsEach/2,
		text: fmt.Sprintf("%d small jobs accepted; %d had nothing running for over 3 s after that (at most %v, at most %d of %d work units ran at a time), %d never began, %d are not shown as completed %d s after the last one; large job: %q, %d starts of %d work units; refused transactions: %v",
			len(accepted), late, longest.Round(100*time.Millisecond), most, executors*unitsEach, never, unfinished, int(finish.Seconds()), state.state, s.cluster.startsOf(largeID), steps*width*times, s.store.refusals()),
	}, nil
}
