package box

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// lossSubtests is the number of parallel subtests of TestRandomLosses. Each runs -rapid.checks cases.
const lossSubtests = 4

// TestRandomLosses runs random scripts in which workers and executors lose their state, boxes lose the connection to
// workers, the table and each other, and gangs crash their workers. It fails if a safety guarantee is broken, a request
// runs twice at the same time, or one is never settled.
func TestRandomLosses(t *testing.T) {
	for i := range lossSubtests {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(r *rapid.T) {
				lines := generateLossScript(r, i)
				if err := checkJudgement(runLines(t, "drawn", lines, safetyRules{})); err != nil {
					r.Fatalf("%v\n%s", err, strings.Join(lines, "\n"))
				}
			})
		})
	}
}

// generateLossScript returns the lines of a random script with such losses.
func generateLossScript(r *rapid.T, shard int) []string {
	g := &scriptGenerator{T: r, lines: []string{"boxes 3"}, boxes: []string{"box-1", "box-2", "box-3"}, frozen: map[string]bool{}, started: 3}
	for range shard { // All shards have the same seed; skipping some numbers gives each shard other cases.
		_ = rapid.Uint64().Draw(r, "skipped")
	}
	for range rapid.IntRange(4, 14).Draw(r, "steps") {
		g.lossStep()
	}
	for name := range g.frozen {
		g.add("thaw %s", name)
	}
	for _, name := range g.boxes {
		g.add("uncut_workers %s", name)
	}
	g.add("fault table_down false")
	g.add("fault lost_workers")
	g.add("settle 150s")
	g.add("wait 10s")
	return g.lines
}

// lossStep adds a random step: one of the loss faults or a step of TestRandomScripts.
func (g *scriptGenerator) lossStep() {
	switch rapid.SampledFrom([]string{"usual", "usual", "usual", "crash", "blank", "blank", "upstream", "cut", "cut", "uncut", "cut_box"}).Draw(g.T, "loss") {
	case "usual":
		g.step()
	case "crash":
		g.lastID++
		g.add("gang %s c%d %d crash", g.caller(), g.lastID, rapid.IntRange(1, 8).Draw(g.T, "size"))
	case "blank":
		g.add("blank_worker %s", g.worker())
	case "upstream":
		g.add("blank_upstream exec-%d", rapid.IntRange(0, 3).Draw(g.T, "exec"))
	case "cut":
		g.add("cut_worker %s %s", g.box(), g.worker())
	case "uncut":
		g.add("uncut_workers %s", g.box())
	case "cut_box":
		name := g.box()
		g.add("cut_box %s", name)
		g.add("wait %dms", rapid.IntRange(1, 8000).Draw(g.T, "ms"))
		g.kill(name) // Scripts have no command that reconnects a box.
	}
}

func (g *scriptGenerator) worker() string {
	return fmt.Sprintf("%s-w%d", rapid.SampledFrom([]string{"n1", "s1"}).Draw(g.T, "rack"), rapid.IntRange(0, 3).Draw(g.T, "worker"))
}
