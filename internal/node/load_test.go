package node

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"github.com/pulleyring/pulleyring/internal/admission"
	"github.com/pulleyring/pulleyring/internal/entry"
	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/internal/relay"
	"github.com/pulleyring/pulleyring/internal/store"
	"go.uber.org/zap"
)

// overload returns a summary made now in which all new jobs of a queue wait for an hour.
func overload(queue string) admission.Load {
	q := admission.Queue{}
	for c := range q.Waits {
		q.Waits[c] = admission.Wait{Ms: time.Hour.Milliseconds(), Least: job.Resources{}}
	}
	return admission.Load{Made: time.Now().UnixMilli(), Queues: map[string]admission.Queue{queue: q}}
}

// writeLoad writes a summary of the load in place of the scheduler.
func (w *world) writeLoad(t *testing.T, load any) {
	raw, err := cbor.Marshal(load)
	quicktest.Assert(t, err, quicktest.IsNil)
	w.store.CommitAsOperator(&store.Transaction{Writes: []store.Row{{Key: store.Key{Table: "load", Part: Shard, Name: Shard}, Value: raw}}})
}

// TestLoadReachesAllBoxes fails if a box does not learn of the load or of its end, or if boxes other than the watchers of
// the halls read it from the store.
func TestLoadReachesAllBoxes(t *testing.T) {
	for _, boxes := range sizes {
		inSite(t, boxes, func(t *testing.T, w *world) {
			const changes = 5
			before := w.directCalls()
			for k := range changes {
				load := overload("normal")
				if k == changes-1 {
					load.Queues = nil
				}
				w.writeLoad(t, load)
				time.Sleep(300 * time.Millisecond)
				for _, n := range w.nodes() {
					known := n.Load()
					if known.Load == nil || known.Made != load.Made || len(known.Queues) != len(load.Queues) {
						t.Fatalf("%d boxes: after change %d a box knows %+v", boxes, k, known)
					}
				}
				time.Sleep(700 * time.Millisecond)
			}
			after := w.directCalls()
			for _, call := range []string{"read_load", "watch_load"} {
				// Two watchers in each of five halls and the scheduler.
				got := after[call] - before[call]
				quicktest.Check(t, got <= changes*11+11, quicktest.IsTrue, quicktest.Commentf("%d boxes: %s %d", boxes, call, got))
			}
		})
	}
}

// TestFullWorkspacesReachAllBoxes fails if a box does not learn which workspaces are full or that they no longer are, also
// while no job is refused for load.
func TestFullWorkspacesReachAllBoxes(t *testing.T) {
	inEmptyWorld(t, func(t *testing.T, w *world) {
		w.jobMemory = 1 << 20
		quicktest.Assert(t, w.command([]string{"boxes", "3"}), quicktest.IsNil)
		for _, n := range w.nodes() {
			settings := *n.settings.Load()
			settings.Bounds.DisableRefusals = true
			n.Reload(&settings)
		}
		time.Sleep(3 * time.Second)
		for _, isFull := range []bool{true, false, true} {
			made := time.Now().UnixMilli()
			key := store.Key{Table: "load", Part: Shard, Name: Shard + "/full"}
			if isFull {
				raw, err := cbor.Marshal(admission.Full{Made: made, Workspaces: []string{"guest"}})
				quicktest.Assert(t, err, quicktest.IsNil)
				w.store.CommitAsOperator(&store.Transaction{Writes: []store.Row{{Key: key, Value: raw}}})
			}
			w.writeLoad(t, admission.Load{Made: made})
			time.Sleep(time.Second)
			for name, b := range w.boxes {
				quicktest.Check(t, b.node.Load().IsFull("guest", time.Now()), quicktest.Equals, isFull, quicktest.Commentf("%s", name))
				quicktest.Check(t, b.node.Load().IsFull("desk", time.Now()), quicktest.IsFalse, quicktest.Commentf("%s", name))
			}
		}
	})
}

// TestUnreadableLoadIsDropped fails if a box keeps a summary of the load after it was replaced by one that it can't read.
func TestUnreadableLoadIsDropped(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		time.Sleep(3 * time.Second)
		w.writeLoad(t, overload("normal"))
		time.Sleep(300 * time.Millisecond)
		for name, b := range w.boxes {
			quicktest.Check(t, b.node.Load().Load, quicktest.IsNotNil, quicktest.Commentf("%s", name))
		}
		w.writeLoad(t, "another version")
		time.Sleep(300 * time.Millisecond)
		for name, b := range w.boxes {
			quicktest.Check(t, b.node.Load().Load, quicktest.IsNil, quicktest.Commentf("%s", name))
		}
	})
}

// TestRepeatedLoadDoesNotGetYounger fails if a box takes an old summary that it reads again for a new one. The clock of
// the scheduler's box may be ahead.
func TestRepeatedLoadDoesNotGetYounger(t *testing.T) {
	n := &Node{log: zap.NewNop()}
	load := overload("normal")
	n.applyLoad(&load)
	seen := n.Load().Seen
	again := load
	n.applyLoad(&again)
	quicktest.Check(t, n.Load().Seen, quicktest.Equals, seen)
	again.Made++
	n.applyLoad(&again)
	quicktest.Check(t, n.Load().Seen.After(seen), quicktest.IsTrue)
}

