package admission

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"github.com/pulleyring/pulleyring/internal/job"
	"pgregory.net/rapid"
)

var now = time.UnixMilli(1700000000000)

// overloaded returns a summary made at now in which all new jobs of the queue "q" wait equally long.
func overloaded(wait time.Duration) *Summary {
	q := Queue{}
	for c := range q.Waits {
		q.Waits[c] = Wait{Ms: wait.Milliseconds(), Least: job.Resources{Accelerators: 2}}
	}
	return &Summary{Load: &Load{Made: now.UnixMilli(), Queues: map[string]Queue{"q": q}}, Seen: now}
}

// TestDecisions reads its cases from testdata/decisions.txt: a case per line, in which settings replace those of a job
// that is refused. It fails if a job is refused that must be admitted, or if none is refused.
func TestDecisions(t *testing.T) {
	raw, err := os.ReadFile("testdata/decisions.txt")
	quicktest.Assert(t, err, quicktest.IsNil)
	for line := range strings.Lines(string(raw)) {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		want, settings, _ := strings.Cut(line, ":")
		c := newCase()
		for word := range strings.FieldsSeq(settings) {
			quicktest.Assert(t, c.set(word), quicktest.IsNil, quicktest.Commentf("%s", line))
		}
		d := Decide(c.summary, c.request, c.guaranteed, now)
		quicktest.Check(t, d.Refuse, quicktest.Equals, want == "refused", quicktest.Commentf("%s: %+v", line, d))
		quicktest.Check(t, d.RetryAfter > 0, quicktest.Equals, d.Refuse, quicktest.Commentf("%s", line))
	}
}

// decisionCase is a case of TestDecisions.
type decisionCase struct {
	summary    *Summary
	request    *job.Request
	guaranteed int64
}

func newCase() *decisionCase {
	step := job.Step{Count: 4, Gang: true, Estimate: 2 * time.Second, Each: job.Resources{Accelerators: 2}}
	return &decisionCase{overloaded(time.Hour), &job.Request{
		ID: "a", Steps: []job.Step{step}, Terms: job.Terms{Queue: "q", Priority: 1, Stretch: 1.5, Objective: 250 * time.Millisecond},
	}, 0}
}

// set applies a setting of a case, written as key=value.
func (c *decisionCase) set(word string) (err error) {
	key, value, _ := strings.Cut(word, "=")
	n, _ := strconv.ParseInt(value, 10, 64)
	took, _ := time.ParseDuration(value)
	step := &c.request.Steps[0]
	switch key {
	case "wait":
		c.summary.Load = overloaded(took).Load
	case "age":
		c.summary.Made -= took.Milliseconds()
	case "seen":
		c.summary.Seen = now.Add(-took)
	case "missing":
		c.summary.Load = nil
	case "ratio":
		q := c.summary.Queues["q"]
		q.RunTimeRatio = n
		c.summary.Queues["q"] = q
	case "queue":
		c.request.Terms.Queue = value
	case "priority":
		c.request.Terms.Priority = int(n)
	case "stretch":
		c.request.Terms.Stretch = float64(n)
	case "guaranteed":
		c.guaranteed = n
	case "accelerators":
		step.Each.Accelerators = n
	case "run":
		step.Estimate = took
	case "times":
		c.request.Schedule.Times = int(n)
	case "lasting":
		step.Lasting = true
	case "then": // A further step that waits for the first.
		c.request.Steps = append(c.request.Steps, job.Step{Count: 1, Estimate: took, After: []int{0}})
	case "beside": // A further step that waits for none.
		c.request.Steps = append(c.request.Steps, job.Step{Count: 1, Estimate: time.Second, Each: job.Resources{Accelerators: n}})
	default:
		err = fmt.Errorf("unknown setting %q", word)
	}
	return err
}

