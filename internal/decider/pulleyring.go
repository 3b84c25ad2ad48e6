package decider

import (
	"cmp"
	"math"
	"slices"

	"github.com/pulleyring/pulleyring/pkg/contract"
)

// Pulleyring is the policy that the boxes use. The zero value is ready to use.
type Pulleyring struct{}

// Name returns the name of the policy.
func (Pulleyring) Name() string { return "pulleyring" }

// Decide serves guaranteed jobs first, then all others in the order of their score. It reserves racks for large gangs
// that do not fit.
func (Pulleyring) Decide(v *View) Outcome {
	pl := newPlanner(v)
	rest := pl.rejectImpossible()
	rest = pl.servePreempting(rest)
	pl.keepRackReservations(rest)
	rest = pl.serveGuaranteed(rest)
	for _, workspace := range v.Reclaiming {
		pl.reclaimWholePledge(workspace)
	}
	pl.serveRest(rest)
	return pl.outcome
}

// rejectImpossible fails the waiting jobs that can never run and returns the indexes of the others.
func (pl *planner) rejectImpossible() []int {
	var rest []int
	possible := map[gangRequest]bool{}
	for i := range pl.view.Waiting {
		j := &pl.view.Waiting[i]
		request := gangRequest{j.Gang, j.Shape}
		fits, known := possible[request]
		if !known {
			fits = pl.everFits(j, nil)
			possible[request] = fits
		}
		switch {
		case !fits:
			pl.failJob(j, &Reason{Code: NeverFits})
		case pl.failsAlways(j):
			pl.failJob(j, &Reason{Code: FailsAlways, Detail: join(j.FailedOn)})
		case j.Losses >= MaxWorkerLosses:
			pl.failJob(j, &Reason{Code: LosesWorkers})
		default:
			rest = append(rest, i)
		}
	}
	return rest
}

// MaxWorkerLosses is the number of counted attempts that lost a worker after which a job fails. Workers are also lost
// for reasons unrelated to the job, and a loss does not show its cause, so the limit is high.
const MaxWorkerLosses = 5

// gangRequest holds the request of a gang that determines whether it can ever fit.
type gangRequest struct {
	gang  int
	shape contract.Shape
}

// failJob decides to fail a job.
func (pl *planner) failJob(j *Job, reason *Reason) {
	pl.outcome.Decisions = append(pl.outcome.Decisions, Decision{Kind: Fail, Job: j.Key, Reason: reason})
}

// failsAlways reports whether a job failed on as many healthy workers as the site allows, or on so many that no rack
// fits it without them.
func (pl *planner) failsAlways(j *Job) bool {
	if len(j.FailedOn) == 0 {
		return false
	}
	return len(j.FailedOn) >= max(1, pl.view.Site.GiveUpAfterWorkers) || !pl.everFits(j, j.FailedOn)
}

// everFits reports whether an empty rack of the hall could fit the gang without the given workers. Lost and drained
// workers count too.
func (pl *planner) everFits(j *Job, without []string) bool {
	for _, r := range pl.view.Racks {
		room := 0
		for _, k := range r.Workers {
			if w := &pl.view.Workers[k]; !slices.Contains(without, w.Name) {
				room += j.Shape.Copies(w.Capacity)
			}
		}
		if room >= j.Gang {
			return true
		}
	}
	return false
}

// requestClass groups waiting jobs with the same request: if one of them finds no room, neither do the others.
type requestClass struct {
	workspace string
	request   gangRequest
	mayBorrow bool
	urgent    bool
}

// requestClassOf returns the class of a waiting job.
func requestClassOf(j *Job) requestClass {
	return requestClass{j.Workspace, gangRequest{j.Gang, j.Shape}, j.MayBorrow(), j.Urgent}
}

// serveGuaranteed starts guaranteed jobs or reclaims devices for them, and returns the indexes of the other jobs.
func (pl *planner) serveGuaranteed(indexes []int) []int {
	sortGuaranteed(pl.view.Waiting, indexes)
	var rest []int
	noRoom := map[requestClass]bool{}
	for _, i := range indexes {
		j := &pl.view.Waiting[i]
		if !pl.withinPledge(j) || pl.overLimit(j) || noRoom[requestClassOf(j)] && len(j.FailedOn) == 0 {
			rest = append(rest, i)
			continue
		}
		if pl.startGuaranteed(j) || pl.reclaimPledge(i, j) {
			continue
		}
		if len(j.FailedOn) == 0 {
			noRoom[requestClassOf(j)] = true
		}
		rest = append(rest, i)
	}
	return rest
}

// startGuaranteed starts a guaranteed job without preemption, on its pledge or on other free devices. A rack that is
// reserved for another job is used only if the job is urgent or has waited long enough. It returns false if none fits.
func (pl *planner) startGuaranteed(j *Job) bool {
	if pl.startOnPledge(j, pl.reservedFor) {
		return true
	}
	if j.MayBorrow() && pl.startBest(j) {
		return true
	}
	return (j.Urgent || pl.age(j) >= pl.reclaimWait()) && pl.startOnPledge(j, nil)
}

// overLimit reports whether the job would exceed the limit of its workspace. A job of an unknown workspace does.
func (pl *planner) overLimit(j *Job) bool {
	w := pl.workspaces[j.Workspace]
	return w == nil || w.LimitAccelerators > 0 && pl.used[j.Workspace]+j.Accelerators() > w.LimitAccelerators
}

// large reports whether a gang needs more accelerators than any single worker has.
func (pl *planner) large(j *Job) bool { return j.Accelerators() > pl.largestWorker }

