package loss

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/incarnation"
	"github.com/pulleyring/pulleyring/internal/job"
)

// groupSize is the number of workers of each hall and rack in the cases before any is lost.
const groupSize = 6

// TestLosses runs the cases of testdata. A case is a list of lines; times count from its start:
//
//	lose WORKER at T [heard T] [missed T] [hall H] [rack R] [silent] [runs TASK:SEEN ...]   a worker is lost;
//	                                              SEEN is a time or "adopted"; heard is 100ms before at by default
//	return WORKER                                 it still runs
//	never WORKER TASK                             the task never started there
//	replace WORKER                                another worker has started at its address
//	watch N from T until T                        N live workers run no suspect task
//	counts TASK ALL COUNTED AT_ONCE               losses counted against the task
//	verdict TASK free|held|guilty at T            verdict for the task
func TestLosses(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	quicktest.Assert(t, err, quicktest.IsNil)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) { runCase(t, file) })
	}
}

// lossCase is the state of a running case.
type lossCase struct {
	detector Detector
	start    time.Time
	counts   map[job.Task]job.Losses // Counted losses by task.
	lost     map[string]int          // Number of lost workers by hall and rack.
}

func runCase(t *testing.T, file string) {
	f, err := os.Open(file)
	quicktest.Assert(t, err, quicktest.IsNil)
	defer f.Close()
	testCase := &lossCase{start: time.Unix(1000, 0), counts: map[job.Task]job.Losses{}, lost: map[string]int{}}
	lines := bufio.NewScanner(f)
	for n := 1; lines.Scan(); n++ {
		words := strings.Fields(lines.Text())
		if len(words) == 0 || words[0] == "#" {
			continue
		}
		if err := testCase.runLine(words); err != nil {
			t.Fatalf("%s:%d: %s: %v", file, n, lines.Text(), err)
		}
	}
}

func (c *lossCase) runLine(words []string) error {
	switch words[0] {
	case "lose":
		return c.lose(words[1:])
	case "return":
		c.addCounts(c.detector.RecordReturn(incarnation.ID{Worker: words[1]}))
		return nil
	case "never":
		c.addCounts(c.detector.RecordNeverStarted(incarnation.ID{Worker: words[1]}, taskNamed(words[2])))
		return nil
	case "replace":
		c.detector.RecordReplacement(words[1], incarnation.ID{Worker: words[1] + "-next"})
		return nil
	case "watch":
		return c.watch(words[1:])
	case "counts":
		l := c.counts[taskNamed(words[1])]
		got := fmt.Sprint(l.All, " ", l.Counted, " ", l.AtOnce)
		if want := strings.Join(words[2:], " "); got != want {
			return fmt.Errorf("%s", got)
		}
		return nil
	case "verdict":
		at, err := c.time(words[4])
		if err != nil {
			return err
		}
		task := taskNamed(words[1])
		got := [...]string{"free", "held", "guilty"}[c.detector.Verdict(task, c.counts[task], at)]
		if got != words[2] {
			return fmt.Errorf("%s", got)
		}
		return nil
	}
	return fmt.Errorf("unknown line")
}

// watch calls Watch for every second of a period.
func (c *lossCase) watch(words []string) error {
	n, err := strconv.Atoi(words[0])
	if err != nil {
		return err
	}
	from, err := c.time(words[2])
	if err != nil {
		return err
	}
	until, err := c.time(words[4])
	for at := from; !at.After(until); at = at.Add(time.Second) {
		c.detector.Watch(n, at)
	}
	return err
}

func (c *lossCase) lose(words []string) error {
	w := Worker{Incarnation: incarnation.ID{Worker: words[0]}, Address: words[0], Hall: Group{Name: "hall"}, Rack: Group{Name: "rack of " + words[0]}, EndProven: true}
	var at, lastSeen time.Time
	var err error
	for i := 1; i < len(words) && err == nil; i++ {
		switch words[i] {
		case "silent":
			w.EndProven = false
			continue
		case "runs":
			w.Runs, err = c.runs(words[i+1:])
			i = len(words)
			continue
		}
		switch i++; words[i-1] {
		case "at":
			at, err = c.time(words[i])
		case "heard":
			lastSeen, err = c.time(words[i])
		case "missed":
			w.CommandUnanswered, err = c.time(words[i])
		case "hall":
			w.Hall.Name = words[i]
		case "rack":
			w.Rack.Name = words[i]
		default:
			err = fmt.Errorf("unknown word %q", words[i-1])
		}
	}
	if lastSeen.IsZero() {
		lastSeen = at.Add(-100 * time.Millisecond)
	}
	w.LastSeen = lastSeen
	w.Hall.Size, w.Rack.Size = groupSize-c.lost[w.Hall.Name], groupSize-c.lost[w.Rack.Name]
	c.lost[w.Hall.Name]++
	c.lost[w.Rack.Name]++
	c.addCounts(c.detector.RecordLoss(w, at))
	return err
}

func (c *lossCase) runs(words []string) ([]Run, error) {
	var runs []Run
	for _, word := range words {
		name, seen, _ := strings.Cut(word, ":")
		r := Run{Task: taskNamed(name), LossesBefore: c.counts[taskNamed(name)], StartedByPredecessor: seen == "adopted"}
		if !r.StartedByPredecessor {
			d, err := time.ParseDuration(seen)
			if err != nil {
				return nil, err
			}
			r.SeenAfterStart = d
		}
		runs = append(runs, r)
	}
	return runs, nil
}

func (c *lossCase) addCounts(changes []CountChange) {
	for _, x := range changes {
		c.counts[x.Task] = c.counts[x.Task].Add(x.Change)
	}
}

func (c *lossCase) time(text string) (time.Time, error) {
	d, err := time.ParseDuration(text)
	return c.start.Add(d), err
}

// taskNamed returns the task that a case names by a letter and a number.
func taskNamed(name string) job.Task {
	index, err := strconv.Atoi(name[1:])
	if err != nil {
		index = 0
	}
	return job.Task{Job: job.ID(name[:1]), Index: index}
}
