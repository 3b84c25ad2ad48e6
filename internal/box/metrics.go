package box

import (
	"time"

	"github.com/pulleyring/pulleyring/internal/hall"
	"github.com/pulleyring/pulleyring/internal/intake"
	"github.com/pulleyring/pulleyring/pkg/request"
	"github.com/rcrowley/go-metrics"
)

// Parameters of the samples from which the timers compute quantiles.
const (
	sampleSize  = 1028  // Values.
	sampleDecay = 0.015 // Weight of recent values; larger values forget old ones faster.
)

// timer returns the timer with this name, registering it on first use.
func (b *Box) timer(name string) metrics.Timer {
	return b.Registry.GetOrRegister(name, func() metrics.Timer {
		return metrics.NewCustomTimer(metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleDecay)), metrics.NewMeter())
	}).(metrics.Timer)
}

func (b *Box) counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, b.Registry)
}

// registerGauges registers the metrics that are computed when they are read.
func (b *Box) registerGauges() {
	gauge := func(name string, f func() int64) {
		_ = b.Registry.Register(name, metrics.NewFunctionalGauge(f)) // Each name is registered once.
	}
	gauge("table_txns", func() int64 { n, _, _, _ := b.Committer.Stats.Snapshot(); return n })
	gauge("table_rows", func() int64 { _, n, _, _ := b.Committer.Stats.Snapshot(); return n })
	gauge("table_conflicts", func() int64 { _, _, n, _ := b.Committer.Stats.Snapshot(); return n })
	gauge("table_unknown", func() int64 { _, _, _, n := b.Committer.Stats.Snapshot(); return n })
	gauge("table_waiting", func() int64 { return int64(b.Committer.Waiting()) })
	gauge("requests_in_flight", func() int64 { return int64(b.Intake.Admission.InFlight()) })
	gauge("requests_unrecorded", func() int64 { return int64(b.Intake.Unrecorded()) })
	gauge("boxes_alive", func() int64 { return int64(b.Members.Count()) })
}

func (b *Box) intakeMetrics() intake.Metrics {
	return intake.Metrics{
		Settled: func(o request.Outcome, took time.Duration) {
			b.counter("requests_" + string(o)).Inc(1)
			b.timer("requests_took").Update(took)
		},
		Retried: func() { b.counter("retries").Inc(1) },
		Dropped: func() { b.counter("answers_dropped").Inc(1) },
	}
}

func (b *Box) hallMetrics() *hall.Metrics {
	return &hall.Metrics{
		Pass:  func(took time.Duration) { b.timer("pass_took").Update(took) },
		Start: func(waited time.Duration) { b.timer("start_waited").Update(waited) },
	}
}
