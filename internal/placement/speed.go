package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Speed ranks of a worker for the current demand, the preferred ones first. The rank of a worker whose expected
// factor alone is within what the goal allows is between those of known workers, because its real factor may be above.
const (
	sparesFastWorkers  = iota // Fast enough with a margin, and too slow for the tightest urgent work.
	provesSpeed               // Fast enough with a margin, and perhaps too slow for the tightest urgent work.
	fastEnough                // The goal is met in nine cases of ten.
	probablyFastEnough        // The goal is met at the expected speed.
	tooSlow                   // The goal is missed.
	speedRankCount
)

// speeds holds what a decision needs about the speeds of workers. The zero value is that of a site where all workers
// have the usual speed: every worker is fast enough for every demand, whatever its goal.
type speeds struct {
	ranks      []uint8         // By worker: speed rank for the current demand; nil if all workers have the usual speed.
	logs       []logFactor     // By worker: logarithms of its factors.
	deviations float64         // Result of deviationsOf for the current demand.
	fastest    float64         // Result of fastestSuitable for the current demand.
	fasterPlan *preemptionPlan // Plan that the current demand prefers to a start on workers that are too slow.
}

// timeFactor returns the expected run time on a worker as a multiple of that on a usual worker.
func (w *Worker) timeFactor() float64 {
	if w.TimeFactor <= 0 {
		return 1
	}
	return w.TimeFactor
}

// timeFactorHigh returns a factor that the real one exceeds in one case of ten only. It is never below timeFactor.
func (w *Worker) timeFactorHigh() float64 {
	if w.TimeFactorHigh <= 0 {
		return max(w.timeFactor(), 1)
	}
	return max(w.timeFactor(), w.TimeFactorHigh)
}

// hasUsualSpeed reports whether a worker has the usual speed for certain.
func (w *Worker) hasUsualSpeed() bool { return w.timeFactor() == 1 && w.timeFactorHigh() == 1 }

// newSpeeds returns the speeds of a view.
func newSpeeds(v *View) speeds {
	if !slices.ContainsFunc(v.Workers, func(w Worker) bool { return !w.hasUsualSpeed() }) {
		return speeds{}
	}
	s := speeds{ranks: make([]uint8, len(v.Workers)), logs: make([]logFactor, len(v.Workers))}
	for k := range v.Workers {
		expected := math.Log(v.Workers[k].timeFactor())
		s.logs[k] = logFactor{expected, math.Log(v.Workers[k].timeFactorHigh()) - expected}
	}
	return s
}

// logFactor holds the logarithms of a worker's expected factor, and of the ratio of its high factor to that.
type logFactor struct {
	expected, span float64
}

// maxMissShare is the share of cases in which work on workers that are fast enough may miss its goal: that of
// Worker.TimeFactorHigh.
const maxMissShare = 0.1

// deviationsOf returns the multiple of a worker's span, in logarithms, that is added to its expected factor to decide
// whether the worker is fast enough for a demand. A gang is as slow as its slowest member: if each member could exceed
// its high factor in one case of ten, four of ten gangs of five would miss their goal.
func deviationsOf(d *Demand) float64 {
	if !d.Step.Gang || len(d.Waiting) < 2 {
		return 1
	}
	return quantile(maxMissShare/float64(len(d.Waiting))) / quantile(maxMissShare)
}

// quantile returns the value that a standard normal variable exceeds with a given probability.
func quantile(exceeded float64) float64 { return math.Sqrt2 * math.Erfinv(1-2*exceeded) }

// isSurelyWithin reports whether the factor of a worker is within an allowed one in as many cases as the current demand
// needs. logAllowed is the logarithm of the allowed factor.
func (s *speeds) isSurelyWithin(k int, logAllowed float64) bool {
	return s.logs[k].expected+s.deviations*s.logs[k].span <= logAllowed
}

// areUneven reports whether the speed of any worker differs from the usual one.
func (s *speeds) areUneven() bool { return s.ranks != nil }

// isTooSlowForTightWork reports whether the tightest urgent work would miss its goal on a worker. A worker of usual
// speed never is: a queue with a stretch below 1 relies on its objective.
func (pl *planner) isTooSlowForTightWork(k int) bool {
	tight := pl.view.Policy.TightFactor
	return tight > 0 && pl.speeds.areUneven() && pl.view.Workers[k].timeFactor() > max(tight, 1)
}

// mayBeTooSlowForTightWork reports whether the tightest urgent work misses its goal on a worker in more than one case
// of ten.
func (pl *planner) mayBeTooSlowForTightWork(k int) bool {
	tight := pl.view.Policy.TightFactor
	return tight > 0 && pl.speeds.areUneven() && pl.view.Workers[k].timeFactorHigh() > max(tight, 1)
}

// countForReserve returns the number of workers of which a share is left idle for urgent work.
func (pl *planner) countForReserve() int {
	n := pl.openCount
	for k := range pl.view.Workers {
		if !pl.view.Workers[k].HallClosed && pl.isTooSlowForTightWork(k) {
			n--
		}
	}
	return n
}

// allowedFactor returns the largest factor on the run time of its tasks with which a demand meets its goal if it starts
// after the given time. The last goal counts if no suitable worker is fast enough for the goal. If none is fast enough
// for that either, speed no longer matters and the factor is infinite. Runs that are far from their rack take remote
// times as long.
func (pl *planner) allowedFactor(d *Demand, after time.Duration, remote float64) float64 {
	if d.TaskTime <= 0 {
		return math.Inf(1)
	}
	start := pl.view.Now.Add(after + max(d.Remaining-d.TaskTime, 0))
	for _, goal := range []time.Time{d.Goal, d.LastGoal} {
		if allowed := float64(goal.Sub(start)) / (float64(d.TaskTime) * remote); allowed >= pl.speeds.fastest {
			return allowed
		}
	}
	return math.Inf(1)
}

