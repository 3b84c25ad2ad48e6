package scheduler

import (
	"maps"
	"slices"

	"github.com/pulleyring/pulleyring/internal/admission"
	"github.com/pulleyring/pulleyring/internal/job"
)

// cancellationBytes is the memory of a cancellation that waits for its request, in bytes.
const cancellationBytes = 1 << 10

// jobShare is the part of a machine's memory that all jobs together may take.
const jobShare = 0.25

// JobMemory returns the memory that all jobs together may take on a machine with this memory, in MiB; 0, for no limit, if
// that is not known.
func JobMemory(memoryMB int) int64 { return int64(jobShare * float64(memoryMB) * (1 << 20)) }

// holdings counts the memory that jobs take, by workspace, from the arrival of a request until its rows are deleted.
type holdings struct {
	byWorkspace   map[string]int64
	total         int64
	cancellations int // Number of cancellations without a request.
}

func (h *holdings) add(r *job.Request, sign int64) { h.addBytes(r.Terms.Workspace, sign*r.Footprint()) }

func (h *holdings) addBytes(workspace string, n int64) {
	if h.byWorkspace == nil {
		h.byWorkspace = map[string]int64{}
	}
	h.total += n
	if h.byWorkspace[workspace] += n; h.byWorkspace[workspace] <= 0 {
		delete(h.byWorkspace, workspace)
	}
}

// addSaved counts the memory of a job's saved states. Those of usual size are part of its footprint.
func (h *holdings) addSaved(j *trackedJob) {
	usual := usualSavedBytes * len(j.Progress.Tasks)
	h.setSaved(j, int64(max(0, j.SavedBytes()-usual)))
}

func (h *holdings) setSaved(j *trackedJob, n int64) {
	if n != j.savedCounted {
		h.addBytes(j.Request.Terms.Workspace, n-j.savedCounted)
		j.savedCounted = n
	}
}

// usualSavedBytes is the size of a usual saved state.
const usualSavedBytes = 16

// full returns what there is no memory for with this limit. A workspace may use half of the limit. While all of them together exceed the limit, each may use an equal
// share of that half, so that one workspace can't keep others out.
func (h *holdings) full(limit int64) (f admission.Full) {
	if limit <= 0 {
		return f
	}
	each := limit / 2
	if h.total > limit {
		each /= int64(len(h.byWorkspace))
	}
	for _, name := range slices.Sorted(maps.Keys(h.byWorkspace)) {
		if h.byWorkspace[name] > each {
			f.Workspaces = append(f.Workspaces, name)
		}
	}
	f.Cancellations = int64(h.cancellations)*cancellationBytes > limit/cancellationsShare
	return f
}

// cancellationsShare is the part of the limit that cancellations without a request may use, as a divisor.
const cancellationsShare = 4
