package relay

import (
	"context"
	"maps"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/emulator"
	"github.com/pulleyring/pulleyring/internal/measure"
	"github.com/pulleyring/pulleyring/internal/store"
	"go.uber.org/zap"
)

// site is a group of boxes on the emulator that forward calls for each other.
type site struct {
	store   *emulator.Store
	network emulator.Network
	boxes   []*Store
}

// newSite starts n boxes, named box-0 and so on, and waits until they know each other's addresses.
func newSite(ctx context.Context, n int) *site {
	s := &site{store: emulator.NewStore(1)}
	for i := range n {
		name, gate := "box-"+strconv.Itoa(i), &emulator.Gate{}
		b := &Store{
			Direct:  MonitoredStore{Store: s.store.For(name, gate), Path: PathDirect, Log: zap.NewNop(), Figures: &measure.Metrics{}},
			Network: s.network.For(name, gate), Directory: PeerDirectory{Box: name, Address: name, Watchers: 2}, Log: zap.NewNop(),
		}
		s.network.Serve(name, b.Shared(&Cache{Store: b}), gate)
		s.boxes = append(s.boxes, b)
		go b.Run(ctx)
	}
	time.Sleep(firstReadDelay + time.Second)
	return s
}

// runWithThreeBoxes runs f on a site of three boxes, in a synctest bubble.
func runWithThreeBoxes(t *testing.T, f func(ctx context.Context, t *testing.T, s *site)) {
	runWithBoxes(t, 3, f)
}

// runWithBoxes runs f on a site of n boxes, in a synctest bubble.
func runWithBoxes(t *testing.T, n int, f func(ctx context.Context, t *testing.T, s *site)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f(ctx, t, newSite(ctx, n))
		cancel()
		time.Sleep(time.Minute) // Lets the goroutines end.
	})
}

func write(ctx context.Context, s store.Store, name string) error {
	_, err := s.Commit(ctx, &store.Transaction{Writes: []store.Row{{Key: store.Key{Table: "t", Name: name}}}})
	return err
}

func TestDirectPathIsPreferred(t *testing.T) {
	runWithThreeBoxes(t, func(ctx context.Context, t *testing.T, s *site) {
		s.store.Refuse("box-0")
		for range 5 {
			_ = write(ctx, s.boxes[0], "a") // The first calls may be refused.
		}
		quicktest.Assert(t, s.boxes[0].Direct.Healthy(), quicktest.IsFalse)
		quicktest.Assert(t, write(ctx, s.boxes[0], "b"), quicktest.IsNil)
		s.store.SetUp()
		time.Sleep(2 * probeInterval)
		quicktest.Assert(t, s.boxes[0].Direct.Healthy(), quicktest.IsTrue)
		s.network.Cut("box-0")
		quicktest.Assert(t, write(ctx, s.boxes[0], "c"), quicktest.IsNil) // No other box is needed.
	})
}

// TestRecoveryIsNoticedSoon fails if a box takes a store that answers again for unreachable for longer than a probe
// interval and an answer take: callers are refused meanwhile. It also fails if the box takes it for unreachable again by
// the calls that got no answer.
func TestRecoveryIsNoticedSoon(t *testing.T) {
	for outage := 1200 * time.Millisecond; outage < 2400*time.Millisecond; outage += 60 * time.Millisecond {
		t.Run(outage.String(), func(t *testing.T) {
			runWithThreeBoxes(t, func(ctx context.Context, t *testing.T, s *site) {
				s.store.SetSilent()
				go func() { _ = write(ctx, s.boxes[0], "a") }()
				time.Sleep(outage)
				quicktest.Check(t, s.boxes[0].Direct.Healthy(), quicktest.IsFalse)
				s.store.SetUp()
				returned := time.Now()
				for !s.boxes[0].Direct.Healthy() && time.Since(returned) < time.Minute {
					time.Sleep(10 * time.Millisecond)
				}
				late := time.Since(returned)
				quicktest.Check(t, late <= probeInterval+100*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("noticed after %v", late))
				for time.Since(returned) < 3*time.Second {
					time.Sleep(50 * time.Millisecond)
					quicktest.Check(t, s.boxes[0].Direct.Unreachable(), quicktest.IsFalse, quicktest.Commentf("unreachable again after %v", time.Since(returned)))
				}
			})
		})
	}
}

