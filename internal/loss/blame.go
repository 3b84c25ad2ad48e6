package loss

import "github.com/pulleyring/pulleyring/internal/job"

// blamedRuns returns, by run, whether its task may have crashed the lost worker. Runs that never started are
// excluded. Among the runs that had just started, those of the job with the highest counted losses are blamed.
// Older runs are blamed only if no run had just started, or if more losses count against their job. Of the
// older runs too, only those of the job with the highest counted losses are blamed.
//
// So a sound job beside one that crashes its workers is blamed for the first crash at most. Tasks of one job
// don't excuse each other, because each of them can fail the whole job. When they did, a task crashed its
// workers undetected for six starts because two others beside it were blamed.
func blamedRuns(runs []Run, neverStarted []bool) []bool {
	blamed := make([]bool, len(runs))
	var started []*Run
	for i := range runs {
		if !neverStarted[i] {
			started = append(started, &runs[i])
		}
	}
	highest := highestByJob(started)
	mostImmediate, mostOlder := mostBlamed(started, highest, true), mostBlamed(started, highest, false)
	for i := range runs {
		r := &runs[i]
		if neverStarted[i] {
			continue
		}
		counted := highest[r.Task.Job]
		switch {
		case r.isImmediate():
			blamed[i] = !countsMore(highest[mostImmediate.Task.Job], counted)
		case mostImmediate == nil || countsMore(highest[mostOlder.Task.Job], highest[mostImmediate.Task.Job]):
			blamed[i] = !countsMore(highest[mostOlder.Task.Job], counted)
		}
	}
	return blamed
}

// highestByJob returns for each job the highest losses that count against a single one of its tasks.
func highestByJob(runs []*Run) map[job.ID]job.Losses {
	highest := map[job.ID]job.Losses{}
	for _, r := range runs {
		if countsMore(r.LossesBefore, highest[r.Task.Job]) {
			highest[r.Task.Job] = r.LossesBefore
		}
	}
	return highest
}

// mostBlamed returns a run of the job with the highest counted losses; nil if there is none. It considers only
// the runs that had just started if immediate is set, and only the others if it is not.
func mostBlamed(runs []*Run, highest map[job.ID]job.Losses, immediate bool) *Run {
	var most *Run
	for _, r := range runs {
		if r.isImmediate() == immediate && (most == nil || countsMore(highest[r.Task.Job], highest[most.Task.Job])) {
			most = r
		}
	}
	return most
}

// countsMore reports whether the losses l weigh more against a task than the losses o.
func countsMore(l, o job.Losses) bool {
	if l.AtOnce != o.AtOnce {
		return l.AtOnce > o.AtOnce
	}
	return l.Counted > o.Counted
}
