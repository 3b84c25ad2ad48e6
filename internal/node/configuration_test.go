package node

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/pulleyring/pulleyring/internal/interval"
	"github.com/pulleyring/pulleyring/internal/store"
	"pgregory.net/rapid"
)

// TestConfigurations plays the scripts of testdata/configurations. It guards against a box that refuses calls by an old
// configuration although it reaches the store: it waited for the answer of one frozen box, then read from the store for
// a while, and then waited for the next frozen box, without a read in between for longer than a new configuration may
// take.
func TestConfigurations(t *testing.T) { playScripts(t, "configurations") }

// TestRandomConfigurations does the same with boxes that freeze, lose their paths to each other, stop and start in any
// number and order and for any time, and with any limit for new configurations.
func TestRandomConfigurations(t *testing.T) { checkDrawn(t, drawConfigurations) }

func drawConfigurations(r *rapid.T, part int) []string {
	boxes := rapid.IntRange(3, 6).Draw(r, "boxes")
	s := newScript(r, part, "site 3", fmt.Sprintf("within %dms", rapid.SampledFrom([]int{1000, 2000, 2000, 2000, 3000, 4000, 5000}).Draw(r, "within")),
		fmt.Sprintf("boxes %d hall-1", boxes), "boxes 1 hall-2", fmt.Sprintf("sleep %dms", rapid.IntRange(3000, 25000).Draw(r, "before")))
	box := func(first int) string { return fmt.Sprintf("hall-1-%d", rapid.IntRange(first, boxes).Draw(r, "box")) }
	for range rapid.IntRange(2, 30).Draw(r, "steps") {
		switch rapid.SampledFrom([]string{"freeze", "freeze", "freeze", "pause", "pause", "configure", "configure", "part", "cut", "cut", "up", "start", "stop"}).Draw(r, "step") {
		case "freeze":
			s.add("freeze %s %dms", box(1), rapid.SampledFrom([]int{200, 900, 1500, 2500, 4000, 4000, 4000, 9000}).Draw(r, "length"))
		case "pause":
			s.add("sleep %dms", rapid.IntRange(1, 4200).Draw(r, "pause"))
		case "configure":
			s.add("configure")
			s.add("sleep %dms", rapid.IntRange(1, 900).Draw(r, "after"))
		case "part":
			s.add("store up") // A box that is cut off both ways reaches the store over no path.
			s.add("part %s", box(1))
		case "cut":
			s.add("store up")
			s.add("store cut hall-1-%d", rapid.IntRange(1, 2).Draw(r, "which")) // These boxes are not restarted, as a new start knows no others.
		case "up":
			s.add("store up")
		case "start":
			s.restart(box(3), 0)
		case "stop":
			s.restart(box(3), rapid.IntRange(1, 4000).Draw(r, "stopped"))
		}
	}
	s.add("sleep 6s")
	return s.lines
}

// restart stops a box and starts it again after some milliseconds; with 0, it kills the box.
func (s *script) restart(box string, ms int) {
	if ms > 0 {
		s.add("stop %s", box)
		s.add("sleep %dms", ms)
	}
	s.add("kill %s", box)
	s.add("start %s", box)
}

const (
	// contactTime is how long a box must have been without a fault for its limits to count (the users' rules).
	contactTime = 3 * time.Second
	// configurationCheckInterval is the time between two checks of the configurations in force.
	configurationCheckInterval = 10 * time.Millisecond
	// configurationRow is the name of the row that holds the number of the newest configuration.
	configurationRow = "configuration"
)

// operatorVersion is a configuration that the operator has written.
type operatorVersion struct {
	number int64
	at     time.Time
}

// configurationCommand runs the commands that concern configurations.
func (w *world) configurationCommand(words []string) error {
	if words[0] == "within" {
		d, err := time.ParseDuration(words[1])
		w.configurationWithin = d
		return err
	}
	w.operator.mu.Lock()
	defer w.operator.mu.Unlock()
	if w.operator.later == nil {
		w.group.Go(w.watchConfigurations)
	}
	v := operatorVersion{w.operator.current.Version + 1 + int64(len(w.operator.later)), time.Now()}
	w.operator.later = append(w.operator.later, v)
	w.store.CommitAsOperator(&store.Transaction{Writes: []store.Row{{Key: store.Key{Table: operatorTable, Name: configurationRow}, Value: strconv.AppendInt(nil, v.number, 10)}}})
	return nil
}

// watchConfigurations checks periodically that all boxes without a fault have put new configurations in force in time.
func (w *world) watchConfigurations() {
	for interval.Sleep(w.ctx, configurationCheckInterval) {
		w.operator.mu.Lock()
		oldest := w.operator.current.Version
		for _, v := range w.operator.later {
			if time.Since(v.at) > w.configurationWithin {
				oldest = v.number
			}
		}
		w.operator.mu.Unlock()
		w.checkConfigurations(oldest)
	}
}

// checkConfigurations records the boxes without a fault that use a configuration older than the given one.
func (w *world) checkConfigurations(oldest int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for name, b := range w.boxes {
		if b.killed.Err() != nil || b.node.Stopping() || time.Since(b.impairedUntil) < contactTime {
			continue
		}
		c := b.node.Configuration()
		if c != nil && c.Version >= oldest || w.oldConfigurations[name] >= oldest {
			continue
		}
		if w.oldConfigurations == nil {
			w.oldConfigurations = map[string]int64{}
		}
		w.oldConfigurations[name] = oldest
	}
}

// impairBox records that a box has a fault until a time.
func (w *world) impairBox(name string, until time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if b := w.boxes[name]; b != nil && until.After(b.impairedUntil) {
		b.impairedUntil = until
	}
}

// describeOldConfigurations lists the boxes that were late with a configuration.
func (w *world) describeOldConfigurations() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []string
	for name, version := range w.oldConfigurations {
		list = append(list, fmt.Sprintf("%s did not have configuration %d in force within %v", name, version, w.configurationWithin))
	}
	return list
}
