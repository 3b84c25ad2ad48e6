package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/pulleyring/pulleyring/internal/interval"
	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/internal/ledger"
	"github.com/pulleyring/pulleyring/internal/logsink"
)

const (
	// forgetInterval is the interval between searches for jobs that ended so long ago that operators need not see them
	// any more.
	forgetInterval = 5 * time.Second
	// maxForgotten limits the jobs that one search returns. The requests of most of them are deleted in one transaction
	// for each part of the store.
	maxForgotten = 200
	// forgetBacklogPause is the pause before the next search after one that returned maxForgotten jobs.
	forgetBacklogPause = 500 * time.Millisecond
)

// pastJobs is the state of jobs that are not tracked, or that were deleted a short time ago.
type pastJobs struct {
	earlyCancellations map[job.ID]earlyCancellation // Cancellations of jobs whose requests have not arrived.
	otherParts         map[job.ID][]string          // Parts of the store, other than the first one, that hold rows of a job.
	forgotten          map[job.ID]forgottenJob      // Jobs whose rows were deleted recently.
}

// forgetLoop deletes the rows of old jobs: the requests first and the progress after them, so that a successor
// never finds a request without its progress.
func (h *shard) forgetLoop() {
	for pause := forgetInterval; interval.Sleep(h.ctx, pause); {
		pause = forgetInterval
		h.mu.Lock()
		maps.DeleteFunc(h.forgotten, func(_ job.ID, f forgottenJob) bool { return time.Since(f.at) > forgottenRetention })
		old := h.oldJobs()
		away := map[job.ID][]string{}
		for _, id := range old {
			away[id] = h.otherParts[id]
		}
		h.mu.Unlock()
		if len(old) == 0 {
			continue
		}
		if err := h.Ledger.DeleteRequests(h.ctx, old, away); err != nil {
			h.Log.Warn("scheduler: unable to delete the requests of old jobs; retrying", logsink.Error(err))
			continue
		}
		h.mu.Lock()
		h.dropDeleted(old)
		h.mu.Unlock()
		if len(old) >= maxForgotten {
			pause = forgetBacklogPause
		}
	}
}

// dropDeleted drops the state of jobs whose requests were deleted, except those that came back meanwhile: the request
// of a job that was cancelled before may arrive during the deletion.
func (h *shard) dropDeleted(ids []job.ID) {
	for _, id := range ids {
		if j := h.jobs[id]; j != nil && !h.isOld(j) {
			continue
		}
		h.droppedJobs = append(h.droppedJobs, h.deletionOf(id))
		h.forget(id)
	}
}

// dropLeftProgress has the progress of ended jobs deleted whose requests an earlier lease holder deleted, before it ended
// itself. A later request with the same name must not be taken for ended by it.
func (h *shard) dropLeftProgress(progress map[job.ID]*job.Progress) {
	for id, p := range progress {
		if h.jobs[id] == nil && p.State.Final() {
			h.droppedJobs = append(h.droppedJobs, ledger.DeletionOf(id, p))
		}
	}
}

// forgottenJob is a job whose rows were deleted. A read that began before the deletion may still return the rows, and
// the job must not start again by them. A new request with the same name has a newer version and does start.
type forgottenJob struct {
	version int64 // Newest version of the rows of the request and of the cancellation.
	at      time.Time
}

// forgottenRetention is how long a deleted job is kept in shard.forgotten. Reads that may still return its rows
// end within 2 s.
const forgottenRetention = time.Minute

// deletionOf returns the rows to delete of a job, or of a cancellation without a job.
func (h *shard) deletionOf(id job.ID) ledger.JobDeletion {
	if j := h.jobs[id]; j != nil {
		return ledger.DeletionOf(id, &j.Progress)
	}
	return ledger.JobDeletion{ID: id}
}

// isForgotten reports whether a change is a row of a job that was forgotten, which a read returned that began before
// the row was deleted.
func (h *shard) isForgotten(c *ledger.Change) bool {
	f, found := h.forgotten[c.ID]
	return found && c.Version <= f.version
}

// recordVersion records the version of a row of the job's request or of its cancellation.
func (j *trackedJob) recordVersion(version int64) { j.version = max(j.version, version) }

// forget deletes the shard's state of a job, or of a cancellation without a job. The version stays in shard.forgotten.
func (h *shard) forget(id job.ID) {
	version := h.earlyCancellations[id].version
	if j := h.jobs[id]; j != nil {
		version = max(version, j.version)
		h.holdings.add(j.Request, -1)
		h.holdings.setSaved(j, 0)
		for s := range j.Request.Steps {
			delete(h.stepTimes, stepOf(id, s))
		}
		h.estimates.forgetJob(j.Request)
		h.finishSamples(j.Request)
	}
	h.forgotten[id] = forgottenJob{version, time.Now()}
	delete(h.jobs, id)
	delete(h.dirtyJobs, id)
	delete(h.stateChanges, id)
	delete(h.earlyCancellations, id)
	delete(h.otherParts, id)
}

// oldJobs returns jobs that ended, and cancellations without a job that arrived, more than Bounds.Retain ago, at most
// maxForgotten of them.
func (h *shard) oldJobs() []job.ID {
	oldest := time.Now().Add(-h.Bounds.Retain)
	var ids []job.ID
	for id, j := range h.jobs {
		if len(ids) < maxForgotten && h.isOld(j) && len(j.Running()) == 0 && h.isCommitted(id) {
			ids = append(ids, id)
		}
	}
	for id, e := range h.earlyCancellations {
		if len(ids) < maxForgotten && e.at.Before(oldest) {
			ids = append(ids, id)
		}
	}
	return ids
}

// isOld reports whether a job ended so long ago that it need not be shown any more.
func (h *shard) isOld(j *trackedJob) bool {
	return j.Progress.State.Final() && j.Progress.EndedAt < time.Now().Add(-h.Bounds.Retain).UnixMilli()
}

// keepReturned gives up the deletion of progress that belongs to a new job of the same name by now, and has it written
// instead.
func (h *shard) keepReturned() {
	h.droppedJobs = slices.DeleteFunc(h.droppedJobs, func(d ledger.JobDeletion) bool {
		returned := h.jobs[d.ID] != nil
		if returned {
			h.setDirty(d.ID)
		}
		return returned
	})
}

// takeDropped returns the deleted jobs whose progress rows the next batch deletes, and removes them from the list.
// While commits fail, more accumulate than fit into one batch.
func (h *shard) takeDropped() []ledger.JobDeletion {
	rows, n := 0, 0
	for n < len(h.droppedJobs) && (n == 0 || rows+h.droppedJobs[n].Rows() <= ledger.MaxDeletedRows) {
		rows += h.droppedJobs[n].Rows()
		n++
	}
	taken := slices.Clone(h.droppedJobs[:n])
	h.droppedJobs = slices.Delete(h.droppedJobs, 0, n)
	return taken
}

// isCommitted reports whether the latest progress of a job is committed, and no commit of it is in flight.
func (h *shard) isCommitted(id job.ID) bool { return !h.dirtyJobs[id] && h.committing[id] == nil }
