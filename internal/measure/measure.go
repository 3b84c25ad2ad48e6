// Package measure counts and times what a box does, and serves the figures as text.
package measure

import (
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Sizes of the samples behind the quantiles: small, as boxes have little memory.
const (
	sampleSize  = 256
	sampleDecay = 0.015 // The library's own figure: it weighs the last five minutes.
)

// Figures is a set of counters and histograms by name. The zero value is empty and ready to use; a nil one takes nothing.
type Figures struct {
	once     sync.Once
	registry metrics.Registry
}

func (f *Figures) init() { f.once.Do(func() { f.registry = metrics.NewRegistry() }) }

// Count adds one to a counter.
func (f *Figures) Count(name string) { f.Add(name, 1) }

// Add adds to a counter.
func (f *Figures) Add(name string, n int64) {
	if f == nil {
		return
	}
	f.init()
	metrics.GetOrRegisterCounter(name, f.registry).Inc(n)
}

// Counted returns a counter, 0 for one that nothing was added to.
func (f *Figures) Counted(name string) int64 {
	f.init()
	return metrics.GetOrRegisterCounter(name, f.registry).Count()
}

// Set sets a gauge.
func (f *Figures) Set(name string, n int64) {
	if f == nil {
		return
	}
	f.init()
	metrics.GetOrRegisterGauge(name, f.registry).Update(n)
}

// Took adds a time to a histogram, in microseconds.
func (f *Figures) Took(name string, d time.Duration) {
	if f == nil {
		return
	}
	f.init()
	f.registry.GetOrRegister(name+"_us", func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleDecay))
	}).(metrics.Histogram).Update(d.Microseconds())
}

// ServeHTTP writes all figures as text, sorted by name.
func (f *Figures) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	f.init()
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	metrics.WriteOnce(f.registry, w)
}

// Counters returns the counters whose names begin with a prefix, by the rest of their names.
func (f *Figures) Counters(prefix string) map[string]int64 {
	f.init()
	found := map[string]int64{}
	f.registry.Each(func(name string, metric any) {
		rest, named := strings.CutPrefix(name, prefix)
		if counter, ok := metric.(metrics.Counter); ok && named {
			found[rest] = counter.Count()
		}
	})
	return found
}
