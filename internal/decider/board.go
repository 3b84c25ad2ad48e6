package decider

import (
	"cmp"
	"slices"

	"github.com/pulleyring/pulleyring/pkg/contract"
)

// charge says on whose account a running gang holds its devices. It is worked out anew in each pass.
type charge int

const (
	borrowed   charge = iota // Devices that may be claimed back.
	guaranteed               // Devices pledged to its workspace.
	surplus                  // Devices pledged to nobody, held by work that can't be stopped.
)

// part is what is pledged of a worker to a workspace and how much of it is in use by the workspace's gangs.
type part struct {
	workspace string
	shape     contract.Shape
	used      contract.Shape // By gangs charged to the guarantee.
	fixed     contract.Shape // Of used, what can't be stopped.
}

// seat is one worker during a pass.
type seat struct {
	free    contract.Shape // Neither held nor promised in this pass.
	leaving contract.Shape // Held by gangs that are stopping.
	open    contract.Shape // Pledged to nobody, less what unstoppable work holds.
	parts   []part
	gangs   []int // Running gangs with members here.
}

// board is the working state of one pass.
type board struct {
	view     *View
	seats    []seat
	charges  []charge
	stopping []bool         // Running gangs that leave, by earlier passes or this one.
	used     map[string]int // Accelerators by workspace, stopping gangs left out.
	pledged  map[string]int // Accelerators pledged in this hall by workspace.
	charged  map[string]int // Accelerators charged to the guarantee by workspace.
	kept     []string       // By rack: the job that it is set aside for.
	outcome  Outcome

	biggest    int                            // Accelerators of the largest worker.
	workspaces map[string]*contract.Workspace // Of the site, by name.
	plans      int                            // Plans made for large gangs in this pass.
	vacatedAt  map[string]float64             // Seconds until a kept rack should have room, by the job it is kept for.
}

func newBoard(v *View) *board {
	b := &board{
		view: v, seats: make([]seat, len(v.Workers)), charges: make([]charge, len(v.Running)),
		stopping: make([]bool, len(v.Running)), used: map[string]int{}, pledged: map[string]int{},
		charged: map[string]int{}, kept: make([]string, len(v.Racks)),
	}
	b.workspaces = make(map[string]*contract.Workspace, len(v.Site.Workspaces))
	for i := range v.Site.Workspaces {
		b.workspaces[v.Site.Workspaces[i].Name] = &v.Site.Workspaces[i]
	}
	for name, n := range v.UsedBefore {
		b.used[name] = n
	}
	for i := range v.Workers {
		b.seats[i] = newSeat(&v.Workers[i], v)
		b.biggest = max(b.biggest, v.Workers[i].Capacity.Accelerators)
		for _, p := range b.seats[i].parts {
			b.pledged[p.workspace] += p.shape.Accelerators
		}
	}
	for i := range v.Running {
		b.seat(i)
	}
	b.chargeAll()
	return b
}

func newSeat(w *Worker, v *View) seat {
	s := seat{free: w.Capacity, open: w.Capacity}
	for _, share := range v.Layout[w.Name] {
		s.parts = append(s.parts, part{workspace: share.Workspace, shape: share.Shape})
		s.open = s.open.Sub(share.Shape)
	}
	return s
}

// seat takes the devices of a running gang.
func (b *board) seat(i int) {
	r := &b.view.Running[i]
	b.stopping[i] = r.Stopping
	for _, m := range r.Members {
		s := &b.seats[m.Worker]
		shape := r.Job.Shape.Times(m.Count)
		s.free = s.free.Sub(shape)
		s.gangs = append(s.gangs, i)
		if r.Stopping {
			s.leaving = s.leaving.Add(shape)
		}
	}
	if !r.Stopping {
		b.used[r.Job.Workspace] += r.Job.Accelerators()
	}
}

// chargeAll works out on whose account each gang runs: unstoppable work first, then by the time of start.
func (b *board) chargeAll() {
	order := make([]int, len(b.view.Running))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(x, y int) int {
		p, q := &b.view.Running[x], &b.view.Running[y]
		return cmp.Or(compareBool(p.Job.Lendable(), q.Job.Lendable()), p.Started.Compare(q.Started), cmp.Compare(p.Job.Key, q.Job.Key))
	})
	for _, i := range order {
		if !b.stopping[i] {
			b.charges[i] = b.charge(&b.view.Running[i].Job, b.view.Running[i].Members)
		}
	}
}