// TestOnlyHopelessJobsAreRefused fails if a job is refused that could still end within three times its allowed time
// although its run time is half or twice the declared one, or that is never refused for load.
func TestOnlyHopelessJobsAreRefused(t *testing.T) {
	refused := 0
	rapid.Check(t, func(r *rapid.T) {
		wait := time.Duration(rapid.IntRange(0, 400_000).Draw(r, "wait")) * time.Millisecond
		s, request := overloaded(wait), drawRequest(r)
		s.Made -= int64(rapid.IntRange(-3000, 8000).Draw(r, "age"))
		guaranteed := int64(rapid.IntRange(0, 40).Draw(r, "guaranteed"))
		d := Decide(s, request, guaranteed, now)
		if !d.Refuse {
			return
		}
		refused++
		declared := 0.0
		for i := range request.Steps {
			declared += request.Steps[i].Estimate.Seconds()
			if request.Steps[i].Lasting {
				r.Fatal("a lasting step")
			}
		}
		took := declared * rapid.Float64Range(0.5, 2).Draw(r, "took")
		allowed := request.Terms.Stretch*took + request.Terms.Objective.Seconds()
		left := wait - max(now.Sub(time.UnixMilli(s.Made)), 0)
		if left.Seconds()+took <= 3*allowed {
			r.Fatalf("it could end after %v s of %v allowed ones", left.Seconds()+took, allowed)
		}
		if age := now.UnixMilli() - s.Made; age > 5000 || age < -1000 {
			r.Fatalf("the summary is %d ms old", age)
		}
		if request.Schedule.Times > 0 || request.Terms.Priority == 0 && request.PeakAccelerators() <= guaranteed {
			r.Fatal("a job that is never refused")
		}
		if d.RetryAfter < time.Second || d.RetryAfter%time.Second != 0 || d.RetryAfter > 4*maxRetryAfter {
			r.Fatalf("retry after %v", d.RetryAfter)
		}
	})
	quicktest.Check(t, refused > 0, quicktest.IsTrue)
}

// drawRequest draws a job whose steps run one after the other.
func drawRequest(r *rapid.T) *job.Request {
	request := &job.Request{ID: job.ID(rapid.StringN(1, 16, 16).Draw(r, "id")), Terms: job.Terms{
		Queue: "q", Priority: rapid.IntRange(0, 2).Draw(r, "priority"), Stretch: rapid.Float64Range(1, 4).Draw(r, "stretch"),
		Objective: time.Duration(rapid.IntRange(0, 3000).Draw(r, "objective")) * time.Millisecond,
	}}
	for i := range rapid.IntRange(1, 3).Draw(r, "steps") {
		s := job.Step{
			Count: rapid.IntRange(1, 20).Draw(r, "tasks"), Gang: rapid.Bool().Draw(r, "gang"),
			Each:     job.Resources{Accelerators: int64(rapid.IntRange(0, 8).Draw(r, "accelerators"))},
			Estimate: time.Duration(rapid.IntRange(0, 12_000).Draw(r, "estimate")) * time.Millisecond,
			Lasting:  rapid.IntRange(0, 9).Draw(r, "lasting") == 0,
		}
		if i > 0 {
			s.After = []int{i - 1}
		}
		request.Steps = append(request.Steps, s)
	}
	if rapid.IntRange(0, 9).Draw(r, "scheduled") == 0 {
		request.Schedule.Times = 2
	}
	return request
}

// TestExpectedWaitIsALowerBound fails if a new job starts earlier than expected. The work before it starts in order on
// accelerators that are all alike, and its run times are half to twice the expected ones.
func TestExpectedWaitIsALowerBound(t *testing.T) {
	waited := 0
	rapid.Check(t, func(r *rapid.T) {
		busyUntil := make([]float64, rapid.IntRange(1, 6).Draw(r, "accelerators"))
		factor := rapid.Float64Range(0.5, rapid.SampledFrom([]float64{0.5, 1, 2}).Draw(r, "longest"))
		var ahead []Work
		for k := range busyUntil {
			if rapid.Bool().Draw(r, "busy") {
				w := Work{Tasks: 1, Each: job.Resources{Accelerators: 1}, Time: drawTime(r), Runs: true}
				busyUntil[k] = w.Time.Seconds() * factor.Draw(r, "left")
				ahead = append(ahead, w)
			}
		}
		start := func() *float64 {
			k := slices.Index(busyUntil, slices.Min(busyUntil))
			return &busyUntil[k]
		}
		for range rapid.IntRange(0, 30).Draw(r, "jobs") {
			w := Work{Tasks: rapid.IntRange(1, 4).Draw(r, "tasks"), Each: job.Resources{Accelerators: 1}, Time: drawTime(r)}
			for range w.Tasks {
				*start() += w.Time.Seconds() * factor.Draw(r, "took")
			}
			ahead = append(ahead, w)
		}
		wait := ExpectedWait(0, ahead, job.Resources{Accelerators: int64(len(busyUntil))})
		if wait.Ms > 0 {
			waited++
		}
		if starts := 1000 * *start(); float64(wait.Ms) > starts+1 {
			r.Fatalf("expected a wait of %d ms, but it starts after %v ms", wait.Ms, starts)
		}
	})
	quicktest.Check(t, waited > 0, quicktest.IsTrue)
}

func drawTime(r *rapid.T) time.Duration {
	return time.Duration(rapid.IntRange(100, 9000).Draw(r, "time")) * time.Millisecond
}

