package scheduler

import (
	"time"

	"github.com/pulleyring/pulleyring/internal/job"
)

// estimates learns how long tasks really take: step by step once a task of the step has told its progress, and queue by
// queue for the others; and how much work a queue's jobs bring. Its zero value is ready.
type estimates struct {
	queues map[string]*learned
	steps  map[claimKey]*mean
}

// mean is a running mean.
type mean struct {
	count, value float64
}

func (m *mean) add(x float64) {
	m.count++
	m.value += (x - m.value) / m.count
}

type learned struct {
	ratio float64 // Real run time over the declared one, smoothed; 0 before the first.
	work  mean    // Core-seconds of a job, as declared.
	times guess   // How long tasks run, step by step.
}

// smoothing is the weight of the newest run in the learned ratio.
const smoothing = 0.1

func (e *estimates) of(queue string) *learned {
	if e.queues == nil {
		e.queues = map[string]*learned{}
	}
	l := e.queues[queue]
	if l == nil {
		l = &learned{}
		e.queues[queue] = l
	}
	return l
}

// stepOf names a step of a job, over all occurrences.
func stepOf(id job.ID, step int) claimKey { return claimKey{id, job.Group{Step: step}} }

// seen takes a new job into the mean work of its queue.
func (e *estimates) seen(r *job.Request) {
	e.of(r.Terms.Queue).work.add(declaredWork(r))
}

// ran takes in how long a run took, or will take at the rate at which it works.
func (e *estimates) ran(r *job.Request, step int, took time.Duration) {
	if e.steps == nil {
		e.steps = map[claimKey]*mean{}
	}
	key := stepOf(r.ID, step)
	l := e.of(r.Terms.Queue)
	if e.steps[key] == nil {
		e.steps[key] = &mean{}
		l.times.take(took, l.corrected(r.Steps[step].Estimate))
	}
	e.steps[key].add(took.Seconds())
	if r.Steps[step].Estimate <= 0 {
		return
	}
	ratio := float64(took) / float64(r.Steps[step].Estimate)
	if l.ratio == 0 {
		l.ratio = ratio
	}
	l.ratio += smoothing * (ratio - l.ratio)
}

// task is how long a task of a step should take.
func (e *estimates) task(r *job.Request, step int) time.Duration {
	if m := e.steps[stepOf(r.ID, step)]; m != nil {
		return max(seconds(m.value), leastEstimate)
	}
	l := e.of(r.Terms.Queue)
	return max(l.times.blend(l.corrected(r.Steps[step].Estimate)), leastEstimate)
}

// corrected is a declared run time times what real ones were of declared ones.
func (l *learned) corrected(declared time.Duration) time.Duration {
	if l.ratio > 0 {
		return time.Duration(float64(declared) * l.ratio)
	}
	return declared
}

// leastEstimate bounds what is reckoned with; a run takes a few tens of milliseconds of orders alone.
const leastEstimate = 100 * time.Millisecond

// forget drops what was learned of a job's steps.
func (e *estimates) forget(r *job.Request) {
	for s := range r.Steps {
		delete(e.steps, stepOf(r.ID, s))
	}
}

func declaredWork(r *job.Request) float64 {
	sum := 0.0
	for i := range r.Steps {
		s := &r.Steps[i]
		sum += float64(s.Count) * s.Each.Cores() * s.Estimate.Seconds()
	}
	return sum * float64(r.Occurrences())
}

// chain is the expected time of the longest chain of steps, from a step on.
func (e *estimates) chain(r *job.Request, from int) time.Duration {
	longest := make([]time.Duration, len(r.Steps))
	for s := len(r.Steps) - 1; s >= from; s-- {
		after := time.Duration(0)
		for n := s + 1; n < len(r.Steps); n++ {
			for _, a := range r.Steps[n].After {
				if a == s {
					after = max(after, longest[n])
				}
			}
		}
		longest[s] = e.task(r, s) + after
	}
	return longest[from]
}

// whole is the expected time of a job's longest chain.
func (e *estimates) whole(r *job.Request) time.Duration {
	longest := time.Duration(0)
	for s := range r.Steps {
		longest = max(longest, e.chain(r, s))
	}
	return longest
}