// rankSpeeds computes the speed ranks of all workers for the current demand. Work that is not urgent and that meets its
// goal with a margin on workers that are too slow for the tightest urgent work prefers those. Next it prefers workers
// of uncertain speed, which become known by it before urgent work needs them.
func (pl *planner) rankSpeeds(d *Demand, remote float64) {
	if !pl.speeds.areUneven() {
		return
	}
	pl.speeds.fastest = pl.fastestSuitable()
	pl.speeds.deviations = deviationsOf(d)
	logAllowed := math.Log(pl.allowedFactor(d, 0, remote))
	logMargin := math.Log(runTimeMargin)
	for k := range pl.view.Workers {
		rank := uint8(tooSlow)
		switch {
		case d.Priority > 0 && pl.mayBeTooSlowForTightWork(k) && pl.speeds.isSurelyWithin(k, logAllowed-logMargin):
			rank = provesSpeed
			if pl.isTooSlowForTightWork(k) {
				rank = sparesFastWorkers
			}
		case pl.speeds.isSurelyWithin(k, logAllowed):
			rank = fastEnough
		case pl.speeds.logs[k].expected <= logAllowed:
			rank = probablyFastEnough
		}
		pl.speeds.ranks[k] = rank
	}
}

// fastestSuitable returns the factor of the fastest suitable worker, whether it has free capacity or not. Very slow
// ones don't count.
func (pl *planner) fastestSuitable() float64 {
	fastest := math.Inf(1)
	for k := range pl.view.Workers {
		if pl.isSuitable(k) && pl.slowLevel(k) == 0 {
			fastest = min(fastest, pl.view.Workers[k].timeFactor())
		}
	}
	return fastest
}

// withRemoteRanks calls assign with the speed ranks of a gang that is spread over racks and therefore runs slower.
func (pl *planner) withRemoteRanks(d *Demand, assign func()) {
	pl.rankSpeeds(d, pl.remoteFactor())
	assign()
	pl.rankSpeeds(d, 1)
}

// remoteFactor returns the factor by which runs that are far from their rack take longer.
func (pl *planner) remoteFactor() float64 { return max(pl.view.Policy.RemoteFactor, 1) }

// isTooSlow reports whether the current demand misses its goal on a worker.
func (pl *planner) isTooSlow(k int) bool {
	return pl.speeds.areUneven() && pl.speeds.ranks[k] == tooSlow
}

// speedKey returns the key by which workers are sorted by speed: very slow ones come last, the others are sorted by
// their rank.
func (pl *planner) speedKey(k int) int {
	key := pl.slowLevel(k) * speedRankCount
	if pl.speeds.ranks != nil {
		key += int(pl.speeds.ranks[k])
	}
	return key
}

// worstSpeedKey returns the speed key of the slowest of the assigned workers. That worker delays the whole gang.
// All workers that are fast enough count the same.
func (pl *planner) worstSpeedKey(workers map[int]string) int {
	key := fastEnough
	for _, w := range workers {
		key = max(key, pl.speedKey(pl.mustWorkerIndex(w)))
	}
	return key
}

// tasksOnFastWorkers returns how many of the assigned tasks are on workers that tight urgent work can surely use.
func (pl *planner) tasksOnFastWorkers(workers map[int]string) int {
	if !pl.speeds.areUneven() {
		return 0
	}
	n := 0
	for _, w := range workers {
		if pl.speeds.ranks[pl.mustWorkerIndex(w)] >= fastEnough {
			n++
		}
	}
	return n
}

// fasterFirst returns the given workers sorted by their speed rank.
func (pl *planner) fasterFirst(among []int) []int {
	if !pl.speeds.areUneven() {
		return among
	}
	sorted := slices.Clone(among)
	slices.SortStableFunc(sorted, func(x, y int) int { return cmp.Compare(pl.speeds.ranks[x], pl.speeds.ranks[y]) })
	return sorted
}

// slowestFactor returns the largest expected factor of the assigned workers.
func (pl *planner) slowestFactor(workers map[int]string) float64 {
	factor := 0.0
	for _, w := range workers {
		factor = max(factor, pl.view.Workers[pl.mustWorkerIndex(w)].timeFactor())
	}
	return factor
}

// remainingOn returns the expected time from the start of a demand on the given workers to the end of its job.
func (pl *planner) remainingOn(d *Demand, workers map[int]string) time.Duration {
	if !pl.speeds.areUneven() || d.TaskTime <= 0 {
		return d.Remaining
	}
	return d.Remaining + time.Duration((pl.slowestFactor(workers)-1)*float64(d.TaskTime))
}

// isTooSlowOn reports whether a demand misses its goal on the given workers because one of them is too slow.
func (pl *planner) isTooSlowOn(d *Demand, workers map[int]string) bool {
	if !pl.speeds.areUneven() {
		return false
	}
	remote := 1.0
	if pl.isSpreadOverRacks(d, workers) {
		remote = pl.remoteFactor()
	}
	return pl.slowestFactor(workers) > pl.allowedFactor(d, 0, remote)
}

// isSpreadOverRacks reports whether a gang that should be in one rack is spread over several by an assignment.
func (pl *planner) isSpreadOverRacks(d *Demand, workers map[int]string) bool {
	if !d.Step.Gang || !d.Step.RackLocal {
		return false
	}
	rack, first := "", true
	for _, w := range workers {
		r := pl.view.Workers[pl.mustWorkerIndex(w)].Rack
		if !first && r != rack {
			return true
		}
		rack, first = r, false
	}
	return false
}
