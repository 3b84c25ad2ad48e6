package emulator

import (
	"context"
	"time"

	"github.com/pulleyring/pulleyring/internal/fleet"
	"github.com/pulleyring/pulleyring/internal/interval"
	"github.com/pulleyring/pulleyring/internal/scheduler"
)

// For returns the fleet as one box sees it.
func (f *Fleet) For(gate *Gate) *View { return &View{f, gate} }

// View is a fleet as one box sees it; it implements fleet.Commands and scheduler.Directory.
type View struct {
	fleet *Fleet
	gate  *Gate
}

// orderLatency is the time that a command takes to arrive.
const orderLatency = time.Millisecond

// reach waits until a command arrives and returns its worker.
func (v *View) reach(ctx context.Context, target *fleet.Worker) (*worker, error) {
	if !v.gate.pass(ctx) || !interval.Sleep(ctx, orderLatency) {
		return nil, fleet.ErrNoAnswer
	}
	v.fleet.mu.Lock()
	w := v.fleet.workers[target.ID]
	v.fleet.mu.Unlock()
	if w == nil || !w.isAt(target) {
		<-ctx.Done()
		return nil, fleet.ErrNoAnswer
	}
	return w, nil
}

// isAt reports whether a command's target has the worker's address. A worker without an address matches every target.
func (w *worker) isAt(target *fleet.Worker) bool {
	return w.record.Address == "" || w.record.Address == target.Address
}

// order carries a command out, at once or late, and returns the worker's clock in ms.
func (v *View) order(ctx context.Context, target *fleet.Worker, do func(w *worker) error) (int64, error) {
	w, err := v.reach(ctx, target)
	if err != nil {
		return 0, err
	}
	w.mu.Lock()
	if over := w.outcomeFor(v.gate.Box); over != nil {
		w.mu.Unlock()
		if over == fleet.ErrNoAnswer {
			<-ctx.Done()
		}
		return 0, over
	}
	if w.parting {
		changed := w.changed
		w.mu.Unlock()
		return 0, untilHangUp(ctx, changed)
	}
	if w.late > 0 {
		w.late--
		late := w.lateBy
		w.mu.Unlock()
		time.AfterFunc(late, func() { v.fleet.carryOutLate(target, do) })
		<-ctx.Done()
		return 0, fleet.ErrNoAnswer
	}
	err = do(w)
	clock, late := w.clock(), w.answers
	if w.mute > 0 {
		w.mute--
		err = fleet.ErrNoAnswer
	}
	w.mu.Unlock()
	if err == fleet.ErrNoAnswer {
		<-ctx.Done()
		return 0, err
	}
	if late > 0 && !interval.Sleep(ctx, late) || !v.gate.pass(ctx) {
		return 0, fleet.ErrNoAnswer
	}
	return clock, err
}

// carryOutLate carries a delayed command out on the worker's current incarnation, as the command names none. The
// answer is dropped.
func (f *Fleet) carryOutLate(target *fleet.Worker, do func(w *worker) error) {
	f.mu.Lock()
	w := f.workers[target.ID]
	f.mu.Unlock()
	if !w.isAt(target) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.belated = true
	_ = do(w)
	w.belated = false
}

// Start implements fleet.Commands.
func (v *View) Start(ctx context.Context, target *fleet.Worker, o *fleet.Start) (int64, error) {
	v.fleet.mu.Lock()
	w := v.fleet.workers[target.ID]
	v.fleet.mu.Unlock()
	if w != nil && w.isDead() {
		v.fleet.noteLost(o.Task, o.Run)
	}
	return v.order(ctx, target, func(w *worker) error { return w.start(o) })
}

// Stop implements fleet.Commands.
func (v *View) Stop(ctx context.Context, target *fleet.Worker, o *fleet.Stop) (int64, error) {
	return v.order(ctx, target, func(w *worker) error { return w.stop(o) })
}

