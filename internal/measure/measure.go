// Package measure keeps the counters, gauges and duration histograms of a box and serves them as text over HTTP.
package measure

import (
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Parameters of the sampled histograms. The samples are small because boxes have little memory.
const (
	sampleSize  = 256   // Durations kept per histogram.
	sampleDecay = 0.015 // go-metrics' recommended value: favors the last five minutes.
)

// Metrics is a set of counters, gauges and histograms by name. The zero value is empty and ready to use.
// The methods that record a value do nothing on a nil pointer; the methods that read need a non-nil one.
type Metrics struct {
	once     sync.Once
	registry metrics.Registry
}

// On returns metrics that are kept in a registry.
func On(r metrics.Registry) *Metrics { return &Metrics{registry: r} }

func (f *Metrics) init() {
	f.once.Do(func() {
		if f.registry == nil {
			f.registry = metrics.NewRegistry()
		}
	})
}

// Count increments the named counter by one.
func (f *Metrics) Count(name string) { f.Add(name, 1) }

// Add increments the named counter by n.
func (f *Metrics) Add(name string, n int64) {
	if f == nil {
		return
	}
	f.init()
	metrics.GetOrRegisterCounter(name, f.registry).Inc(n)
}

// CounterValue returns the value of the named counter, 0 if it was never incremented.
func (f *Metrics) CounterValue(name string) int64 {
	f.init()
	return metrics.GetOrRegisterCounter(name, f.registry).Count()
}

// Set sets the named gauge to n.
func (f *Metrics) Set(name string, n int64) {
	if f == nil {
		return
	}
	f.init()
	metrics.GetOrRegisterGauge(name, f.registry).Update(n)
}

// ObserveDuration adds a duration to the histogram called name+"_us", in microseconds.
func (f *Metrics) ObserveDuration(name string, d time.Duration) {
	if f == nil {
		return
	}
	f.init()
	f.registry.GetOrRegister(name+"_us", func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleDecay))
	}).(metrics.Histogram).Update(d.Microseconds())
}

// ServeHTTP writes all metrics as plain text, sorted by name.
func (f *Metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	f.init()
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	metrics.WriteOnce(f.registry, w)
}

// Counters returns the values of the counters whose names begin with prefix.
// The keys are the names without the prefix.
func (f *Metrics) Counters(prefix string) map[string]int64 {
	f.init()
	values := map[string]int64{}
	f.registry.Each(func(name string, metric any) {
		suffix, matches := strings.CutPrefix(name, prefix)
		if counter, ok := metric.(metrics.Counter); ok && matches {
			values[suffix] = counter.Count()
		}
	})
	return values
}
