// Package scheduler runs one shard of jobs. It watches requests and workers, decides placements, commits every
// placement before it sends the start commands, and tracks the runs until they end. It runs in the box that holds the
// shard's lease.
package scheduler

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/fleet"
	"github.com/pulleyring/pulleyring/internal/incarnation"
	"github.com/pulleyring/pulleyring/internal/interval"
	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/internal/ledger"
	"github.com/pulleyring/pulleyring/internal/logsink"
	"github.com/pulleyring/pulleyring/internal/loss"
	"github.com/pulleyring/pulleyring/internal/measure"
	"github.com/pulleyring/pulleyring/internal/placement"
	"github.com/pulleyring/pulleyring/internal/queue"
	"go.uber.org/zap"
)

// Directory lists the workers that have written a record of themselves to the store.
type Directory interface {
	Workers(ctx context.Context) (Listing, error)
	WatchWorkers(ctx context.Context, since int64, wait time.Duration) (Listing, error)
}

// Listing holds the records of workers, and the names of workers whose record was removed.
type Listing struct {
	Workers []fleet.Worker
	Gone    []string // Names of workers whose record was removed, or was replaced by another writer's.
	Invalid []string // The names in Gone whose record was replaced by another writer's.
	Version int64
	More    bool // The answer reached its size limit; the store has further changes.
	// All changes in the listing were written after this time; zero if unknown. The scheduler sets it, from the
	// times of its calls to the store.
	AsOf time.Time
}

// Bounds holds the site's time limits for commands to workers.
type Bounds struct {
	MaxLease time.Duration // Longest lease that a worker grants.
	StopTime time.Duration // Longest time that a worker needs to stop a run.
	// Least time that a departing worker keeps running after its record is removed; 0 if no time is guaranteed.
	MinStay         time.Duration
	GangWait        time.Duration // How long a member of a gang waits for the other members.
	Retain          time.Duration // How long a job is shown after it has ended.
	EmptiedGrace    time.Duration // How long work may still start in a hall after it was emptied; 0 for no limit.
	DisableSpeeds   bool          // Does not learn or use the workers' speeds.
	DisableHeadroom bool          // Keeps no capacity for expected urgent work.
	DisableRefusals bool          // Publishes no waits; boxes refuse no job for load.
	JobMemory       int64         // Memory that all jobs together may take, in bytes; 0 for no limit.
	Policy          placement.Policy
}

// Scheduler holds the dependencies and settings of a shard's scheduler. Run does the work.
type Scheduler struct {
	Ledger        *ledger.Ledger
	Directory     Directory
	Commands      fleet.Commands
	Configuration func() *queue.Configuration
	Halls         func() queue.Halls // The emptied halls, as last reported.
	// Total time that the machine has been suspended; nil if that can't be measured.
	Suspended       func() time.Duration
	SuspendedBefore time.Duration // Total time that the machine had been suspended when the lease was claimed.
	Bounds          Bounds
	Log             *zap.Logger
	Figures         *measure.Metrics // nil to record no metrics.

	current atomic.Pointer[shard] // The current lease term, for queries by operators; nil if there is none.
}

// Timing of commits, decisions and reads of the store.
const (
	// heartbeatInterval is the longest time between two commits. Other boxes take the lease after a few missed ones.
	heartbeatInterval = 300 * time.Millisecond
	// minCommitInterval is the shortest time between two commits. Each commit costs a paid call to the store and writes
	// whole rows.
	minCommitInterval = 15 * time.Millisecond
	// commitTimeout limits a commit. A call to the store usually takes 5 ms; the slowest calls take about 80 times as
	// long.
	commitTimeout = 1500 * time.Millisecond
	// maxDecisionInterval is the longest time between two decisions while work waits. Some decisions change with time
	// alone.
	maxDecisionInterval = 100 * time.Millisecond
	// retryDelay is the delay before a failed call to the store is retried. For commits it doubles up to maxRetryDelay.
	retryDelay    = 100 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
	// workersFeedTimeout is how long the feed of worker records may report no change before all records are read.
	workersFeedTimeout = 2 * time.Second
	// workersPollDelay is the delay between two reads of the workers' feed. Every heartbeat of a worker ends a wait for
	// changes. Without the delay, these reads were a third of all calls to the store: 1,691 of 5,265 on a calm day of
	// 85 s with 48 workers, and 8,118 of 23,703 with 350. The delay does no harm because workers announce their
	// departure seconds ahead. There is no delay after a full answer: 3,000 workers write 2,000 records a second. With
	// a delay after each 500 records, departures were noticed 5 s late.
	workersPollDelay = 300 * time.Millisecond
)

