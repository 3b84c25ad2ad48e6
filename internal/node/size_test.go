package node

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/relay"
)

// sizes holds the numbers of boxes, in five halls, at which costs are compared.
var sizes = []int{50, 200, 800}

// inSite runs f on a site whose boxes started together, long enough ago to know each other.
func inSite(t *testing.T, boxes int, f func(t *testing.T, w *world)) {
	inEmptyWorld(t, func(t *testing.T, w *world) {
		const halls = 5
		play(t, w, []string{fmt.Sprint("site ", halls), "workers 40 rack 8 halls 5"})
		for hall := range halls {
			for i := range boxes / halls {
				w.startBox(fmt.Sprintf("hall-%d-%d", hall+1, i))
			}
		}
		time.Sleep(30 * time.Second)
		f(t, w)
	})
}

// directCalls returns the calls to the store that all boxes have made over their direct paths, by kind and table.
func (w *world) directCalls() map[string]int64 {
	all := map[string]int64{}
	for _, n := range w.nodes() {
		for name, count := range n.Metrics.Counters(relay.PathDirect + "_") {
			all[name] += count
		}
	}
	return all
}

// TestIdleStoreCallsDoNotGrowWithBoxes fails if an idle site of 800 boxes reads the configuration and the lease more
// often than one of 50, if each box announces itself or reads of others more often, or if a change takes longer to
// reach all boxes.
func TestIdleStoreCallsDoNotGrowWithBoxes(t *testing.T) {
	for _, boxes := range sizes {
		inSite(t, boxes, func(t *testing.T, w *world) {
			before := w.directCalls()
			time.Sleep(time.Minute)
			after := w.directCalls()
			for name, most := range map[string]int{
				"read_lease": 10*150 + 200, "watch_release": 100, "read_operator": 10*50 + 100, "watch_operator": 100,
				"read_load": 90, "watch_load": 100,
				"read_boxes": 12 * boxes, "commit_boxes": 4*boxes + 200, "commit_failed": 0,
			} {
				got := after[name] - before[name]
				quicktest.Check(t, got <= int64(most), quicktest.IsTrue, quicktest.Commentf("%d boxes: %s %d, %d at most", boxes, name, got, most))
			}
			w.setEmptied("hall-2", true)
			time.Sleep(300 * time.Millisecond)
			late := 0
			for _, n := range w.nodes() {
				if halls := n.Halls(); !halls.IsEmptied("hall-2") {
					late++
				}
			}
			quicktest.Check(t, late, quicktest.Equals, 0, quicktest.Commentf("%d boxes: some have not learned of the emptied hall", boxes))
		})
	}
}

// TestAllBoxesRestart kills all boxes and restarts all but the one with the lease together. It fails if work begins
// later at 800 boxes than at 50, if more than a few boxes try to claim the lease, or if many calls fail.
func TestAllBoxesRestart(t *testing.T) {
	for _, boxes := range sizes {
		inSite(t, boxes, func(t *testing.T, w *world) {
			holder := w.holder()
			killed := slices.Clone(w.clientBoxes)
			for _, box := range killed {
				play(t, w, []string{"kill " + box})
			}
			time.Sleep(2 * time.Second)
			for _, box := range killed {
				if box != holder {
					w.startBox(box)
				}
			}
			began := time.Now()
			play(t, w, []string{"submit a urgent desk-key tasks 1 gpu 1 work 100ms", "state a completed within 20s"})
			took := time.Since(began)
			quicktest.Check(t, took < 3500*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("%d boxes: took %s", boxes, took))
			attempts := int64(0)
			for _, n := range w.nodes() {
				attempts += n.Metrics.CounterValue("leases_tried")
			}
			quicktest.Check(t, attempts <= 12, quicktest.IsTrue, quicktest.Commentf("%d boxes: %d tried to claim the lease", boxes, attempts))
			failed := w.directCalls()["commit_failed"]
			quicktest.Check(t, failed <= int64(boxes), quicktest.IsTrue, quicktest.Commentf("%d boxes: %d commits failed", boxes, failed))
		})
	}
}
