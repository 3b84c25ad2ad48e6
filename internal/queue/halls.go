package queue

import (
	"slices"
	"time"
)

// Instructions are the operator's settings as of one moment.
type Instructions struct {
	Configuration *Configuration // nil if there is none yet.
	Emptied       []string       // Halls in which nothing new starts, sorted.
	Version       int64          // The store's latest version at that moment.
}

// Halls records which halls the operator has emptied. Nothing new starts there until the operator reopens them;
// runs that have started there continue. The zero value means that the operator's instructions were not read yet.
type Halls struct {
	Emptied []string  // Sorted.
	AsOf    time.Time // Time of the read: it includes every instruction given before. Zero before the first read.
}

// IsEmptied reports whether a hall is emptied.
func (h *Halls) IsEmptied(hall string) bool {
	_, found := slices.BinarySearch(h.Emptied, hall)
	return found
}

// AllEmptied reports whether all of the given halls are emptied; false for an empty list.
func (h *Halls) AllEmptied(halls []string) bool {
	return len(halls) > 0 && !slices.ContainsFunc(halls, func(hall string) bool { return !h.IsEmptied(hall) })
}
