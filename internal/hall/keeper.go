package hall

import (
	"context"
	"sync"
	"time"

	"github.com/pulleyring/pulleyring/internal/config"
	"github.com/pulleyring/pulleyring/internal/decider"
	"github.com/pulleyring/pulleyring/internal/interval"
	"github.com/pulleyring/pulleyring/internal/link"
	"github.com/pulleyring/pulleyring/internal/object"
	"github.com/pulleyring/pulleyring/internal/settings"
	"github.com/pulleyring/pulleyring/internal/table"
	"github.com/pulleyring/pulleyring/internal/timeline"
	"github.com/pulleyring/pulleyring/internal/worker"
	"github.com/pulleyring/pulleyring/pkg/contract"
	"go.uber.org/zap"
)

// Keeper looks after one hall in one box. Every box has a keeper for every hall; only the preferred box's decides.
// Fill in the exported fields before Run.
type Keeper struct {
	Hall      string
	Settings  *settings.Box
	Committer *table.Committer
	Book      *Book
	Workers   worker.Service
	Objects   object.Store
	Config    *config.Keeper
	Recorder  *timeline.Recorder
	Log       *zap.Logger
	Policy    decider.Policy

	Preferred func() bool                      // Whether this box should decide for the hall.
	Loads     func() []link.Load               // Of the halls that other boxes decide for.
	Settled   func(box string, s link.Settled) // Tells the box where the caller waits.
	News      func(prefix string)              // Tells other boxes that rows changed.
	Metrics   *Metrics                         // May be nil.

	wake     chan struct{}
	renewNow chan struct{}
	once     sync.Once
	watch    watch

	mu        sync.Mutex
	on        bool                 // This box decides now.
	stale     bool                 // The book must be refreshed.
	refreshed time.Time            // Begin of the last refresh that succeeded.
	busy      map[string]bool      // Jobs with a step under way.
	resting   map[string]time.Time // Jobs that take no step until an instant.
	starts    map[string]*placement
	rackBusy  map[string]bool // Racks with a placement under way.
	setAsides []decider.SetAside
	waits     map[string]*decider.Reason
	load      link.Load
	health    decider.Health
	estimates decider.Estimates
	layout    layoutCache
	losses    workerLosses
	known     map[string]bool // Jobs whose earlier failures were taken into the health.
}

// Metrics counts what a keeper does; nil functions are not called.
type Metrics struct {
	Pass  func(took time.Duration)
	Start func(waited time.Duration)
}

// Run looks after the hall until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	k.init()
	var group sync.WaitGroup
	group.Go(func() { interval.EveryOrWoken(ctx, k.Settings.Lease.Renew, k.renewNow, k.renewTurn) })
	group.Go(func() { interval.EveryOrWoken(ctx, k.Settings.Timing.Pass, k.wake, k.turn) })
	group.Wait()
}

func (k *Keeper) init() {
	k.once.Do(func() {
		k.wake = make(chan struct{}, 1)
		k.renewNow = make(chan struct{}, 1)
		k.mu.Lock()
		defer k.mu.Unlock()
		k.clear()
	})
}

// clear forgets what belongs to a time of deciding.
func (k *Keeper) clear() {
	k.busy = map[string]bool{}
	k.resting = map[string]time.Time{}
	k.starts = map[string]*placement{}
	k.rackBusy = map[string]bool{}
	k.waits = map[string]*decider.Reason{}
	k.known = map[string]bool{}
	k.health = decider.Health{}
	k.setAsides = nil
	k.stale = true
}

// Wake asks for a pass soon.
func (k *Keeper) Wake() {
	k.init()
	signal(k.wake)
}

// Stale says that rows of the hall changed.
func (k *Keeper) Stale() {
	k.mu.Lock()
	k.stale = true
	k.mu.Unlock()
	k.Wake()
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// turn takes the hall over or gives it up where the preference changed, and makes one pass where this box decides.
func (k *Keeper) turn(ctx context.Context) {
	preferred := k.Preferred() && k.Config.Site() != nil
	if preferred != k.active() {
		k.change(ctx, preferred)
	}
	if !preferred {
		return
	}
	fresh := k.refresh(ctx)
	k.judgeAll(ctx)
	if fresh { // Nothing starts on a view that can't be checked against the table.
		k.pass(ctx)
	}
}

// active reports whether this box decides for the hall.
func (k *Keeper) active() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.on
}

func (k *Keeper) change(ctx context.Context, preferred bool) {
	k.mu.Lock()
	k.on = preferred
	if preferred {
		k.clear()
		k.watch.reset()
	}
	k.mu.Unlock()
	text := "gave up the hall"
	if preferred {
		text = "took over the hall"
		k.renewAll(ctx)
	}
	k.note("", "", text)
	k.Log.Info("hall: "+text, zap.String("hall", k.Hall))
}

// refresh brings the book up to date where news came or the last look is old, and reports whether it is.
func (k *Keeper) refresh(ctx context.Context) bool {
	k.mu.Lock()
	needed := k.stale || time.Since(k.refreshed) > k.Settings.Timing.Refresh
	k.stale = false
	k.mu.Unlock()
	if !needed {
		return true
	}
	began := time.Now()
	err := k.Book.Refresh(ctx)
	k.mu.Lock()
	defer k.mu.Unlock()
	if err == nil {
		k.refreshed = began
		return true
	}
	k.stale = true
	return false
}

// checked returns the instant as of which the book is surely up to date.
func (k *Keeper) checked() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.refreshed
}

// note adds an event of this hall to the time line.
func (k *Keeper) note(job, attempt, text string) {
	k.Recorder.Add(timeline.Event{Part: "hall", Hall: k.Hall, Job: job, Attempt: attempt, Text: text})
}

// workers returns the workers of the hall.
func (k *Keeper) workers() []contract.Worker {
	site := k.Config.Site()
	if site == nil {
		return nil
	}
	h, _ := site.Hall(k.Hall)
	var list []contract.Worker
	for _, r := range h.Racks {
		list = append(list, r.Workers...)
	}
	return list
}

// workersByName returns the workers of the hall by name.
func (k *Keeper) workersByName() map[string]contract.Worker {
	list := map[string]contract.Worker{}
	for _, w := range k.workers() {
		list[w.Name] = w
	}
	return list
}

// Why returns why a job of this hall waits, in words, or an empty text where it does not wait.
func (k *Keeper) Why(key string) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	if r := k.waits[key]; r != nil {
		return r.String()
	}
	return ""
}

// Load returns what the hall holds, and whether this box decides for it.
func (k *Keeper) Load() (link.Load, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.load, k.on
}

// Usage returns what a worker reported to be in use and whether it was heard lately.
func (k *Keeper) Usage(name string) (contract.Shape, bool) {
	return k.watch.usage(name), k.watch.reachable(name, k.fresh())
}

// SetAsides returns the racks that are set aside, by job.
func (k *Keeper) SetAsides() map[string]string {
	k.mu.Lock()
	defer k.mu.Unlock()
	site := k.Config.Site()
	if site == nil {
		return nil
	}
	h, _ := site.Hall(k.Hall)
	list := map[string]string{}
	for _, s := range k.setAsides {
		if s.Rack < len(h.Racks) {
			list[h.Racks[s.Rack].Name] = s.Job
		}
	}
	return list
}

// field names a job in a log line.
func (k *Keeper) field(e *Entry) zap.Field { return zap.String("job", e.Key()) }

// Busy returns the number of jobs with a step under way in this box.
func (k *Keeper) Busy() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.busy)
}
