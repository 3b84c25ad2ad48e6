package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/job"
)

// TestVersionBoundsTheAgeOfARecord fails if the runs on a leaving worker are stopped too early. Workers' records
// are read every 0.3 s, and a record that announces a departure was taken to be that old. With 1.8 s of notice 26
// gangs of one day were stopped that would have ended in time. The record's version tells which commits of the
// lease term came before it, and thus how old it can be.
func TestVersionBoundsTheAgeOfARecord(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name    string
		version int64
		// The record was written after the commit with version 20. The commits with versions 10 and 30 began 0.2 s
		// before and after that one.
		stopsIn time.Duration
	}{
		{"not known", 0, 1500 * ms},
		{"before all", 9, 1500 * ms},
		{"after the first", 11, 1600 * ms},
		{"after the second", 21, 1800 * ms},
		{"after the last", 31, 2000 * ms},
	} {
		synctest.Test(t, func(t *testing.T) {
			h, w := shardWithRun()
			w.clock = 0 // Unknown, so that nothing polls the worker.
			r := w.runs[job.Task{Job: "j"}]
			second := time.Now()
			h.recentCommits.add(10, second.Add(-200*ms))
			h.recentCommits.add(20, second)
			h.recentCommits.add(30, second.Add(200*ms))
			time.Sleep(300 * ms)
			record := w.Worker
			record.Draining, record.TimeLeft, record.Version = true, 3*time.Second, c.version
			h.mu.Lock()
			h.applyWorkerRecord(&record, second.Add(-300*ms))
			h.mu.Unlock()
			h.background.Wait()
			quicktest.Check(t, r.stopRequested.Sub(second), quicktest.Equals, c.stopsIn, quicktest.Commentf(c.name))
		})
	}
}

// TestOldCommitMarksAreDropped fails if the commits of a long lease term accumulate in memory.
func TestOldCommitMarksAreDropped(t *testing.T) {
	var m commitMarks
	begin := time.Now()
	for n := range int64(3 * maxCommitMarks) {
		m.add(n, begin.Add(time.Duration(n)))
	}
	quicktest.Check(t, m, quicktest.HasLen, maxCommitMarks)
	quicktest.Check(t, m.writtenAfter(2*maxCommitMarks), quicktest.Equals, time.Time{})
	quicktest.Check(t, m.writtenAfter(2*maxCommitMarks+1), quicktest.Equals, begin.Add(2*maxCommitMarks))
	quicktest.Check(t, m.writtenAfter(9*maxCommitMarks), quicktest.Equals, begin.Add(3*maxCommitMarks-1))
}
