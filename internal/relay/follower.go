package relay

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/logsink"
	"github.com/pulleyring/pulleyring/internal/measure"
	"github.com/pulleyring/pulleyring/internal/store"
	"go.uber.org/zap"
)

// Follower is a store whose reads are answered by the watchers of the hall, which read the same rows, so that the
// number of reads from the store does not grow with the number of boxes. If no watcher answers, it reads from the store
// itself. It is for one goroutine. Set the exported fields before use.
type Follower struct {
	store.Store // For all other calls, and for reads that no watcher answers.
	Directory   *PeerDirectory
	Network     Network
	Log         *zap.Logger
	Figures     *measure.Metrics
	Wait        time.Duration // How long a watcher may delay its answer while the rows are unchanged.
	MaxAge      time.Duration // Maximum age of rows that a watcher has read.
	// MaxStale limits the age of AsOf: a watcher is waited for until it is reached, and the rows are then read from the
	// store. The limit holds as long as Read is called without long pauses; 0 for no limit.
	MaxStale time.Duration

	lastPages    map[store.Range]copiedPage
	asOf         time.Time
	watcherIndex int       // Selects the watcher that is asked.
	lastFailure  time.Time // When a watcher last failed to answer.
}

// copiedPage is the last page of a range that was copied from a watcher.
type copiedPage struct {
	page   store.Page
	digest uint64
}

const (
	// copyTimeout limits the wait for a watcher's answer, beyond the query's own wait.
	copyTimeout = 500 * time.Millisecond
	// minCopyTime is the least time left within MaxStale in which a watcher is asked. It usually answers within a few ms.
	minCopyTime = 100 * time.Millisecond
	// copyBackoff is how long no watcher is asked after one failed to answer. Until then reads go straight to the store,
	// so that a caller's deadline is not spent on watchers.
	copyBackoff = 4 * time.Second
)

// AsOf returns a time at or after which the rows of the last page were read from the store.
func (f *Follower) AsOf() time.Time { return f.asOf }

// AsksWatcher reports whether the next read asks a watcher, which delays its answer while the rows are unchanged.
func (f *Follower) AsksWatcher() bool { return f.watcher() != "" }

// watcher returns the address of the watcher to ask; an empty string if there is none, or if one failed to answer lately.
func (f *Follower) watcher() string {
	if time.Since(f.lastFailure) <= copyBackoff {
		return ""
	}
	return f.Directory.watcherAddress(f.watcherIndex)
}

// Read implements store.Store.
func (f *Follower) Read(ctx context.Context, r store.Range) (store.Page, error) {
	timeout := f.copyTimeLeft()
	if timeout >= minCopyTime {
		if page, ok := f.copyPage(ctx, r, timeout); ok {
			return page, nil
		}
	}
	asked := time.Now()
	page, err := f.Store.Read(ctx, r)
	if err == nil {
		f.asOf = asked
		return page, nil
	}
	if timeout < minCopyTime { // A watcher may still know more than this box.
		if page, ok := f.copyPage(ctx, r, copyTimeout); ok {
			return page, nil
		}
	}
	return page, err
}

// copyTimeLeft returns how long the answer of a watcher may take.
func (f *Follower) copyTimeLeft() time.Duration {
	timeout := f.Wait + copyTimeout
	if f.MaxStale > 0 {
		timeout = min(timeout, f.MaxStale-time.Since(f.asOf))
	}
	return timeout
}

// copyPage asks a watcher for the rows of a range; ok is false if there is none, or no usable answer within timeout.
func (f *Follower) copyPage(ctx context.Context, r store.Range, timeout time.Duration) (page store.Page, ok bool) {
	address := f.watcher()
	if address == "" {
		return store.Page{}, false
	}
	asked := time.Now()
	page, err := f.copyFrom(ctx, address, r, timeout)
	if err == nil {
		f.Figures.Count("follower_copied")
		return page, true
	}
	f.Figures.Count("follower_missed")
	f.Log.Info("relay: a box that watches the store gave no usable answer", zap.String("address", address), zap.String("table", r.Table),
		zap.Duration("took", time.Since(asked)), zap.Duration("last_read", time.Since(f.asOf)), logsink.Error(err))
	f.watcherIndex++ // Try another watcher next time.
	f.lastFailure = time.Now()
	return store.Page{}, false
}

// copyFrom asks the watcher at an address for the rows of a range. It returns an error if the answer takes longer than
// timeout, or if the watcher's rows differ from the last ones and are older.
func (f *Follower) copyFrom(ctx context.Context, address string, r store.Range, timeout time.Duration) (store.Page, error) {
	known := f.lastPages[r]
	asked := time.Now()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	found, err := f.Network.Peer(address).Copy(ctx, store.Query{Range: r, Known: known.digest, Wait: max(timeout-copyTimeout, 0), MaxAge: f.MaxAge})
	if err != nil {
		return store.Page{}, err
	}
	asOf := asked.Add(found.Waited - found.Age)
	switch {
	case asOf.Before(f.asOf) && found.Digest != known.digest:
		return store.Page{}, errors.New("relay: the copied rows are older than those read before; reading from the store")
	case found.Digest == known.digest:
		found.Page = known.page
	}
	if asOf.After(f.asOf) {
		f.asOf = asOf
	}
	if f.lastPages == nil {
		f.lastPages = map[store.Range]copiedPage{}
	}
	f.lastPages[r] = copiedPage{found.Page, found.Digest}
	return found.Page, nil
}
