package scheduler

import (
	"time"

	"github.com/pulleyring/pulleyring/internal/job"
)

// estimates learns how long tasks really take. It learns this for each step whose tasks have ended or reported
// progress, and for each queue, whose estimate is used for all other steps. It also learns the mean work of a queue's
// jobs. The zero value is ready to use.
type estimates struct {
	queues map[string]*queueEstimates
	steps  map[groupKey]*mean
}

// mean is a running mean.
type mean struct {
	count, value float64
}

func (m *mean) add(x float64) {
	m.count++
	m.value += (x - m.value) / m.count
}

// queueEstimates holds what was learned from the jobs of one queue.
type queueEstimates struct {
	runTimeRatio float64   // Real run time divided by the declared run time, smoothed; 0 before the first run.
	meanWork     mean      // Declared core-seconds of a job.
	runTimes     estimator // Run times of tasks on usual workers: the first one recorded for each step.
	speedNoise   float64   // Variance of the logarithms of a step's run times on equal workers; 0 before the first sample.
}

// ratioWeight is the weight of the newest run in queueEstimates.runTimeRatio.
const ratioWeight = 0.1

// ofQueue returns what was learned about a queue.
func (e *estimates) ofQueue(queue string) *queueEstimates {
	if e.queues == nil {
		e.queues = map[string]*queueEstimates{}
	}
	l := e.queues[queue]
	if l == nil {
		l = &queueEstimates{}
		e.queues[queue] = l
	}
	return l
}

// stepOf returns the key of a step of a job. It is the same for all occurrences.
func stepOf(id job.ID, step int) groupKey { return groupKey{id, job.Group{Step: step}} }

// addJob adds a new job to the mean work of its queue.
func (e *estimates) addJob(r *job.Request) {
	e.ofQueue(r.Terms.Queue).meanWork.add(declaredWork(r))
}

// addRun records how long a run of a step takes on a usual worker. For a run that has not ended, it is the time that the
// run will take at its current rate.
func (e *estimates) addRun(r *job.Request, step int, took time.Duration) {
	if e.steps == nil {
		e.steps = map[groupKey]*mean{}
	}
	key := stepOf(r.ID, step)
	l := e.ofQueue(r.Terms.Queue)
	if e.steps[key] == nil {
		e.steps[key] = &mean{}
		l.runTimes.observe(took, l.scaleDeclaredTime(r.Steps[step].Estimate))
	}
	e.steps[key].add(took.Seconds())
	if r.Steps[step].Estimate <= 0 {
		return
	}
	ratio := float64(took) / float64(r.Steps[step].Estimate)
	if l.runTimeRatio == 0 {
		l.runTimeRatio = ratio
	}
	l.runTimeRatio += ratioWeight * (ratio - l.runTimeRatio)
}

// taskTime returns the expected run time of a task of a step.
func (e *estimates) taskTime(r *job.Request, step int) time.Duration {
	if m := e.steps[stepOf(r.ID, step)]; m != nil {
		return max(seconds(m.value), minEstimate)
	}
	l := e.ofQueue(r.Terms.Queue)
	return max(l.runTimes.estimate(l.scaleDeclaredTime(r.Steps[step].Estimate)), minEstimate)
}

// scaleDeclaredTime returns a declared run time, scaled by the queue's ratio of real to declared run times.
func (l *queueEstimates) scaleDeclaredTime(declared time.Duration) time.Duration {
	if l.runTimeRatio > 0 {
		return time.Duration(float64(declared) * l.runTimeRatio)
	}
	return declared
}

// minEstimate is the lower limit of all estimated run times. The start and stop commands alone take a few tens of
// milliseconds.
const minEstimate = 100 * time.Millisecond

// forgetJob removes what was learned about a job's steps.
func (e *estimates) forgetJob(r *job.Request) {
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

// chainTime returns the expected run time of the longest chain of dependent steps that begins at a given step.
func (e *estimates) chainTime(r *job.Request, from int) time.Duration {
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
		longest[s] = e.taskTime(r, s) + after
	}
	return longest[from]
}

// jobTime returns the expected run time of a job's longest chain of dependent steps.
func (e *estimates) jobTime(r *job.Request) time.Duration {
	longest := time.Duration(0)
	for s := range r.Steps {
		longest = max(longest, e.chainTime(r, s))
	}
	return longest
}