// shard holds the state of one lease term and the lock that guards it. Fields that change together are in embedded
// structs, each declared in the file that changes it.
type shard struct {
	*Scheduler
	leaseTerm *ledger.LeaseTerm
	ctx       context.Context // Ends with the lease term.
	wake      chan struct{}

	mu sync.Mutex
	leaseTermTimes
	uncommitted
	plans
	pastWorkers
	pastJobs
	jobs          map[job.ID]*trackedJob
	workers       map[string]*workerState
	sortedWorkers []*workerState // The workers sorted by name; nil after one was added or removed.
	allocations   allocations
	view          placement.View // The view of the last decision; its slices are reused.
	lossDetector  loss.Detector
	decisionDue   bool // A change since the last decision calls for a new one.
	lastDecision  time.Time
	estimates     estimates
	urgentLoad    urgentLoad
	startQueue    startQueue
	stepTimes     map[groupKey]*stepTimes
	stepSamples   map[groupKey]stepSamples
	speeds        speeds
	failureBurst  failureBurst
	// workspaceFailures are the recent failures by workspace.
	workspaceFailures map[string]*failureCause
	addresses         addresses
	publishedLoad     publishedLoad
	holdings          holdings
	lastHalls         knownHalls
	answers           answerTimes
	background        sync.WaitGroup
}

// trackedJob is a job that the scheduler tracks.
type trackedJob struct {
	*job.Tracker
	version     int64                   // Newest version of the rows of the request and of the cancellation.
	readySince  map[job.Group]time.Time // When a group became ready to start.
	placedSince time.Time               // When runs were last placed while the job was queued.
	// Names of workers to avoid for a group: true after a failed run, false if the run there never began.
	avoidWorkers  map[job.Group]map[string]bool
	guaranteed    []int                          // Occurrences that the last decision counted within the workspace's guarantee.
	lostTogether  map[job.ID]bool                // Up to maxLostTogether jobs whose runs were lost together with this job's.
	presumedEnded map[runOnIncarnation]time.Time // When runs were presumed ended without a report from their worker.
	urgentStops   urgentStops
	failureCause
	crashLoops   crashLoops
	savedCounted int64 // Memory of the saved states, as counted for the workspace.
	// Number of orphaned runs of each task. A task is not started while it has any.
	orphans map[job.Task]int
}

// ErrNotTakenOver means that the state was not read in time.
var ErrNotTakenOver = errors.New("scheduler: unable to take over")

// Run schedules the shard until the lease is lost or ctx ends. If ctx ends, it releases the lease. It returns
// ledger.ErrLeaseTaken if another box has taken the lease, and ErrNotTakenOver if another one should try.
func (s *Scheduler) Run(ctx context.Context, term *ledger.LeaseTerm) error {
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	h := newShard(inner, s, term)
	h.lastCommit, h.lastCommitSuspended, h.predecessorsQuietSince = term.ClaimedAt, s.SuspendedBefore, term.PredecessorQuietSince
	h.recentCommits.add(term.LastCommitVersion(), term.ClaimedAt)
	defer h.background.Wait()
	defer cancel()
	began := time.Now()
	version, listing, err := h.takeOver(ctx)
	if ctx.Err() != nil {
		return h.releaseLease()
	}
	if err != nil && !errors.Is(err, ledger.ErrLeaseTaken) {
		return errors.WithMessage(ErrNotTakenOver, err.Error())
	}
	if err != nil {
		return err
	}
	s.current.Store(h)
	defer s.current.Store(nil)
	h.background.Go(func() { h.watchJobs(version) })
	h.background.Go(func() { h.watchDirectory(listing, feedAge{began}) })
	h.background.Go(h.forgetLoop)
	return h.commitLoop(ctx)
}

// newShard returns the empty state of a new lease term.
func newShard(ctx context.Context, s *Scheduler, term *ledger.LeaseTerm) *shard {
	return &shard{
		Scheduler: s, leaseTerm: term, ctx: ctx, wake: make(chan struct{}, 1),
		uncommitted: uncommitted{dirtyJobs: map[job.ID]bool{}},
		plans:       plans{reservations: map[groupKey]reservation{}, noPlanUntil: map[groupKey]time.Time{}, waitLoggedAt: map[groupKey]time.Time{}},
		pastWorkers: pastWorkers{endedIncarnations: map[string]endedIncarnation{}, presumedLosses: map[incarnation.ID]*presumedLoss{}, pendingStops: map[string]pendingStops{}},
		pastJobs:    pastJobs{earlyCancellations: map[job.ID]earlyCancellation{}, otherParts: map[job.ID][]string{}, forgotten: map[job.ID]forgottenJob{}},
		jobs:        map[job.ID]*trackedJob{}, workers: map[string]*workerState{}, stepTimes: map[groupKey]*stepTimes{},
	}
}

