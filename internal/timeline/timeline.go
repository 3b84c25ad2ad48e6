// Package timeline records what happens in a box as events that can be merged over all boxes in the order of cause.
package timeline

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"
)

// Stamp is a reading of a hybrid logical clock: wall time that never runs backwards past a cause, and a count for
// events within one reading.
type Stamp struct {
	Wall  int64  `json:"wall" cbor:"1,keyasint"` // Unix nanoseconds.
	Count uint32 `json:"count" cbor:"2,keyasint"`
}

// Compare orders stamps.
func (s Stamp) Compare(o Stamp) int {
	return cmp.Or(cmp.Compare(s.Wall, o.Wall), cmp.Compare(s.Count, o.Count))
}

// Clock is a hybrid logical clock; the zero value is ready to use.
type Clock struct {
	mu   sync.Mutex
	last Stamp
}

// Now returns a stamp after every stamp returned or observed before.
func (c *Clock) Now() Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	wall := time.Now().UnixNano()
	if wall > c.last.Wall {
		c.last = Stamp{Wall: wall}
	} else {
		c.last.Count++
	}
	return c.last
}

// Observe makes later stamps of this clock come after one that arrived from elsewhere.
func (c *Clock) Observe(s Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Compare(c.last) > 0 {
		c.last = s
	}
}

// Event is one thing that happened in one box.
type Event struct {
	Stamp   Stamp  `json:"stamp"`
	Box     string `json:"box"`
	Part    string `json:"part"` // Part of the box, such as hall or settlement.
	Hall    string `json:"hall,omitempty"`
	Job     string `json:"job,omitempty"` // Caller and id of the job or request.
	Attempt string `json:"attempt,omitempty"`
	Text    string `json:"text"`
}

// Recorder keeps the latest events of a box in bounded memory.
type Recorder struct {
	Clock Clock
	Box   string
	Most  int // Events kept; 0 means a thousand.

	mu     sync.Mutex
	events []Event
	next   int
}

// defaultMost is the number of events that a zero Recorder keeps.
const defaultMost = 1000

// Add stamps an event and keeps it.
func (r *Recorder) Add(e Event) {
	e.Box = r.Box
	e.Stamp = r.Clock.Now()
	most := r.Most
	if most == 0 {
		most = defaultMost
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.events) < most {
		r.events = append(r.events, e)
		return
	}
	r.events[r.next] = e
	r.next = (r.next + 1) % most
}

// Events returns the events kept, oldest first; a job that is not empty leaves the others out.
func (r *Recorder) Events(job string) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []Event
	for _, e := range r.events {
		if job == "" || e.Job == job || strings.HasSuffix(e.Job, "/"+job) {
			list = append(list, e)
		}
	}
	return Merge(list)
}

// Merge puts the events of several boxes into one order.
func Merge(lists ...[]Event) []Event {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, func(a, b Event) int { return cmp.Or(a.Stamp.Compare(b.Stamp), cmp.Compare(a.Box, b.Box)) })
	return all
}
