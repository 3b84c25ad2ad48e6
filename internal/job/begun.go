package job

// Begun reports whether a run of the job is known to have begun.
func (l *Tracker) Begun() bool { return l.begun }

// RecordBegun records that a run of the job has begun on its worker, and reports whether that changed the progress.
func (l *Tracker) RecordBegun() bool {
	l.begun = true
	if l.Progress.State != Queued {
		return false
	}
	l.Progress.State = Running
	return true
}

// Requeue makes a running job queued again if none of its runs is known to have begun, and reports whether it did. Its
// placed runs may still begin.
func (l *Tracker) Requeue() bool {
	if l.begun || l.Progress.State != Running {
		return false
	}
	l.Progress.State = Queued
	return true
}

// DoubtBegun withdraws that a run has begun, which is assumed of a job that is stored as running, unless a task shows it.
func (l *Tracker) DoubtBegun() {
	l.begun = l.anyTask(func(t *TaskProgress) bool { return t.State == Finished || t.Failures > 0 || t.Saved != "" })
}

// CompleteInherited completes a job with stored progress if all of its tasks are finished, and reports whether it did.
// Boxes of earlier versions complete no job that they take over as queued.
func (l *Tracker) CompleteInherited(nowMS int64) bool {
	before := l.Progress.State
	l.updateState(nowMS)
	return l.Progress.State != before
}

// showsBeginning reports whether only a run that has begun can end with this outcome.
func (o Outcome) showsBeginning() bool { return o != NeverRan && o != Expired }
