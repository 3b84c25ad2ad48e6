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
	// failuresToDoubt is how many calls in a row must fail before a box counts the store as out of reach; one lost answer
	// among many says nothing.
	failuresToDoubt = 2
	// silenceToDoubt is how long calls may be under way without any answer before that: the store at its slowest answers
	// after about 400 ms.
	silenceToDoubt = 700 * time.Millisecond
	// refusalToDoubt is how long ago the last answer must be for failures to count: while others are answered, lost answers
	// and refusals of a part that has too much to do say nothing of the whole store.
	refusalToDoubt = 200 * time.Millisecond
)

// A transaction whose answer was lost is best repeated as soon as an answer should have come: the conditions see to it
// that it takes effect once.
const (
	// patienceFactor is how many times longer than the slowest answer lately a transaction may take.
	patienceFactor = 4
	// patienceLeast and patienceMost bound that: usual answers take 5 ms, and those that wait their turn behind others some
	// tens; the adapter gives up after 1.2 s.
	patienceLeast = 250 * time.Millisecond
	patienceMost  = 1200 * time.Millisecond
	// readPatienceLeast is the same as patienceLeast for the read of a single row, which may wait behind pages on a thin link.
	readPatienceLeast = 400 * time.Millisecond
	// latencyDecay is how much of the slowest answer is remembered from one answer to the next, and latencyGrowth what a
	// lost answer adds, so that half of the answers may be lost without the patience growing.
	latencyDecay  = 0.5
	latencyGrowth = 1.5
)

// Watched passes calls on and learns from them whether the store can be reached.
type Watched struct {
	store.Store
	Path    string // What is watched, for logs and figures.
	Log     *zap.Logger
	Figures *measure.Figures // nil for none.

	mu       sync.Mutex
	latency  time.Duration         // What answers take: the slowest lately.
	failures int                   // In a row.
	silent   bool                  // The last call that ended got no answer.
	answered time.Time             // When the last answer came.
	underWay map[*time.Time]string // Begin of each call without an answer yet.
	doubted  bool
}

// Healthy reports whether a call is likely to be answered.
func (w *Watched) Healthy() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.healthy()
}

// Suspect reports whether the last call got no answer, and none has come for as long as answers take: the next call is better made elsewhere, where that
// is possible.
func (w *Watched) Suspect() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.silent && time.Since(w.answered) > w.usual()
}

// Out reports whether nothing has been answered for a while: a call now would be in vain. A store of which only some parts
// are out is not.
func (w *Watched) Out() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.healthy() && time.Since(w.answered) > silenceToDoubt
}

func (w *Watched) healthy() bool {
	if w.answered.IsZero() || w.failures >= failuresToDoubt && time.Since(w.answered) > refusalToDoubt {
		return false
	}
	if time.Since(w.answered) < silenceToDoubt {
		return true
	}
	if w.failures > 0 {
		return false
	}
	for began := range w.underWay {
		if time.Since(*began) > silenceToDoubt {
			return false
		}
	}
	return true
}

// Commit implements store.Store.
func (w *Watched) Commit(ctx context.Context, tx *store.Transaction) (int64, error) {
	done := w.begin("commit", tableOf(tx))
	patience := w.patience()
	if tx.Patient {
		patience = patienceMost
	}
	within, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	version, err := w.Store.Commit(within, tx)
	done(ctx, err)
	if err == nil {
		w.countBytes("written", tx.Writes)
	}
	return version, err
}

// tableOf is the table that a transaction is counted under: that of its first row.
func tableOf(tx *store.Transaction) string {
	for i := range tx.Writes {
		return tx.Writes[i].Table
	}
	for i := range tx.Deletes {
		return tx.Deletes[i].Table
	}
	return ""
}

// patience is how long an answer to a transaction, or to the read of a single row, is waited for.
func (w *Watched) patience() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.usual()
}

// usual is the time within which answers come.
func (w *Watched) usual() time.Duration {
	return min(max(patienceFactor*w.latency, patienceLeast), patienceMost)
}

// learnLatency takes in how long an answer took, or that none came in that time.
func (w *Watched) learnLatency(took time.Duration, failed bool) {
	if failed {
		w.latency = min(time.Duration(latencyGrowth*float64(w.latency)), patienceMost/patienceFactor)
		return
	}
	w.latency = max(took, time.Duration(latencyDecay*float64(w.latency)))
}

// Read implements store.Store.
func (w *Watched) Read(ctx context.Context, r store.Range) (store.Page, error) {
	done := w.begin("read", r.Table)
	within := ctx
	if r.Limit == 1 { // A longer page may take a thin link long.
		var cancel context.CancelFunc
		within, cancel = context.WithTimeout(ctx, max(w.patience(), readPatienceLeast))
		defer cancel()
	}
	page, err := w.Store.Read(within, r)
	done(ctx, err)
	w.countBytes("read", page.Rows)
	return page, err
}

// Watch implements store.Store. What becomes of it says nothing of the path: it waits for long, and an answer may be late for want of changes.
func (w *Watched) Watch(ctx context.Context, table string, since int64, wait time.Duration) (store.Page, error) {
	w.Figures.Count(w.Path + "_watch_" + table)
	page, err := w.Store.Watch(ctx, table, since, wait)
	w.countBytes("read", page.Rows)
	return page, err
}

// countBytes counts the values of rows by their table.
func (w *Watched) countBytes(what string, rows []store.Row) {
	for i := range rows {
		w.Figures.Add(w.Path+"_bytes_"+what+"_"+rows[i].Table, int64(len(rows[i].Value)))
	}
}

// begin notes a call about a table; the function it returns takes in the outcome.
func (w *Watched) begin(what, table string) func(ctx context.Context, err error) {
	began := time.Now()
	w.Figures.Count(w.Path + "_" + what + "_" + table)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.underWay == nil {
		w.underWay = map[*time.Time]string{}
	}
	w.underWay[&began] = what
	return func(ctx context.Context, err error) { w.end(ctx, &began, what, err) }
}

func (w *Watched) end(ctx context.Context, began *time.Time, what string, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.underWay, began)
	failed := errors.Is(err, store.ErrRefused) || errors.Is(err, store.ErrUnknown)
	if failed && errors.Is(ctx.Err(), context.Canceled) {
		return // The caller gave up; that says nothing of the store.
	}
	w.Figures.Took(w.Path+"_"+what, time.Since(*began))
	w.learnLatency(time.Since(*began), failed)
	w.silent = errors.Is(err, store.ErrUnknown)
	if failed {
		w.Figures.Count(w.Path + "_" + what + "_failed")
		w.failures++
	} else {
		w.failures, w.answered = 0, time.Now()
	}
	if doubted := !w.healthy(); doubted != w.doubted {
		w.doubted = doubted
		w.Log.Warn("relay: whether the store can be reached", zap.String("path", w.Path), zap.Bool("reached", !doubted), zap.String("call", what),
			zap.Duration("took", time.Since(*began)), zap.Int("failures", w.failures), logsink.Error(err))
	}
}
