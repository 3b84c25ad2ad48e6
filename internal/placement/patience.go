package placement

import (
	"time"

	"github.com/pulleyring/pulleyring/internal/job"
)

// lastMoment is how long before the last start that is in time a demand has work of lower priority stopped for it, with
// what the stop itself takes.
const lastMoment = 2 * time.Second

// runSlack is how much longer than expected a run is taken to last when its last start in time is reckoned: declared and
// learned run times are off by about that.
const runSlack = 1.25

// impatient reports whether work is to be stopped for a demand now. Urgent work does not wait at all, as a stop takes long
// against its time to the goal; other work waits for room to come free for as long as it can.
func (b *board) impatient(d *Demand) bool {
	if d.Priority == 0 {
		return true
	}
	_, goal := b.stake(d)
	last := goal.Add(-time.Duration(runSlack * float64(d.Remaining)))
	return b.view.Now.Add(b.view.Policy.StopTime + lastMoment).After(last)
}

// spreadAfter is the share of the time within which guaranteed work must have begun that it waits for room in one rack.
const spreadAfter = 0.55

// mustBegin reports whether the time within which guaranteed work must have begun runs out: room that is made now comes
// free about when the work would be spread.
func (b *board) mustBegin(d *Demand) bool {
	return d.Covered && b.view.Now.Sub(d.Since) >= b.rackPatience()-b.view.Policy.StopTime
}

// rackPatience is how long guaranteed work waits for room in one rack.
func (b *board) rackPatience() time.Duration {
	return time.Duration(spreadAfter * float64(b.view.Policy.Reclaim))
}

// mustSpread reports whether a gang is to run slowly over several racks rather than wait for one: guaranteed work when the
// time within which it must begin runs out, other work when it has waited beside plenty of room.
func (b *board) mustSpread(d *Demand) bool {
	if d.Covered {
		return b.view.Now.Sub(d.Since) >= b.rackPatience()
	}
	return b.overdue
}

// idlePatience is how long work waits for better room while there is plenty of room in all: less than the 3 s after which
// it must not be left waiting beside idle workers (the users' rules).
const idlePatience = 2 * time.Second

// idleTooLong reports whether a demand has waited for longer than it should beside plenty of room.
func (b *board) idleTooLong(d *Demand) bool {
	return b.view.Now.Sub(d.Since) >= idlePatience && b.roomTwice(d)
}

// roomTwice reports whether the demand's service is less than half in use, and all racks together have room for what must not wait twice over.
func (b *board) roomTwice(d *Demand) bool {
	need, room, free, all := 2*b.leastStart(d), 0, 0.0, 0.0
	for k := range b.view.Workers {
		w := &b.view.Workers[k]
		if w.Service != d.Service {
			continue
		}
		free += w.Free.Cores()
		all += w.Capacity.Cores()
		room += b.copiesOf(d, k, w.Free, need)
	}
	return room >= need && free > all/2
}

// leastStart is how many tasks of a demand must not wait beside plenty of room: of a job of which nothing runs a single one is enough.
func (b *board) leastStart(d *Demand) int {
	if d.Step.Gang || b.runs(d.Job) {
		return len(d.Waiting)
	}
	return 1
}

// runs reports whether something of a job runs, as of the view.
func (b *board) runs(id job.ID) bool {
	if b.running == nil {
		b.running = make(map[job.ID]bool, len(b.view.Holdings))
		for h := range b.view.Holdings {
			b.running[b.view.Holdings[h].Job] = true
		}
	}
	return b.running[id]
}
