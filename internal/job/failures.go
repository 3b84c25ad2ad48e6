package job

// failures is which runs are known to have failed, so that each counts once, however often and whenever its end is heard of, and whichever box
// counted the others. Where a box of a version that doesn't keep them has counted some, the progress tells how many, not which: of the runs before a
// take-over one more is counted only once more of them are known than were counted by then. The zero value knows none.
type failures struct {
	known   map[failedRun]bool
	earlier []earlierRuns // By the task's place; nil for a job that nothing had happened to.
}

// keptFailedRuns bounds the runs whose numbers are kept for a successor: with the longest numbers they take 20 KB of a row of 64 KiB. A queue that allows so many
// failures loses the others at a take-over, as where they are not kept at all.
const keptFailedRuns = 4096

// failedRun names a run by its task's place; the members of a gang share theirs, at the place of the first.
type failedRun struct {
	place, run int
}

// earlierRuns is the runs of a task of which the progress that was read tells how many are counted.
type earlierRuns struct {
	last    int // Number of the last of them.
	counted int
}

// takeFailures takes in what the progress that was read tells of the runs before.
func (l *Life) takeFailures() {
	l.failures.earlier = make([]earlierRuns, len(l.Progress.Tasks))
	for i := range l.Progress.Tasks {
		p := &l.Progress.Tasks[i]
		last := p.Run
		if p.State == Placed {
			last-- // It is followed on.
		}
		l.failures.earlier[i] = earlierRuns{last, p.Failures}
	}
	l.takeFailedRuns()
	for i, run := range l.Progress.GangRuns { // Of a gang the last one that was counted is known too.
		g := Group{i / len(l.Request.Steps), i % len(l.Request.Steps)}
		if !l.Request.Steps[g.Step].Gang {
			continue
		}
		first := l.firstOf(g)
		l.failures.earlier[first].last = run
		if run > 0 {
			l.failures.note(failedRun{first, run})
		}
	}
}

// takeFailedRuns takes in which runs are known to have failed. A list that is longer than what was counted is none of this job's: it was left behind by
// another one of its name.
func (l *Life) takeFailedRuns() {
	for place, runs := range l.Progress.FailedRuns {
		if place < 0 || place >= len(l.Progress.Tasks) || len(runs) > l.Progress.Tasks[place].Failures {
			delete(l.Progress.FailedRuns, place)
			continue
		}
		for _, run := range runs {
			l.failures.note(failedRun{place, run})
		}
	}
}

// firstOf is the place of a group's first task.
func (l *Life) firstOf(g Group) int { return g.Occurrence*l.size + l.offsets[g.Step] }

func (f *failures) note(r failedRun) {
	if f.known == nil {
		f.known = map[failedRun]bool{}
	}
	f.known[r] = true
}

// isNew notes that a run has failed and reports whether it surely is not counted yet.
func (f *failures) isNew(r failedRun) bool {
	if f.known[r] {
		return false
	}
	f.note(r)
	if r.place >= len(f.earlier) || r.run > f.earlier[r.place].last {
		return true
	}
	return f.knownBefore(r.place) > f.earlier[r.place].counted
}

// knownBefore is how many of a task's runs before the take-over are known to have failed.
func (f *failures) knownBefore(place int) int {
	n := 0
	for r := range f.known {
		if r.place == place && r.run <= f.earlier[place].last {
			n++
		}
	}
	return n
}

// countFailure counts a failed run once, of a gang once for all members of the run, and reports whether it did.
func (l *Life) countFailure(t Task, run int) bool {
	g := Group{t.Occurrence, t.Step}
	if l.Request.Steps[g.Step].Lasting {
		return false
	}
	place := l.firstOf(g)
	if l.Request.Steps[g.Step].Gang {
		last := &l.Progress.GangRuns[g.Occurrence*len(l.Request.Steps)+g.Step]
		*last = max(*last, run)
	} else {
		place += t.Index
	}
	if !l.failures.isNew(failedRun{place, run}) {
		return false
	}
	l.keepFailedRun(place, run)
	p := &l.Progress.Tasks[place]
	p.Failures++
	if p.Failures >= max(l.Request.Terms.Attempts, 1) && !l.Progress.State.Final() {
		l.fail(t, FailedTooOften, p.Failures)
	}
	return true
}

// keepFailedRun keeps the number of a run that is counted.
func (l *Life) keepFailedRun(place, run int) {
	if l.Progress.FailedRuns.Size() >= keptFailedRuns {
		return
	}
	if l.Progress.FailedRuns == nil {
		l.Progress.FailedRuns = FailedRuns{}
	}
	l.Progress.FailedRuns[place] = append(l.Progress.FailedRuns[place], run)
}
