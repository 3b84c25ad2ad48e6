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

// Controller schedules one hall in one box. Every box has one for every hall, but only the one in the hall's preferred
// box makes decisions. Set the exported fields before Run.
type Controller struct {
	Hall      string
	Settings  *settings.Box
	Committer *table.Committer
	Rows      *RowCache
	Workers   worker.Service
	Objects   object.Store
	Config    *config.Keeper
	Recorder  *timeline.Recorder
	Log       *zap.Logger
	Policy    decider.Policy

	Preferred func() bool // Reports whether this box should decide for the hall.
	// Returns the loads of all halls, as last reported by the boxes that decide for them.
	Loads         func() []link.Load
	NotifySettled func(box string, s link.Settled) // Tells the box where the caller waits.
	NotifyChanged func(prefix string)              // Tells other boxes that rows with this prefix changed.
	Metrics       *Metrics                         // May be nil.

	wake     chan struct{}
	renewNow chan struct{}
	once     sync.Once
	monitor  workerMonitor

	mu             sync.Mutex
	deciding       bool                 // This box decides for the hall now.
	stale          bool                 // The cached rows must be refreshed.
	refreshed      time.Time            // When the last successful refresh began.
	busy           map[string]bool      // Jobs with a step in progress.
	pausedUntil    map[string]time.Time // Jobs that take no step before a time.
	pendingStarts  map[string]*pendingStart
	busyRacks      map[string]bool // Racks in which starts are in progress.
	reservedRacks  []decider.RackReservation
	waitReasons    map[string]*decider.Reason
	load           link.Load
	health         decider.Health
	estimates      decider.Estimates
	layoutCache    layoutCache
	losses         workerLosses
	failuresLoaded map[string]bool // Jobs whose earlier failures were added to health.
}

// Metrics holds functions that observe the scheduler's work. Functions that are nil are not called.
type Metrics struct {
	Pass  func(took time.Duration)
	Start func(waited time.Duration)
}

// Run schedules the hall until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	c.init()
	var group sync.WaitGroup
	group.Go(func() { interval.EveryOrWoken(ctx, c.Settings.Lease.Renew, c.renewNow, c.renewIfActive) })
	group.Go(func() { interval.EveryOrWoken(ctx, c.Settings.Timing.Pass, c.wake, c.update) })
	group.Wait()
}

func (c *Controller) init() {
	c.once.Do(func() {
		c.wake = make(chan struct{}, 1)
		c.renewNow = make(chan struct{}, 1)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.clear()
	})
}

// clear resets the state that is only valid while this box decides.
func (c *Controller) clear() {
	c.busy = map[string]bool{}
	c.pausedUntil = map[string]time.Time{}
	c.pendingStarts = map[string]*pendingStart{}
	c.busyRacks = map[string]bool{}
	c.waitReasons = map[string]*decider.Reason{}
	c.failuresLoaded = map[string]bool{}
	c.health = decider.Health{}
	c.reservedRacks = nil
	c.stale = true
}

// Wake requests a pass soon.
func (c *Controller) Wake() {
	c.init()
	signal(c.wake)
}

// MarkStale records that rows of the hall changed and requests a pass.
func (c *Controller) MarkStale() {
	c.mu.Lock()
	c.stale = true
	c.mu.Unlock()
	c.Wake()
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// update takes over or gives up the hall if the preferred box changed. If this box decides, it then checks all
// attempts and makes a decision pass.
func (c *Controller) update(ctx context.Context) {
	preferred := c.Preferred() && c.Config.Site() != nil
	if preferred != c.active() {
		c.setActive(ctx, preferred)
	}
	if !preferred {
		return
	}
	upToDate := c.refresh(ctx)
	c.checkAttempts(ctx)
	if upToDate { // Starts need rows that match the table.
		c.decide(ctx)
	}
}

// active reports whether this box decides for the hall.
func (c *Controller) active() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.deciding
}

func (c *Controller) setActive(ctx context.Context, preferred bool) {
	c.mu.Lock()
	c.deciding = preferred
	if preferred {
		c.clear()
		c.monitor.reset()
	}
	c.mu.Unlock()
	text := "gave up the hall"
	if preferred {
		text = "took over the hall"
		c.renewAll(ctx)
	}
	c.recordEvent("", "", text)
	c.Log.Info("hall: "+text, zap.String("hall", c.Hall))
}

// refresh updates the cached rows if they changed or are too old, and reports whether they are up to date.
func (c *Controller) refresh(ctx context.Context) bool {
	c.mu.Lock()
	needed := c.stale || time.Since(c.refreshed) > c.Settings.Timing.Refresh
	c.stale = false
	c.mu.Unlock()
	if !needed {
		return true
	}
	began := time.Now()
	err := c.Rows.Refresh(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.refreshed = began
		return true
	}
	c.stale = true
	return false
}

// checked returns the time as of which the cached rows are known to be up to date.
func (c *Controller) checked() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refreshed
}

// recordEvent adds an event of this hall to the timeline.
func (c *Controller) recordEvent(job, attempt, text string) {
	c.Recorder.Add(timeline.Event{Part: "hall", Hall: c.Hall, Job: job, Attempt: attempt, Text: text})
}

// workers returns the hall's workers.
func (c *Controller) workers() []contract.Worker {
	site := c.Config.Site()
	if site == nil {
		return nil
	}
	h, _ := site.Hall(c.Hall)
	var list []contract.Worker
	for _, r := range h.Racks {
		list = append(list, r.Workers...)
	}
	return list
}

// workersByName returns the hall's workers by name.
func (c *Controller) workersByName() map[string]contract.Worker {
	list := map[string]contract.Worker{}
	for _, w := range c.workers() {
		list[w.Name] = w
	}
	return list
}

// WaitReason returns the reason why a job of this hall waits, or "" if it does not wait.
func (c *Controller) WaitReason(key string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.waitReasons[key]; r != nil {
		return r.String()
	}
	return ""
}

// Load returns the hall's load, and whether this box decides for the hall.
func (c *Controller) Load() (link.Load, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.load, c.deciding
}

// Usage returns the usage that a worker last reported, and whether that report is recent.
func (c *Controller) Usage(name string) (contract.Shape, bool) {
	return c.monitor.usage(name), c.monitor.reachable(name, c.reportMaxAge())
}

// ReservedRacks returns the job for which each rack is reserved, by rack. Racks without a reservation are left out.
func (c *Controller) ReservedRacks() map[string]string {
	c.mu.Lock()
	defer c.mu.Unlock()
	site := c.Config.Site()
	if site == nil {
		return nil
	}
	h, _ := site.Hall(c.Hall)
	list := map[string]string{}
	for _, s := range c.reservedRacks {
		if s.Rack < len(h.Racks) {
			list[h.Racks[s.Rack].Name] = s.Job
		}
	}
	return list
}

// jobField returns a log field with the job's key.
func (c *Controller) jobField(j *CachedJob) zap.Field { return zap.String("job", j.Key()) }

// BusyJobs returns the number of jobs with a step in progress in this box.
func (c *Controller) BusyJobs() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.busy)
}
