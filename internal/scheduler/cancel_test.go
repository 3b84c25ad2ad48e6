package scheduler

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/internal/ledger"
	"github.com/pulleyring/pulleyring/internal/script"
	"pgregory.net/rapid"
)

// TestCancellationsApplyInAnyOrder runs the cases of testdata/cancellations.txt. It guards against a cancelled job that
// runs on because its cancellation was read before its request, as the two were written to different parts of the
// store. It also guards against the loss of such a job's rows while it runs, and against a cancellation that applies to
// a later job of the same name.
func TestCancellationsApplyInAnyOrder(t *testing.T) {
	for _, c := range script.Cases(t, "testdata/cancellations.txt") {
		t.Run(c.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				if err := playCancellations(c.Lines); err != nil {
					t.Error(err)
				}
			})
		})
	}
}

// TestRandomCancellations applies the rows of requests and cancellations in random order, with repetitions, reads of all
// rows and takeovers. It guards against a cancellation that one of these orders loses, and against a job that is
// cancelled without one.
func TestRandomCancellations(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var lines [][]string
		for n := range rapid.IntRange(2, 20).Draw(r, "steps") {
			line := []string{rapid.SampledFrom([]string{"rows", "rows", "rows", "rows", "read", "takeover", "sleep"}).Draw(r, "step")}
			switch line[0] {
			case "rows":
				kind, id := rapid.SampledFrom([]string{"request", "cancel"}).Draw(r, "kind"), rapid.SampledFrom([]string{"a", "b"}).Draw(r, "job")
				line = append(line, fmt.Sprintf("%s:%s:%d%s", kind, id, n+1, rapid.SampledFrom([]string{"", ":main/3"}).Draw(r, "part")))
			case "sleep":
				line = append(line, fmt.Sprintf("%ds", rapid.IntRange(1, 30).Draw(r, "seconds")))
			}
			lines = append(lines, line)
		}
		var failed error
		synctest.Test(t, func(*testing.T) { failed = playCancellations(lines) })
		if failed != nil {
			r.Fatalf("%v\n%v", failed, lines)
		}
	})
}

func playCancellations(lines [][]string) error {
	p := &cancelCase{h: offlineShard()}
	p.h.Bounds.Retain = 2 * time.Minute
	for _, words := range lines {
		if err := p.step(words); err != nil {
			return errors.WithMessage(err, strings.Join(words, " "))
		}
	}
	return nil
}

// TestRequestArrivesWhileItsCancellationIsDeleted guards against a job that is dropped without a trace, as its request
// arrives while the rows of its old cancellation are being deleted.
func TestRequestArrivesWhileItsCancellationIsDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := offlineShard()
		h.Bounds.Retain = time.Minute
		h.applyChanges([]ledger.Change{{ID: "a", Cancelled: true, Version: 1}}, nil)
		time.Sleep(h.Bounds.Retain + time.Second)
		old := h.oldJobs()
		quicktest.Assert(t, old, quicktest.DeepEquals, []job.ID{"a"})
		h.applyChanges([]ledger.Change{{ID: "a", Request: request("a", time.Second), Version: 2}}, nil)
		h.dropDeleted(old)
		quicktest.Assert(t, h.jobs["a"], quicktest.IsNotNil)
		quicktest.Check(t, h.jobs["a"].Progress.State, quicktest.Equals, job.Cancelled)
		quicktest.Check(t, h.dirtyJobs["a"], quicktest.IsTrue) // Its state is still to be committed.
	})
}

// cancelCase is a shard with the rows that were written so far.
type cancelCase struct {
	h    *shard
	rows []ledger.Change
}

func (p *cancelCase) step(words []string) error {
	switch words[0] {
	case "rows":
		return p.apply(words[1:])
	case "read":
		p.h.applyChanges(slices.Clone(p.rows), nil)
		return p.check()
	case "takeover":
		p.takeOver()
		return p.check()
	case "sleep":
		d, err := time.ParseDuration(words[1])
		time.Sleep(d)
		return err
	case "forget":
		return p.forget(words[1:])
	case "state":
		got := "none"
		if j := p.h.jobs[job.ID(words[1])]; j != nil {
			got = j.Progress.State.String()
		}
		if got != words[2] {
			return errors.Errorf("the job is %s", got)
		}
		return nil
	}
	return errors.Errorf("unknown step")
}

// apply writes rows and has the shard apply them in one list, as an answer of the feed.
func (p *cancelCase) apply(words []string) error {
	var list []ledger.Change
	for _, word := range words {
		fields := strings.SplitN(word, ":", 4)
		version, err := strconv.ParseInt(fields[2], 10, 64)
		if err != nil {
			return err
		}
		c := ledger.Change{ID: job.ID(fields[1]), Version: version, Cancelled: fields[0] == "cancel"}
		if !c.Cancelled {
			c.Request = request(fields[1], time.Second)
		}
		if len(fields) > 3 {
			c.FallbackPart = fields[3]
		}
		list = append(list, c)
	}
	p.rows = append(p.rows, list...)
	p.h.applyChanges(list, nil)
	return p.check()
}

// takeOver continues with a successor, which reads all rows and the progress that was committed.
func (p *cancelCase) takeOver() {
	progress := map[job.ID]*job.Progress{}
	for id, j := range p.h.jobs {
		progress[id] = &j.Progress
	}
	retain := p.h.Bounds.Retain
	p.h = offlineShard()
	p.h.Bounds.Retain = retain
	p.h.applyChanges(slices.Clone(p.rows), progress)
}

// forget deletes the rows of old jobs, which must be exactly those named.
func (p *cancelCase) forget(want []string) error {
	p.h.dirtyJobs = map[job.ID]bool{} // Everything is committed.
	var got []string
	for _, id := range p.h.oldJobs() {
		got = append(got, string(id))
		p.h.forget(id)
	}
	if slices.Sort(got); !slices.Equal(got, want) {
		return errors.Errorf("forgotten: %v", got)
	}
	return nil
}

// check compares the jobs with the rows that were written. It does not apply after a job was forgotten.
func (p *cancelCase) check() error {
	if len(p.h.forgotten) > 0 {
		return nil
	}
	for id, j := range p.h.jobs {
		cancelled := slices.ContainsFunc(p.rows, func(c ledger.Change) bool { return c.ID == id && c.Cancelled })
		if got := j.Progress.State == job.Cancelled; got != cancelled {
			return errors.Errorf("job %s is %s, cancelled: %v", id, j.Progress.State, cancelled)
		}
		if _, kept := p.h.earlyCancellations[id]; kept {
			return errors.Errorf("the cancellation of job %s is still waiting for its request", id)
		}
	}
	return nil
}
