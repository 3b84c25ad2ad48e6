package hall

import (
	"context"
	"sync"
	"time"

	"github.com/pulleyring/pulleyring/internal/settlement"
	"github.com/pulleyring/pulleyring/internal/worker"
	"github.com/pulleyring/pulleyring/pkg/contract"
)

// Times of the watch over workers that are no settings.
const (
	renewTimeout = time.Second
	// leaseMargin is added to a lease before it is taken to have surely lapsed at a worker that can't be reached.
	leaseMargin = 500 * time.Millisecond
	// orphanAfter is how long an ended task without a row is left at its worker before it is forgotten there.
	orphanAfter = 20 * time.Second
)

// watched is what this box knows of one worker.
type watched struct {
	heard   time.Time // Last report.
	renewed time.Time // Last time a renewal may have reached it.
	usage   contract.Shape
	tasks   map[string]worker.Task
	orphans map[string]time.Time // Ended tasks without a row, by when they were first seen.
}

// watch keeps what the workers of a hall report.
type watch struct {
	mu      sync.Mutex
	since   time.Time // Begin of this box's watch.
	workers map[string]*watched
}

// reset forgets everything; a box that becomes preferred starts so, since another may have renewed until now.
func (s *watch) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.since = time.Now()
	s.workers = map[string]*watched{}
}

func (s *watch) worker(name string) *watched {
	if s.workers == nil {
		s.workers = map[string]*watched{}
	}
	w := s.workers[name]
	if w == nil {
		w = &watched{renewed: s.since, tasks: map[string]worker.Task{}, orphans: map[string]time.Time{}}
		s.workers[name] = w
	}
	return w
}

// take notes a report.
func (s *watch) take(name string, asked time.Time, report worker.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.worker(name)
	w.heard = asked
	w.usage = report.Usage
	w.tasks = make(map[string]worker.Task, len(report.Tasks))
	for _, t := range report.Tasks {
		w.tasks[t.Attempt] = t
	}
}

// takeTask notes what a worker answered to a step. It says nothing of other attempts, so it does not count as a report.
func (s *watch) takeTask(name string, t worker.Task) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.worker(name).tasks[t.Attempt] = t
}

// renewing notes that a renewal is on its way.
func (s *watch) renewing(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.worker(name).renewed = time.Now()
}

// reachable reports whether a worker reported lately.
func (s *watch) reachable(name string, within time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.workers[name]
	return w != nil && time.Since(w.heard) <= within
}

// usage returns the usage that a worker last reported.
func (s *watch) usage(name string) contract.Shape {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w := s.workers[name]; w != nil {
		return w.usage
	}
	return contract.Shape{}
}

// sights returns what is known of the seats of an attempt.
func (s *watch) sights(j *settlement.Job, fresh, lease time.Duration) []settlement.Sight {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	list := make([]settlement.Sight, len(j.Seats))
	for i, seat := range j.Seats {
		w := s.worker(seat.Worker)
		task, found := w.tasks[j.Attempt]
		switch {
		case found && !task.State.Live(): // What has ended stays so.
			list[i] = settlement.Sight{Task: task, Known: true}
		case now.Sub(w.heard) <= fresh && w.heard.After(j.Started):
			if !found {
				task = worker.Task{Attempt: j.Attempt, State: worker.Unknown}
			}
			list[i] = settlement.Sight{Task: task, Known: true}
		default:
			last := w.renewed
			if j.Started.After(last) {
				last = j.Started
			}
			list[i].Expired = now.Sub(last) > lease+leaseMargin
		}
	}
	return list
}

// renewTurn renews the leases at every worker and takes in their reports, where this box decides.
func (k *Keeper) renewTurn(ctx context.Context) {
	if k.active() {
		k.renewAll(ctx)
		k.Wake()
	}
}

// renewAll sends one message to each worker.
func (k *Keeper) renewAll(ctx context.Context) {
	whole := k.wholeAttempts()
	current := map[string]bool{}
	for _, e := range k.Book.Jobs() {
		current[e.Attempt] = true
	}
	var group sync.WaitGroup
	for _, w := range k.workers() {
		group.Go(func() {
			k.renew(ctx, w, worker.Renewal{
				Attempts: whole[w.Name],
				Forget:   k.watch.orphaned(w.Name, current),
				LeaseMS:  k.Settings.Lease.Run.Milliseconds(),
			})
		})
	}
	group.Wait()
}

// wholeAttempts returns, by worker, the running attempts whose members are all well; only these are renewed, so that
// a gang that lost a member ends whole.
func (k *Keeper) wholeAttempts() map[string][]string {
	list := map[string][]string{}
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

func (k *Keeper) whole(e *Entry) bool {
	for _, s := range k.watch.sights(&e.Job, k.fresh(), k.Settings.Lease.Run) {
		if s.Known && !s.Task.State.Live() && s.Task.State != worker.Finished {
			return false
		}
		if s.Expired {
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
	k.watch.renewing(w.Name)
	report, err := k.Workers.Renew(ctx, w, renewal)
	if err != nil {
		return
	}
	k.watch.take(w.Name, asked, report)
}

// orphaned returns the ended tasks of a worker that no row has named for a while; current holds those that rows name.
func (s *watch) orphaned(name string, current map[string]bool) []string {
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
		if time.Since(first) > orphanAfter {
			list = append(list, attempt)
			delete(w.orphans, attempt)
		}
	}
	return list
}

// fresh is the age up to which a worker's report says how a live task stands.
func (k *Keeper) fresh() time.Duration { return 2*k.Settings.Lease.Renew + renewTimeout }
