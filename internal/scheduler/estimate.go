package scheduler

import (
	"time"

	"github.com/pulleyring/pulleyring/internal/job"
)

// estimates learns how long tasks really take: for each step once a task of it has reported progress, and for each
// queue for steps without reports. It also learns the mean work of a queue's jobs. The zero value is ready to use.
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

// learned holds what was learned from the jobs of one queue.
type learned struct {
	ratio float64 // Real run time divided by the declared one, smoothed; 0 before the first run.
	work  mean    // Declared core-seconds of a job.
	times guess   // Run times of tasks, one for each step.
}

// smoothing is the weight of the newest run in learned.ratio.
const smoothing = 0.1

// of returns what was learned about a queue.
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

// stepOf returns the key of a step of a job. It is the same for all occurrences.
func stepOf(id job.ID, step int) claimKey { return claimKey{id, job.Group{Step: step}} }

// seen adds a new job to the mean work of its queue.
func (e *estimates) seen(r *job.Request) {
	e.of(r.Terms.Queue).work.add(declaredWork(r))
}

// ran records how long a run took, or will take at its current rate.
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

// task returns the expected run time of a task of a step.
func (e *estimates) task(r *job.Request, step int) time.Duration {
	if m := e.steps[stepOf(r.ID, step)]; m != nil {
		return max(seconds(m.value), leastEstimate)
	}
	l := e.of(r.Terms.Queue)
	return max(l.times.blend(l.corrected(r.Steps[step].Estimate)), leastEstimate)
}

// corrected returns a declared run time, scaled by the queue's ratio of real to declared run times.
func (l *learned) corrected(declared time.Duration) time.Duration {
	if l.ratio > 0 {
		return time.Duration(float64(declared) * l.ratio)
	}
	return declared
}

// leastEstimate is the shortest run time that is estimated. The commands of a run alone take a few tens of
// milliseconds.
const leastEstimate = 100 * time.Millisecond

// forget removes what was learned about a job's steps.
func (e *estimates) forget(r *job.Request) {
	for s := range r.Steps {
		delete(e.steps, stepOf(r.ID, s))
	}
}

// declaredWork returns the declared core-seconds of a job over all its occurrences.
func declaredWork(r *job.Request) float64 {
	sum := 0.0
	for i := range r.Steps {
		s := &r.Steps[i]
		sum += float64(s.Count) * s.Each.Cores() * s.Estimate.Seconds()
	}
	return sum * float64(r.Occurrences())
}

// chain returns the expected time of the longest chain of dependent steps that begins at a step.
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

// whole returns the expected time of a job's longest chain of dependent steps.
func (e *estimates) whole(r *job.Request) time.Duration {
	longest := time.Duration(0)
	for s := range r.Steps {
		longest = max(longest, e.chain(r, s))
	}
	return longest
}