// TestBoxWithoutWatchersReadsNoLoad fails if a box that does not watch the store reads the load itself when the watchers
// of its hall do not answer. It must admit all jobs instead.
func TestBoxWithoutWatchersReadsNoLoad(t *testing.T) {
	inSite(t, 50, func(t *testing.T, w *world) {
		name := ""
		for _, box := range w.clientBoxes {
			if !w.boxes[box].node.watches() {
				name = box
			}
		}
		n := w.boxes[name].node
		w.writeLoad(t, overload("normal"))
		time.Sleep(300 * time.Millisecond)
		quicktest.Assert(t, n.Load().Load, quicktest.IsNotNil)
		read := func() int64 { return n.Metrics.CounterValue(relay.PathDirect + "_read_load") }
		before := read()
		w.network.Cut(name)
		time.Sleep(30 * time.Second)
		quicktest.Check(t, read(), quicktest.Equals, before)
	})
}

// TestOverloadRefusesHopelessJobs fails if jobs that would end too late under the load of the real scheduler are accepted
// by some box, run although they were refused, or are still refused after the load has gone. Jobs within the guarantee
// and repeats of accepted jobs must not be refused.
func TestOverloadRefusesHopelessJobs(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		play(t, w, []string{"workers 1", "sleep 3s"})
		submit := func(box, id, queue, work string) error {
			r, err := w.request([]string{id, queue, "desk-key", "gang", "tasks", "3", "work", work})
			quicktest.Assert(t, err, quicktest.IsNil)
			err = w.submitAt(w.boxes[box].node, queue, "desk-key", r)
			if err == nil {
				w.fleet.RecordAccepted(r.ID)
			}
			return err
		}
		quicktest.Assert(t, submit("box-1", "before", "normal", "1s"), quicktest.IsNil)
		for i := range 300 {
			quicktest.Assert(t, submit("box-1", fmt.Sprint("urgent", i), "urgent", "2s"), quicktest.IsNil)
			if i == 10 { // From a job that waits, new ones are expected to wait too.
				quicktest.Assert(t, submit("box-1", "waiting", "normal", "1s"), quicktest.IsNil)
			}
		}
		time.Sleep(2500 * time.Millisecond)
		for name := range w.boxes {
			var hopeless *entry.HopelessError
			quicktest.Check(t, submit(name, "late-"+name, "normal", "1s"), quicktest.ErrorAs, &hopeless, quicktest.Commentf("%s", name))
			quicktest.Check(t, submit(name, "before", "normal", "1s"), quicktest.IsNil, quicktest.Commentf("%s", name))
			quicktest.Check(t, submit(name, "urgent-"+name, "urgent", "1s"), quicktest.IsNil, quicktest.Commentf("%s", name))
			state, err := w.state(job.ID("late-" + name))
			quicktest.Check(t, err, quicktest.ErrorIs, entry.ErrNoJob, quicktest.Commentf("%s: %v", name, state))
		}
		for i := range 300 {
			quicktest.Assert(t, w.cancel(job.ID(fmt.Sprint("urgent", i))), quicktest.IsNil)
		}
		time.Sleep(2 * time.Second)
		for name := range w.boxes {
			quicktest.Check(t, submit(name, "later-"+name, "normal", "1s"), quicktest.IsNil, quicktest.Commentf("%s", name))
		}
	})
}

// TestReloadSwitchesRefusals fails if a box goes on refusing jobs for load, or reading the load, after its settings were
// reloaded with refusals turned off, or refuses none after they were turned on again.
func TestReloadSwitchesRefusals(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		time.Sleep(3 * time.Second)
		n := w.boxes["box-1"].node
		submit := func(id string) error {
			r, err := w.request([]string{id, "normal", "desk-key", "gang", "tasks", "3", "work", "1s"})
			quicktest.Assert(t, err, quicktest.IsNil)
			err = w.submitAt(n, "normal", "desk-key", r)
			if err == nil {
				w.fleet.RecordAccepted(r.ID)
			}
			return err
		}
		disable := func(disabled bool) {
			s := *n.settings.Load()
			s.Bounds.DisableRefusals = disabled
			n.Reload(&s)
			time.Sleep(time.Second)
			w.writeLoad(t, overload("normal"))
			time.Sleep(time.Second)
		}
		var hopeless *entry.HopelessError
		disable(false)
		quicktest.Check(t, submit("first"), quicktest.ErrorAs, &hopeless)
		disable(true)
		made := n.Load().Made
		quicktest.Check(t, submit("second"), quicktest.IsNil)
		w.writeLoad(t, overload("normal"))
		time.Sleep(15 * time.Second)
		quicktest.Check(t, n.Load().Made, quicktest.Equals, made)
		disable(false)
		quicktest.Check(t, submit("third"), quicktest.ErrorAs, &hopeless)
	})
}

// TestSummaryOfUnknownAgeIsNotUsed fails if a box refuses jobs by a summary that was written long before the box read it.
// If the clock of the box that wrote it was ahead, its own time does not show its age.
func TestSummaryOfUnknownAgeIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refuses := func(n *Node) bool {
			r := &job.Request{Steps: []job.Step{{Count: 1, Estimate: time.Second}}, Terms: job.Terms{Queue: "normal", Priority: 1, Stretch: 3}}
			return admission.Decide(n.Load(), r, 0, time.Now()).Refuse
		}
		load := overload("normal")
		load.Made += (30 * time.Second).Milliseconds()
		time.Sleep(30 * time.Second)
		n := &Node{log: zap.NewNop()}
		n.applyLoad(&load)
		quicktest.Check(t, refuses(n), quicktest.IsFalse, quicktest.Commentf("after a start"))
		time.Sleep(time.Second)
		next := overload("normal")
		n.applyLoad(&next)
		quicktest.Check(t, refuses(n), quicktest.IsTrue, quicktest.Commentf("written since the last read"))
		load = overload("normal")
		load.Made += (30 * time.Second).Milliseconds()
		time.Sleep(30 * time.Second)
		n.applyLoad(&load)
		quicktest.Check(t, refuses(n), quicktest.IsFalse, quicktest.Commentf("after an outage"))
	})
}
