package loss

import "github.com/pulleyring/pulleyring/internal/job"

// accused marks the runs on a lost worker whose tasks may be to blame. Those that were spared are left out: they surely never began. Of those that had
// just begun they are those of the job with most counted against it before, and of the others too; but others answer beside those that had just begun
// only where more is counted against them. So a sound job that shares workers with one that crashes them is charged at its first crash at most, and not for
// the next ones. Tasks of one job don't excuse each other: it fails with any of them, and one went unnoticed for six starts beside two others that were
// charged for its crashes.
func accused(runs []Run, spared []bool) []bool {
	list := make([]bool, len(runs))
	var began []*Run
	for i := range runs {
		if !spared[i] {
			began = append(began, &runs[i])
		}
	}
	before := beforeOf(began)
	begun, others := mostCharged(began, before, true), mostCharged(began, before, false)
	for i := range runs {
		r := &runs[i]
		if spared[i] {
			continue
		}
		counted := before[r.Task.Job]
		switch {
		case r.atOnce():
			list[i] = !worse(before[begun.Task.Job], counted)
		case begun == nil || worse(before[others.Task.Job], before[begun.Task.Job]):
			list[i] = !worse(before[others.Task.Job], counted)
		}
	}
	return list
}

// beforeOf is the most that was counted against one task of each job.
func beforeOf(runs []*Run) map[job.ID]job.Losses {
	before := map[job.ID]job.Losses{}
	for _, r := range runs {
		if worse(r.Before, before[r.Task.Job]) {
			before[r.Task.Job] = r.Before
		}
	}
	return before
}

// mostCharged is a run of the job with most counted against it, of those that had just begun or of the others; nil for none.
func mostCharged(runs []*Run, before map[job.ID]job.Losses, atOnce bool) *Run {
	var most *Run
	for _, r := range runs {
		if r.atOnce() == atOnce && (most == nil || worse(before[r.Task.Job], before[most.Task.Job])) {
			most = r
		}
	}
	return most
}

// worse reports whether more is counted against one task than against another.
func worse(l, o job.Losses) bool {
	if l.AtOnce != o.AtOnce {
		return l.AtOnce > o.AtOnce
	}
	return l.Counted > o.Counted
}
