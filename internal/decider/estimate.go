package decider

import (
	"math"
	"sync"
)

// Constants of the estimates.
const (
	memory      = 0.98 // What a sample weighs after one more has come: about fifty samples count.
	priorWeight = 4.0  // Samples that the declaration is worth before any run time is known.
	priorSpread = 1.0  // Standard deviation of the logarithm of declared over true run times, to begin with.
	minSeconds  = 1e-3
)

// Estimates learns how long jobs of a workspace and kind run, and how much their declarations say about it; the zero
// value is ready to use. It fits the logarithm of run times by a line over the logarithm of declared ones: where
// declarations are noise the line is flat and the mean counts, where they are good it follows them.
type Estimates struct {
	mu   sync.Mutex
	fits map[estimateKey]*lineFit
}

type estimateKey struct{ workspace, kind string }

// lineFit holds decayed sums over x, the logarithm of declared, and y, the logarithm of true run times.
type lineFit struct{ n, x, y, xx, xy, yy float64 }

func (f *lineFit) add(x, y float64) {
	for _, sum := range []*float64{&f.n, &f.x, &f.y, &f.xx, &f.xy, &f.yy} {
		*sum *= memory
	}
	f.n++
	f.x += x
	f.y += y
	f.xx += x * x
	f.xy += x * y
	f.yy += y * y
}

// predict returns mean and standard deviation of y at x.
func (f *lineFit) predict(x float64) (mean, spread float64) {
	meanX, meanY := f.x/f.n, f.y/f.n
	varX := max(f.xx/f.n-meanX*meanX, 0)
	varY := max(f.yy/f.n-meanY*meanY, 0)
	cov := f.xy/f.n - meanX*meanY
	slope := 0.0
	if varX > 0 {
		slope = min(max(cov/(varX+1/f.n), 0), 1) // The term 1/n draws the line flat while there are few samples.
	}
	rest := max(varY-slope*cov, 0) + 1/f.n
	return meanY + slope*(x-meanX), math.Sqrt(rest)
}

// Observe adds the seconds that a job of a declared length ran to its end.
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

// normal holds the standard normal distribution's quantiles that the policies ask for.
var normal = map[float64]float64{0.5: 0, 0.75: 0.674, 0.9: 1.282}

// Quantile returns a quantile of a job's whole run time in seconds: 0.5, 0.75 or 0.9. With few samples the
// declaration counts too, by the number of samples; without any it is all there is.
func (e *Estimates) Quantile(j *Job, q float64) float64 {
	x := math.Log(max(j.DeclaredSeconds, minSeconds))
	mean, spread := x, priorSpread
	if e != nil {
		if f := e.fit(j); f != nil {
			learned, learnedSpread := f.predict(x)
			weight := f.n / (f.n + priorWeight)
			mean = weight*learned + (1-weight)*x
			spread = weight*learnedSpread + (1-weight)*priorSpread
		}
	}
	return max(math.Exp(mean+normal[q]*spread), minSeconds)
}

// fit returns a copy of the fit for a job: of its workspace and kind, or of the kind alone where that knows more.
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
