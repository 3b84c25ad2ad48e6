package node

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/pulleyring/pulleyring/internal/interval"
	"github.com/pulleyring/pulleyring/internal/job"
	"pgregory.net/rapid"
)

// TestLeavingClients plays the scripts of testdata/leaving. It guards against a job that runs although its cancellation
// was acknowledged: in an outage of the store, its client leaves and cancels it at another box, so that the request and
// the cancellation land in different parts of the store, the cancellation first. Steady traffic keeps the scheduler
// from reading all rows again.
func TestLeavingClients(t *testing.T) { playScripts(t, "leaving") }

// TestRandomLeavingClients does the same with outages of any kind, length and number, and clients that leave and cancel
// at any time.
func TestRandomLeavingClients(t *testing.T) { checkParts(t, leavingParts, drawLeavingClients) }

func drawLeavingClients(r *rapid.T, part int) []string {
	s := newScript(r, part, "retain 1h", fmt.Sprintf("boxes %d", drawnBoxes), fmt.Sprintf("workers %d rack 4", drawnWorkers), "sleep 3s")
	for range rapid.IntRange(1, 4).Draw(r, "outages") {
		s.add("traffic %dms 12s", rapid.SampledFrom([]int{50, 150, 250, 600}).Draw(r, "gap"))
		s.add("store %s", rapid.SampledFrom([]string{"silent", "silent", "busy", "cut box-1", "cut holder", "refuse box-2", "lose 0.5", "slow 300ms", "requests_out"}).Draw(r, "fault"))
		left := rapid.IntRange(100, 3000).Draw(r, "outage")
		for range rapid.IntRange(1, 4).Draw(r, "clients") {
			left -= s.leavingClient(left)
		}
		if rapid.IntRange(0, 3).Draw(r, "takeover") == 0 {
			s.boxFault()
		}
		s.add("sleep %dms", max(left, 1))
		s.add("store up")
		s.add("sleep %dms", rapid.IntRange(1, 12000).Draw(r, "calm"))
	}
	s.add("start killed")
	s.heal()
	return s.lines
}

// leavingClient draws a client that submits a job, leaves, and cancels the job at another box. It returns for how many of
// the milliseconds left it lets the script wait.
func (s *script) leavingClient(left int) int {
	s.jobs++
	s.add("leave j%d %s normal desk-key tasks %d work %dms then 2", s.jobs, s.box(), rapid.IntRange(1, 3).Draw(s.T, "tasks"), rapid.IntRange(100, 7000).Draw(s.T, "work"))
	wait := rapid.IntRange(1, max(left/2, 1)).Draw(s.T, "patience")
	s.add("sleep %dms", wait)
	s.add("withdraw j%d %s", s.jobs, s.box())
	return wait
}

// clientDeadline is how long a box works on a call of a client, also after the client has left.
const clientDeadline = 3 * time.Second

// clientCommand runs the commands of clients that nobody waits for.
func (w *world) clientCommand(words []string) error {
	switch words[0] {
	case "leave":
		r, err := w.request(slices.Delete(slices.Clone(words[1:]), 1, 2))
		if err != nil {
			return err
		}
		n := w.boxes[words[2]].node
		w.group.Go(func() { _ = w.submitAt(n, words[3], words[4], r) }) // The client does not see the outcome.
	case "withdraw":
		n := w.boxes[words[2]].node
		w.fleet.RecordWithdrawn(job.ID(words[1]))
		w.group.Go(func() { w.withdraw(n, job.ID(words[1])) })
	case "traffic":
		every, err := time.ParseDuration(words[1])
		if err != nil {
			return err
		}
		duration, err := time.ParseDuration(words[2])
		if err != nil {
			return err
		}
		w.group.Go(func() { w.submitTraffic(every, time.Now().Add(duration)) })
	}
	return nil
}

// withdraw cancels a job at a box until that is acknowledged.
func (w *world) withdraw(n *Node, id job.ID) {
	for w.ctx.Err() == nil {
		c, err := n.Entry.Admit("h", "/normal/", "desk-key")
		if err == nil {
			ctx, cancel := context.WithTimeout(w.ctx, clientDeadline)
			err = n.Entry.Cancel(ctx, c, id)
			cancel()
		}
		if err == nil {
			w.fleet.RecordCancelled(id)
			return
		}
		interval.Sleep(w.ctx, 300*time.Millisecond)
	}
}

// submitTraffic submits small jobs at all boxes in turn until a time. It tries each once.
func (w *world) submitTraffic(every time.Duration, until time.Time) {
	for n := 0; time.Now().Before(until); n++ {
		nodes := w.nodes()
		r := &job.Request{ID: job.ID(fmt.Sprintf("t%d-%d", until.UnixNano(), n)), Steps: []job.Step{{Count: 1, Each: job.Resources{MilliCPU: 1000}, Estimate: 200 * time.Millisecond}}}
		w.fleet.SetWork(r, 200*time.Millisecond)
		w.fleet.SetAttempts(r.ID, w.attempts("normal"))
		w.group.Go(func() {
			if w.submitAt(nodes[n%len(nodes)], "normal", "desk-key", r) == nil {
				w.mu.Lock()
				defer w.mu.Unlock()
				w.accepted[r.ID] = r
				w.fleet.RecordAccepted(r.ID)
			}
		})
		if !interval.Sleep(w.ctx, every) {
			return
		}
	}
}
