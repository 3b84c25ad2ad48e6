package scheduler

import (
	"time"

	"github.com/pulleyring/pulleyring/internal/job"
)

// estimates learns, queue by queue, how long tasks really take and how much work a job brings.
type estimates map[string]*learned

type learned struct {
	ratio float64 // Real run time over the declared one, smoothed; 0 before the first.
	work  float64 // Mean core-seconds of a job, as declared.
	jobs  float64
}

// smoothing is the weight of the newest run in the learned ratio.
const smoothing = 0.1

func (e estimates) of(queue string) *learned {
	l := e[queue]
	if l == nil {
		l = &learned{}
		e[queue] = l
	}
	return l
}

// seen takes a new job into the mean work of its queue.
func (e estimates) seen(r *job.Request) {
	l := e.of(r.Terms.Queue)
	l.jobs++
	l.work += (declaredWork(r) - l.work) / l.jobs
}

// ran takes in how long a run that ended well took.
func (e estimates) ran(r *job.Request, step int, took time.Duration) {
	if r.Steps[step].Estimate <= 0 {
		return
	}
	l := e.of(r.Terms.Queue)
	ratio := float64(took) / float64(r.Steps[step].Estimate)
	if l.ratio == 0 {
		l.ratio = ratio
	}
	l.ratio += smoothing * (ratio - l.ratio)
}

// task is how long a task of a step should take.
func (e estimates) task(r *job.Request, step int) time.Duration {
	l := e.of(r.Terms.Queue)
	d := r.Steps[step].Estimate
	if l.ratio > 0 {
		d = time.Duration(float64(d) * l.ratio)
	}
	return max(d, 100*time.Millisecond)
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
func (e estimates) chain(r *job.Request, from int) time.Duration {
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
func (e estimates) whole(r *job.Request) time.Duration {
	longest := time.Duration(0)
	for s := range r.Steps {
		longest = max(longest, e.chain(r, s))
	}
	return longest
}
