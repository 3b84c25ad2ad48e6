package scheduler

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"github.com/pulleyring/pulleyring/internal/incarnation"
	"github.com/pulleyring/pulleyring/internal/queue"
	"github.com/pulleyring/pulleyring/internal/speed"
	"go.uber.org/zap"
)

const (
	// speedUpdateInterval is the least time between two updates of the spread of all workers' speeds.
	speedUpdateInterval = time.Second
	// minMaterialSpread is the least spread of ln(factor) that can be material. Workers of 0.8 and 1.25 times the usual
	// time, half of them each, have a spread of 0.22, measured as up to 0.24 with 40 workers; such sites are served as
	// before.
	minMaterialSpread = 0.3
	// materialHysteresis is the share of its threshold below which a material spread is material no more.
	materialHysteresis = 0.85
	// formerSpeedRetention is how long the speed of a worker is kept that is not tracked. A worker that restarts is back
	// within a minute.
	formerSpeedRetention = 10 * time.Minute
	// maxFormerSpeeds bounds the memory of such speeds to about 1.5 MB.
	maxFormerSpeeds = 16384
)

// speeds holds what is known about the speeds of all workers. The zero value knows nothing.
type speeds struct {
	sites     map[string]*siteSpeeds // By service.
	former    map[string]formerSpeed // Speeds of workers that are not tracked, by name.
	updatedAt time.Time
	rows      speedRows
}

// siteSpeeds holds how much the workers of a service differ.
type siteSpeeds struct {
	speed.Site
	material bool // The differences affect placement.
}

// formerSpeed is the speed of a worker that is not tracked.
type formerSpeed struct {
	workerSpeed
	since time.Time
}

// workerSpeed is the estimated speed of a worker, for placement's Worker.TimeFactor. The zero value is unknown. The
// older estimate in speed.go, slowness, is learned separately.
type workerSpeed struct {
	estimate    speed.Worker
	incarnation incarnation.ID // The incarnation that it was learned from.
	// What placement uses: the expected run time as a multiple of that on a usual worker, and a value that the real one
	// exceeds in one case of ten. Both are 0 if the workers of the service do not differ materially.
	timeFactor, timeFactorHigh float64
	stored                     float64 // Its ln(factor) when it was last written to the store.
}

// timeFactor returns the expected factor by which a run takes longer on its worker than on a usual one.
func (r *run) timeFactor() float64 {
	if r.worker == nil || r.worker.speed.timeFactor == 0 {
		return 1
	}
	return r.worker.speed.timeFactor
}

// endFactor returns the factor by which the time from the start of a run to its end is longer than on usual workers.
// A gang takes as long as on its slowest worker.
func (r *run) endFactor() float64 {
	if r.slowestFactor > 0 {
		return r.slowestFactor
	}
	return r.timeFactor()
}

// setSlowestFactor sets the slowest factor of the members of a gang that was placed.
func setSlowestFactor(members []*run) {
	slowest := 0.0
	for _, r := range members {
		slowest = max(slowest, r.timeFactor())
	}
	for _, r := range members {
		r.slowestFactor = slowest
	}
}

// scale returns a duration times a factor.
func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

// speedOf returns the speed of a worker's present incarnation. A new incarnation starts with the speed of the earlier
// one, at low certainty.
func (w *workerState) speedOf() *workerSpeed {
	s := &w.speed
	if !s.incarnation.Matches(w.incarnation) {
		s.estimate.NextIncarnation()
	}
	if s.incarnation.Born == 0 || !s.incarnation.Matches(w.incarnation) {
		s.incarnation = w.incarnation
	}
	return s
}

// updateSpeeds updates how much the workers differ, and what placement uses of it. It takes effect at most once per
// speedUpdateInterval because it visits all workers.
func (h *shard) updateSpeeds(now time.Time) {
	if h.Bounds.DisableSpeeds || now.Sub(h.speeds.updatedAt) < speedUpdateInterval {
		return
	}
	h.speeds.updatedAt = now
	byService := map[string][]*workerState{}
	for _, w := range h.workers {
		byService[w.Service] = append(byService[w.Service], w)
	}
	configuration := h.Configuration()
	sites := map[string]*siteSpeeds{}
	for service, workers := range byService {
		s := h.speeds.sites[service]
		if s == nil {
			s = &siteSpeeds{}
		}
		sites[service] = s
		s.Update(estimatesOf(workers), now)
		stretch := leastStretch(configuration, func(q *queue.Queue) bool { return q.Service == service })
		h.updateMaterial(s, service, stretch)
		for _, w := range workers {
			w.updateTimeFactor(s)
		}
		if s.material {
			h.speeds.rows.markMoved(workers)
		}
	}
	h.speeds.sites = sites
	h.speeds.dropOld(now)
}

// estimatesOf returns the estimates of workers.
func estimatesOf(workers []*workerState) iter.Seq[*speed.Worker] {
	return func(yield func(*speed.Worker) bool) {
		for _, w := range workers {
			if !yield(&w.speedOf().estimate) {
				return
			}
		}
	}
}

