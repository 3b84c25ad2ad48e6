package box

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// scriptSubtests is the number of parallel subtests of TestRandomScripts. Each runs -rapid.checks cases.
const scriptSubtests = 20

// TestRandomScripts runs scripts of random requests and faults. It fails if a safety guarantee is broken or a
// request is never settled.
func TestRandomScripts(t *testing.T) {
	for i := range scriptSubtests {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(r *rapid.T) {
				lines := generateScript(r, i)
				if err := checkJudgement(runLines(t, "drawn", lines, safetyRules{})); err != nil {
					r.Fatalf("%v\n%s", err, strings.Join(lines, "\n"))
				}
			})
		})
	}
}

// scriptGenerator generates a random script and tracks the state that its next lines depend on.
type scriptGenerator struct {
	*rapid.T
	lines   []string
	boxes   []string        // Live boxes.
	frozen  map[string]bool // Boxes that are frozen.
	started int             // Number of boxes started so far.
	lastID  int             // Number of request ids used so far.
}

// generateScript returns the lines of a random script.
func generateScript(r *rapid.T, shard int) []string {
	g := &scriptGenerator{T: r, lines: []string{"boxes 3"}, boxes: []string{"box-1", "box-2", "box-3"}, frozen: map[string]bool{}, started: 3}
	for range shard { // All shards have the same seed; skipping some numbers gives each shard other cases.
		_ = rapid.Uint64().Draw(r, "skipped")
	}
	for range rapid.IntRange(4, 14).Draw(r, "steps") {
		g.step()
	}
	for name := range g.frozen {
		g.add("thaw %s", name)
	}
	for _, end := range []string{"table_down false", "table_slow_ms 0", "table_lose_answers 0", "table_drop 0", "fail_workers", "lost_workers", "fail_upstreams", "break_upstreams"} {
		g.add("fault %s", end)
	}
	g.add("settle 150s")
	g.add("wait 10s")
	return g.lines
}

func (g *scriptGenerator) add(format string, args ...any) {
	g.lines = append(g.lines, fmt.Sprintf(format, args...))
}

// step adds a random step: a request, a pause, a fault of the platform or of a box, or a cancellation.
func (g *scriptGenerator) step() {
	switch rapid.SampledFrom([]string{"small", "gang", "gang", "wait", "wait", "fault", "freeze", "thaw", "kill", "cancel"}).Draw(g.T, "step") {
	case "small":
		g.lastID++
		g.add("many %d small %s s%d-%s work=%dms", rapid.IntRange(1, 4).Draw(g.T, "n"), g.caller(), g.lastID, g.option("once"), rapid.IntRange(1, 3000).Draw(g.T, "ms"))
	case "gang":
		g.lastID++
		g.add("many %d gang %s g%d- %d %s %s work=%dms", rapid.IntRange(1, 3).Draw(g.T, "n"), g.caller(), g.lastID,
			rapid.IntRange(1, 16).Draw(g.T, "size"), g.option("once"), g.option("checkpoints"), rapid.IntRange(1, 9000).Draw(g.T, "ms"))
	case "wait":
		g.add("wait %dms", rapid.IntRange(1, 8000).Draw(g.T, "ms"))
	case "fault":
		g.add("fault %s", rapid.SampledFrom([]string{
			"table_down true", "table_down false", "table_slow_ms 300", "table_slow_ms 0", "table_lose_answers 0.5",
			"table_lose_answers 0", "table_drop 0.5", "table_drop 0", "fail_workers n1-w0", "lost_workers s1-w1", "lost_workers",
			"fail_upstreams exec-0", "break_upstreams exec-1", "break_upstreams",
		}).Draw(g.T, "fault"))
	case "freeze":
		name := g.box()
		if len(g.frozen) < len(g.boxes)-1 && !g.frozen[name] {
			g.frozen[name] = true
			g.add("freeze %s", name)
		}
	case "thaw":
		if name := g.box(); g.frozen[name] {
			delete(g.frozen, name)
			g.add("thaw %s", name)
		}
	case "kill":
		g.kill(g.box())
	case "cancel":
		if len(g.frozen) == 0 {
			g.add("cancel_if_possible where workspace = fraud")
		}
	}
}

// kill adds lines that kill a box and start a new one to replace it.
func (g *scriptGenerator) kill(name string) {
	delete(g.frozen, name)
	g.started++
	replacement := fmt.Sprintf("box-%d", g.started)
	g.add("kill %s", name)
	g.add("box %s %s", replacement, rapid.SampledFrom([]string{"north", "south"}).Draw(g.T, "hall"))
	for i := range g.boxes {
		if g.boxes[i] == name {
			g.boxes[i] = replacement
		}
	}
}

func (g *scriptGenerator) box() string { return rapid.SampledFrom(g.boxes).Draw(g.T, "box") }

func (g *scriptGenerator) caller() string {
	return rapid.SampledFrom([]string{"clerk", "desk"}).Draw(g.T, "caller")
}

// option returns the word or, at random, no word.
func (g *scriptGenerator) option(word string) string {
	if rapid.Bool().Draw(g.T, word) {
		return " " + word
	}
	return " "
}