// TestCallsTakeOneHopAtMost guards against calls that circle between boxes: a box whose direct path is down must
// not forward the calls of others.
func TestCallsTakeOneHopAtMost(t *testing.T) {
	runWithThreeBoxes(t, func(ctx context.Context, t *testing.T, s *site) {
		for _, box := range []string{"box-0", "box-1", "box-2"} {
			s.store.Refuse(box)
		}
		time.Sleep(time.Second)
		for range 3 {
			quicktest.Assert(t, write(ctx, s.boxes[0], "a"), quicktest.ErrorIs, store.ErrRefused)
		}
	})
}

// TestReachablePeerIsFoundAmongMany guards against calls that fail although some box reaches the store. Three in
// four boxes are cut off from it; only the calls that a box needs to notice this may fail.
func TestReachablePeerIsFoundAmongMany(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		s := newSite(ctx, 8)
		for i := range 6 {
			s.store.Refuse("box-" + strconv.Itoa(i))
		}
		for i, b := range s.boxes[:6] {
			failed := 0
			for range 8 {
				if write(ctx, b, "a") != nil {
					failed++
				}
			}
			quicktest.Check(t, failed <= maxFailures, quicktest.IsTrue, quicktest.Commentf("box-%d: %d", i, failed))
		}
		cancel()
		time.Sleep(time.Minute) // Lets the goroutines end.
	})
}

// TestStoreRefusalStopsForwarding guards against a store that is overloaded further by forwarded calls. It refuses
// every box; one write may reach it over three boxes at most, however many there are.
func TestStoreRefusalStopsForwarding(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		s := newSite(ctx, 12)
		s.store.Refuse("box-0")
		for range 3 {
			_ = write(ctx, s.boxes[0], "a")
		}
		quicktest.Assert(t, s.boxes[0].Direct.Healthy(), quicktest.IsFalse)
		calls := func() int64 {
			sum := int64(0)
			for _, b := range s.boxes {
				sum += b.Direct.Figures.CounterValue(PathDirect + "_commit_t")
			}
			return sum
		}
		s.store.SetBusy()
		before := calls()
		quicktest.Check(t, write(ctx, s.boxes[0], "b"), quicktest.ErrorIs, store.ErrRefused)
		made := calls() - before
		quicktest.Check(t, made <= 3, quicktest.IsTrue, quicktest.Commentf("%d calls", made))
		cancel()
		time.Sleep(time.Minute) // Lets the goroutines end.
	})
}

// TestFailingPeersAreSkipped guards against calls that keep waiting for a box that does not answer: after a failure
// they must go through another box.
func TestFailingPeersAreSkipped(t *testing.T) {
	runWithThreeBoxes(t, func(ctx context.Context, t *testing.T, s *site) {
		s.store.Refuse("box-0")
		s.network.Cut("box-1")
		time.Sleep(2 * time.Second)
		slow := 0
		for range 20 {
			began := time.Now()
			_ = write(ctx, s.boxes[0], "a") // box-1 does not answer.
			if time.Since(began) > 100*time.Millisecond {
				slow++
			}
		}
		quicktest.Assert(t, slow <= 2, quicktest.IsTrue, quicktest.Commentf("%d of 20 were slow", slow))
		quicktest.Assert(t, write(ctx, s.boxes[0], "b"), quicktest.IsNil)
	})
}

func TestStaleRowsAreDeleted(t *testing.T) {
	runWithThreeBoxes(t, func(ctx context.Context, t *testing.T, s *site) {
		old := strconv.FormatInt(time.Now().Add(-staleRowAge).UnixMilli()-1, 10)
		for name, value := range map[string]string{"gone": "gone " + old, "odd": "no time"} {
			key := store.Key{Table: tableBoxes, Part: partBoxes, Name: name}
			_, err := s.boxes[0].Commit(ctx, &store.Transaction{Writes: []store.Row{{Key: key, Value: []byte(value)}}})
			quicktest.Assert(t, err, quicktest.IsNil)
		}
		time.Sleep(announceInterval + time.Second)
		page, err := s.boxes[1].Read(ctx, store.Range{Table: tableBoxes, Part: partBoxes})
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, page.Rows, quicktest.HasLen, 3)
		quicktest.Assert(t, s.boxes[0].Directory.choosePeers(10), quicktest.HasLen, 2)
	})
}

