package decider

import (
	"cmp"
	"math"
	"slices"

	"github.com/pulleyring/pulleyring/pkg/contract"
)

// Pulleyring is the policy of the boxes; its zero value is ready to use.
type Pulleyring struct{}

// Name implements Policy.
func (Pulleyring) Name() string { return "pulleyring" }

// Decide implements Policy: guarantees first, then everything else by score, then racks for the large gangs.
func (Pulleyring) Decide(v *View) Outcome {
	b := newBoard(v)
	rest := b.refuse()
	rest = b.serveVacating(rest)
	b.keepSetAsides(rest)
	rest = b.serveCovered(rest)
	for _, workspace := range v.Claims {
		b.claimWhole(workspace)
	}
	b.serveRest(rest)
	return b.outcome
}

// refuse gives up what can never run and returns the indexes of the other waiting jobs.
func (b *board) refuse() []int {
	var rest []int
	possible := map[gangForm]bool{}
	for i := range b.view.Waiting {
		j := &b.view.Waiting[i]
		form := gangForm{j.Gang, j.Shape}
		fits, known := possible[form]
		if !known {
			fits = b.everFits(j, nil)
			possible[form] = fits
		}
		switch {
		case !fits:
			b.giveUp(j, &Reason{Code: NeverFits})
		case b.failsAlways(j):
			b.giveUp(j, &Reason{Code: FailsAlways, Detail: join(j.FailedOn)})
		case j.Losses >= LossesToGiveUp:
			b.giveUp(j, &Reason{Code: LosesWorkers})
		default:
			rest = append(rest, i)
		}
	}
	return rest
}

// LossesToGiveUp is the number of attempts that lost a worker, as far as they count, after which a job is given up. Workers are also lost for reasons of
// their own, and no loss here tells which it was, so it is the highest number of losses.md.
const LossesToGiveUp = 5

// gangForm is what decides whether a gang can ever fit.
type gangForm struct {
	gang  int
	shape contract.Shape
}

func (b *board) giveUp(j *Job, reason *Reason) {
	b.outcome.Decisions = append(b.outcome.Decisions, Decision{Kind: GiveUp, Job: j.Key, Reason: reason})
}

// failsAlways reports whether a job failed on so many healthy workers, or on so many of those that could hold it, that
// no other try is worth it.
func (b *board) failsAlways(j *Job) bool {
	if len(j.FailedOn) == 0 {
		return false
	}
	return len(j.FailedOn) >= max(1, b.view.Site.GiveUpAfterWorkers) || !b.everFits(j, j.FailedOn)
}

// everFits reports whether a rack of the hall could hold the gang when empty, lost workers included and some left out.
func (b *board) everFits(j *Job, without []string) bool {
	for _, r := range b.view.Racks {
		room := 0
		for _, k := range r.Workers {
			if w := &b.view.Workers[k]; !slices.Contains(without, w.Name) {
				room += j.Shape.Copies(w.Capacity)
			}
		}
		if room >= j.Gang {
			return true
		}
	}
	return false
}

// class is what makes waiting jobs alike for placement: where one finds no room, the others find none either.
type class struct {
	workspace string
	form      gangForm
	lendable  bool
	urgent    bool
}

func classOf(j *Job) class {
	return class{j.Workspace, gangForm{j.Gang, j.Shape}, j.Lendable(), j.Urgent}
}

// serveCovered starts or claims room for jobs within their workspace's guarantee and returns the others.
func (b *board) serveCovered(indexes []int) []int {
	sortCovered(b.view.Waiting, indexes)
	var rest []int
	failed := map[class]bool{}
	for _, i := range indexes {
		j := &b.view.Waiting[i]
		if !b.covered(j) || b.overLimit(j) || failed[classOf(j)] && len(j.FailedOn) == 0 {
			rest = append(rest, i)
			continue
		}
		if b.startCovered(j) || b.claim(i, j) {
			continue
		}
		if len(j.FailedOn) == 0 {
			failed[classOf(j)] = true
		}
		rest = append(rest, i)
	}
	return rest
}

// startCovered starts a covered job without stopping anyone: on its pledge, or where there is other room. On a rack that
// is kept for another it starts only once it has been patient, or at once where it is urgent.
func (b *board) startCovered(j *Job) bool {
	if b.startOnPledge(j, b.kept) {
		return true
	}
	if j.Lendable() && b.startBest(j) {
		return true
	}
	return (j.Urgent || b.age(j) >= b.claimPatience()) && b.startOnPledge(j, nil)
}

// overLimit reports whether the job would take its workspace over its limit.
func (b *board) overLimit(j *Job) bool {
	w := b.workspaces[j.Workspace]
	return w == nil || w.LimitAccelerators > 0 && b.used[j.Workspace]+j.Accelerators() > w.LimitAccelerators
}

