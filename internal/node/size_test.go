package node

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/relay"
)

// sizes are the numbers of boxes at which costs are compared, in five halls.
var sizes = []int{50, 200, 800}

// inSite runs f in a world with so many boxes that have started together, long enough ago to know each other.
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

// directCalls is what all boxes have called the store for, over their own paths.
func (w *world) directCalls() map[string]int64 {
	all := map[string]int64{}
	for _, n := range w.nodes() {
		for name, count := range n.Figures.Counters(relay.PathDirect + "_") {
			all[name] += count
		}
	}
	return all
}

// TestIdleStoreCallsDoNotGrowWithBoxes holds that a site at rest watches the configuration and the lease with as many calls at 800 boxes as at 50, that each box tells of itself and
// reads of others as seldom, and that a change reaches all of them as soon.
func TestIdleStoreCallsDoNotGrowWithBoxes(t *testing.T) {
	for _, boxes := range sizes {
		inSite(t, boxes, func(t *testing.T, w *world) {
			before := w.directCalls()
			time.Sleep(time.Minute)
			after := w.directCalls()
			for name, most := range map[string]int{
				"read_lease": 10*150 + 200, "watch_release": 100, "read_operator": 10*50 + 100, "watch_operator": 100,
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
			quicktest.Check(t, late, quicktest.Equals, 0, quicktest.Commentf("%d boxes", boxes))
		})
	}
}

// TestAllBoxesRestart holds that after all boxes were killed, and all but the one with the lease started again together, work begins as soon at 800 boxes as at
// 50, few of them try for the lease, and few calls are refused for want of time.
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
			quicktest.Check(t, took < 3500*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("%d boxes: %s", boxes, took))
			claims := int64(0)
			for _, n := range w.nodes() {
				claims += n.Figures.Counted("leases_tried")
			}
			quicktest.Check(t, claims <= 12, quicktest.IsTrue, quicktest.Commentf("%d boxes: %d tried", boxes, claims))
			failed := w.directCalls()["commit_failed"]
			quicktest.Check(t, failed <= int64(boxes), quicktest.IsTrue, quicktest.Commentf("%d boxes: %d failed", boxes, failed))
		})
	}
}
