package queue

import (
	"slices"
	"time"
)

// Instructions is all that the operator has put in force, as of one moment.
type Instructions struct {
	Configuration *Configuration // nil for none yet.
	Emptied       []string       // Halls that get nothing new, sorted.
	Version       int64          // The store's newest version at that moment.
}

// Halls is which halls are emptied: nothing new starts there until the operator takes them back; what runs there runs on.
// The zero value knows nothing.
type Halls struct {
	Emptied []string  // Sorted.
	AsOf    time.Time // Nothing that the operator said before then is missing; zero before the first look.
}

// IsEmptied reports whether a hall is emptied.
func (h *Halls) IsEmptied(hall string) bool {
	_, found := slices.BinarySearch(h.Emptied, hall)
	return found
}

// AllEmptied reports whether each of some halls is emptied; false for none.
func (h *Halls) AllEmptied(halls []string) bool {
	return len(halls) > 0 && !slices.ContainsFunc(halls, func(hall string) bool { return !h.IsEmptied(hall) })
}
