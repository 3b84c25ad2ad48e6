// Package timeline records events of a box. The events of all boxes can be merged into one causal order.
package timeline

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"
)

// Stamp is a timestamp of a hybrid logical clock: the wall time, and a counter for events that share one wall time.
// The stamp of an event is always greater than the stamps of its causes.
type Stamp struct {
	Wall  int64  `json:"wall" cbor:"1,keyasint"` // Unix nanoseconds.
	Count uint32 `json:"count" cbor:"2,keyasint"`
}

// Compare returns -1, 0 or +1, as s is before, equal to or after o.
func (s Stamp) Compare(o Stamp) int {
	return cmp.Or(cmp.Compare(s.Wall, o.Wall), cmp.Compare(s.Count, o.Count))
}

// Clock is a hybrid logical clock; the zero value is ready to use.
type Clock struct {
	mu   sync.Mutex
	last Stamp
}

// Now returns a stamp that is greater than every stamp returned or observed before.
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

// Observe records a stamp received from another box, so that all later stamps of this clock are greater.
func (c *Clock) Observe(s Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Compare(c.last) > 0 {
		c.last = s
	}
}

// Event is one recorded event of a box.
type Event struct {
	Stamp   Stamp  `json:"stamp"`
	Box     string `json:"box"`
	Part    string `json:"part"` // Component of the box, such as hall or settlement.
	Hall    string `json:"hall,omitempty"`
	Job     string `json:"job,omitempty"` // Identity of the job or request, as caller/id.
	Attempt string `json:"attempt,omitempty"`
	Text    string `json:"text"`
}

// Recorder keeps the latest events of a box in a ring buffer.
type Recorder struct {
	Clock     Clock
	Box       string
	MaxEvents int // Maximum number of events kept; 0 means 1000.

	mu     sync.Mutex
	events []Event
	next   int // Index of the oldest event, overwritten next when the buffer is full.
}

// defaultMaxEvents is the maximum number of events of a Recorder that sets none.
const defaultMaxEvents = 1000

// Add sets the event's box and stamp and stores it. When the recorder is full, it overwrites the oldest event.
func (r *Recorder) Add(e Event) {
	e.Box = r.Box
	e.Stamp = r.Clock.Now()
	limit := r.MaxEvents
	if limit == 0 {
		limit = defaultMaxEvents
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.events) < limit {
		r.events = append(r.events, e)
		return
	}
	r.events[r.next] = e
	r.next = (r.next + 1) % limit
}

// Events returns the stored events, oldest first. If job is not empty, it returns only the events of that job;
// job is an id or caller/id.
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

// Merge returns the events of several boxes, ordered by stamp and then by box name.
func Merge(lists ...[]Event) []Event {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, func(a, b Event) int { return cmp.Or(a.Stamp.Compare(b.Stamp), cmp.Compare(a.Box, b.Box)) })
	return all
}
