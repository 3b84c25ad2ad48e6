package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/emulator"
	"github.com/pulleyring/pulleyring/internal/store"
	"go.uber.org/zap"
	"pgregory.net/rapid"
)

var followedRows = store.Range{Table: "t", Limit: 1}

// newFollower returns a follower on a box that does not watch the store, and the names of the watchers. They read the
// rows every second.
func (s *site) newFollower(ctx context.Context) (f *Follower, watchers []string) {
	for _, b := range s.boxes {
		if !b.Directory.IsWatcher() {
			f = &Follower{Store: b, Directory: &b.Directory, Network: b.Network, Log: zap.NewNop(), Wait: time.Second, MaxAge: 2 * time.Second}
			continue
		}
		c := &Cache{Store: b}
		s.network.Serve(b.Directory.Box, b.Shared(c), &emulator.Gate{})
		watchers = append(watchers, b.Directory.Box)
		go func() {
			for ctx.Err() == nil {
				_, _ = c.Read(ctx, followedRows)
				time.Sleep(time.Second)
			}
		}()
	}
	time.Sleep(time.Second)
	return f, watchers
}

// TestFollowerKeepsMaxStale guards against waits for watchers that together exceed the allowed age of the rows. The
// watchers fall silent in random order, for any time, alone or together.
func TestFollowerKeepsMaxStale(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		maxStale := time.Duration(rapid.SampledFrom([]int{300, 600, 1600, 2100, 5000}).Draw(r, "ms")) * time.Millisecond
		silences := rapid.SliceOfN(rapid.IntRange(0, 5000), 1, 12).Draw(r, "silences")
		var oldest time.Duration
		synctest.Test(t, func(*testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			s := newSite(ctx, 5)
			f, watchers := s.newFollower(ctx)
			f.MaxStale = maxStale
			go func() {
				for n, ms := range silences {
					if ms%7 != 0 { // Else the one before goes on.
						s.network.Heal()
					}
					s.network.Cut(watchers[n%len(watchers)])
					time.Sleep(time.Duration(ms) * time.Millisecond)
				}
				cancel()
			}()
			for ctx.Err() == nil {
				before := f.AsOf()
				_, err := f.Read(ctx, followedRows)
				if err == nil && !before.IsZero() {
					oldest = max(oldest, time.Since(before))
				}
				time.Sleep(50 * time.Millisecond)
			}
			time.Sleep(time.Minute) // Lets the goroutines end.
		})
		if most := maxStale + 100*time.Millisecond; oldest > most { // The pause between reads and the read itself.
			r.Fatalf("the rows were %v old, which is more than %v", oldest, most)
		}
	})
}

// noStore is a store that no path reaches.
type noStore struct{ store.Store }

// Read implements store.Store.
func (noStore) Read(context.Context, store.Range) (store.Page, error) {
	return store.Page{}, store.ErrUnreachable
}

// TestFollowerAsksWatchersWhileTheStoreIsOut guards against a box that knows nothing new for as long as no path of its
// own leads to the store, although the watchers of its hall do.
func TestFollowerAsksWatchersWhileTheStoreIsOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		s := newSite(ctx, 5)
		f, _ := s.newFollower(ctx)
		f.Store, f.MaxStale = noStore{}, 1600*time.Millisecond
		for n := range 20 {
			_, err := f.Read(ctx, followedRows)
			quicktest.Check(t, err, quicktest.IsNil, quicktest.Commentf("read %d", n))
			time.Sleep(time.Second)
		}
		quicktest.Check(t, time.Since(f.AsOf()) < 3*time.Second, quicktest.IsTrue, quicktest.Commentf("%v", time.Since(f.AsOf())))
		cancel()
		time.Sleep(time.Minute) // Lets the goroutines end.
	})
}
