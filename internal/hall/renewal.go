package hall

import (
	"context"
	"sync"
	"time"

	"github.com/pulleyring/pulleyring/internal/settlement"
	"github.com/pulleyring/pulleyring/internal/worker"
	"github.com/pulleyring/pulleyring/pkg/contract"
)

// renewTurn renews the leases at every worker and takes in their reports, where this box decides.
func (k *Keeper) renewTurn(ctx context.Context) {
	if k.active() {
		k.renewAll(ctx)
		k.Wake()
	}
}

// renewAll sends one message to each worker.
func (k *Keeper) renewAll(ctx context.Context) {
	clocks := k.watch.clocks() // Before the rows are looked at: a lease that is renewed by them ends run_ms after that at the latest.
	whole := k.wholeAttempts()
	checked := k.checked() // Before the rows are listed, which are as new or newer.
	current := map[string]bool{}
	for _, e := range k.Book.Jobs() {
		current[e.Attempt] = true
	}
	k.missUnlisted()
	var group sync.WaitGroup
	for _, w := range k.workers() {
		group.Go(func() {
			k.renew(ctx, w, worker.Renewal{
				Clock:    clocks[w.Name],
				Attempts: whole[w.Name],
				Forget:   k.watch.orphaned(w.Name, current, checked),
				LeaseMS:  k.Settings.Lease.Run.Milliseconds(),
			})
		})
	}
	group.Wait()
}

// missUnlisted counts workers that rows name and the configuration does not as silent: they can't be asked.
func (k *Keeper) missUnlisted() {
	listed := k.workersByName()
	for _, e := range k.Book.Jobs() {
		for _, seat := range e.Seats {
			if _, ok := listed[seat.Worker]; !ok {
				k.watch.fail(seat.Worker, time.Now(), k.Settings.Lease.Run)
			}
		}
	}
}

// wholeAttempts returns, by worker, the running attempts whose members are all well; only these are renewed, so that
// a gang that lost a member ends whole, and only while the rows that say so are not too old.
func (k *Keeper) wholeAttempts() map[string][]string {
	list := map[string][]string{}
	if age(k.checked()) > k.Settings.Lease.Unchecked {
		return list
	}
	for _, e := range k.Book.Jobs() {
		if e.State != settlement.Starting || !k.whole(e) {
			continue
		}
		for _, seat := range e.Seats {
			list[seat.Worker] = append(list[seat.Worker], e.Attempt)
		}
	}
	return list
}

// age is how long ago an instant was, by the clock that says more: one of them may stand still with a machine that is suspended.
func age(at time.Time) time.Duration {
	return max(time.Since(at), time.Now().Round(0).Sub(at.Round(0)))
}

func (k *Keeper) whole(e *Entry) bool {
	for _, s := range k.watch.sights(e, k.bounds()) {
		if s.Known && !s.Task.State.Live() && s.Task.State != worker.Finished {
			return false
		}
		if s.Lost || s.Expired {
			return false
		}
	}
	return k.heardWithin(e, k.Settings.Lease.Run/2)
}

// heardWithin reports whether every worker of an attempt was heard lately, or the attempt or the watch is as young.
func (k *Keeper) heardWithin(e *Entry, d time.Duration) bool {
	k.watch.mu.Lock()
	since := k.watch.since
	k.watch.mu.Unlock()
	if time.Since(e.Started) <= d || time.Since(since) <= d {
		return true
	}
	for _, seat := range e.Seats {
		if !k.watch.reachable(seat.Worker, d) {
			return false
		}
	}
	return true
}

func (k *Keeper) renew(ctx context.Context, w contract.Worker, renewal worker.Renewal) {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	asked := time.Now()
	report, err := k.Workers.Renew(ctx, w, renewal)
	if err != nil {
		k.watch.fail(w.Name, asked, k.Settings.Lease.Run)
		return
	}
	k.watch.take(w.Name, asked, report)
}

// orphaned returns the ended tasks of a worker that no row has named for a while; current holds those that rows name, as of checked. A row that
// this box has not read yet may name a task, and its answer must last until that row settles it.
func (s *watch) orphaned(name string, current map[string]bool, checked time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.worker(name)
	var list []string
	for attempt, t := range w.tasks {
		if current[attempt] || t.State.Live() {
			delete(w.orphans, attempt)
			continue
		}
		first, seen := w.orphans[attempt]
		if !seen {
			w.orphans[attempt] = time.Now()
			continue
		}
		if checked.Sub(first) > orphanAfter {
			list = append(list, attempt)
			delete(w.orphans, attempt)
			delete(w.tasks, attempt)
		}
	}
	return list
}
