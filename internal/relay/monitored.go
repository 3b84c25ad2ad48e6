package relay

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/logsink"
	"github.com/pulleyring/pulleyring/internal/measure"
	"github.com/pulleyring/pulleyring/internal/store"
	"go.uber.org/zap"
)

const (
	// maxFailures is the number of failed calls in a row after which the store counts as unreachable. It is more than one
	// because single answers get lost.
	maxFailures = 2
	// maxSilence is how long the store may leave all calls unanswered. After that it counts as unreachable as soon as one
	// call fails or has been in flight for maxSilence. The store at its slowest answers after about 400 ms.
	maxSilence = 700 * time.Millisecond
	// failureQuietTime is how long the store must have answered no call before failed calls make it count as unreachable.
	// While it answers some calls, lost answers and refusals by an overloaded part don't mean that all of it is
	// unreachable.
	failureQuietTime = 200 * time.Millisecond
)

// Timeouts of transactions and of reads of a single row. They are short, so that a call whose answer was lost is
// repeated soon. Repeating a transaction is safe: its conditions ensure that it takes effect once.
const (
	// timeoutFactor is the ratio of the timeout to the recent latency.
	timeoutFactor = 4
	// minTimeout and maxTimeout limit the timeout. Most answers take 5 ms, and those that queue behind other calls some
	// tens of ms; the adapter gives up after 1.2 s.
	minTimeout = 250 * time.Millisecond
	maxTimeout = 1200 * time.Millisecond
	// minReadTimeout is the minimum for the read of a single row, which may queue behind pages on a slow link.
	minReadTimeout = 400 * time.Millisecond
	// Each answer lowers the recorded latency by the factor latencyDecay at most, and each failed call raises it by the
	// factor latencyGrowth. If half of the calls fail, the timeout does not grow.
	latencyDecay  = 0.5
	latencyGrowth = 1.5
)

// MonitoredStore wraps a store. From the outcome of calls it derives whether the store can be reached, and the timeout
// of further calls.
type MonitoredStore struct {
	store.Store
	Path    string // Name of the path to the store, for logs and metrics.
	Log     *zap.Logger
	Figures *measure.Metrics // May be nil.

	mu             sync.Mutex
	latency        time.Duration         // Recent latency: the slowest answer, decaying with each faster one.
	failures       int                   // Number of failed calls in a row.
	lastUnanswered bool                  // The last call ended without an answer.
	lastAnswer     time.Time             // Time of the last answer.
	inFlight       map[*time.Time]string // Start of each call in flight, and its kind.
	unhealthy      bool                  // Whether the last logged state was that the store can't be reached.
}

// Healthy reports whether the store can be reached, judging by the last calls. It is false before the first answer.
func (w *MonitoredStore) Healthy() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.healthy()
}

// Suspect reports whether the last call got no answer, and no other call was answered within the current timeout. The
// next call should then take another path, if there is one.
func (w *MonitoredStore) Suspect() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lastUnanswered && time.Since(w.lastAnswer) > w.timeoutLocked()
}

// Unreachable reports whether the store is unhealthy and answered no call for maxSilence, so that a new call would
// likely fail. It returns false if only some parts of the store are down.
func (w *MonitoredStore) Unreachable() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.healthy() && time.Since(w.lastAnswer) > maxSilence
}

// healthy implements Healthy; the caller holds mu.
func (w *MonitoredStore) healthy() bool {
	if w.lastAnswer.IsZero() || w.failures >= maxFailures && time.Since(w.lastAnswer) > failureQuietTime {
		return false
	}
	if time.Since(w.lastAnswer) < maxSilence {
		return true
	}
	if w.failures > 0 {
		return false
	}
	for began := range w.inFlight {
		if time.Since(*began) > maxSilence {
			return false
		}
	}
	return true
}

// Commit implements store.Store.
func (w *MonitoredStore) Commit(ctx context.Context, tx *store.Transaction) (int64, error) {
	done := w.beginCall("commit", tableOf(tx))
	timeout := w.timeout()
	if tx.Patient {
		timeout = maxTimeout
	}
	within, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	version, err := w.Store.Commit(within, tx)
	done(ctx, err)
	if err == nil {
		w.countBytes("written", tx.Writes)
	}
	return version, err
}