// scoredJob is a waiting job and its score; higher scores are served first.
type scoredJob struct {
	index int
	score float64
}

// serveRest starts the jobs that fit, in the order of their score, and reserves racks for large gangs that do not fit.
func (pl *planner) serveRest(indexes []int) {
	order := pl.sortByScore(indexes)
	noRoom := map[requestClass]*Reason{}
	for _, s := range order {
		j := &pl.view.Waiting[s.index]
		if pl.overLimit(j) {
			pl.recordWait(s.index, &Reason{Code: OverLimit, Who: j.Workspace})
			continue
		}
		c := requestClassOf(j)
		if reason := noRoom[c]; reason != nil && len(j.FailedOn) == 0 && !pl.large(j) {
			pl.recordWait(s.index, reason)
			continue
		}
		if pl.startBest(j) {
			continue
		}
		reason := pl.noRoomReason(j)
		if pl.large(j) {
			reason = pl.makeRoom(j, reason)
		}
		if len(j.FailedOn) == 0 {
			noRoom[c] = reason
		}
		pl.recordWait(s.index, reason)
	}
}

// sortByScore sorts jobs by the ratio of wait to expected work (run time times accelerators), so that short jobs go
// first and none starves. Jobs of workspaces that use more than their share go later. Large gangs gain the more weight,
// the less weight the site gives to completion time.
func (pl *planner) sortByScore(indexes []int) []scoredJob {
	total := 1.0
	for i := range pl.view.Workers {
		total += float64(pl.view.Workers[i].Capacity.Accelerators)
	}
	weight := pl.view.Site.CompletionWeight
	shares := map[string]float64{}
	for _, w := range pl.view.Site.Workspaces {
		shares[w.Name] = max(w.Share, 1e-6)
	}
	order := make([]scoredJob, 0, len(indexes))
	for _, i := range indexes {
		j := &pl.view.Waiting[i]
		left := max(pl.view.Estimates.Quantile(j, 0.5)-j.Done, 1)
		work := left * float64(max(j.Accelerators(), 1))
		ratio := (pl.age(j).Seconds() + work) / work
		size := math.Pow(float64(max(j.Accelerators(), 1)), 1-weight)
		use := float64(pl.used[j.Workspace]) / total / max(shares[j.Workspace], 1e-6)
		order = append(order, scoredJob{i, ratio * size / (1 + use)})
	}
	slices.SortFunc(order, func(x, y scoredJob) int {
		p, q := &pl.view.Waiting[x.index], &pl.view.Waiting[y.index]
		return cmp.Or(cmp.Compare(y.score, x.score), p.Arrived.Compare(q.Arrived), cmp.Compare(p.Key, q.Key))
	})
	return order
}

// startBest starts a job on the fullest rack that fits it. A rack reserved for a large gang is used only if the job
// should end before that gang can start. It returns false if no rack fits.
func (pl *planner) startBest(j *Job) bool {
	rack, members := pl.fullestRack(j, pl.roomFor(j), pl.reservedFor)
	if members == nil {
		return pl.backfill(j)
	}
	pl.start(j, members, &Reason{Code: Fits, Rack: pl.view.Racks[rack].Name})
	pl.releaseRack(j.Key)
	return true
}

// fullestRack returns the rack with the fewest free accelerators that fits the gang, and the placement of its members.
// It skips racks reserved for other jobs. Members are nil if no rack fits.
func (pl *planner) fullestRack(j *Job, room func(int) contract.Shape, reservedFor []string) (int, []Member) {
	type candidate struct{ rack, accelerators, cpus int }
	candidates := make([]candidate, 0, len(pl.view.Racks))
	for r := range pl.view.Racks {
		if reservedFor != nil && reservedFor[r] != "" && reservedFor[r] != j.Key {
			continue
		}
		free := pl.rackFree(r)
		if free.Accelerators < j.Accelerators() {
			continue
		}
		candidates = append(candidates, candidate{r, free.Accelerators, free.CPUs})
	}
	slices.SortFunc(candidates, func(x, y candidate) int {
		return cmp.Or(cmp.Compare(x.accelerators, y.accelerators), cmp.Compare(x.cpus, y.cpus), cmp.Compare(x.rack, y.rack))
	})
	for _, c := range candidates {
		if members := pl.spread(c.rack, j, room); members != nil {
			return c.rack, members
		}
	}
	return 0, nil
}

// rackFree returns the free capacity of the usable workers of a rack.
func (pl *planner) rackFree(rack int) contract.Shape {
	var sum contract.Shape
	for _, k := range pl.view.Racks[rack].Workers {
		if pl.view.Workers[k].Usable {
			sum = sum.Add(pl.workers[k].free)
		}
	}
	return sum
}

// noRoomReason returns why a job does not fit: no free capacity, or only capacity that it may not use.
func (pl *planner) noRoomReason(j *Job) *Reason {
	for rack := range pl.view.Racks {
		if pl.spread(rack, j, pl.freeRoom) == nil {
			continue
		}
		name := pl.view.Racks[rack].Name
		if pl.reservedFor[rack] != "" && pl.reservedFor[rack] != j.Key {
			return &Reason{Code: ReservedForOthers, Rack: name, Who: pl.reservedFor[rack]}
		}
		return &Reason{Code: OnlyReclaimable, Rack: name}
	}
	return &Reason{Code: NoRoom}
}

// join joins words with commas.
func join(words []string) string {
	text := ""
	for i, w := range words {
		if i > 0 {
			text += ", "
		}
		text += w
	}
	return text
}
