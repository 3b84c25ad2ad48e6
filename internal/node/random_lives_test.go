package node

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestRandomLives plays random scripts of live workers that look lost, or whose process ends together with their
// work, among jobs, takeovers and store outages. It fails if a task runs twice, is started more often than its
// attempts allow, or if an accepted job never ends.
func TestRandomLives(t *testing.T) { checkDrawn(t, drawLostWorkers) }

// minWorkersLeft is how many workers of a random site stay, so that every random job fits.
const minWorkersLeft = 5

// workerScript is a random script of workers that look lost.
type workerScript struct {
	*script
	names int
	lost  int // Workers that end or accept nothing any more.
}

func drawLostWorkers(r *rapid.T, shard int) []string {
	s := &workerScript{script: &script{T: r, lines: []string{
		"retain 1h",  // Longer than any script, so that each job can be looked up at the end.
		"drift 0.02", // The slowest clocks that workers may have.
		fmt.Sprintf("boxes %d", drawnBoxes), fmt.Sprintf("workers %d rack 4", drawnWorkers), "heartbeats 1500ms",
		"crashing back 2500ms recorded 4500ms",
	}, killed: map[string]bool{}, gone: map[string]bool{}}}
	for range shard {
		_ = rapid.Uint64().Draw(r, "skipped")
	}
	if rapid.Bool().Draw(r, "stops take time") {
		s.add("stop_time %dms", testStopTime.Milliseconds())
	}
	s.work()
	for range rapid.IntRange(2, 12).Draw(r, "steps") {
		switch rapid.IntRange(0, 9).Draw(r, "what") {
		case 0, 1:
			s.work()
		case 2:
			s.boxFault()
		case 3:
			s.add("store %s", rapid.SampledFrom([]string{"busy", "silent", "up", "up", "slow 300ms", "lose 0.4", "cut holder", "refuse holder"}).Draw(r, "store"))
		case 4:
			s.pause(4000)
		case 5:
			s.add("part %s", rapid.SampledFrom([]string{"box-1", "box-2", "holder"}).Draw(r, "part"))
		default:
			s.addWorkerFaults()
		}
	}
	s.add("store up")
	s.add("sound")
	return s.lines
}

// work draws a job whose tasks run long enough for a fault of their workers.
func (s *workerScript) work() {
	s.job(500)
	s.pause(1500)
}

func (s *workerScript) pause(most int) {
	s.add("sleep %dms", rapid.IntRange(1, most).Draw(s.T, "ms"))
}

// nameWorker names a worker on which a random task runs.
func (s *workerScript) nameWorker() string {
	s.names++
	name := fmt.Sprintf("x%d", s.names)
	s.add("meet %s j%d %d %s", name, rapid.IntRange(1, s.jobs).Draw(s.T, "job"), rapid.IntRange(0, 3).Draw(s.T, "index"), s.worker())
	return name
}

// addWorkerFaults draws what happens to one worker, or to two at a time.
func (s *workerScript) addWorkerFaults() {
	x := s.nameWorker()
	if rapid.IntRange(0, 3).Draw(s.T, "pair") == 0 {
		y := s.nameWorker()
		s.beginFault(y)
		s.addWorkerFault(x)
		s.endFault(y)
		return
	}
	s.addWorkerFault(x)
}

// addWorkerFault draws what happens to a worker.
func (s *workerScript) addWorkerFault(x string) {
	switch rapid.SampledFrom([]string{"away", "away", "away", "away", "leave", "unsaid", "with work", "with work", "held back", "fail", "fail everywhere", "replaced", "island"}).Draw(s.T, "kind") {
	case "leave":
		if s.mayLose(1) {
			s.add("drain %s %dms", x, rapid.SampledFrom([]int{500, 1800, 4000}).Draw(s.T, "leaves"))
			s.pause(3000)
			s.loseRecord(x)
		}
	case "unsaid":
		if s.mayLose(1) {
			s.loseRecord(x)
		}
	case "with work":
		if s.mayLose(2) { // The worker that leaves, and the one that ends with the job.
			s.endWithJob(x)
		}
	case "held back":
		s.add("hold_back %s %dms", x, rapid.IntRange(1, 2500).Draw(s.T, "ms"))
	case "fail":
		s.add("%s %s", rapid.SampledFrom([]string{"fail", "spoil"}).Draw(s.T, "fault"), x)
		s.beginFault(x)
		s.pause(5000)
		s.endFault(x)
		s.add("well %s", x)
		s.add("unspoil %s", x)
	case "fail everywhere":
		s.failEverywhere(x)
	case "island":
		s.isolateHolder()
	case "replaced":
		s.add("%s %s others", rapid.SampledFrom([]string{"cut", "shut"}).Draw(s.T, "from"), x)
		s.add("part holder")
		s.add("store %s holder", rapid.SampledFrom([]string{"cut", "refuse"}).Draw(s.T, "how"))
		s.pause(9000)
		s.add("store up")
		s.endFault(x)
	default:
		s.beginFault(x)
		s.pause(9000)
		s.endFault(x)
	}
}