// tableOf returns the table under which a transaction is counted: that of its first write or, without one, of its first
// deletion.
func tableOf(tx *store.Transaction) string {
	for i := range tx.Writes {
		return tx.Writes[i].Table
	}
	for i := range tx.Deletes {
		return tx.Deletes[i].Table
	}
	return ""
}

// timeout returns how long to wait for the answer to a transaction or to the read of a single row.
func (w *MonitoredStore) timeout() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.timeoutLocked()
}

// timeoutLocked implements timeout; the caller holds mu.
func (w *MonitoredStore) timeoutLocked() time.Duration {
	return min(max(timeoutFactor*w.latency, minTimeout), maxTimeout)
}

// recordLatency updates the recent latency with the duration of a call; a failed call raises it by latencyGrowth.
func (w *MonitoredStore) recordLatency(took time.Duration, failed bool) {
	if failed {
		w.latency = min(time.Duration(latencyGrowth*float64(w.latency)), maxTimeout/timeoutFactor)
		return
	}
	w.latency = max(took, time.Duration(latencyDecay*float64(w.latency)))
}

// Read implements store.Store.
func (w *MonitoredStore) Read(ctx context.Context, r store.Range) (store.Page, error) {
	done := w.beginCall("read", r.Table)
	within := ctx
	if r.Limit == 1 { // Longer pages may take long on a slow link.
		var cancel context.CancelFunc
		within, cancel = context.WithTimeout(ctx, max(w.timeout(), minReadTimeout))
		defer cancel()
	}
	page, err := w.Store.Read(within, r)
	done(ctx, err)
	w.countBytes("read", page.Rows)
	return page, err
}

// Watch implements store.Store. Its outcome does not affect the health of the path, because an answer may come late
// only for lack of changes.
func (w *MonitoredStore) Watch(ctx context.Context, table string, since int64, wait time.Duration) (store.Page, error) {
	w.Figures.Count(w.Path + "_watch_" + table)
	page, err := w.Store.Watch(ctx, table, since, wait)
	w.countBytes("read", page.Rows)
	return page, err
}

// countBytes adds the size of the rows' values to the metrics, by table.
func (w *MonitoredStore) countBytes(what string, rows []store.Row) {
	for i := range rows {
		w.Figures.Add(w.Path+"_bytes_"+what+"_"+rows[i].Table, int64(len(rows[i].Value)))
	}
}

// beginCall records the start of a call on a table. It returns the function that records the outcome of the call.
func (w *MonitoredStore) beginCall(what, table string) func(ctx context.Context, err error) {
	began := time.Now()
	w.Figures.Count(w.Path + "_" + what + "_" + table)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.inFlight == nil {
		w.inFlight = map[*time.Time]string{}
	}
	w.inFlight[&began] = what
	return func(ctx context.Context, err error) { w.endCall(ctx, &began, what, err) }
}

// endCall records the outcome of a call: its duration, its error and whether the store can be reached.
func (w *MonitoredStore) endCall(ctx context.Context, began *time.Time, what string, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.inFlight, began)
	failed := store.IsFailure(err)
	if failed && errors.Is(ctx.Err(), context.Canceled) {
		return // The caller cancelled the call; the store has not failed.
	}
	w.Figures.ObserveDuration(w.Path+"_"+what, time.Since(*began))
	w.recordLatency(time.Since(*began), failed)
	w.lastUnanswered = errors.Is(err, store.ErrUnknown)
	if failed {
		w.Figures.Count(w.Path + "_" + what + "_failed")
		w.failures++
	} else {
		w.failures, w.lastAnswer = 0, time.Now()
	}
	if unhealthy := !w.healthy(); unhealthy != w.unhealthy {
		w.unhealthy = unhealthy
		w.Log.Warn("relay: the store became reachable or unreachable", zap.String("path", w.Path), zap.Bool("reached", !unhealthy), zap.String("call", what),
			zap.Duration("took", time.Since(*began)), zap.Int("failures", w.failures), logsink.Error(err))
	}
}
