package node

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestRandomLasting plays random scripts of jobs that last beside other jobs and faults, on workers with names and with
// saved states of any size. The lasting jobs run on, fail, or end as done, all or some of their tasks, early or late, or
// crash their workers. It fails if one of them is shown as completed or failed, if one of its tasks has nothing running
// for 9 s in calm, or if another job has for 3 s.
func TestRandomLasting(t *testing.T) { checkParts(t, lastingParts, drawLasting) }

func drawLasting(r *rapid.T, shard int) []string {
	name, saved := rapid.SampledFrom([]int{0, 0, 36, 150, 190}).Draw(r, "name"), rapid.SampledFrom([]int{0, 0, 100, 3000, 70000}).Draw(r, "saved")
	s := newScript(r, shard, fmt.Sprintf("retain %s", time.Hour), fmt.Sprintf("boxes %d", drawnBoxes), fmt.Sprintf("workers %d rack 4 name %d", drawnWorkers, name), fmt.Sprintf("saved %d", saved), "heartbeats 1500ms")
	s.setCrashes()
	s.add("sleep 500ms")
	lasting := rapid.IntRange(1, 3).Draw(r, "lasting")
	for i := range lasting {
		s.lastingJob(fmt.Sprintf("l%d", i))
	}
	for range rapid.IntRange(2, 14).Draw(r, "steps") {
		s.step()
	}
	s.heal()
	s.add("sleep 21s") // Every wait that the faults caused has ended by then.
	for range rapid.IntRange(1, 4).Draw(r, "jobs in calm") {
		s.job(1)
		s.add("sleep %dms", rapid.IntRange(1, 8000).Draw(r, "pause"))
	}
	s.add("sleep 12s")
	for i := range lasting {
		s.add("state l%d running within 8s", i)
		s.add("cancel l%d", i)
	}
	return s.lines
}

// lastingJob draws a job that lasts.
func (s *script) lastingJob(id string) {
	line := fmt.Sprintf("submit %s %s %s tasks %d gpu %d lasts", id, rapid.SampledFrom([]string{"urgent", "normal", "bulk"}).Draw(s.T, "queue"),
		rapid.SampledFrom([]string{"desk-key", "court-key"}).Draw(s.T, "key"), rapid.IntRange(1, 5).Draw(s.T, "tasks"), rapid.IntRange(0, 2).Draw(s.T, "gpu"))
	for _, option := range []string{"gang", "saves"} {
		if rapid.Bool().Draw(s.T, option) {
			line += " " + option
		}
	}
	after := rapid.SampledFrom([]int{10, 50, 300, 1000, 4000, 8000}).Draw(s.T, "after")
	switch rapid.SampledFrom([]string{"runs", "fails", "fails", "completes", "completes", "crashes"}).Draw(s.T, "end") {
	case "fails":
		line += fmt.Sprintf(" fails %dms failing %d", after, rapid.IntRange(0, 2).Draw(s.T, "failing"))
	case "completes":
		line += fmt.Sprintf(" completes %dms", after)
	case "crashes":
		line += fmt.Sprintf(" crashes %dms", after)
	}
	s.add("%s", line)
}
