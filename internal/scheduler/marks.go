package scheduler

import "time"

// marksKept is how many commits are remembered: a tenure commits every 15 to 300 ms, and news of workers is at most some 0.4 s old.
const marksKept = 64

// mark is a commit of the tenure: what the store gives a higher version was written after the commit was begun.
type mark struct {
	version int64
	began   time.Time
}

// marks are the newest commits, the oldest first. By them a record's version tells when it was written more closely than the times of the feed's answers do, which are 0.3 s apart.
type marks []mark

// add takes in a commit.
func (m *marks) add(version int64, began time.Time) {
	if len(*m) >= marksKept {
		*m = append((*m)[:0], (*m)[1:]...)
	}
	*m = append(*m, mark{version, began})
}

// before is the time after which what has a version was written: the begin of the newest commit with a lower one. It is zero where none is known.
func (m marks) before(version int64) time.Time {
	for i := len(m) - 1; i >= 0; i-- {
		if m[i].version < version {
			return m[i].began
		}
	}
	return time.Time{}
}
