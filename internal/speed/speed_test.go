package speed

import (
	"fmt"
	"iter"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/script"
	"pgregory.net/rapid"
)

const testVariance = 0.05

var beginning = time.Unix(1700000000, 0)

// at returns the time a number of seconds after the beginning of a test.
func at(seconds float64) time.Time {
	return beginning.Add(time.Duration(seconds * float64(time.Second)))
}

// TestWorker runs the cases of testdata/worker.txt. They guard against estimates that follow a short slow period or a
// single long task, that do not follow a permanent change, or that absurd values move out of their range.
func TestWorker(t *testing.T) {
	for _, c := range script.Cases(t, "testdata/worker.txt") {
		var w Worker
		c.Run(t, func(words []string) error { return step(&w, words) })
	}
}

func step(w *Worker, words []string) error {
	var numbers []float64
	for _, word := range words[1:] {
		x, err := strconv.ParseFloat(word, 64)
		if err != nil {
			return errors.Wrap(err, "speed: not a number")
		}
		numbers = append(numbers, x)
	}
	switch words[0] {
	case "sample":
		for i := range int(append(numbers, 1)[2]) {
			w.Observe(numbers[1], testVariance, at(numbers[0]+0.5*float64(i)))
		}
	case "restart":
		w.NextIncarnation()
	case "restored":
		*w = Restored(numbers[0], numbers[1], int(numbers[2]), at(numbers[3]))
	case "samples":
		if w.Samples() != int(numbers[0]) {
			return errors.Errorf("speed: %d samples", w.Samples())
		}
	case "factor":
		if f := w.Factor(); f < numbers[0] || f > numbers[1] {
			return errors.Errorf("speed: factor %v, variance %v", f, w.Variance())
		}
	default:
		return errors.Errorf("speed: unknown word %q", words[0])
	}
	return nil
}

// noisy returns a ratio with up to 30% of noise.
func noisy(r *rand.Rand, factor float64) float64 { return factor * (0.7 + 0.6*r.Float64()) }

// site returns workers of the given factors, in turn, after a number of noisy samples each.
func site(r *rand.Rand, workers, samples int, factors ...float64) []*Worker {
	var all []*Worker
	for n := range workers {
		w := &Worker{}
		for k := range samples {
			w.Observe(noisy(r, factors[n%len(factors)]), testVariance, at(float64(k)))
		}
		all = append(all, w)
	}
	return all
}

// update updates a site as often as in a minute.
func update(s *Site, workers iter.Seq[*Worker]) {
	for n := range 60 {
		s.Update(workers, at(float64(20+n)))
	}
}

// TestConvergesWithinAFewSamples fails if the factors of an uneven site are not known well enough after 8 samples to
// choose workers by them, or if they are biased.
func TestConvergesWithinAFewSamples(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	factors := []float64{0.6, 1, 1.6}
	workers := site(r, 351, 8, factors...)
	var s Site
	update(&s, slices.Values(workers))
	quicktest.Assert(t, s.Spread() > 0.33 && s.Spread() < 0.47, quicktest.IsTrue, quicktest.Commentf("%v", s.Spread()))
	for k, factor := range factors {
		var errs, sum float64
		for n := k; n < len(workers); n += len(factors) {
			expected, high := s.Range(workers[n])
			off := math.Log(expected / factor)
			sum += off
			errs += off * off
			quicktest.Check(t, high > expected && high < 1.35*expected, quicktest.IsTrue, quicktest.Commentf("%v to %v", expected, high))
		}
		count := float64(len(workers) / len(factors))
		quicktest.Check(t, math.Abs(sum/count) < 0.1, quicktest.IsTrue, quicktest.Commentf("bias at %v: %v", factor, sum/count))
		quicktest.Check(t, math.Sqrt(errs/count) < 0.13, quicktest.IsTrue, quicktest.Commentf("error at %v: %v", factor, math.Sqrt(errs/count)))
	}
	_, high := s.Range(&Worker{})
	quicktest.Check(t, high > 1.5 && high < 1.85, quicktest.IsTrue, quicktest.Commentf("%v", high))
}

// TestUniformSiteHasHighNearOne fails if noise alone makes workers of the same speed seem different.
func TestUniformSiteHasHighNearOne(t *testing.T) {
	for samples := 3; samples < 40; samples += 6 {
		var s Site
		r := rand.New(rand.NewPCG(1, uint64(samples)))
		workers := site(r, 350, samples, 1)
		update(&s, slices.Values(workers))
		for _, w := range append(workers, &Worker{}) {
			expected, high := s.Range(w)
			quicktest.Assert(t, expected > 0.93 && high < 1.1, quicktest.IsTrue, quicktest.Commentf("%d samples: %v to %v", samples, expected, high))
		}
	}
}

