package node

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/job"
)

// TestEmptiedHallUnderFaults empties a hall during each fault of testdata/emptied while jobs are submitted all the
// time. It fails if work starts in the hall after the time limit, or if a job does not complete.
func TestEmptiedHallUnderFaults(t *testing.T) {
	f, err := os.Open("testdata/emptied/faults.txt")
	quicktest.Assert(t, err, quicktest.IsNil)
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		if strings.HasPrefix(lines.Text(), "#") {
			continue
		}
		parts := strings.Split(lines.Text(), "|")
		quicktest.Assert(t, parts, quicktest.HasLen, 3)
		t.Run(strings.TrimSpace(parts[0]), func(t *testing.T) {
			inEmptyWorld(t, func(t *testing.T, w *world) { playEmptied(t, w, parts[1], parts[2]) })
		})
	}
}

func playEmptied(t *testing.T, w *world, before, after string) {
	commands := []string{"site 3", "boxes 3", "workers 12 rack 2 halls 3", "sleep 500ms"}
	play(t, w, commands)
	var caller submitter
	caller.run(w)
	play(t, w, []string{"sleep 2s"})
	play(t, w, strings.Split(before, ";"))
	play(t, w, []string{"empty hall-1"})
	play(t, w, strings.Split(after, ";"))
	play(t, w, []string{"sleep 12s", "store up", "reopen hall-1"})
	caller.stop()
	quicktest.Assert(t, w.violations(), quicktest.HasLen, 0)
	for id := range w.accepted {
		quicktest.Assert(t, w.await(id, job.Completed.String(), "60s"), quicktest.IsNil, quicktest.Commentf("%s", id))
	}
	quicktest.Assert(t, w.violations(), quicktest.HasLen, 0)
}

func play(t *testing.T, w *world, commands []string) {
	for _, line := range commands {
		if words := strings.Fields(line); len(words) > 0 {
			quicktest.Assert(t, w.command(words), quicktest.IsNil, quicktest.Commentf("%s", line))
		}
	}
}

// submitter submits jobs, one after the other.
type submitter struct {
	stopping chan struct{}
	done     chan struct{}
}

// submitInterval is the pause between two jobs.
const submitInterval = 150 * time.Millisecond

func (c *submitter) run(w *world) {
	c.stopping, c.done = make(chan struct{}), make(chan struct{})
	go func() {
		defer close(c.done)
		for n := 0; ; n++ {
			select {
			case <-c.stopping:
				return
			case <-time.After(submitInterval):
			}
			shape := [...]string{"normal desk-key gpu 8 work 700ms", "urgent court-key tasks 2 gpu 4 work 500ms gang", "bulk desk-key tasks 6 gpu 2 work 900ms"}[n%3]
			// An error is ignored: a job that no box accepts during a fault is not tracked.
			_ = w.submitWords(strings.Fields(fmt.Sprintf("job%d %s", n, shape)))
		}
	}()
}

func (c *submitter) stop() {
	close(c.stopping)
	<-c.done
}

func TestHallsReport(t *testing.T) {
	inEmptyWorld(t, func(t *testing.T, w *world) {
		play(t, w, []string{"site 2", "boxes 1", "empty hall-2", "sleep 1s"})
		report := w.boxes["box-1"].node.hallsReport()
		quicktest.Check(t, report.Known, quicktest.IsTrue)
		quicktest.Check(t, report.Emptied, quicktest.DeepEquals, []string{"hall-2"})
		quicktest.Check(t, report.AgeMs <= maxOperatorPoll.Milliseconds(), quicktest.IsTrue, quicktest.Commentf("age %d ms", report.AgeMs))
		var fresh Node
		quicktest.Check(t, fresh.hallsReport(), quicktest.DeepEquals, HallsReport{})
	})
}