// Look implements fleet.Commands.
func (v *View) Look(ctx context.Context, target *fleet.Worker, o *fleet.Look) (fleet.Report, error) {
	w, err := v.reach(ctx, target)
	if err != nil {
		return fleet.Report{}, err
	}
	if w.muted() {
		<-ctx.Done()
		return fleet.Report{}, fleet.ErrNoAnswer
	}
	if late, isLate := w.looksLate(); isLate {
		time.AfterFunc(late, func() {
			v.fleet.carryOutLate(target, func(w *worker) error { _, err := w.report(o); return err })
		})
		<-ctx.Done()
		return fleet.Report{}, fleet.ErrNoAnswer
	}
	waited, stop := interval.After(o.Wait)
	defer stop()
	for first := true; ; first = false {
		w.mu.Lock()
		changed, over, parting := w.changed, w.outcomeFor(v.gate.Box), w.parting
		var report fleet.Report
		err := over
		if over == nil && !parting {
			report, err = w.report(o)
		}
		w.mu.Unlock()
		if over == fleet.ErrNotListening {
			return report, lookAtEnded(first)
		}
		if err == fleet.ErrNoAnswer {
			<-ctx.Done()
			return report, err
		}
		if over != nil {
			return report, over
		}
		if !parting && (err != nil || len(report.Ended) > 0 || o.Wait == 0 || !first) {
			return v.answer(ctx, w, report, err)
		}
		select {
		case <-ctx.Done():
			return fleet.Report{}, fleet.ErrNoAnswer
		case <-waited:
		case <-changed:
		}
	}
}

// answer delivers a worker's answer to a poll to the box, after the delay that is set.
func (v *View) answer(ctx context.Context, w *worker, report fleet.Report, err error) (fleet.Report, error) {
	if d := w.heldBack(); d > 0 && !interval.Sleep(ctx, d) {
		return fleet.Report{}, fleet.ErrNoAnswer
	}
	if !v.gate.pass(ctx) {
		return fleet.Report{}, fleet.ErrNoAnswer
	}
	w.tell(report.Ended)
	return report, err
}

// lookAtEnded returns the error of a poll whose worker's process has ended; before says that it ended before the poll
// arrived.
func lookAtEnded(before bool) error {
	if before {
		return fleet.ErrNotListening
	}
	return fleet.ErrHungUp
}

// muted reports whether a poll gets no answer, and counts it.
func (w *worker) muted() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.mute == 0 {
		return false
	}
	w.mute--
	return true
}

// looksLate reports whether a poll gets no answer and takes effect late, and counts it; by is the delay.
func (w *worker) looksLate() (by time.Duration, isLate bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lateLooks == 0 {
		return 0, false
	}
	w.lateLooks--
	return w.lateLookBy, true
}

// Workers implements scheduler.Directory.
func (v *View) Workers(ctx context.Context) (scheduler.Listing, error) {
	if !v.gate.pass(ctx) || !interval.Sleep(ctx, storeLatency) {
		return scheduler.Listing{}, fleet.ErrNoAnswer
	}
	l, _ := v.fleet.since(-1)
	l.Gone = nil
	return l, nil
}

// WatchWorkers implements scheduler.Directory.
func (v *View) WatchWorkers(ctx context.Context, since int64, wait time.Duration) (scheduler.Listing, error) {
	if !v.gate.pass(ctx) {
		return scheduler.Listing{}, fleet.ErrNoAnswer
	}
	over, stop := interval.After(wait)
	defer stop()
	for {
		l, changed := v.fleet.since(since)
		if len(l.Workers)+len(l.Gone) > 0 {
			return l, nil
		}
		select {
		case <-ctx.Done():
			return l, fleet.ErrNoAnswer
		case <-over:
			return l, nil
		case <-changed:
		}
	}
}

func (f *Fleet) since(version int64) (scheduler.Listing, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := scheduler.Listing{Version: f.version}
	f.reads++
	for id, r := range f.records {
		switch {
		case r.version <= version:
		case r.gone:
			l.Gone = append(l.Gone, id)
		default:
			l.Workers = append(l.Workers, r.worker)
		}
	}
	return l, f.changed
}
