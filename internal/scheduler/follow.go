package scheduler

import (
	"time"

	"github.com/pulleyring/pulleyring/internal/interval"
)

// slowFeed is how long a store that is well takes at most to answer a feed that has something to tell in few words: some 10 ms.
const slowFeed = 100 * time.Millisecond

// fewNews is how many records change at one moment at most, as those of a rack of eight workers may: an answer with more was not that to a call that had waited. Between two
// answers 1,100 workers write some 200.
const fewNews = 8

// feedAge follows how old the news of a feed may be.
type feedAge struct {
	whole time.Time // All that was written before has been read.
}

// took takes in an answer that came at a time to a call that began before, and returns the time since when what it tells was written. A call that waits is answered as
// soon as there is something to tell: one with much news did not wait, however late its answer came. More says that the answer was full and left something out.
func (f *feedAge) took(began, at time.Time, news int, more bool) time.Time {
	newest, asOf := began, f.whole
	if waited := at.Add(-slowFeed); news <= fewNews && waited.After(began) {
		newest = waited
		if !more && waited.After(asOf) {
			asOf = waited
		}
	}
	if !more {
		f.whole = newest
	}
	return asOf
}

// followWorkers takes in the workers' records as they change after a version; age is that of what was read before.
func (h *shard) followWorkers(version int64, age feedAge) {
	for h.ctx.Err() == nil {
		began := time.Now()
		listing, err := h.Directory.WatchWorkers(h.ctx, version, workersQuiet)
		if err == nil {
			listing.AsOf = age.took(began, time.Now(), len(listing.Workers)+len(listing.Gone), listing.More)
		}
		whole := err != nil || len(listing.Workers)+len(listing.Gone) == 0
		if whole {
			began = time.Now()
			listing, err = h.Directory.Workers(h.ctx)
			listing.AsOf = age.whole
		}
		if err != nil {
			h.noteStore(err, "follow workers")
			interval.Sleep(h.ctx, retryPause)
			continue
		}
		if whole {
			age.whole = began
		}
		version = listing.Version
		h.mu.Lock()
		h.takeListing(listing, whole)
		h.mu.Unlock()
		if !listing.More {
			interval.Sleep(h.ctx, workersPause)
		}
	}
}
