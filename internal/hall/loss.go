package hall

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pulleyring/pulleyring/internal/loss"
	"github.com/pulleyring/pulleyring/internal/settlement"
)

// earlyLossMaxAge is the run time up to which the loss of a worker always counts against the job. A job that crashes
// its workers mostly does so at its start; the longer it has run, the likelier is another cause.
const earlyLossMaxAge = 2 * time.Second

const (
	// lostTogether is the time within which losses have a common cause: a lease and a few reports.
	lostTogether = 10 * time.Second
	// commonCauseLosses is how many other workers must be lost within lostTogether so that the job is not blamed.
	commonCauseLosses = 3
	// exclusiveAfter is the number of late losses after which a job runs while no other job with losses does, until
	// it ends. Its next loss then shows whether it is the cause.
	exclusiveAfter = 2
)

// workerLosses counts lost workers, whatever they ran. The zero value is ready for use.
type workerLosses struct {
	loss.Background
	lostAt      map[string]time.Time // Recently lost workers, with the time when the loss was found.
	lastCounted time.Time            // When a loss was last counted as background.
}

// record records workers that were lost under an attempt, and returns how many others were lost within lostTogether.
// Such losses count once as background. Losses of a suspect job don't count as background.
func (l *workerLosses) record(workers []string, suspect bool, now time.Time) (others int) {
	if l.lostAt == nil {
		l.lostAt = map[string]time.Time{}
	}
	for name, at := range l.lostAt {
		switch {
		case now.Sub(at) > lostTogether:
			delete(l.lostAt, name)
		case !slices.Contains(workers, name):
			others++
		}
	}
	for _, name := range workers {
		l.lostAt[name] = now
	}
	if !suspect && now.Sub(l.lastCounted) > lostTogether {
		l.Lost++
		l.lastCounted = now
	}
	return others
}

// sampleWorkers counts the workers that run jobs without losses, if a sample is due. The caller holds c.mu.
func (c *Controller) sampleWorkers(now time.Time) {
	if !c.losses.Due(now) {
		return
	}
	watched := map[string]bool{}
	for _, j := range c.Rows.Jobs() {
		for i := range j.Placements {
			if name := j.Placements[i].Worker; j.State == settlement.Starting && j.Losses == 0 {
				watched[name] = true
			}
		}
	}
	c.losses.Watch(len(watched), now)
}

// classifyLoss reports whether the loss of an attempt's workers counts against its job, and whether the loss was
// late. A late loss counts only if few other workers were lost at the same time, and if hardly any of the attempt's
// workers would be lost in that run time without the job's doing.
func (c *Controller) classifyLoss(j *CachedJob, states []settlement.WorkerState) (counts, late bool) {
	var lost []string
	runTime := time.Duration(math.MaxInt64)
	for i, s := range states {
		if s.Lost || s.Expired {
			lost = append(lost, j.Placements[i].Worker)
			runTime = min(runTime, c.monitor.lastSeenLive(j.Placements[i].Worker, j).Sub(j.Started))
		}
	}
	if len(lost) == 0 {
		return false, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	others := c.losses.record(lost, j.Losses > 0, time.Now())
	if runTime <= earlyLossMaxAge {
		return true, false
	}
	expected := float64(len(j.Placements)) * c.losses.ExpectedLosses(runTime, j.Losses > 0)
	return others < commonCauseLosses && expected <= loss.MaxExpectedLosses, true
}

// lastSeenLive returns when a worker last reported an attempt as live, or when this box first saw the attempt,
// whichever is later.
func (m *workerMonitor) lastSeenLive(name string, j *CachedJob) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	if at := m.worker(name).lastLive[j.Attempt]; at.After(j.FirstSeen) {
		return at
	}
	return j.FirstSeen
}

// nextSuspect returns the key of the one waiting job with losses that may start now, or "". The caller holds c.mu.
//
// Jobs with losses start one at a time: the next one waits until the last one has run for suspectRunTime. If that
// one had exclusiveAfter late losses, the next one waits until it ends. Otherwise jobs that were lost together would
// start and be lost together again, until sound jobs are failed beside the one that crashes their workers.
func (c *Controller) nextSuspect(now time.Time) string {
	var waiting []string
	for _, j := range c.Rows.Jobs() {
		if j.Losses == 0 {
			continue
		}
		key := j.Key()
		_, paused := c.pausedUntil[key]
		switch {
		case j.LateLosses >= exclusiveAfter && j.State != settlement.Waiting && !j.Unsettled:
			return ""
		case c.pendingStarts[key] != nil, j.State != settlement.Waiting && now.Sub(j.FirstSeen) < c.suspectRunTime():
			return ""
		case j.State == settlement.Waiting && !paused && !c.busy[key]:
			waiting = append(waiting, key)
		}
	}
	if len(waiting) == 0 {
		return ""
	}
	// Random, so that a job without free capacity does not block the others.
	return waiting[rand.IntN(len(waiting))]
}

// suspectRunTime is the time after which reports show that an attempt has outlived earlyLossMaxAge.
func (c *Controller) suspectRunTime() time.Duration {
	return earlyLossMaxAge + 2*c.Settings.Lease.Renew
}
