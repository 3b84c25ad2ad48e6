package emulator

import (
	"fmt"
	"time"

	"github.com/pulleyring/pulleyring/internal/incarnation"
	"github.com/pulleyring/pulleyring/internal/job"
)

// endRecords records the ends of runs that workers have listed, and whether each counts as delivered to the
// scheduler. Make it with newEndRecords.
type endRecords struct {
	leases        map[incarnation.ID]time.Time // End of the lease by worker incarnation; zero for one that crashed.
	done          map[job.Task][]*listedEnd
	failed        map[job.Task][]*listedEnd
	byIncarnation map[incarnation.ID][]*listedEnd
	attempts      map[job.ID]int // Number of failed runs that end a job.
	// impairedUntil is the time until which boxes or the store have a fault; storeFaulty says that the store has one
	// now.
	impairedUntil time.Time
	storeFaulty   bool
}

func newEndRecords() endRecords {
	return endRecords{
		leases: map[incarnation.ID]time.Time{}, done: map[job.Task][]*listedEnd{}, failed: map[job.Task][]*listedEnd{},
		byIncarnation: map[incarnation.ID][]*listedEnd{}, attempts: map[job.ID]int{},
	}
}

// listedEnd is the end of a run as a worker has listed it.
type listedEnd struct {
	incarnation incarnation.ID
	number      int64
	run         int
	at          time.Time
	delivered   bool // It was delivered while the worker's lease ran; never reset.
	expired     bool // The worker's lease expired before it was delivered; never reset.
}

const (
	// deliveredAfter is the time after which a listed end counts as delivered if there is no fault (the users'
	// rules).
	deliveredAfter = 100 * time.Millisecond
	// stablePeriod is the time without faults that is needed for this: as long as a machine must have been healthy to
	// count as in contact.
	stablePeriod = 3 * time.Second
)

// countDeliverable returns how many of a task's ends the scheduler must know before it starts the task again: ends
// that were delivered, and ends that may still be delivered because the worker's lease runs. A live worker lists an
// end until then. A worker whose process has ended may look merely unreachable to a box, so the box must wait as
// long. After that, nobody can learn of an end that no box received.
func (e *endRecords) countDeliverable(list []*listedEnd) int {
	n := 0
	for _, x := range list {
		if x.delivered || !x.expired && time.Now().Before(e.leases[x.incarnation]) {
			n++
		}
	}
	return n
}

// expire records that a worker's lease expired. Ends not delivered by then never count as delivered (the users'
// rules), even if the lease is extended later: a box that was suspended for longer than a lease can't know of them.
func (e *endRecords) expire(incarnation incarnation.ID) {
	for _, x := range e.byIncarnation[incarnation] {
		x.expired = x.expired || !x.delivered
	}
}

// isStableBefore reports whether boxes and the store have had no fault for stablePeriod before a time.
func (e *endRecords) isStableBefore(t time.Time) bool {
	return !e.storeFaulty && t.Sub(e.impairedUntil) > stablePeriod
}

// recordAcknowledged records that a worker's ends up to a number were delivered, if its lease runs, and reports the
// event.
func (f *Fleet) recordAcknowledged(w *worker, upTo int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.emit(Event{Kind: Acknowledged, Number: upTo})
	for _, x := range f.checker.byIncarnation[w.incarnation] {
		if x.number <= upTo {
			f.checker.markDelivered(x)
		}
	}
}

// markDelivered marks an end as delivered if the worker's lease still runs.
func (e *endRecords) markDelivered(x *listedEnd) {
	x.delivered = x.delivered || !x.expired && time.Now().Before(e.leases[x.incarnation])
}

// recordLease records the time until which a worker's lease runs.
func (f *Fleet) recordLease(w *worker, until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if before := f.checker.leases[w.incarnation]; !before.IsZero() && time.Now().After(before) {
		f.checker.expire(w.incarnation)
	}
	f.checker.leases[w.incarnation] = until
	f.emit(Event{Kind: LeaseChanged, Until: until})
}

