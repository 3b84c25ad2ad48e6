package node

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// TestRandomStartsAgain plays random scripts of workers that restart under their names: alone, with their hall and
// repeatedly, during takeovers, store outages, network cuts and late commands, among jobs and tasks that crash their
// workers. It fails if a task runs twice, is started more often than its attempts allow, or if an accepted job never
// ends.
func TestRandomStartsAgain(t *testing.T) { checkDrawn(t, drawRestarts) }

// crashLoopThreshold is how many workers must have crashed under a task before its job may fail: from then on the
// task can't be told from one that crashes its workers.
const crashLoopThreshold = 3

// restartScript is a random script of workers that restart.
type restartScript struct {
	*workerScript
}

func drawRestarts(r *rapid.T, shard int) []string {
	s := &restartScript{&workerScript{script: newScript(r, shard,
		"retain 1h", "drift 0.02", fmt.Sprintf("given_up_after %d", crashLoopThreshold), fmt.Sprintf("boxes %d", drawnBoxes), fmt.Sprintf("workers %d rack 2 halls %d", drawnWorkers, drawnHalls), "heartbeats 1500ms")}}
	if rapid.Bool().Draw(r, "stops take time") {
		s.add("stop_time %dms", testStopTime.Milliseconds())
	}
	s.setRestartingCrashes()
	s.pause(40000) // By then clocks and end numbers of the first incarnations have advanced.
	s.work()
	for range rapid.IntRange(3, 14).Draw(r, "steps") {
		s.step()
	}
	s.add("store up")
	s.add("sound")
	return s.lines
}

// setRestartingCrashes draws how workers crash from here on.
func (s *restartScript) setRestartingCrashes() {
	words := rapid.SampledFrom([]string{"", " dark", " dark", " elsewhere", " dark elsewhere"}).Draw(s.T, "way")
	s.add("crashing again%s back %dms recorded %dms unlisted %dms", words, rapid.IntRange(0, 5000).Draw(s.T, "back"), rapid.IntRange(0, 4500).Draw(s.T, "recorded"),
		rapid.SampledFrom([]int{0, 0, 0, 300, 1500}).Draw(s.T, "unlisted"))
}

func (s *restartScript) step() {
	switch rapid.IntRange(0, 13).Draw(s.T, "what") {
	case 0, 1:
		s.work()
	case 2:
		s.setRestartingCrashes()
	case 3:
		s.add("crash_hall hall-%d", rapid.IntRange(1, drawnHalls).Draw(s.T, "hall"))
		s.pause(6000)
	case 4:
		s.boxFault()
	case 5:
		s.add("store %s", rapid.SampledFrom([]string{"busy", "silent", "up", "up", "slow 300ms", "lose 0.4", "cut holder", "refuse holder"}).Draw(s.T, "store"))
	case 6:
		s.pause(5000)
	case 7:
		s.lateCommands()
	case 8:
		x := s.nameWorker()
		s.add("cut %s%s", x, rapid.SampledFrom([]string{"", " holder", " others"}).Draw(s.T, "from"))
		s.pause(1500)
		s.restart(x)
		s.pause(9000)
		s.add("heal %s", x)
	case 9:
		s.add("former %s", s.nameWorker())
	case 10:
		s.job(3000)
		s.lines[len(s.lines)-1] += fmt.Sprintf(" crashes %dms", rapid.SampledFrom([]int{0, 10, 50, 2500}).Draw(s.T, "after"))
	default:
		s.restart(s.nameWorker())
	}
}

// restart makes a worker restart, once or several times.
func (s *restartScript) restart(x string) {
	for range rapid.SampledFrom([]int{1, 1, 1, 3}).Draw(s.T, "times") {
		s.add("restart %s", x)
		s.pause(2500)
	}
}

// lateCommands makes a worker carry out commands late, mostly in its next incarnation.
func (s *restartScript) lateCommands() {
	x := s.nameWorker()
	by := rapid.IntRange(500, 12000).Draw(s.T, "by")
	s.add("%s %s %d %dms", rapid.SampledFrom([]string{"late", "late", "late_looks"}).Draw(s.T, "order"), x, rapid.IntRange(1, 4).Draw(s.T, "orders"), by)
	s.work()
	s.restart(x)
}
