package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/store"
	"go.uber.org/zap"
)

// TestCacheServesOnlyRecentReads guards against a cache that serves rows which it never read or read too long ago,
// and against one that answers a waiting query before the rows have changed.
func TestCacheServesOnlyRecentReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		row := store.Row{Key: store.Key{Table: "t", Name: "n"}, Value: []byte("a"), Version: 1}
		f := &fakeStore{page: store.Page{Rows: []store.Row{row}}}
		c := &Cache{Store: f}
		r := store.Range{Table: "t"}
		_, err := c.Copy(ctx, store.Query{Range: r, MaxAge: time.Second})
		quicktest.Assert(t, err, quicktest.ErrorIs, store.ErrUnreachable)
		_, err = c.Read(ctx, r)
		quicktest.Assert(t, err, quicktest.IsNil)
		time.Sleep(time.Second)
		first, err := c.Copy(ctx, store.Query{Range: r, MaxAge: time.Second})
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, first.Age, quicktest.Equals, time.Second)
		quicktest.Assert(t, first.Page, quicktest.DeepEquals, f.page)
		go func() {
			time.Sleep(300 * time.Millisecond)
			_, _ = c.Read(ctx, r) // The same rows: the waiting query is not answered.
			time.Sleep(300 * time.Millisecond)
			f.page.Rows = []store.Row{{Key: row.Key, Value: []byte("b"), Version: 2}}
			_, _ = c.Read(ctx, r)
		}()
		second, err := c.Copy(ctx, store.Query{Range: r, Known: first.Digest, Wait: time.Minute, MaxAge: time.Minute})
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, second.Waited, quicktest.Equals, 600*time.Millisecond)
		quicktest.Assert(t, second.Page.Rows[0].Version, quicktest.Equals, int64(2))
		same, err := c.Copy(ctx, store.Query{Range: r, Known: second.Digest, Wait: time.Second, MaxAge: time.Minute})
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, same.Page.Rows, quicktest.HasLen, 0)
		time.Sleep(2 * time.Second)
		_, err = c.Copy(ctx, store.Query{Range: r, MaxAge: time.Second})
		quicktest.Assert(t, err, quicktest.ErrorIs, store.ErrUnreachable)
	})
}

// TestFollowerReadsWithoutWatchers guards against a follower that spends the time of its reads on watchers that
// don't answer. Both watchers of the hall are cut off and the store is slow. Most reads must still succeed, with a
// timeout as short as that of the reads of the lease.
func TestFollowerReadsWithoutWatchers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		s := newSite(ctx, 12)
		var last *Store
		for _, b := range s.boxes {
			if b.Directory.IsWatcher() {
				s.network.Cut(b.Directory.Box)
			} else {
				last = b
			}
		}
		s.store.SetLatency(300 * time.Millisecond)
		f := &Follower{Store: last, Directory: &last.Directory, Network: last.Network, Log: zap.NewNop(), MaxAge: time.Second}
		failed := 0
		for range 20 {
			bounded, stop := context.WithTimeout(ctx, 700*time.Millisecond)
			if _, err := f.Read(bounded, store.Range{Table: "t"}); err != nil {
				failed++
			}
			stop()
			time.Sleep(500 * time.Millisecond)
		}
		quicktest.Check(t, failed <= 4, quicktest.IsTrue, quicktest.Commentf("%d of 20 failed", failed))
		cancel()
		time.Sleep(time.Minute) // Lets the goroutines end.
	})
}
