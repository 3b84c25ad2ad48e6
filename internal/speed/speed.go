// Package speed estimates how long work takes on a worker compared with a usual worker, and how certain that is. It
// reads no clock and does no I/O. The usual worker is the geometric mean of the workers of a service.
package speed

import (
	"iter"
	"math"
	"time"
)

const (
	// initialVariance is the variance of ln(factor) of an unknown worker. At a site whose workers take 0.6 to 1.6 times
	// the usual time, the standard deviation of ln(factor) is 0.4.
	initialVariance = 0.16
	// minVariance is the lower bound of an estimate's variance. With samples of variance 0.05 the newest one has a
	// weight of 0.17 or more, so that the estimate follows a worker that changes permanently within ten samples.
	minVariance = 0.01
	// varianceGrowth is the growth of the variance per second without samples: 12 minutes after the last sample, an
	// estimate is as uncertain as that of an unknown worker.
	varianceGrowth = 0.0002
	// outlierFactor is the factor by which a sample must differ from the estimate, beyond a standard deviation of that, to
	// be held back until later samples agree. Slow periods of healthy machines make work take 3 to 9 times as long, which
	// is beyond that even for an unknown worker; the tasks of one step differ by 1.3.
	outlierFactor = 2
	// outlierConfirmation is how much later a run must have started to confirm an outlier. Slow periods last 5 to 7 s.
	outlierConfirmation = 10 * time.Second
	// agreementFactor is the factor by which two outliers may differ and still agree. Two runs with 30% of noise differ
	// by 1.7.
	agreementFactor = 1.7
	// maxFactor bounds the estimate: its range is 1/maxFactor to maxFactor. Slow periods reach 9.
	maxFactor = 8
	// maxSamples is the value at which the number of samples stops to count.
	maxSamples = 1000

	// minSiteSamples is the number of samples from which a worker's estimate counts in the spread of its site.
	minSiteSamples = 3
	// minSiteWorkers is the number of such workers from which the spread is known.
	minSiteWorkers = 10
	// MaxSpread is the upper bound of the spread. Estimates count as at most a factor of 2 from the usual worker: slower
	// ones are avoided as very slow in any case, and a few of them must not change how a uniform site is served.
	MaxSpread = math.Ln2
	// recentering is the share of the workers' mean that one update of a site removes. Runs that are measured early are
	// the shorter ones, so later samples of a step appear slow, and without it all estimates would drift together.
	recentering = 0.1
	// highDeviation is the number of standard deviations that a normally distributed value exceeds in one of ten cases.
	highDeviation = 1.28
)

// Worker is the estimate for one incarnation of a worker. The zero value knows nothing.
type Worker struct {
	log       float64   // Expected value of ln(factor).
	certainty float64   // initialVariance minus the variance, so that the zero value has the initial variance.
	samples   int       // Number of samples that counted.
	agedAt    time.Time // Time up to which the growth of the variance is included.
	outlier   outlier
}

// outlier is a sample that waits for confirmation; the zero value is none.
type outlier struct {
	log float64
	at  time.Time
}

// Restored returns an estimate that was kept, from ln(factor), its variance and the number of samples. It returns the
// zero value if the factor is out of range or not a number; the other values are brought into their range.
func Restored(log, variance float64, samples int, at time.Time) Worker {
	if math.IsNaN(log) || math.IsNaN(variance) || math.Abs(log) > math.Log(maxFactor) {
		return Worker{}
	}
	w := Worker{log: log, agedAt: at, samples: min(max(samples, 0), maxSamples)}
	w.setVariance(variance)
	return w
}

// NextIncarnation makes the estimate that of the worker's next incarnation: the expected factor stays, and everything
// else starts anew. Another machine may have taken the worker's name.
func (w *Worker) NextIncarnation() { *w = Worker{log: w.log} }

// Observe records that a run took ratio times the time that a usual worker takes; variance is that of ln(ratio), and at
// is when the run started. It reports whether the sample changed the estimate.
func (w *Worker) Observe(ratio, variance float64, at time.Time) bool {
	log := math.Log(ratio)
	if math.IsNaN(log) || math.IsInf(log, 0) || math.IsNaN(variance) || variance < 0 {
		return false
	}
	if math.Abs(log-w.log) > math.Log(outlierFactor)+math.Sqrt(w.Variance()) {
		if !w.outlier.confirmedBy(log, at) {
			return false
		}
		w.certainty = 0 // The worker has changed.
	} else if !at.Before(w.outlier.at) {
		w.outlier = outlier{}
	}
	w.age(at)
	gain := w.Variance() / (w.Variance() + variance)
	w.setLog(w.log + gain*(log-w.log))
	w.setVariance((1 - gain) * w.Variance())
	w.samples = min(w.samples+1, maxSamples)
	return true
}