// failEverywhere makes tasks use up their attempts, also across a takeover.
func (s *workerScript) failEverywhere(x string) {
	s.add("spoil all")
	s.add("fail %s", x)
	if rapid.Bool().Draw(s.T, "at once") {
		s.boxFault()
	}
	s.beginFault(x)
	s.pause(8000)
	s.endFault(x)
	s.add("unspoil all")
	s.add("well %s", x)
}

// isolateHolder has the box with the lease replaced while no other box reaches the workers.
func (s *workerScript) isolateHolder() {
	s.job(8000)
	s.lines[len(s.lines)-1] = strings.Replace(s.lines[len(s.lines)-1], "work ", "work 3", 1) // At least 38 s.
	s.pause(1500)
	s.add("%s all others", rapid.SampledFrom([]string{"cut", "shut"}).Draw(s.T, "from"))
	s.add("part holder")
	s.add("store %s holder", rapid.SampledFrom([]string{"cut", "refuse"}).Draw(s.T, "how"))
	s.pause(30000)
	s.add("store up")
	s.endFault("all")
}

// mayLose reports whether n more workers may be lost, and counts them as lost if so.
func (s *workerScript) mayLose(n int) bool {
	if s.lost+n > drawnWorkers-minWorkersLeft {
		return false
	}
	s.lost += n
	return true
}

// beginFault draws how a worker comes to look lost or hard to reach.
func (s *workerScript) beginFault(x string) {
	from := rapid.SampledFrom([]string{"", "", " holder", " others"}).Draw(s.T, "from")
	switch rapid.SampledFrom([]string{"cut", "shut", "shut", "shut, cut", "mute", "late", "record"}).Draw(s.T, "sign") {
	case "cut":
		s.add("cut %s%s", x, from)
	case "shut":
		s.add("shut %s%s", x, from)
	case "shut, cut":
		s.add("shut %s", x)
		s.pause(300)
		s.add("cut %s", x)
	case "mute":
		s.add("mute %s %d", x, rapid.IntRange(1, 4).Draw(s.T, "orders"))
	case "late":
		s.add("late %s %d", x, rapid.IntRange(1, 4).Draw(s.T, "orders"))
	}
	if rapid.Bool().Draw(s.T, "forget") {
		s.pause(1000)
		s.add("forget %s", x)
	}
	if rapid.IntRange(0, 3).Draw(s.T, "take-over") == 0 {
		s.boxFault()
	}
}

// endFault ends what beginFault began.
func (s *workerScript) endFault(x string) {
	s.add("open %s", x)
	s.add("heal %s", x)
	s.add("record %s", x)
}

// loseRecord removes the record of a worker that keeps running; some of its answers are lost, and it may end.
func (s *workerScript) loseRecord(x string) {
	s.add("forget %s", x)
	s.add("mute %s %d", x, rapid.IntRange(0, 3).Draw(s.T, "orders"))
	s.pause(7000)
	if rapid.Bool().Draw(s.T, "ends") {
		s.add("end %s", x)
	}
}

// endWithJob ends the process of a worker together with a random job: at any time, at the announced time, or, if its
// departure was unannounced, after the minimum time such a worker stays.
func (s *workerScript) endWithJob(x string) {
	words := rapid.SampledFrom([]string{"", " lost", " lost", " crash", " lost crash"}).Draw(s.T, "way")
	j := rapid.IntRange(1, s.jobs).Draw(s.T, "job")
	switch rapid.IntRange(0, 3).Draw(s.T, "said") {
	case 0:
		s.add("drain %s 4s", x)
	case 1:
		s.add("drain %s %dms", x, rapid.IntRange(500, 8000).Draw(s.T, "leaves"))
		words += " due"
	case 2:
		s.add("leave_unsaid %s %dms", x, rapid.IntRange(int(testStayTime.Milliseconds()), 8000).Draw(s.T, "stays"))
		words += " due"
	}
	s.add("ends_with j%d%s", j, words)
}
