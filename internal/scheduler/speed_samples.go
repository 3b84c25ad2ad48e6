package scheduler

import (
	"math"
	"slices"
	"time"

	"github.com/pulleyring/pulleyring/internal/incarnation"
	"github.com/pulleyring/pulleyring/internal/job"
)

const (
	// maxStepSamples bounds the samples that are kept of a step: the newest ones.
	maxStepSamples = 48
	// maxSampleWait is how long samples wait for others of their step. The runs on fast workers are measured first; if
	// they were compared with each other only, fast workers would seem usual. The spread of a site of 0.6, 1.0 and 1.6
	// whose runs report no progress was then measured as 0.29 and not 0.40.
	maxSampleWait = 3 * time.Second
	// minOtherSamples is how many samples of other workers a sample is compared with at least: with its own, three of the
	// step.
	minOtherSamples = 2
	// maxSampleFactor is the factor on their median by which samples of a step may differ to count in the time of a usual
	// worker. 3% of a site's tasks take seven times as long, and slow periods of machines reach nine times.
	maxSampleFactor = 2
	// initialNoise is the variance of the logarithms of a step's run times before any is known, on workers of the same
	// speed. Run times that differ by up to 30% have a variance of 0.03.
	initialNoise = 0.04
	// minNoise and maxNoise bound that variance, and noiseWeight is the weight of the newest sample in it.
	minNoise    = 0.02
	maxNoise    = 0.5
	noiseWeight = 0.02
	// queueVariance is the least variance of the expected run time of a queue, in squared logarithms. Declared times are
	// wrong by 50% and more.
	queueVariance = 0.25
	// reportDelay is the uncertainty of the times at which reports are made.
	reportDelay = 50 * time.Millisecond
	// minSampleTime is the least run time that makes a sample. Shorter ones depend on reportDelay more than on the
	// worker.
	minSampleTime = 300 * time.Millisecond
)

// speedSample is the run time of one run.
type speedSample struct {
	worker      *workerState
	incarnation incarnation.ID // Incarnation of the worker that it is of.
	queue       string
	log         float64   // Natural logarithm of the run time in seconds.
	variance    float64   // Variance of log caused by the times of reports.
	begun       time.Time // When the run started.
	taken       time.Time // When the sample was taken.
	counted     bool      // The worker's estimate includes it.
}

// residual returns the logarithm of the run time on a usual worker, by what is known of the worker's speed.
func (x *speedSample) residual() float64 { return x.log - x.worker.speed.estimate.Log() }

// stepSamples holds the samples of a step's runs, the newest last.
type stepSamples []*speedSample

// usualWithout returns the logarithm of the run time of a usual worker, from the samples of other workers than w, and
// its variance. It returns false if there are too few that agree. The worker's own samples would pull its factor
// towards 1. The samples of one worker share the error of its estimate, so each worker counts once, by its certainty.
func (s stepSamples) usualWithout(w *workerState, noise float64) (log, variance float64, ok bool) {
	var others stepSamples
	for _, x := range s {
		if x.worker != w {
			others = append(others, x)
		}
	}
	others = others.agreeing()
	if len(others) < minOtherSamples {
		return 0, 0, false
	}
	weights := 0.0
	for _, group := range others.byWorker() {
		weight := 1 / (group[0].worker.speed.estimate.Variance() + noise/float64(len(group)))
		log += weight * group.meanResidual()
		weights += weight
	}
	return log / weights, 1 / weights, true
}

// agreeing returns the samples without those that are far from the median.
func (s stepSamples) agreeing() stepSamples {
	residuals := make([]float64, 0, len(s))
	for _, x := range s {
		residuals = append(residuals, x.residual())
	}
	if len(residuals) == 0 {
		return nil
	}
	slices.Sort(residuals)
	median := (residuals[len(residuals)/2] + residuals[(len(residuals)-1)/2]) / 2
	return slices.DeleteFunc(slices.Clone(s), func(x *speedSample) bool {
		return math.Abs(x.residual()-median) > math.Log(maxSampleFactor)
	})
}

// byWorker returns the samples of each worker, in the order of their first samples.
func (s stepSamples) byWorker() []stepSamples {
	var groups []stepSamples
	index := map[*workerState]int{}
	for _, x := range s {
		i, known := index[x.worker]
		if !known {
			i = len(groups)
			index[x.worker] = i
			groups = append(groups, nil)
		}
		groups[i] = append(groups[i], x)
	}
	return groups
}

