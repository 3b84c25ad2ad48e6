package scheduler

import "time"

// maxCommitMarks is how many commits are kept. A lease term commits every 15 to 300 ms, and the records of workers
// are at most about 0.4 s old when read, so 64 commits cover that age.
const maxCommitMarks = 64

// commitMark is a commit of the lease term. Rows with a higher version in the store were written after the commit
// began.
type commitMark struct {
	version int64
	began   time.Time
}

// commitMarks lists the newest commits, oldest first. They bound the time at which a record was written by its
// version, more exactly than the feed of records does, which answers every 0.3 s.
type commitMarks []commitMark

// add appends a commit.
func (m *commitMarks) add(version int64, began time.Time) {
	if len(*m) >= maxCommitMarks {
		*m = append((*m)[:0], (*m)[1:]...)
	}
	*m = append(*m, commitMark{version, began})
}

// writtenAfter returns the time after which a row with the given version was written: the beginning of the newest
// commit with a lower version. It is zero if no such commit is known.
func (m commitMarks) writtenAfter(version int64) time.Time {
	for i := len(m) - 1; i >= 0; i-- {
		if m[i].version < version {
			return m[i].began
		}
	}
	return time.Time{}
}
