package box

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// lossShards is the number of parallel parts of the drawn losses; each runs as many cases as -rapid.checks says.
const lossShards = 4

// TestRandomLosses runs scripts in which workers and executors lose what they knew, boxes lose workers, the table and each other, and gangs crash
// their workers; whatever comes in whatever order, no promise is broken, nothing runs twice at a time, and everything is settled.
func TestRandomLosses(t *testing.T) {
	for i := range lossShards {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(r *rapid.T) {
				lines := drawLosses(r, i)
				if err := verdict(runLines(t, "drawn", lines, rules{})); err != nil {
					r.Fatalf("%v\n%s", err, strings.Join(lines, "\n"))
				}
			})
		})
	}
}

func drawLosses(r *rapid.T, shard int) []string {
	d := &drawn{T: r, lines: []string{"boxes 3"}, boxes: []string{"box-1", "box-2", "box-3"}, frozen: map[string]bool{}, started: 3}
	for range shard { // The same seed gives other cases where some numbers are drawn before.
		_ = rapid.Uint64().Draw(r, "skipped")
	}
	for range rapid.IntRange(4, 14).Draw(r, "steps") {
		d.lossStep()
	}
	for name := range d.frozen {
		d.add("thaw %s", name)
	}
	for _, name := range d.boxes {
		d.add("uncut_workers %s", name)
	}
	d.add("fault table_down false")
	d.add("fault lost_workers")
	d.add("settle 150s")
	d.add("wait 10s")
	return d.lines
}

func (d *drawn) lossStep() {
	switch rapid.SampledFrom([]string{"usual", "usual", "usual", "crash", "blank", "blank", "upstream", "cut", "cut", "uncut", "cut_box"}).Draw(d.T, "loss") {
	case "usual":
		d.step()
	case "crash":
		d.ids++
		d.add("gang %s c%d %d crash", d.caller(), d.ids, rapid.IntRange(1, 8).Draw(d.T, "size"))
	case "blank":
		d.add("blank_worker %s", d.worker())
	case "upstream":
		d.add("blank_upstream exec-%d", rapid.IntRange(0, 3).Draw(d.T, "exec"))
	case "cut":
		d.add("cut_worker %s %s", d.box(), d.worker())
	case "uncut":
		d.add("uncut_workers %s", d.box())
	case "cut_box":
		name := d.box()
		d.add("cut_box %s", name)
		d.add("wait %dms", rapid.IntRange(1, 8000).Draw(d.T, "ms"))
		d.kill(name) // It never comes back: the script has no word for that.
	}
}

func (d *drawn) worker() string {
	return fmt.Sprintf("%s-w%d", rapid.SampledFrom([]string{"n1", "s1"}).Draw(d.T, "rack"), rapid.IntRange(0, 3).Draw(d.T, "worker"))
}