// meanResidual returns the mean of the samples' residuals; there is at least one sample.
func (s stepSamples) meanResidual() float64 {
	sum := 0.0
	for _, x := range s {
		sum += x.residual()
	}
	return sum / float64(len(s))
}

// noise returns the variance of the logarithms of a step's run times on workers of the same speed.
func (l *queueEstimates) noise() float64 {
	if l.speedNoise == 0 {
		return initialNoise
	}
	return l.speedNoise
}

// addNoise updates the value of noise by the squared difference between a sample and the time of a usual worker.
// explained is the part of it that other uncertainties explain. A difference counts as at most a factor of e: single
// tasks take seven times as long.
func (l *queueEstimates) addNoise(squared, explained float64) {
	l.speedNoise = l.noise() + noiseWeight*(min(squared, 1)-explained-l.noise())
	l.speedNoise = min(max(l.speedNoise, minNoise), maxNoise)
}

// wholeTime returns how long the whole work of a run takes by its progress, and how long that was observed. Both are 0
// until enough of it is done.
func (r *run) wholeTime() (whole, observed time.Duration) {
	p := &r.progress
	from, share, known := p.baseAt, p.baseShare, p.hasGrown
	if begun := r.begun(); !begun.IsZero() {
		from, share, known = begun, 0, true
	}
	age, done := p.reportedAt.Sub(from), p.share-share
	if !known || p.share >= 1 || age < speedMinAge || done < learnShare {
		return 0, 0
	}
	return scale(age, 1/done), age
}

// begun returns when a run began its work from the beginning; zero if unknown. A gang begins when its last member has
// started.
func (r *run) begun() time.Time {
	if r.saved != "" || !r.startAnswered || r.allocation == nil {
		return time.Time{}
	}
	if !r.job.Request.Steps[r.task.Step].Gang {
		return r.confirmed
	}
	latest := time.Time{}
	for _, m := range r.allocation.runs {
		if !m.startAnswered {
			return time.Time{}
		}
		if m.confirmed.After(latest) {
			latest = m.confirmed
		}
	}
	return latest
}

// isFar reports whether a run is slowed down by its location. For a run that a predecessor placed, it is derived from
// the gang's workers that are known.
func (r *run) isFar() bool {
	if !r.adopted || r.allocation == nil {
		return r.remote
	}
	racks := map[string]bool{}
	for _, m := range r.allocation.runs {
		racks[m.worker.Rack] = true
	}
	return isRemote(&r.job.Request.Steps[r.task.Step], racks, r.worker.Rack)
}

// takesSamples reports whether the run time of a run tells about its worker's speed.
func (h *shard) takesSamples(r *run) bool {
	excluded := h.Bounds.DisableSpeeds || r.sampled || r.worker == nil || r.orphaned || r.stopping
	return !excluded && !r.lasts() && !r.isFar()
}

// sampleProgress learns the speed of a worker from the progress of a run, once per run.
func (h *shard) sampleProgress(r *run) {
	if r.sampled || r.job.Progress.State.Final() { // The samples of a job that has ended are dropped.
		return
	}
	whole, observed := r.wholeTime()
	if whole > 0 && h.takesSamples(r) {
		h.addSample(r, whole, observed)
	}
}

// sampleEnd learns the speed of a worker from the end of a successful run whose progress has shown no rate. begun is
// when it began, by run.begun. A gang takes as long as its slowest member, so the end of a member tells nothing about
// its own worker.
func (h *shard) sampleEnd(r *run, begun, now time.Time) {
	took := now.Sub(begun)
	if !begun.IsZero() && took >= minSampleTime && !r.job.Request.Steps[r.task.Step].Gang && h.takesSamples(r) {
		h.addSample(r, took, took)
	}
}

// newSample returns the sample of a run whose whole work takes the time whole, as computed from a part of it that was
// observed for the time observed.
func (r *run) newSample(whole, observed time.Duration) *speedSample {
	delay := reportDelay.Seconds() / observed.Seconds()
	begun := r.confirmed
	if begun.IsZero() {
		begun = r.placed
	}
	return &speedSample{
		worker: r.worker, incarnation: r.incarnation, queue: r.job.Request.Terms.Queue,
		log: math.Log(whole.Seconds()), variance: delay * delay, begun: begun, taken: time.Now(),
	}
}

