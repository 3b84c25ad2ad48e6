package relay

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/measure"
	"github.com/pulleyring/pulleyring/internal/store"
)

// Follower is a store whose reads are answered by the watchers of the hall, which read the same rows, so that the
// number of reads from the store does not grow with the number of boxes. If no watcher answers, it reads from the store
// itself. It is for one goroutine. Set the exported fields before use.
type Follower struct {
	store.Store // For all other calls, and for reads that no watcher answers.
	Directory   *PeerDirectory
	Network     Network
	Figures     *measure.Metrics
	Wait        time.Duration // How long a watcher may delay its answer while the rows are unchanged.
	MaxAge      time.Duration // Maximum age of rows that a watcher has read.

	lastPages    map[store.Range]copiedPage
	asOf         time.Time
	lastCopied   bool
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
	// copyBackoff is how long no watcher is asked after one failed to answer. Until then reads go straight to the store,
	// so that a caller's deadline is not spent on watchers.
	copyBackoff = 4 * time.Second
)

// AsOf returns a time at or after which the rows of the last page were read from the store.
func (f *Follower) AsOf() time.Time { return f.asOf }

// Copied reports whether the last page came from a watcher.
func (f *Follower) Copied() bool { return f.lastCopied }

// Read implements store.Store.
func (f *Follower) Read(ctx context.Context, r store.Range) (store.Page, error) {
	if address := f.Directory.watcherAddress(f.watcherIndex); address != "" && time.Since(f.lastFailure) > copyBackoff {
		page, err := f.copyFrom(ctx, address, r)
		if f.lastCopied = err == nil; f.lastCopied {
			f.Figures.Count("follower_copied")
			return page, nil
		}
		f.Figures.Count("follower_missed")
		f.watcherIndex++ // Try another watcher next time.
		f.lastFailure = time.Now()
	}
	f.lastCopied, f.asOf = false, time.Now()
	return f.Store.Read(ctx, r)
}

// copyFrom asks the watcher at an address for the rows of a range. It returns an error if the watcher's rows differ
// from the last ones and are older.
func (f *Follower) copyFrom(ctx context.Context, address string, r store.Range) (store.Page, error) {
	known := f.lastPages[r]
	asked := time.Now()
	ctx, cancel := context.WithTimeout(ctx, f.Wait+copyTimeout)
	defer cancel()
	found, err := f.Network.Peer(address).Copy(ctx, store.Query{Range: r, Known: known.digest, Wait: f.Wait, MaxAge: f.MaxAge})
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