func compareBool(x, y bool) int {
	switch {
	case x == y:
		return 0
	case y:
		return -1
	}
	return 1
}

// charge books a gang on its workspace's pledge where every member fits it. Work that can't be stopped is booked
// member by member, on the pledge or on open devices; other work is borrowed.
func (b *board) charge(j *Job, members []Member) charge {
	if b.onPledge(j, members) {
		for _, m := range members {
			b.book(j, m)
		}
		return guaranteed
	}
	if j.Lendable() {
		return borrowed
	}
	for _, m := range members {
		if b.onPledge(j, []Member{m}) {
			b.book(j, m)
			continue
		}
		s := &b.seats[m.Worker]
		s.open = s.open.Sub(j.Shape.Times(m.Count))
	}
	return surplus
}

func (b *board) onPledge(j *Job, members []Member) bool {
	for _, m := range members {
		p := b.seats[m.Worker].part(j.Workspace)
		if p == nil || !j.Shape.Times(m.Count).Fits(p.shape.Sub(p.used)) {
			return false
		}
	}
	return true
}

func (b *board) book(j *Job, m Member) {
	p := b.seats[m.Worker].part(j.Workspace)
	shape := j.Shape.Times(m.Count)
	p.used = p.used.Add(shape)
	if !j.Lendable() {
		p.fixed = p.fixed.Add(shape)
	}
	b.charged[j.Workspace] += shape.Accelerators
}

// part returns the pledge of a workspace on the seat, or nil.
func (s *seat) part(workspace string) *part {
	for i := range s.parts {
		if s.parts[i].workspace == workspace {
			return &s.parts[i]
		}
	}
	return nil
}

// firm returns what a gang that can't be stopped may take of a seat now.
func (b *board) firm(worker int, j *Job) contract.Shape {
	return meet(b.firmRoom(worker, j), b.seats[worker].free)
}

// firmRoom returns what can't be claimed back from the job on a seat, free or not: the unused pledge of its workspace
// or what is pledged to nobody, whichever holds more of its members.
func (b *board) firmRoom(worker int, j *Job) contract.Shape {
	s := &b.seats[worker]
	if p := s.part(j.Workspace); p != nil {
		own := p.shape.Sub(p.used)
		if j.Shape.Copies(own) >= j.Shape.Copies(s.open) {
			return own
		}
	}
	return s.open
}

// meet returns the smaller amount in every dimension.
func meet(x, y contract.Shape) contract.Shape {
	return contract.Shape{
		CPUs:         min(x.CPUs, y.CPUs),
		MemoryGB:     min(x.MemoryGB, y.MemoryGB),
		Accelerators: min(x.Accelerators, y.Accelerators),
	}
}

// usable reports whether new members may go to a worker.
func (b *board) usable(worker int, j *Job) bool {
	w := &b.view.Workers[worker]
	if !w.Usable {
		return false
	}
	if w.Probe && len(b.seats[worker].gangs) > 0 {
		return false
	}
	return len(j.FailedOn) == 0 || !slices.Contains(j.FailedOn, w.Name)
}

// start places a gang and takes its devices.
func (b *board) start(j *Job, members []Member, reason *Reason) {
	for _, m := range members {
		s := &b.seats[m.Worker]
		s.free = s.free.Sub(j.Shape.Times(m.Count))
		if b.view.Workers[m.Worker].Probe {
			s.gangs = append(s.gangs, -1) // The probe is taken.
		}
	}
	b.charge(j, members)
	b.used[j.Workspace] += j.Accelerators()
	b.outcome.Decisions = append(b.outcome.Decisions, Decision{Kind: Start, Job: j.Key, Members: members, Reason: reason})
}

// stop tells a running gang to leave, once.
func (b *board) stop(i int, atOnce bool, beneficiary string, reason *Reason) {
	if b.stopping[i] {
		return
	}
	b.stopping[i] = true
	r := &b.view.Running[i]
	b.used[r.Job.Workspace] -= r.Job.Accelerators()
	for _, m := range r.Members {
		s := &b.seats[m.Worker]
		s.leaving = s.leaving.Add(r.Job.Shape.Times(m.Count))
	}
	b.outcome.Decisions = append(b.outcome.Decisions, Decision{
		Kind: Stop, Job: r.Job.Key, AtOnce: atOnce, For: beneficiary, Reason: reason,
	})
}

// wait notes why a job still waits.
func (b *board) wait(index int, reason *Reason) {
	b.outcome.Waits = append(b.outcome.Waits, Wait{Job: index, Reason: reason})
}