// signal wakes the commit loop.
func (h *shard) signal() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// markDirty marks a job's progress as changed. It is then committed, and a new decision is made.
func (h *shard) markDirty(id job.ID) {
	h.setDirty(id)
	h.decisionDue = true
	h.signal()
}

// setDirty puts a job on the list of those whose progress is to be committed.
func (h *shard) setDirty(id job.ID) {
	h.dirtyJobs[id] = true
	delete(h.stateChanges, id)
}

// markStateChanged records that a job has begun or is queued again. Nothing is written if that is undone before the next
// batch with room for it.
func (h *shard) markStateChanged(id job.ID) {
	switch {
	case h.dirtyJobs[id]:
	case h.stateChanges[id]:
		delete(h.stateChanges, id)
	default:
		if h.stateChanges == nil {
			h.stateChanges = map[job.ID]bool{}
		}
		h.stateChanges[id] = true
		h.signal()
	}
}

// applyChanges applies requests and cancellations. At a takeover, progress holds the jobs' progress as committed by the
// previous lease holder; it is nil for later changes.
func (h *shard) applyChanges(list []ledger.Change, progress map[job.ID]*job.Progress) {
	for i := range list {
		c := &list[i]
		if h.isForgotten(c) {
			continue
		}
		if c.FallbackPart != "" && !slices.Contains(h.otherParts[c.ID], c.FallbackPart) {
			h.otherParts[c.ID] = append(h.otherParts[c.ID], c.FallbackPart)
		}
		if c.Request != nil {
			h.addJob(c.Request, progress[c.ID])
			h.jobs[c.ID].recordVersion(c.Version)
		}
	}
	for i := range list {
		c := &list[i]
		switch j := h.jobs[c.ID]; {
		case !c.Cancelled || h.isForgotten(c):
		case j == nil:
			h.addEarlyCancellation(c)
		default:
			j.recordVersion(c.Version)
			h.cancelJob(c.ID)
		}
	}
}

// addJob starts to track a job. p is the progress that a previous lease holder committed, or nil.
func (h *shard) addJob(r *job.Request, p *job.Progress) {
	if h.jobs[r.ID] != nil {
		return
	}
	j := &trackedJob{Tracker: job.NewTracker(r, p), readySince: map[job.Group]time.Time{}, avoidWorkers: map[job.Group]map[string]bool{}}
	h.jobs[r.ID] = j
	h.holdings.add(r, 1)
	h.holdings.addSaved(j)
	h.estimates.addJob(r)
	h.decisionDue = true
	for _, o := range j.Running() {
		h.adopt(j, o)
	}
	if j.CompleteInherited(time.Now().UnixMilli()) {
		h.markDirty(r.ID)
	}
	if p == nil {
		h.Log.Info("scheduler: tracking a new job", zap.String("job", string(r.ID)), zap.String("queue", r.Terms.Queue),
			zap.Int("tasks", len(j.Progress.Tasks)), zap.Int("steps", len(r.Steps)))
	}
	h.applyEarlyCancellation(r.ID)
	h.signal()
}

// watchJobs watches the store for requests and cancellations and applies them. When the feed is quiet for too long,
// it reads all rows.
func (h *shard) watchJobs(version int64) {
	var timeout feedTimeout
	for h.ctx.Err() == nil {
		began := time.Now()
		changes, err := h.Ledger.WatchJobs(h.ctx, version, timeout.next())
		if err == nil && len(changes.List) > 0 {
			timeout.recordChanges(len(changes.List), time.Since(began))
		} else {
			timeout.recordNoChange()
			changes, err = h.Ledger.Jobs(h.ctx)
		}
		if err != nil {
			h.recordStoreFailure(err, "follow requests")
			interval.Sleep(h.ctx, retryDelay)
			continue
		}
		version = changes.Version
		h.mu.Lock()
		h.applyChanges(changes.List, nil)
		h.mu.Unlock()
	}
}

// recordStoreFailure logs a failed call to the store and records its time.
func (h *shard) recordStoreFailure(err error, call string) {
	h.Log.Warn("scheduler: a call to the store failed; retrying", zap.String("call", call), logsink.Error(err))
	h.mu.Lock()
	defer h.mu.Unlock()
	h.storeFailedAt = time.Now()
}
