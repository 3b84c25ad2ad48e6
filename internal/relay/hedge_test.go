package relay

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/store"
)

// readerWithoutPath returns the first box, whose direct path to the store is known to be down.
func (s *site) readerWithoutPath(ctx context.Context) *Store {
	reader := s.boxes[0]
	s.store.Refuse(reader.Directory.Box)
	for reader.Direct.Healthy() {
		_, _ = reader.Direct.Read(ctx, store.Range{Table: "t"}) // Direct records the error.
		time.Sleep(100 * time.Millisecond)
	}
	return reader
}

// TestReadsPassBoxesThatDoNotAnswer guards against a read that waits until its time limit for another box that does not
// answer, although further boxes reach the store. A configuration must be read within 2 s, and such a read took 1.4 s
// for each of these boxes.
func TestReadsPassBoxesThatDoNotAnswer(t *testing.T) {
	const boxes = 6
	for silent := range boxes - 1 {
		t.Run(fmt.Sprint(silent), func(t *testing.T) {
			runWithBoxes(t, boxes, func(ctx context.Context, t *testing.T, s *site) {
				reader := s.readerWithoutPath(ctx)
				for _, p := range reader.Directory.choosePeers(silent) {
					s.network.Cut(p.address)
				}
				began := time.Now()
				_, err := reader.Read(ctx, store.Range{Table: "t", Limit: 1})
				quicktest.Assert(t, err, quicktest.IsNil)
				most := time.Duration(silent)*hedgeDelay + 50*time.Millisecond
				quicktest.Check(t, time.Since(began) <= most, quicktest.IsTrue, quicktest.Commentf("took %v", time.Since(began)))
				began = time.Now()
				_, err = reader.Read(ctx, store.Range{Table: "t", Limit: 1})
				quicktest.Assert(t, err, quicktest.IsNil)
				quicktest.Check(t, time.Since(began) <= 50*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("the next one took %v", time.Since(began)))
			})
		})
	}
}

// TestReadsReturnToTheDirectPath guards against a read that keeps waiting for other boxes after the direct path to the
// store is back, as when a box that was frozen first takes its path for lost.
func TestReadsReturnToTheDirectPath(t *testing.T) {
	runWithBoxes(t, 3, func(ctx context.Context, t *testing.T, s *site) {
		reader := s.readerWithoutPath(ctx)
		s.network.Cut("box-0")
		time.AfterFunc(50*time.Millisecond, s.store.SetUp)
		began := time.Now()
		_, err := reader.Read(ctx, store.Range{Table: "t", Limit: 1})
		quicktest.Assert(t, err, quicktest.IsNil)
		most := 50*time.Millisecond + probeInterval + hedgeDelay
		quicktest.Check(t, time.Since(began) <= most+50*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("took %v", time.Since(began)))
	})
}

// TestReadsAreRefusedByTheStore guards against hedged reads that load an overloaded store through all boxes, and against
// transactions that are repeated over a second path although the first one may carry them out.
func TestReadsAreRefusedByTheStore(t *testing.T) {
	runWithBoxes(t, 6, func(ctx context.Context, t *testing.T, s *site) {
		reader := s.readerWithoutPath(ctx)
		first := reader.Directory.choosePeers(1)[0]
		s.network.Cut(first.address)
		quicktest.Check(t, write(ctx, reader, "a"), quicktest.ErrorIs, store.ErrUnknown)
		quicktest.Check(t, s.store.Rows("t"), quicktest.Equals, 0)
		s.network.Heal()
		time.Sleep(2 * peerBackoff)
		s.store.SetBusy()
		_, err := reader.Read(ctx, store.Range{Table: "t", Limit: 1})
		quicktest.Check(t, err, quicktest.ErrorIs, store.ErrRefused)
	})
}

// TestLongPagesAreReadOnce guards against long pages that are transferred several times over a slow link.
func TestLongPagesAreReadOnce(t *testing.T) {
	runWithBoxes(t, 6, func(ctx context.Context, t *testing.T, s *site) {
		reader := s.readerWithoutPath(ctx)
		s.store.SetLatency(3 * hedgeDelay)
		time.Sleep(time.Second)
		before := s.store.Reads("t")
		_, err := reader.Read(ctx, store.Range{Table: "t", Limit: maxHedgedRows + 1})
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Check(t, s.store.Reads("t")-before, quicktest.Equals, 1)
	})
}

// TestQuickReadsFollowTheStore guards against a limit for reads under which a slow store or link is never read.
func TestQuickReadsFollowTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		s := newSite(ctx, 1)
		q := &QuickReads{Store: s.boxes[0]}
		for _, c := range []struct {
			latency time.Duration
			fail    int // Reads that may fail first.
		}{{5 * time.Millisecond, 0}, {400 * time.Millisecond, 0}, {900 * time.Millisecond, 1}, {1100 * time.Millisecond, 2}} {
			s.store.SetLatency(c.latency)
			time.Sleep(2 * time.Second)
			failed := 0
			for n := range 10 {
				if _, err := q.Read(ctx, store.Range{Table: "t"}); err != nil {
					failed++
					quicktest.Check(t, n < c.fail, quicktest.IsTrue, quicktest.Commentf("%v: read %d failed", c.latency, n))
				}
			}
			quicktest.Check(t, failed <= c.fail, quicktest.IsTrue, quicktest.Commentf("%v: %d failed", c.latency, failed))
		}
		cancel()
		time.Sleep(time.Minute) // Lets the goroutines end.
	})
}