// TestPeerDirectoryDoesNotGrow guards against costs for each box that grow with the number of boxes. 50, 200 and
// 800 boxes of one hall start together; what each box reads, writes and keeps must stay within the same limits.
func TestPeerDirectoryDoesNotGrow(t *testing.T) {
	for _, boxes := range []int{50, 200, 800} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			s := newSite(ctx, boxes)
			time.Sleep(2 * time.Minute)
			low, all := 0, map[string]int64{}
			for i, b := range s.boxes {
				if b.Directory.Rank() < candidatesWanted {
					low++
				}
				counted := b.Direct.Figures.Counters(PathDirect + "_")
				for name, n := range counted {
					all[name] += n
				}
				comment := quicktest.Commentf("box %d of %d: %v", i, boxes, counted)
				quicktest.Check(t, len(b.Directory.choosePeers(boxes)), quicktest.Equals, peersKept, comment)
				quicktest.Check(t, counted["read_boxes"] <= 32, quicktest.IsTrue, comment)
				quicktest.Check(t, counted["bytes_read_boxes"] <= 10<<10, quicktest.IsTrue, comment)
			}
			comment := quicktest.Commentf("%d boxes: %v", boxes, all)
			quicktest.Check(t, low, quicktest.Equals, candidatesWanted, comment)
			quicktest.Check(t, all["commit_boxes"] <= int64(11*boxes+100), quicktest.IsTrue, comment)
			cancel()
			time.Sleep(time.Minute) // Lets the goroutines end.
		})
	}
}

// TestCandidatesAreRanked guards against a wrong order of candidates: shorter takeover times come first, then the
// order of the boxes' hashes. Candidates that no longer announce themselves must not count.
func TestCandidatesAreRanked(t *testing.T) {
	runWithThreeBoxes(t, func(_ context.Context, t *testing.T, s *site) {
		s.boxes[0].Directory.TakeoverTime = time.Second
		time.Sleep(2*announceInterval + time.Second)
		quicktest.Assert(t, s.boxes[0].Directory.Rank(), quicktest.Equals, 2)
		quicktest.Assert(t, s.boxes[1].Directory.Rank(), quicktest.Equals, 0)
		quicktest.Assert(t, s.boxes[2].Directory.Rank(), quicktest.Equals, 1)
		s.store.Cut("box-1")
		s.network.Cut("box-1")
		time.Sleep(candidateExpiry + 2*announceInterval)
		quicktest.Assert(t, s.boxes[2].Directory.Rank(), quicktest.Equals, 0)
	})
}

// TestCallsAreCountedByTable guards against calls to the store, or bytes of rows, that are counted under the wrong
// table.
func TestCallsAreCountedByTable(t *testing.T) {
	runWithThreeBoxes(t, func(ctx context.Context, t *testing.T, s *site) {
		b := s.boxes[0]
		before := b.Direct.Figures.Counters(PathDirect + "_")
		key := store.Key{Table: "t", Name: "n"}
		_, err := b.Commit(ctx, &store.Transaction{Writes: []store.Row{{Key: key, Value: []byte("four")}}})
		quicktest.Assert(t, err, quicktest.IsNil)
		_, err = b.Read(ctx, store.Range{Table: "t"})
		quicktest.Assert(t, err, quicktest.IsNil)
		_, err = b.Watch(ctx, "t", 0, 0)
		quicktest.Assert(t, err, quicktest.IsNil)
		counted := b.Direct.Figures.Counters(PathDirect + "_")
		maps.DeleteFunc(counted, func(name string, n int64) bool { return n == before[name] })
		quicktest.Assert(t, counted, quicktest.DeepEquals, map[string]int64{
			"commit_t": 1, "read_t": 1, "watch_t": 1, "bytes_written_t": 4, "bytes_read_t": 8,
		})
	})
}
