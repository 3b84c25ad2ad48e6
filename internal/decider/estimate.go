package decider

import (
	"math"
	"sync"
)

// Parameters of the run time estimates.
const (
	sampleDecay    = 0.98 // Factor on a sample's weight for each later sample; the total weight is at most 50 samples.
	priorWeight    = 4.0  // Weight of the declared run time, in samples.
	priorDeviation = 1.0  // Standard deviation of log(declared / true run time) without samples.
	minSeconds     = 1e-3 // Lower bound of run times, so that their logarithm is finite.
)

// Estimates predicts run times by workspace and kind of job. The zero value is ready to use. It fits a line to the
// logarithm of the run time over the logarithm of the declared run time. If declarations are noise, the line is flat
// and the prediction is the mean; if they are accurate, the prediction follows them.
type Estimates struct {
	mu   sync.Mutex
	fits map[estimateKey]*lineFit
}

type estimateKey struct{ workspace, kind string }

// lineFit holds decayed sums over x, the logarithm of the declared run time, and y, that of the true run time.
type lineFit struct{ n, x, y, xx, xy, yy float64 }

// add adds a sample and decays the earlier ones.
func (f *lineFit) add(x, y float64) {
	for _, sum := range []*float64{&f.n, &f.x, &f.y, &f.xx, &f.xy, &f.yy} {
		*sum *= sampleDecay
	}
	f.n++
	f.x += x
	f.y += y
	f.xx += x * x
	f.xy += x * y
	f.yy += y * y
}

// predict returns the mean and the standard deviation of y at x.
func (f *lineFit) predict(x float64) (mean, deviation float64) {
	meanX, meanY := f.x/f.n, f.y/f.n
	varX := max(f.xx/f.n-meanX*meanX, 0)
	varY := max(f.yy/f.n-meanY*meanY, 0)
	cov := f.xy/f.n - meanX*meanY
	slope := 0.0
	if varX > 0 {
		slope = min(max(cov/(varX+1/f.n), 0), 1) // The term 1/n flattens the line while there are few samples.
	}
	variance := max(varY-slope*cov, 0) + 1/f.n
	return meanY + slope*(x-meanX), math.Sqrt(variance)
}

// Observe records the declared and the true run time, in seconds, of a job that ran to its end.
func (e *Estimates) Observe(workspace, kind string, declared, seconds float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fits == nil {
		e.fits = map[estimateKey]*lineFit{}
	}
	for _, k := range []estimateKey{{workspace, kind}, {"", kind}} {
		if e.fits[k] == nil {
			e.fits[k] = &lineFit{}
		}
		e.fits[k].add(math.Log(max(declared, minSeconds)), math.Log(max(seconds, minSeconds)))
	}
}

// normalQuantiles holds the quantiles of the standard normal distribution that the policies use.
var normalQuantiles = map[float64]float64{0.5: 0, 0.75: 0.674, 0.9: 1.282}

// Quantile returns a quantile (q is 0.5, 0.75 or 0.9) of a job's whole run time in seconds. The fewer samples there
// are, the more the declared run time counts; without samples only the declared run time is used.
func (e *Estimates) Quantile(j *Job, q float64) float64 {
	x := math.Log(max(j.DeclaredSeconds, minSeconds))
	mean, deviation := x, priorDeviation
	if e != nil {
		if f := e.fit(j); f != nil {
			learned, learnedDeviation := f.predict(x)
			weight := f.n / (f.n + priorWeight)
			mean = weight*learned + (1-weight)*x
			deviation = weight*learnedDeviation + (1-weight)*priorDeviation
		}
	}
	return max(math.Exp(mean+normalQuantiles[q]*deviation), minSeconds)
}

// fit returns a copy of the fit for the job's workspace and kind, or for its kind alone while the former has too few
// samples. It returns nil if there are no samples.
func (e *Estimates) fit(j *Job) *lineFit {
	e.mu.Lock()
	defer e.mu.Unlock()
	own, all := e.fits[estimateKey{j.Workspace, j.Kind}], e.fits[estimateKey{"", j.Kind}]
	if own == nil || own.n < priorWeight {
		own = all
	}
	if own == nil {
		return nil
	}
	found := *own
	return &found
}
