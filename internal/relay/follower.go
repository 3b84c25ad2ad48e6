package relay

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/measure"
	"github.com/pulleyring/pulleyring/internal/store"
)

// Follower is a store whose reads are answered by the boxes of the hall that watch the same rows, and by the store itself where none of them does: what the
// store is read does not grow with the boxes. It is for one goroutine. Fill in the exported fields before use.
type Follower struct {
	store.Store // For all other calls, and for reads that nobody answers.
	Book        *Book
	Network     Network
	Figures     *measure.Figures
	Wait        time.Duration // How long an answer may be held back for other rows than were read last.
	MaxAge      time.Duration // How old what others have read may be.

	known  map[store.Range]copiedPage
	asOf   time.Time
	copied bool
	next   int       // Which of the boxes that watch is asked.
	missed time.Time // When the last one asked did not answer.
}

// copiedPage is a page as it was copied last.
type copiedPage struct {
	page   store.Page
	digest uint64
}

const (
	// copyTimeout bounds the answer to a query beyond its own wait.
	copyTimeout = 500 * time.Millisecond
	// missRest is how long no box is asked after one has not answered, so that the next reads have all of their time for the store.
	missRest = 4 * time.Second
)

// AsOf is the time that the last page that was read is of, at least.
func (f *Follower) AsOf() time.Time { return f.asOf }

// Copied reports whether the last page came from another box.
func (f *Follower) Copied() bool { return f.copied }

// Read implements store.Store.
func (f *Follower) Read(ctx context.Context, r store.Range) (store.Page, error) {
	if address := f.Book.watcher(f.next); address != "" && time.Since(f.missed) > missRest {
		page, err := f.copy(ctx, address, r)
		if f.copied = err == nil; f.copied {
			f.Figures.Count("follower_copied")
			return page, nil
		}
		f.Figures.Count("follower_missed")
		f.next++ // The next one may answer.
		f.missed = time.Now()
	}
	f.copied, f.asOf = false, time.Now()
	return f.Store.Read(ctx, r)
}

// copy asks a box for rows.
func (f *Follower) copy(ctx context.Context, address string, r store.Range) (store.Page, error) {
	known := f.known[r]
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
		return store.Page{}, errors.New("relay: another box knew more before")
	case found.Digest == known.digest:
		found.Page = known.page
	}
	if asOf.After(f.asOf) {
		f.asOf = asOf
	}
	if f.known == nil {
		f.known = map[store.Range]copiedPage{}
	}
	f.known[r] = copiedPage{found.Page, found.Digest}
	return found.Page, nil
}
