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

// commandLatency is the time that a command takes to arrive.
const commandLatency = time.Millisecond

// reach waits until a command arrives and returns its worker.
func (v *View) reach(ctx context.Context, target *fleet.Worker) (*worker, error) {
	if !v.gate.pass(ctx) || !interval.Sleep(ctx, commandLatency) {
		return nil, fleet.ErrNoAnswer
	}
	v.fleet.mu.Lock()
	w := v.fleet.workers[target.ID]
	v.fleet.mu.Unlock()
	if w == nil || !w.matchesAddress(target) {
		<-ctx.Done()
		return nil, fleet.ErrNoAnswer
	}
	return w, nil
}

// matchesAddress reports whether a command's target has the worker's address. A worker without an address matches
// every target.
func (w *worker) matchesAddress(target *fleet.Worker) bool {
	return w.record.Address == "" || w.record.Address == target.Address
}

// send has the worker carry a command out, at once or late, and returns the worker's clock in ms.
func (v *View) send(ctx context.Context, target *fleet.Worker, carryOut func(w *worker) error) (int64, error) {
	w, err := v.reach(ctx, target)
	if err != nil {
		return 0, err
	}
	w.mu.Lock()
	if failure := w.errorFor(v.gate.Box); failure != nil {
		w.mu.Unlock()
		if failure == fleet.ErrNoAnswer {
			<-ctx.Done()
		}
		return 0, failure
	}
	if w.exiting {
		changed := w.changed
		w.mu.Unlock()
		return 0, waitForClose(ctx, changed)
	}
	if w.delayedCommands > 0 {
		w.delayedCommands--
		delay := w.commandDelay
		w.mu.Unlock()
		time.AfterFunc(delay, func() { v.fleet.runDelayed(target, carryOut) })
		<-ctx.Done()
		return 0, fleet.ErrNoAnswer
	}
	err = carryOut(w)
	clock, delay := w.clock(), w.answerDelay
	if w.droppedAnswers > 0 {
		w.droppedAnswers--
		err = fleet.ErrNoAnswer
	}
	w.mu.Unlock()
	if err == fleet.ErrNoAnswer {
		<-ctx.Done()
		return 0, err
	}
	if delay > 0 && !interval.Sleep(ctx, delay) || !v.gate.pass(ctx) {
		return 0, fleet.ErrNoAnswer
	}
	return clock, err
}

// runDelayed carries a delayed command out on the worker's current incarnation, as the command names none. The
// answer is dropped.
func (f *Fleet) runDelayed(target *fleet.Worker, carryOut func(w *worker) error) {
	f.mu.Lock()
	w := f.workers[target.ID]
	f.mu.Unlock()
	if !w.matchesAddress(target) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runsDelayedCommand = true
	_ = carryOut(w)
	w.runsDelayedCommand = false
}

// Start implements fleet.Commands.
func (v *View) Start(ctx context.Context, target *fleet.Worker, o *fleet.Start) (int64, error) {
	v.fleet.mu.Lock()
	w := v.fleet.workers[target.ID]
	v.fleet.mu.Unlock()
	if w != nil && w.isDead() {
		v.fleet.recordLostRun(o.Task, o.Run)
	}
	return v.send(ctx, target, func(w *worker) error { return w.start(o) })
}

// Stop implements fleet.Commands.
func (v *View) Stop(ctx context.Context, target *fleet.Worker, o *fleet.Stop) (int64, error) {
	return v.send(ctx, target, func(w *worker) error { return w.stop(o) })
}

// Poll implements fleet.Commands.
func (v *View) Poll(ctx context.Context, target *fleet.Worker, o *fleet.Poll) (fleet.Report, error) {
	w, err := v.reach(ctx, target)
	if err != nil {
		return fleet.Report{}, err
	}
	if w.dropsAnswer() {
		<-ctx.Done()
		return fleet.Report{}, fleet.ErrNoAnswer
	}
	if delay, delayed := w.takePollDelay(); delayed {
		time.AfterFunc(delay, func() {
			v.fleet.runDelayed(target, func(w *worker) error { _, err := w.report(o); return err })
		})
		<-ctx.Done()
		return fleet.Report{}, fleet.ErrNoAnswer
	}
	timeout, stop := interval.After(o.Wait)
	defer stop()
	for first := true; ; first = false {
		w.mu.Lock()
		changed, failure, exiting := w.changed, w.errorFor(v.gate.Box), w.exiting
		var report fleet.Report
		err := failure
		if failure == nil && !exiting {
			report, err = w.report(o)
		}
		w.mu.Unlock()
		if failure == fleet.ErrConnectionRefused {
			return report, errorAfterExit(first)
		}
		if err == fleet.ErrNoAnswer {
			<-ctx.Done()
			return report, err
		}
		if failure != nil {
			return report, failure
		}
		if !exiting && (err != nil || len(report.Ended) > 0 || o.Wait == 0 || !first) {
			return v.answer(ctx, w, report, err)
		}
		select {
		case <-ctx.Done():
			return fleet.Report{}, fleet.ErrNoAnswer
		case <-timeout:
		case <-changed:
		}
	}
}

// answer delivers a worker's answer to a poll to the box, after the delay that is set.
func (v *View) answer(ctx context.Context, w *worker, report fleet.Report, err error) (fleet.Report, error) {
	if d := w.takeAnswerDelay(); d > 0 && !interval.Sleep(ctx, d) {
		return fleet.Report{}, fleet.ErrNoAnswer
	}
	if !v.gate.pass(ctx) {
		return fleet.Report{}, fleet.ErrNoAnswer
	}
	w.recordReportedEnds(report.Ended)
	return report, err
}

// errorAfterExit returns the error of a poll whose worker's process has ended; before says that it ended before the
// poll arrived.
func errorAfterExit(before bool) error {
	if before {
		return fleet.ErrConnectionRefused
	}
	return fleet.ErrConnectionClosed
}

// dropsAnswer reports whether a poll gets no answer, and counts it.
func (w *worker) dropsAnswer() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.droppedAnswers == 0 {
		return false
	}
	w.droppedAnswers--
	return true
}

// takePollDelay reports whether a poll gets no answer and takes effect after a delay, and counts it.
func (w *worker) takePollDelay() (delay time.Duration, delayed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.delayedPolls == 0 {
		return 0, false
	}
	w.delayedPolls--
	return w.pollDelay, true
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
	timeout, stop := interval.After(wait)
	defer stop()
	for {
		l, changed := v.fleet.since(since)
		if len(l.Workers)+len(l.Gone) > 0 {
			return l, nil
		}
		select {
		case <-ctx.Done():
			return l, fleet.ErrNoAnswer
		case <-timeout:
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
