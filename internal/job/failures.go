package job

// failureCounter counts each failed run once, however often its end is reported. It records which runs have
// failed, and is loaded from the stored progress after a takeover. Boxes of an earlier version stored only the
// number of failed runs, not which. After a takeover from such a box, a failed inherited run is counted only if
// more inherited runs are known to have failed than that box had counted. The zero value is ready for use.
type failureCounter struct {
	knownFailed map[failedRun]bool
	inherited   []inheritedRuns // By task index; nil for a job without stored progress.
}

// maxStoredFailedRuns is the maximum number of failed runs of a job that are listed in the store. With the
// longest run numbers they take 20 KB of a row of 64 KiB. Beyond the limit only the number of failures is
// stored, as by earlier versions.
const maxStoredFailedRuns = 4096

// failedRun identifies a failed run by the index of its task in the progress and the number of the run. Runs of
// all members of a gang have the index of its first task.
type failedRun struct {
	taskIndex, run int
}

// inheritedRuns describes the runs of a task that were started before the progress was read from the store and
// were no longer tracked then.
type inheritedRuns struct {
	lastRun int // Number of the last of these runs.
	counted int // Number of them counted as failed by then.
}

// loadFailures initializes the failure counter from stored progress.
func (l *Tracker) loadFailures() {
	l.failures.inherited = make([]inheritedRuns, len(l.Progress.Tasks))
	for i := range l.Progress.Tasks {
		p := &l.Progress.Tasks[i]
		last := p.Run
		if p.State == Placed {
			last-- // The last run is still tracked.
		}
		l.failures.inherited[i] = inheritedRuns{last, p.Failures}
	}
	l.loadFailedRuns()
	for i, run := range l.Progress.GangRuns { // The last counted run of a gang is known to have failed.
		g := Group{i / len(l.Request.Steps), i % len(l.Request.Steps)}
		if !l.Request.Steps[g.Step].Gang {
			continue
		}
		first := l.firstTaskIndex(g)
		l.failures.inherited[first].lastRun = run
		if run > 0 {
			l.failures.markFailed(failedRun{first, run})
		}
	}
}

// loadFailedRuns loads the stored failed runs. A list longer than the task's count of failures belongs to an
// earlier job of the same name and is discarded.
func (l *Tracker) loadFailedRuns() {
	for index, runs := range l.Progress.FailedRuns {
		if index < 0 || index >= len(l.Progress.Tasks) || len(runs) > l.Progress.Tasks[index].Failures {
			delete(l.Progress.FailedRuns, index)
			continue
		}
		for _, run := range runs {
			l.failures.markFailed(failedRun{index, run})
		}
	}
}

// firstTaskIndex returns the index of a group's first task in the progress.
func (l *Tracker) firstTaskIndex(g Group) int {
	return g.Occurrence*l.tasksPerOccurrence + l.stepOffsets[g.Step]
}

// markFailed records that a run has failed, without counting it.
func (f *failureCounter) markFailed(r failedRun) {
	if f.knownFailed == nil {
		f.knownFailed = map[failedRun]bool{}
	}
	f.knownFailed[r] = true
}

// markFailedIfNew records that a run has failed. It reports whether the run is certainly new, that is, not counted
// before.
func (f *failureCounter) markFailedIfNew(r failedRun) bool {
	if f.knownFailed[r] {
		return false
	}
	f.markFailed(r)
	if r.taskIndex >= len(f.inherited) || r.run > f.inherited[r.taskIndex].lastRun {
		return true
	}
	return f.inheritedFailures(r.taskIndex) > f.inherited[r.taskIndex].counted
}

// inheritedFailures returns how many of a task's inherited runs are known to have failed.
func (f *failureCounter) inheritedFailures(index int) int {
	n := 0
	for r := range f.knownFailed {
		if r.taskIndex == index && r.run <= f.inherited[index].lastRun {
			n++
		}
	}
	return n
}

// countFailure counts a failed run unless it was counted before, and reports whether it counted it. A failed run
// of a gang counts once, whichever members report it.
func (l *Tracker) countFailure(t Task, run int) bool {
	g := Group{t.Occurrence, t.Step}
	if l.Request.Steps[g.Step].Lasting {
		return false
	}
	index := l.firstTaskIndex(g)
	if l.Request.Steps[g.Step].Gang {
		last := &l.Progress.GangRuns[g.Occurrence*len(l.Request.Steps)+g.Step]
		*last = max(*last, run)
	} else {
		index += t.Index
	}
	if !l.failures.markFailedIfNew(failedRun{index, run}) {
		return false
	}
	l.storeFailedRun(index, run)
	p := &l.Progress.Tasks[index]
	p.Failures++
	if p.Failures >= max(l.Request.Terms.Attempts, 1) && !l.Progress.State.Final() {
		l.setFailed(t, FailedTooOften, p.Failures)
	}
	return true
}

// storeFailedRun adds a counted run to the progress, up to maxStoredFailedRuns.
func (l *Tracker) storeFailedRun(index, run int) {
	if l.Progress.FailedRuns.Total() >= maxStoredFailedRuns {
		return
	}
	if l.Progress.FailedRuns == nil {
		l.Progress.FailedRuns = FailedRuns{}
	}
	l.Progress.FailedRuns[index] = append(l.Progress.FailedRuns[index], run)
}
