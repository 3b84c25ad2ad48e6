package decider

import (
	"slices"
	"sync"
)

// samplesKept is the number of run times that are kept for one workspace and kind.
const samplesKept = 64

// enoughSamples is the number of run times from which the learned quantile alone is used.
const enoughSamples = 8

// Estimates learns run times by workspace and kind; the zero value is ready to use.
type Estimates struct {
	mu      sync.Mutex
	samples map[estimateKey]*sampleRing
}

type estimateKey struct{ workspace, kind string }

// sampleRing keeps the latest run times, sorted on demand.
type sampleRing struct {
	latest []float64
	next   int
	sorted []float64
}

// Observe adds the seconds that a job ran to its end.
func (e *Estimates) Observe(workspace, kind string, seconds float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.samples == nil {
		e.samples = map[estimateKey]*sampleRing{}
	}
	for _, k := range []estimateKey{{workspace, kind}, {"", kind}} {
		ring := e.samples[k]
		if ring == nil {
			ring = &sampleRing{}
			e.samples[k] = ring
		}
		ring.add(seconds)
	}
}

func (r *sampleRing) add(seconds float64) {
	r.sorted = nil
	if len(r.latest) < samplesKept {
		r.latest = append(r.latest, seconds)
		return
	}
	r.latest[r.next] = seconds
	r.next = (r.next + 1) % samplesKept
}

func (r *sampleRing) quantile(q float64) float64 {
	if r.sorted == nil {
		r.sorted = slices.Sorted(slices.Values(r.latest))
	}
	return r.sorted[int(q*float64(len(r.sorted)-1)+0.5)]
}

// Quantile returns the learned quantile of a job's whole run time in seconds. With few samples the declaration is
// mixed in by their number; without any it is the declaration.
func (e *Estimates) Quantile(j *Job, q float64) float64 {
	declared := max(j.DeclaredSeconds, 1)
	if e == nil {
		return declared
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	ring := e.samples[estimateKey{j.Workspace, j.Kind}]
	if ring == nil || len(ring.latest) < enoughSamples {
		if all := e.samples[estimateKey{"", j.Kind}]; all != nil && (ring == nil || len(all.latest) > len(ring.latest)) {
			ring = all
		}
	}
	if ring == nil {
		return declared
	}
	weight := min(1, float64(len(ring.latest))/enoughSamples)
	return max(weight*ring.quantile(q)+(1-weight)*declared, 1e-3)
}