// TestFewOrAbsurdWorkersDoNotMakeASite fails if a spread is given from too few workers, or if a few very slow workers
// make a uniform site seem uneven.
func TestFewOrAbsurdWorkersDoNotMakeASite(t *testing.T) {
	var s Site
	r := rand.New(rand.NewPCG(1, 2))
	update(&s, slices.Values(site(r, minSiteWorkers-1, 8, 0.6, 1.6)))
	quicktest.Check(t, s.Spread(), quicktest.Equals, 0.0)
	workers := site(r, 350, 8, 1)
	for n := range 7 {
		*workers[n] = Restored(2, 0.01, 50, at(0))
	}
	update(&s, slices.Values(workers))
	quicktest.Check(t, s.Spread() < 0.15, quicktest.IsTrue, quicktest.Commentf("%v", s.Spread()))
}

// TestEstimatesDoNotDrift fails if samples that are all a bit too large move all workers away from a usual worker.
func TestEstimatesDoNotDrift(t *testing.T) {
	var s Site
	workers := site(rand.New(rand.NewPCG(1, 2)), 100, 3, 0.8, 1.25)
	for n := range 600 {
		for _, w := range workers {
			w.Observe(1.01*w.Factor(), testVariance, at(float64(20+n)))
		}
		s.Update(slices.Values(workers), at(float64(20+n)))
	}
	sum := 0.0
	for _, w := range workers {
		sum += w.Log()
	}
	quicktest.Check(t, math.Abs(sum/100) < 0.03, quicktest.IsTrue, quicktest.Commentf("%v", sum/100))
}

// TestBoundsHold draws samples, restored values and updates. It fails if an estimate leaves its bounds, or if a high
// factor is below the expected one.
func TestBoundsHold(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		workers := make([]*Worker, rapid.IntRange(1, 30).Draw(r, "workers"))
		for n := range workers {
			workers[n] = &Worker{}
		}
		var s Site
		for n := range rapid.IntRange(1, 100).Draw(r, "steps") {
			k := rapid.IntRange(0, len(workers)-1).Draw(r, "worker")
			now := at(rapid.Float64Range(-10, 1000).Draw(r, "at"))
			switch rapid.IntRange(0, 8).Draw(r, "kind") {
			case 0:
				*workers[k] = Restored(rapid.Float64().Draw(r, "log"), rapid.Float64().Draw(r, "variance"), rapid.Int().Draw(r, "samples"), now)
			case 1:
				workers[k].NextIncarnation()
			case 2:
				s.Update(slices.Values(workers), now)
			default:
				workers[k].Observe(rapid.Float64().Draw(r, "ratio"), rapid.Float64().Draw(r, "variance"), now)
			}
			checkBounds(r, &s, workers, n)
		}
	})
}

func checkBounds(r *rapid.T, s *Site, workers []*Worker, n int) {
	if !(s.Spread() >= 0 && s.Spread() <= MaxSpread) {
		r.Fatalf("step %d: spread %v", n, s.Spread())
	}
	for _, w := range workers {
		expected, high := s.Range(w)
		ok := math.Abs(w.Log()) <= math.Log(maxFactor) && w.Variance() >= minVariance-1e-9 && w.Variance() <= initialVariance && w.Samples() >= 0 &&
			expected > 0 && high >= expected && !math.IsInf(high, 0)
		if !ok {
			r.Fatalf("step %d: %s", n, fmt.Sprintf("%+v: %v to %v", *w, expected, high))
		}
	}
}

// TestIdleWorkersKeepSpread fails if workers without recent samples hide how much the others differ. The part that
// chance explains of a nearly forgotten estimate has no bound, and one idle worker of 60 made the spread 0.
func TestIdleWorkersKeepSpread(t *testing.T) {
	for _, idle := range []int{1, 20} {
		for seconds := 10.0; seconds < 1000; seconds += 10 {
			r := rand.New(rand.NewPCG(1, 2))
			workers := site(r, 60, 10, 0.6, 1, 1.6)
			for n, w := range workers[idle:] {
				for k := range 10 {
					w.Observe(noisy(r, []float64{0.6, 1, 1.6}[(n+idle)%3]), testVariance, at(seconds+float64(k)))
				}
			}
			var s Site
			s.Update(slices.Values(workers), at(seconds+10))
			spread := s.Spread()
			quicktest.Check(t, spread > 0.34 && spread < 0.46, quicktest.IsTrue, quicktest.Commentf("%d idle for %v s: %v", idle, seconds, spread))
		}
	}
}