// updateMaterial decides whether the differences between the workers of a service affect placement. They do if one
// worker in ten is likely to take longer than the tightest queue of the service allows: stretch times the usual run
// time. Of gangs of five without regard to speed, two in five would then be late.
func (h *shard) updateMaterial(s *siteSpeeds, service string, stretch float64) {
	threshold := max(speed.Threshold(stretch), minMaterialSpread)
	if s.material {
		threshold *= materialHysteresis
	}
	material := stretch > 0 && s.Spread() >= threshold
	if material == s.material {
		return
	}
	s.material = material
	h.Log.Info("scheduler: use of the workers' speeds in placement has changed",
		zap.String("service", service), zap.Bool("used", material), zap.Float64("spread", s.Spread()),
		zap.Float64("threshold", threshold), zap.Float64("least_stretch", stretch), zap.Int("known_workers", s.Known()))
}

// leastStretch returns the least stretch of the queues that match; 0 if there is none.
func leastStretch(c *queue.Configuration, matches func(*queue.Queue) bool) float64 {
	least := 0.0
	if c == nil {
		return least
	}
	for i := range c.Queues {
		if q := &c.Queues[i]; q.Stretch > 0 && matches(q) && (least == 0 || q.Stretch < least) {
			least = q.Stretch
		}
	}
	return least
}

// tightFactor returns the least stretch of the queues of priority 0, for placement.Policy.TightFactor; 0 if there is
// none.
func (h *shard) tightFactor() float64 {
	return leastStretch(h.Configuration(), func(q *queue.Queue) bool { return q.Priority == 0 })
}

// updateTimeFactor updates the factors that placement uses of a worker. If the expected one has changed, the forecasts
// of the worker's runs are out of date. s is of the worker's service; nil if nothing is known of that.
func (w *workerState) updateTimeFactor(s *siteSpeeds) {
	expected, high := 0.0, 0.0
	own := w.speedOf()
	if s != nil && s.material {
		expected, high = s.Range(&own.estimate)
	}
	if expected != own.timeFactor {
		for _, r := range w.runs {
			r.allocation.forecastStale = true
		}
	}
	own.timeFactor, own.timeFactorHigh = expected, high
}

// keepSpeed keeps the speed of a worker that is not tracked any more.
func (s *speeds) keepSpeed(w *workerState, now time.Time) {
	if w.speedOf().estimate.Samples() == 0 {
		return
	}
	s.addFormer(w.ID, w.speed, now)
}

// addFormer keeps the speed of a worker that is not tracked, unless maxFormerSpeeds others are kept.
func (s *speeds) addFormer(id string, own workerSpeed, now time.Time) {
	if s.former == nil {
		s.former = map[string]formerSpeed{}
	}
	if len(s.former) < maxFormerSpeeds || s.former[id].incarnation.Worker == id {
		own.timeFactor, own.timeFactorHigh = 0, 0
		s.former[id] = formerSpeed{own, now}
	}
}

// restoreSpeed gives a newly tracked worker the speed that is kept of it.
func (s *speeds) restoreSpeed(w *workerState) {
	w.speed = s.former[w.ID].workerSpeed
	delete(s.former, w.ID)
}

// dropOld drops the speeds of workers that have not returned.
func (s *speeds) dropOld(now time.Time) {
	for id := range s.former {
		if now.Sub(s.former[id].since) > formerSpeedRetention {
			delete(s.former, id)
		}
	}
}

// SpeedReport is the learned speed of a worker, for operators.
type SpeedReport struct {
	Worker  string  `json:"worker"`
	Rack    string  `json:"rack"`
	Factor  float64 `json:"factor"` // Expected run time as a multiple of that on a usual worker.
	High    float64 `json:"high"`   // A factor that the real one exceeds in one case of ten only.
	Samples int     `json:"samples"`
}

// Speeds returns the learned speeds of all workers, sorted by rack and name. It is empty if this box does not hold the
// shard's lease. Factors are 1 where the workers of a service do not differ, or fewer than ten are known.
func (s *Scheduler) Speeds() []SpeedReport {
	h := s.current.Load()
	if h == nil {
		return []SpeedReport{}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	list := make([]SpeedReport, 0, len(h.workers))
	for id, w := range h.workers {
		r := SpeedReport{Worker: id, Rack: w.Rack, Factor: 1, High: 1, Samples: w.speedOf().estimate.Samples()}
		if site := h.speeds.sites[w.Service]; site != nil {
			r.Factor, r.High = site.Range(&w.speed.estimate)
		}
		list = append(list, r)
	}
	slices.SortFunc(list, func(x, y SpeedReport) int {
		return cmp.Or(cmp.Compare(x.Rack, y.Rack), cmp.Compare(x.Worker, y.Worker))
	})
	return list
}