// recordListedEnd records an end that decides about the task: a success or a failure. The success of one gang member
// counts for all members. The caller holds both locks.
func (f *Fleet) recordListedEnd(w *worker, a *taskRun, outcome job.Outcome) {
	if outcome != job.Succeeded && outcome != job.FailedRun {
		return
	}
	e, t := &f.checker.endRecords, a.task
	x := &listedEnd{incarnation: w.incarnation, number: w.lastEndNumber, run: a.number, at: time.Now()}
	e.byIncarnation[x.incarnation] = append(e.byIncarnation[x.incarnation], x)
	time.AfterFunc(deliveredAfter, func() { f.markDeliveredIfStable(w, x) })
	if a.lasting {
		return // No end of a lasting run is an attempt or completes its task.
	}
	if outcome == job.FailedRun {
		e.failed[t] = append(e.failed[t], x)
		return
	}
	e.done[t] = append(e.done[t], x)
	for i := range a.gang {
		if t.Index = i; t != a.task {
			e.done[t] = append(e.done[t], x)
		}
	}
}

// markDeliveredIfStable marks an end as delivered if it was listed for deliveredAfter without any fault. If the
// process has ended meanwhile, this holds only if a box received the end, or if the worker left at the time it had
// announced: boxes knew that time.
func (f *Fleet) markDeliveredIfStable(w *worker, x *listedEnd) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if x.at.Sub(w.disturbedAt) <= stablePeriod || w.disturbedAt.After(x.at) || w.isHardToReach() || w.dead && w.lastReportedEnd < x.number && !w.leftAsAnnounced {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.checker.isStableBefore(x.at) {
		f.checker.markDelivered(x)
	}
}

// ImpairUntil records that boxes or their links have a fault until a time.
func (f *Fleet) ImpairUntil(until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if until.After(f.checker.impairedUntil) {
		f.checker.impairedUntil = until
	}
}

// SetStoreFaulty records that the store has a fault, or that the fault has ended.
func (f *Fleet) SetStoreFaulty(faulty bool) {
	f.ImpairUntil(time.Now())
	f.mu.Lock()
	defer f.mu.Unlock()
	f.checker.storeFaulty = faulty
}

// SetAttempts sets the number of failed runs of a task after which its job ends.
func (f *Fleet) SetAttempts(id job.ID, attempts int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.checker.attempts[id] = attempts
}

// AttemptsExhausted reports whether a task of a job, or a gang as a whole, has failed often enough to end the job.
func (f *Fleet) AttemptsExhausted(id job.ID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.attemptsExhausted(id)
}

// attemptsExhausted is AttemptsExhausted for a caller that holds the lock.
func (f *Fleet) attemptsExhausted(id job.ID) bool {
	runs := map[job.Task]map[int]bool{}
	for t, list := range f.checker.failed {
		if t.Job != id {
			continue
		}
		if f.jobs[id].Steps[t.Step].Gang {
			t.Index = 0
		}
		if runs[t] == nil {
			runs[t] = map[int]bool{}
		}
		for _, x := range list {
			runs[t][x.run] = true
		}
		if len(runs[t]) >= f.checker.attempts[id] {
			return true
		}
	}
	return false
}

// checkAttempts finds starts of a task whose attempts have all failed. The caller holds the lock.
func (f *Fleet) checkAttempts(w *worker, a *taskRun) {
	allowed, r := f.checker.attempts[a.task.Job], f.jobs[a.task.Job]
	if allowed == 0 || r == nil || r.Steps[a.task.Step].Lasting {
		return
	}
	if n := f.checker.countDeliverable(f.checker.failed[a.task]); n >= allowed {
		f.checker.verdict.OverBudget = append(f.checker.verdict.OverBudget, fmt.Sprintf("%s on %s, run %d: started after %d of %d attempts had failed", a.task, w.record.ID, a.number, n, allowed))
	}
}
