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
)

// Watched passes calls on and learns from them whether the store can be reached.
type Watched struct {
	store.Store
	Path    string // What is watched, for logs and figures.
	Log     *zap.Logger
	Figures *measure.Figures // nil for none.

	mu       sync.Mutex
	failures int                   // In a row.
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

func (w *Watched) healthy() bool {
	if w.answered.IsZero() || w.failures >= failuresToDoubt {
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
	done := w.begin("commit")
	version, err := w.Store.Commit(ctx, tx)
	done(ctx, err)
	return version, err
}

// Read implements store.Store.
func (w *Watched) Read(ctx context.Context, r store.Range) (store.Page, error) {
	done := w.begin("read")
	page, err := w.Store.Read(ctx, r)
	done(ctx, err)
	return page, err
}

// begin notes a call; the function it returns takes in the outcome.
func (w *Watched) begin(what string) func(ctx context.Context, err error) {
	began := time.Now()
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