// age lets the variance grow up to a given time.
func (w *Worker) age(at time.Time) {
	if !w.agedAt.IsZero() && at.After(w.agedAt) {
		w.setVariance(w.Variance() + varianceGrowth*at.Sub(w.agedAt).Seconds())
	}
	if at.After(w.agedAt) {
		w.agedAt = at
	}
}

// confirmedBy reports whether the outlier is confirmed by a sample of a run that started at a given time. If not, the
// sample is the outlier to be confirmed, unless it agrees with the earlier one.
func (o *outlier) confirmedBy(log float64, at time.Time) bool {
	if !o.at.IsZero() && math.Abs(log-o.log) <= math.Log(agreementFactor) {
		if at.Sub(o.at) < outlierConfirmation {
			return false
		}
		*o = outlier{}
		return true
	}
	if at.After(o.at) {
		*o = outlier{log, at}
	}
	return false
}

func (w *Worker) setLog(log float64) {
	w.log = min(max(log, -math.Log(maxFactor)), math.Log(maxFactor))
}

func (w *Worker) setVariance(v float64) {
	w.certainty = initialVariance - min(max(v, minVariance), initialVariance)
}

// Log returns the expected value of ln(factor).
func (w *Worker) Log() float64 { return w.log }

// Variance returns the variance of ln(factor).
func (w *Worker) Variance() float64 { return initialVariance - w.certainty }

// Samples returns the number of samples that the estimate is made of.
func (w *Worker) Samples() int { return w.samples }

// Factor returns the expected factor on the usual run time; 1 if nothing is known.
func (w *Worker) Factor() float64 { return math.Exp(w.log) }

// precision returns the inverse of the variance that the samples alone give the estimate; 0 without samples.
func (w *Worker) precision() float64 { return 1/w.Variance() - 1/initialVariance }

// Site holds what is common to the workers of a service: how much they differ. The zero value is a site whose workers
// do not differ.
type Site struct {
	variance float64 // Variance of ln(factor) between workers.
	known    int     // Number of workers that it was computed from.
}

// Update computes how much the workers differ at a given time, and moves their estimates so that their mean is that of
// a usual worker. Each worker counts by the square of its certainty, the inverse variance of its squared deviation: the
// part of chance in a nearly forgotten estimate has no bound.
func (s *Site) Update(workers iter.Seq[*Worker], at time.Time) {
	s.known, s.variance = 0, 0
	logs, weights, weightSquares, sum, squares, chance := 0.0, 0.0, 0.0, 0.0, 0.0, 0.0
	for w := range workers {
		w.age(at)
		if w.samples < minSiteSamples || w.certainty <= 0 {
			continue
		}
		// The mean of the samples alone. The estimate is nearer to that of a usual worker.
		x := w.log * initialVariance / w.certainty
		x = min(max(x, -MaxSpread), MaxSpread)
		weight := w.certainty * w.certainty
		s.known++
		logs += w.log
		weights += weight
		weightSquares += weight * weight
		sum += weight * x
		squares += weight * x * x
		chance += w.certainty * initialVariance * w.Variance() // The weight divided by the precision.
	}
	// A few certain workers among nearly forgotten ones are too few. weights^2 / weightSquares is the number of workers
	// that would count as much as these do, if their certainties were the same.
	if s.known < minSiteWorkers || 2*weights*weights < minSiteWorkers*weightSquares {
		return
	}
	mean := sum / weights
	// With equal weights, the divisor is the weight of all workers but one.
	divisor := weights - weightSquares/weights
	s.variance = min(max((squares-sum*mean)/divisor-chance/weights, 0), MaxSpread*MaxSpread)
	for w := range workers {
		if w.samples > 0 {
			w.setLog(w.log - recentering*logs/float64(s.known))
		}
	}
}

// Spread returns the standard deviation of ln(factor) between workers, without the part explained by chance. It is 0
// until minSiteWorkers workers are known, and at most MaxSpread.
func (s *Site) Spread() float64 { return math.Sqrt(s.variance) }

// Known returns the number of workers that the spread was computed from.
func (s *Site) Known() int { return s.known }

// Threshold returns the spread from which one worker in ten exceeds a factor.
func Threshold(factor float64) float64 { return math.Log(factor) / highDeviation }

// Range returns the expected factor of a worker, and one that it exceeds in one case of ten only. Both are 1 on a site
// whose workers do not differ.
func (s *Site) Range(w *Worker) (expected, high float64) {
	if s.variance <= 0 {
		return 1, 1
	}
	variance := 1 / (1/s.variance + w.precision())
	log := w.log * min(variance/w.Variance(), 1)
	return math.Exp(log), math.Exp(log + highDeviation*math.Sqrt(variance))
}