// large reports whether a gang needs more accelerators than any single worker has.
func (b *board) large(j *Job) bool { return j.Accelerators() > b.biggest }

// scored is a waiting job with its place in the order.
type scored struct {
	index int
	score float64
}

// serveRest starts what fits in the order of scores and sets racks aside for large gangs that don't fit.
func (b *board) serveRest(indexes []int) {
	order := b.score(indexes)
	failed := map[class]*Reason{}
	for _, s := range order {
		j := &b.view.Waiting[s.index]
		if b.overLimit(j) {
			b.wait(s.index, &Reason{Code: OverLimit, Who: j.Workspace})
			continue
		}
		c := classOf(j)
		if reason := failed[c]; reason != nil && len(j.FailedOn) == 0 && !b.large(j) {
			b.wait(s.index, reason)
			continue
		}
		if b.startBest(j) {
			continue
		}
		reason := b.noRoom(j)
		if b.large(j) {
			reason = b.setAside(j, reason)
		}
		if len(j.FailedOn) == 0 {
			failed[c] = reason
		}
		b.wait(s.index, reason)
	}
}

// score orders jobs by the ratio of wait to expected run time, so that short work goes first and nothing waits for
// ever; a workspace that uses more for its share goes later, and large gangs gain weight where fragmentation matters.
func (b *board) score(indexes []int) []scored {
	total := 1.0
	for i := range b.view.Workers {
		total += float64(b.view.Workers[i].Capacity.Accelerators)
	}
	weight := b.view.Site.CompletionWeight
	shares := map[string]float64{}
	for _, w := range b.view.Site.Workspaces {
		shares[w.Name] = max(w.Share, 1e-6)
	}
	order := make([]scored, 0, len(indexes))
	for _, i := range indexes {
		j := &b.view.Waiting[i]
		left := max(b.view.Estimates.Quantile(j, 0.5)-j.Done, 1)
		area := left * float64(max(j.Accelerators(), 1))
		ratio := (b.age(j).Seconds() + area) / area
		size := math.Pow(float64(max(j.Accelerators(), 1)), 1-weight)
		use := float64(b.used[j.Workspace]) / total / max(shares[j.Workspace], 1e-6)
		order = append(order, scored{i, ratio * size / (1 + use)})
	}
	slices.SortFunc(order, func(x, y scored) int {
		p, q := &b.view.Waiting[x.index], &b.view.Waiting[y.index]
		return cmp.Or(cmp.Compare(y.score, x.score), p.Arrived.Compare(q.Arrived), cmp.Compare(p.Key, q.Key))
	})
	return order
}

// startBest starts a job on the fullest rack that takes it, racks kept for large gangs left out unless it should end in
// time there.
func (b *board) startBest(j *Job) bool {
	rack, members := b.fullestRack(j, b.roomFor(j), b.kept)
	if members == nil {
		return b.backfill(j)
	}
	b.start(j, members, &Reason{Code: Fits, Rack: b.view.Racks[rack].Name})
	b.release(j.Key)
	return true
}

// fullestRack returns the rack with the least free accelerators that takes the gang, and how it would be laid there.
// A rack kept for another job is passed over.
func (b *board) fullestRack(j *Job, room func(int) contract.Shape, kept []string) (int, []Member) {
	type candidate struct{ rack, accelerators, cpus int }
	candidates := make([]candidate, 0, len(b.view.Racks))
	for r := range b.view.Racks {
		if kept != nil && kept[r] != "" && kept[r] != j.Key {
			continue
		}
		free := b.rackFree(r)
		if free.Accelerators < j.Accelerators() {
			continue
		}
		candidates = append(candidates, candidate{r, free.Accelerators, free.CPUs})
	}
	slices.SortFunc(candidates, func(x, y candidate) int {
		return cmp.Or(cmp.Compare(x.accelerators, y.accelerators), cmp.Compare(x.cpus, y.cpus), cmp.Compare(x.rack, y.rack))
	})
	for _, c := range candidates {
		if members := b.spread(c.rack, j, room); members != nil {
			return c.rack, members
		}
	}
	return 0, nil
}

func (b *board) rackFree(rack int) contract.Shape {
	var sum contract.Shape
	for _, k := range b.view.Racks[rack].Workers {
		if b.view.Workers[k].Usable {
			sum = sum.Add(b.seats[k].free)
		}
	}
	return sum
}

// noRoom finds out whether there is no room at all, or room that the job may not take.
func (b *board) noRoom(j *Job) *Reason {
	for rack := range b.view.Racks {
		if b.spread(rack, j, b.freeRoom) == nil {
			continue
		}
		name := b.view.Racks[rack].Name
		if b.kept[rack] != "" && b.kept[rack] != j.Key {
			return &Reason{Code: KeptForOthers, Rack: name, Who: b.kept[rack]}
		}
		return &Reason{Code: NotLendable, Rack: name}
	}
	return &Reason{Code: NoRoom}
}

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
