package box

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// shards is the number of parallel parts of the random scripts; each runs as many cases as -rapid.checks says.
const shards = 20

// TestRandomScripts runs scripts of drawn requests and faults; whatever comes in whatever order, no promise is broken
// and everything is settled.
func TestRandomScripts(t *testing.T) {
	for i := range shards {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(r *rapid.T) {
				lines := drawScript(r, i)
				if err := verdict(runLines(t, "drawn", lines, rules{})); err != nil {
					r.Fatalf("%v\n%s", err, strings.Join(lines, "\n"))
				}
			})
		})
	}
}

// drawn keeps what a script that is being drawn must remember.
type drawn struct {
	*rapid.T
	lines   []string
	boxes   []string
	frozen  map[string]bool
	started int
	ids     int
}

func drawScript(r *rapid.T, shard int) []string {
	d := &drawn{T: r, lines: []string{"boxes 3"}, boxes: []string{"box-1", "box-2", "box-3"}, frozen: map[string]bool{}, started: 3}
	for range shard { // The same seed gives other cases where some numbers are drawn before.
		_ = rapid.Uint64().Draw(r, "skipped")
	}
	for range rapid.IntRange(4, 14).Draw(r, "steps") {
		d.step()
	}
	for name := range d.frozen {
		d.add("thaw %s", name)
	}
	for _, end := range []string{"table_down false", "table_slow_ms 0", "table_lose_answers 0", "table_drop 0", "fail_workers", "lost_workers", "fail_upstreams", "break_upstreams"} {
		d.add("fault %s", end)
	}
	d.add("settle 150s")
	d.add("wait 10s")
	return d.lines
}

func (d *drawn) add(format string, args ...any) {
	d.lines = append(d.lines, fmt.Sprintf(format, args...))
}

func (d *drawn) step() {
	switch rapid.SampledFrom([]string{"small", "gang", "gang", "wait", "wait", "fault", "freeze", "thaw", "kill", "cancel"}).Draw(d.T, "step") {
	case "small":
		d.ids++
		d.add("many %d small %s s%d-%s work=%dms", rapid.IntRange(1, 4).Draw(d.T, "n"), d.caller(), d.ids, d.option("once"), rapid.IntRange(1, 3000).Draw(d.T, "ms"))
	case "gang":
		d.ids++
		d.add("many %d gang %s g%d- %d %s %s work=%dms", rapid.IntRange(1, 3).Draw(d.T, "n"), d.caller(), d.ids,
			rapid.IntRange(1, 16).Draw(d.T, "size"), d.option("once"), d.option("checkpoints"), rapid.IntRange(1, 9000).Draw(d.T, "ms"))
	case "wait":
		d.add("wait %dms", rapid.IntRange(1, 8000).Draw(d.T, "ms"))
	case "fault":
		d.add("fault %s", rapid.SampledFrom([]string{
			"table_down true", "table_down false", "table_slow_ms 300", "table_slow_ms 0", "table_lose_answers 0.5",
			"table_lose_answers 0", "table_drop 0.5", "table_drop 0", "fail_workers n1-w0", "lost_workers s1-w1", "lost_workers",
			"fail_upstreams exec-0", "break_upstreams exec-1", "break_upstreams",
		}).Draw(d.T, "fault"))
	case "freeze":
		name := d.box()
		if len(d.frozen) < len(d.boxes)-1 && !d.frozen[name] {
			d.frozen[name] = true
			d.add("freeze %s", name)
		}
	case "thaw":
		if name := d.box(); d.frozen[name] {
			delete(d.frozen, name)
			d.add("thaw %s", name)
		}
	case "kill":
		d.kill(d.box())
	case "cancel":
		if len(d.frozen) == 0 {
			d.add("cancel_if_possible where workspace = fraud")
		}
	}
}

// kill ends a box and starts another in its place.
func (d *drawn) kill(name string) {
	delete(d.frozen, name)
	d.started++
	fresh := fmt.Sprintf("box-%d", d.started)
	d.add("kill %s", name)
	d.add("box %s %s", fresh, rapid.SampledFrom([]string{"north", "south"}).Draw(d.T, "hall"))
	for i := range d.boxes {
		if d.boxes[i] == name {
			d.boxes[i] = fresh
		}
	}
}

func (d *drawn) box() string { return rapid.SampledFrom(d.boxes).Draw(d.T, "box") }

func (d *drawn) caller() string {
	return rapid.SampledFrom([]string{"clerk", "desk"}).Draw(d.T, "caller")
}

// option returns a word or none.
func (d *drawn) option(word string) string {
	if rapid.Bool().Draw(d.T, word) {
		return " " + word
	}
	return " "
}