// addSample compares the run time of a run with those of the other runs of its step. Steps with too few tasks are
// compared with the expected time of their queue.
func (h *shard) addSample(r *run, whole, observed time.Duration) {
	r.sampled = true
	x := r.newSample(whole, observed)
	step := &r.job.Request.Steps[r.task.Step]
	if step.Count*r.job.Request.Occurrences() <= minOtherSamples {
		if log, variance, ok := h.estimates.usualTime(r.job.Request, r.task.Step); ok {
			h.countGroup(stepSamples{x}, log, variance)
		}
		return
	}
	if h.stepSamples == nil {
		h.stepSamples = map[groupKey]stepSamples{}
	}
	s := append(h.stepSamples[r.stepKey()], x)
	s = s[max(len(s)-maxStepSamples, 0):]
	h.stepSamples[r.stepKey()] = s
	if len(s) >= min(step.Count, maxStepSamples) || s.longestWait(x.taken) >= maxSampleWait {
		h.countSamples(s, h.estimates.ofQueue(x.queue).noise())
	}
}

// longestWait returns for how long the oldest sample that is not counted has waited.
func (s stepSamples) longestWait(now time.Time) time.Duration {
	for _, x := range s {
		if !x.counted {
			return now.Sub(x.taken)
		}
	}
	return 0
}

// countSamples counts the samples of a step that were not counted before, if there are enough others.
func (h *shard) countSamples(s stepSamples, noise float64) {
	type comparison struct {
		samples       stepSamples
		log, variance float64
	}
	var ready []comparison
	for _, x := range s {
		if w := h.workers[x.worker.ID]; w != nil {
			x.worker = w // It was declared lost and has come back since.
		}
	}
	open := slices.DeleteFunc(slices.Clone(s), func(x *speedSample) bool { return x.counted })
	for _, group := range open.byWorker() {
		if log, variance, ok := s.usualWithout(group[0].worker, noise); ok {
			ready = append(ready, comparison{group, log, variance})
		}
	}
	for _, c := range ready { // After all comparisons, because each one changes what the others are compared with.
		h.countGroup(c.samples, c.log, c.variance)
	}
}

// countGroup updates the estimate of a worker by its samples of one step, which count as one because they share the
// error of the time that they are compared with. usual is the logarithm of the run time of a usual worker.
func (h *shard) countGroup(s stepSamples, usual, variance float64) {
	w, own := s[0].worker, s[0].worker.speedOf()
	l := h.estimates.ofQueue(s[0].queue)
	noise := l.noise()
	for _, x := range s {
		x.counted = true
	}
	s = slices.DeleteFunc(slices.Clone(s), func(x *speedSample) bool {
		return !x.incarnation.Matches(w.incarnation)
	})
	for _, x := range s {
		off := x.residual() - usual
		l.addNoise(off*off, own.estimate.Variance()+variance+x.variance)
	}
	s = s.agreeing()
	if len(s) == 0 {
		return
	}
	log, single, begun := 0.0, 0.0, time.Time{}
	for _, x := range s {
		log += x.log
		single += x.variance
		if x.begun.After(begun) {
			begun = x.begun
		}
	}
	n := float64(len(s))
	if own.estimate.Observe(math.Exp(log/n-usual), variance+(noise+single/n)/n, begun) {
		h.Figures.Count("speeds_learned")
		w.updateTimeFactor(h.speeds.sites[w.Service])
	}
}

// usualTime returns the logarithm of the run time in seconds that a queue's tasks are expected to take on a usual
// worker, without regard to the runs of the step itself, and its variance. It returns false if too little is known.
func (e *estimates) usualTime(r *job.Request, step int) (log, variance float64, ok bool) {
	l := e.ofQueue(r.Terms.Queue)
	expected := l.runTimes.estimate(l.scaleDeclaredTime(r.Steps[step].Estimate))
	if l.runTimes.mean.count < minSteps || expected <= 0 {
		return 0, 0, false
	}
	variance = max(queueVariance, min(l.runTimes.meanError.value, l.runTimes.declaredError.value))
	return math.Log(expected.Seconds()), variance, true
}

// finishSamples counts the samples of a job's steps that still wait for others, and drops all of them.
func (h *shard) finishSamples(r *job.Request) {
	for step := range r.Steps {
		if s := h.stepSamples[stepOf(r.ID, step)]; s != nil {
			h.countSamples(s, h.estimates.ofQueue(r.Terms.Queue).noise())
			delete(h.stepSamples, stepOf(r.ID, step))
		}
	}
}
