package scheduler

import (
	"time"

	"github.com/pulleyring/pulleyring/internal/interval"
)

// maxFeedDelay is the longest time that a healthy store takes to answer a waiting feed call once there is a change to
// report. It usually takes some 10 ms.
const maxFeedDelay = 100 * time.Millisecond

// maxAwaitedChanges is the largest number of changes in the answer to a feed call that waited for them: the records of
// a rack of eight workers may change at the same moment. A call whose answer has more changes found them when it came.
// 1,100 workers write some 200 records between two answers.
const maxAwaitedChanges = 8

// feedAge tracks how old the changes reported by a feed may be.
type feedAge struct {
	completeAsOf time.Time // Everything written before this time has been read.
}

// record records an answer of the feed and returns the time after which the reported changes were written. began and at
// are the times of the call and of its answer, changes is the number of changes in it. more says that the answer was
// full and left changes out. A waiting call is answered as soon as there is a change, so an answer with many changes
// did not wait for them, however late it came.
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

// watchDirectory watches the store for changes of workers' records after a version and applies them. age says how old
// the records up to that version may be. When the feed is quiet for too long, watchDirectory reads all records.
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