// TestExpectedWaitCountsOnlyWhatBlocks fails if a job is expected to wait for work that it can overtake in gaps, or for
// a resource that it does not need.
func TestExpectedWaitCountsOnlyWhatBlocks(t *testing.T) {
	capacity := job.Resources{MilliCPU: 8000, Accelerators: 8}
	gangs := Work{Class: 2, Tasks: 800, Each: job.Resources{MilliCPU: 500, Accelerators: 2}, Time: 2 * time.Second}
	quicktest.Check(t, ExpectedWait(1, []Work{gangs}, capacity), quicktest.Equals, Wait{})
	wait := ExpectedWait(2, []Work{gangs}, capacity)
	quicktest.Check(t, wait, quicktest.Equals, Wait{Ms: 198_000, Least: gangs.Each})
	quicktest.Check(t, wait.holdsFor(job.Resources{MilliCPU: 500}), quicktest.IsFalse)
	quicktest.Check(t, wait.holdsFor(job.Resources{MilliCPU: 500, Accelerators: 8}), quicktest.IsTrue)
	running := gangs
	running.Class, running.Runs = 0, true
	quicktest.Check(t, ExpectedWait(2, []Work{running}, capacity), quicktest.Equals, Wait{}, quicktest.Commentf("nothing waits"))
	quicktest.Check(t, ExpectedWait(2, []Work{gangs}, job.Resources{}), quicktest.Equals, Wait{}, quicktest.Commentf("no worker is known"))
}

// TestCallersReturnAtDifferentTimes fails if refused callers return together, or if those of priority 0 return after
// others.
func TestCallersReturnAtDifferentTimes(t *testing.T) {
	latest := time.Duration(0)
	for priority := range 3 {
		seen := map[time.Duration]int{}
		first, last := time.Hour, time.Duration(0)
		for i := range 1000 {
			c := newCase()
			c.request.ID, c.request.Terms.Priority, c.request.Steps[0].Estimate = job.ID(fmt.Sprint("job", i)), priority, 2*time.Second
			after := Decide(overloaded(40*time.Second), c.request, 0, now).RetryAfter
			seen[after]++
			first, last = min(first, after), max(last, after)
		}
		quicktest.Check(t, first >= latest, quicktest.IsTrue, quicktest.Commentf("priority %d: %v, before: %v", priority, first, latest))
		latest = last
		for after, n := range seen {
			quicktest.Check(t, n <= 200, quicktest.IsTrue, quicktest.Commentf("%d return after %v", n, after))
		}
	}
}

// TestOutdated fails if a summary is written although nothing has changed materially, or if boxes keep one that no longer
// holds.
func TestOutdated(t *testing.T) {
	at := func(age time.Duration, wait time.Duration) *Load {
		l := overloaded(wait).Load
		l.Made += age.Milliseconds()
		return l
	}
	none := &Load{}
	later := &Load{Made: now.Add(time.Hour).UnixMilli()}
	for _, c := range []struct {
		name       string
		old, newer *Load
		want       bool
	}{
		{"no load", none, later, false},
		{"load begins", none, at(0, time.Minute), true},
		{"load ends", at(0, time.Minute), later, true},
		{"the same", at(0, time.Minute), at(time.Second, time.Minute), false},
		{"a little more", at(0, time.Minute), at(time.Second, 71*time.Second), false},
		{"more", at(0, time.Minute), at(time.Second, 73*time.Second), true},
		{"less", at(0, time.Minute), at(time.Second, 47*time.Second), true},
		{"short waits", at(0, time.Second), at(time.Second, 1400*time.Millisecond), false},
		{"older", at(0, time.Minute), at(2*time.Second, time.Minute), true},
	} {
		quicktest.Check(t, c.old.Outdated(c.newer), quicktest.Equals, c.want, quicktest.Commentf("%s", c.name))
	}
}

// TestLoadKeepsItsBytes fails when a change of the code alters the stored summary, as a renamed field can.
func TestLoadKeepsItsBytes(t *testing.T) {
	l := Load{Made: 1700000000000, Queues: map[string]Queue{"q": {
		Waits:        [ClassCount]Wait{1: {Ms: 20_000, Least: job.Resources{MilliCPU: 500, MemoryMB: 64, Accelerators: 2}}},
		RunTimeRatio: 1200,
	}}}
	raw, err := cbor.Marshal(l)
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Check(t, fmt.Sprintf("%x", raw), quicktest.Equals, "821b0000018bcfe56800a16171828382008300000082194e20831901f41840028200830000001904b0")
	var decoded Load
	quicktest.Assert(t, cbor.Unmarshal(raw, &decoded), quicktest.IsNil)
	quicktest.Check(t, decoded, quicktest.DeepEquals, l)
}
