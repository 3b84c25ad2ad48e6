package job

// failures is which runs are known to have failed, so that each counts once, however often and whenever its end is heard of. The progress keeps
// how many were counted, not which: of the runs before a take-over one more is counted only once more of them are known than were counted by then.
// The zero value knows none.
type failures struct {
	known   map[failedRun]bool
	earlier []earlierRuns // By the task's place; nil for a job that nothing had happened to.
}

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
	p := &l.Progress.Tasks[place]
	p.Failures++
	if p.Failures >= max(l.Request.Terms.Attempts, 1) && !l.Progress.State.Final() {
		l.fail(t, FailedTooOften, p.Failures)
	}
	return true
}
