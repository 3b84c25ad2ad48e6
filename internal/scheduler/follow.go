package scheduler

import (
	"time"

	"github.com/pulleyring/pulleyring/internal/interval"
)

// maxFeedDelay limits the time that a healthy store takes to answer a waiting feed call once there are a few changes
// to report. It takes some 10 ms.
const maxFeedDelay = 100 * time.Millisecond

// maxAwaitedChanges is the largest number of records that may change at the same moment, such as those of a rack of
// eight workers. A call whose answer has more changes did not wait for them: 1,100 workers write some 200 records
// between two answers.
const maxAwaitedChanges = 8

// feedAge tracks how old the changes reported by a feed may be.
type feedAge struct {
	completeAsOf time.Time // Everything written before this time has been read.
}

// record records an answer that came at the given time to a call that began before, and returns the time after which
// the reported changes were written. A waiting call is answered as soon as there is a change. An answer with many
// changes therefore did not wait, however late it came. more says that the answer was full and left changes out.
func (f *feedAge) record(began, at time.Time, changes int, more bool) time.Time {
	newest, asOf := began, f.completeAsOf
	if waited := at.Add(-maxFeedDelay); changes <= maxAwaitedChanges && waited.After(began) {
		newest = waited
		if !more && waited.After(asOf) {
			asOf = waited
		}
	}
	if !more {
		f.completeAsOf = newest
	}
	return asOf
}

// watchDirectory watches the store for changes of workers' records after a version and applies them. age is the age of
// what was read before. When the feed is quiet for too long, it reads all records.
func (h *shard) watchDirectory(version int64, age feedAge) {
	for h.ctx.Err() == nil {
		began := time.Now()
		listing, err := h.Directory.WatchWorkers(h.ctx, version, workersFeedTimeout)
		if err == nil {
			listing.AsOf = age.record(began, time.Now(), len(listing.Workers)+len(listing.Gone), listing.More)
		}
		complete := err != nil || len(listing.Workers)+len(listing.Gone) == 0
		if complete {
			began = time.Now()
			listing, err = h.Directory.Workers(h.ctx)
			listing.AsOf = age.completeAsOf
		}
		if err != nil {
			h.recordStoreFailure(err, "follow workers")
			interval.Sleep(h.ctx, retryDelay)
			continue
		}
		if complete {
			age.completeAsOf = began
		}
		version = listing.Version
		h.mu.Lock()
		h.applyListing(listing, complete)
		h.mu.Unlock()
		if !listing.More {
			interval.Sleep(h.ctx, workersPollDelay)
		}
	}
}
