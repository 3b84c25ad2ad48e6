package standin

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/member"
	"github.com/pulleyring/pulleyring/internal/object"
)

// Objects implements the platform's object store in memory.
type Objects struct {
	Faults *FaultInjector

	mu      sync.Mutex
	objects map[string][]byte
}

// Put implements object.Store.
func (o *Objects) Put(_ context.Context, key string, raw []byte) error {
	if o.Faults.Get().ObjectsDown {
		return errors.New("standin: the object store is down")
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.objects == nil {
		o.objects = map[string][]byte{}
	}
	o.objects[key] = slices.Clone(raw)
	return nil
}

// Get implements object.Store.
func (o *Objects) Get(_ context.Context, key string) ([]byte, error) {
	if o.Faults.Get().ObjectsDown {
		return nil, errors.New("standin: the object store is down")
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	raw, ok := o.objects[key]
	if !ok {
		return nil, object.ErrNotFound
	}
	return raw, nil
}

// LiveList implements the platform's list of live and leaving boxes. Readers see it with a delay of Lag.
type LiveList struct {
	Lag    time.Duration // Age of the list that readers see.
	Expire time.Duration // Time without an announcement after which a box is removed; 0 means 10 s.

	mu      sync.Mutex
	history []listSnapshot
	boxes   map[string]announcement
}

// listSnapshot is the content of the list from one time until the next snapshot.
type listSnapshot struct {
	from  time.Time
	boxes []member.Entry
}

type announcement struct {
	member.Entry
	at time.Time
}

// defaultExpire is the time without an announcement after which a box is removed from the list.
const defaultExpire = 10 * time.Second

// Announce implements member.List.
func (l *LiveList) Announce(_ context.Context, entry member.Entry) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.boxes == nil {
		l.boxes = map[string]announcement{}
	}
	l.boxes[entry.Name] = announcement{entry, time.Now()}
	l.recordSnapshot()
	return nil
}

// recordSnapshot removes expired boxes, adds the current list to the history and removes snapshots older than any
// reader sees.
func (l *LiveList) recordSnapshot() {
	now := time.Now()
	expire := l.Expire
	if expire == 0 {
		expire = defaultExpire
	}
	var boxes []member.Entry
	for name, r := range l.boxes {
		if now.Sub(r.at) > expire {
			delete(l.boxes, name)
			continue
		}
		boxes = append(boxes, r.Entry)
	}
	slices.SortFunc(boxes, func(a, b member.Entry) int { return strings.Compare(a.Name, b.Name) })
	l.history = append(l.history, listSnapshot{now, boxes})
	for len(l.history) > 1 && !l.history[1].from.After(now.Add(-l.Lag)) {
		l.history = l.history[1:]
	}
}

// Boxes implements member.List.
func (l *LiveList) Boxes(_ context.Context) ([]member.Entry, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordSnapshot()
	seen := time.Now().Add(-l.Lag)
	var boxes []member.Entry
	for _, h := range l.history {
		if !h.from.After(seen) {
			boxes = h.boxes
		}
	}
	return boxes, nil
}
