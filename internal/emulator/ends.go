package emulator

import (
	"fmt"
	"time"

	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/internal/life"
)

// ends records the ends of runs that workers have listed, and whether each counts as delivered to the scheduler. Make
// it with newEnds.
type ends struct { // End of the lease by worker incarnation; zero for one that crashed.
	leases   map[life.ID]time.Time // By life of a worker: when its lease is over; zero for one that crashed.
	done     map[job.Task][]*listedEnd
	failed   map[job.Task][]*listedEnd
	byLife   map[life.ID][]*listedEnd
	attempts map[job.ID]int // Number of failed runs that end a job.
	// impaired is the time until which boxes or the store have a fault; ailing says that the store has one now.
	impaired time.Time
	ailing   bool
}

func newEnds() ends {
	return ends{
		leases: map[life.ID]time.Time{}, done: map[job.Task][]*listedEnd{}, failed: map[job.Task][]*listedEnd{},
		byLife: map[life.ID][]*listedEnd{}, attempts: map[job.ID]int{},
	}
}

// listedEnd is the end of a run as a worker has listed it.
type listedEnd struct {
	life   life.ID
	number int64
	run    int
	at     time.Time
	noted  bool // It was delivered while the worker's lease ran; never reset.
	lapsed bool // The worker's lease expired before it was delivered; never reset.
}

const (
	// notedAfter is the time after which a listed end counts as delivered if there is no fault (the users' rules).
	notedAfter = 100 * time.Millisecond
	// calmFor is the time without faults that is needed for this: as long as a machine must have been healthy to
	// count as in contact.
	calmFor = 3 * time.Second
)

// counted returns how many of a task's ends the scheduler must know before it starts the task again: ends that were
// delivered, and ends that may still be delivered because the worker's lease runs. A live worker lists an end until
// then. A worker whose process has ended may look merely unreachable to a box, so the box must wait as long. After
// that, nobody can learn of an end that no box received.
func (e *ends) counted(list []*listedEnd) int {
	n := 0
	for _, x := range list {
		if x.noted || !x.lapsed && time.Now().Before(e.leases[x.life]) {
			n++
		}
	}
	return n
}

// lapse records that a worker's lease expired. Ends not delivered by then never count as delivered (the users'
// rules), even if the lease is extended later: a box that was suspended for longer than a lease can't know of them.
func (e *ends) lapse(l life.ID) {
	for _, x := range e.byLife[l] {
		x.lapsed = x.lapsed || !x.noted
	}
}

// calm reports whether boxes and the store have had no fault for calmFor before a time.
func (e *ends) calm(since time.Time) bool {
	return !e.ailing && since.Sub(e.impaired) > calmFor
}

// acknowledged records that a worker's ends up to a number were delivered, if its lease runs, and reports the event.
func (f *Fleet) acknowledged(w *worker, upTo int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tell(Event{Kind: Acknowledged, Number: upTo})
	for _, x := range f.judge.byLife[w.life] {
		if x.number <= upTo {
			f.judge.note(x)
		}
	}
}

// note marks an end as delivered if the worker's lease still runs.
func (e *ends) note(x *listedEnd) {
	x.noted = x.noted || !x.lapsed && time.Now().Before(e.leases[x.life])
}

// leased records the time until which a worker's lease runs.
func (f *Fleet) leased(w *worker, until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if before := f.judge.leases[w.life]; !before.IsZero() && time.Now().After(before) {
		f.judge.lapse(w.life)
	}
	f.judge.leases[w.life] = until
	f.tell(Event{Kind: Leased, Until: until})
}

// noteEnd records an end that decides about the task: a success or a failure. The success of one gang member counts
// for all members. The caller holds both locks.
func (f *Fleet) noteEnd(w *worker, a *activity, outcome job.Outcome) {
	if outcome != job.Succeeded && outcome != job.FailedRun {
		return
	}
	e, t := &f.judge.ends, a.task
	x := &listedEnd{life: w.life, number: w.count, run: a.number, at: time.Now()}
	e.byLife[x.life] = append(e.byLife[x.life], x)
	time.AfterFunc(notedAfter, func() { f.noteInCalm(w, x) })
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

// noteInCalm marks an end as delivered if it was listed for notedAfter without any fault. If the process has ended
// meanwhile, this holds only if a box received the end, or if the worker left at the time it had announced: boxes
// knew that time.
func (f *Fleet) noteInCalm(w *worker, x *listedEnd) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if x.at.Sub(w.disturbed) <= calmFor || w.disturbed.After(x.at) || w.hardToReach() || w.dead && w.told < x.number && !w.leftAsSaid {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.judge.calm(x.at) {
		f.judge.note(x)
	}
}

// Impair records that boxes or their links have a fault until a time.
func (f *Fleet) Impair(until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if until.After(f.judge.impaired) {
		f.judge.impaired = until
	}
}

// Ail records that the store has a fault, or that the fault has ended.
func (f *Fleet) Ail(ailing bool) {
	f.Impair(time.Now())
	f.mu.Lock()
	defer f.mu.Unlock()
	f.judge.ailing = ailing
}

// Allow sets the number of failed runs of a task after which its job ends.
func (f *Fleet) Allow(id job.ID, attempts int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.judge.attempts[id] = attempts
}

// UsedUp reports whether a task of a job, or a gang as a whole, has failed often enough to end the job.
func (f *Fleet) UsedUp(id job.ID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.usedUp(id)
}

// usedUp is UsedUp for a caller that holds the lock.
func (f *Fleet) usedUp(id job.ID) bool {
	runs := map[job.Task]map[int]bool{}
	for t, list := range f.judge.failed {
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
		if len(runs[t]) >= f.judge.attempts[id] {
			return true
		}
	}
	return false
}

// judgeAttempts finds starts of a task whose attempts have all failed. The caller holds the lock.
func (f *Fleet) judgeAttempts(w *worker, a *activity) {
	allowed, r := f.judge.attempts[a.task.Job], f.jobs[a.task.Job]
	if allowed == 0 || r == nil || r.Steps[a.task.Step].Lasting {
		return
	}
	if n := f.judge.counted(f.judge.failed[a.task]); n >= allowed {
		f.judge.counts.Budget = append(f.judge.counts.Budget, fmt.Sprintf("%s on %s, run %d: started after %d of %d attempts had failed", a.task, w.record.ID, a.number, n, allowed))
	}
}
