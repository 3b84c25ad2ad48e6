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

// Objects is the platform's object store in memory.
type Objects struct {
	Faults *FaultBox

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
		return nil, object.ErrAbsent
	}
	return raw, nil
}

// LiveList is the platform's list of live and leaving boxes; it lags.
type LiveList struct {
	Lag    time.Duration // Age of what readers see.
	Expire time.Duration // Silence after which a box is dropped; 0 means ten seconds.

	mu      sync.Mutex
	history []listing
	boxes   map[string]registered
}

// listing is the list as it stood from an instant on.
type listing struct {
	from  time.Time
	boxes []member.Entry
}

type registered struct {
	member.Entry
	at time.Time
}

// defaultExpire is the silence after which a box is dropped from the list.
const defaultExpire = 10 * time.Second

// Announce implements member.List.
func (l *LiveList) Announce(_ context.Context, entry member.Entry) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.boxes == nil {
		l.boxes = map[string]registered{}
	}
	l.boxes[entry.Name] = registered{entry, time.Now()}
	l.snapshot()
	return nil
}

// snapshot adds the present list to the history and drops what no reader can see any more.
func (l *LiveList) snapshot() {
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
	l.history = append(l.history, listing{now, boxes})
	for len(l.history) > 1 && !l.history[1].from.After(now.Add(-l.Lag)) {
		l.history = l.history[1:]
	}
}

// Boxes implements member.List.
func (l *LiveList) Boxes(_ context.Context) ([]member.Entry, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.snapshot()
	seen := time.Now().Add(-l.Lag)
	var boxes []member.Entry
	for _, h := range l.history {
		if !h.from.After(seen) {
			boxes = h.boxes
		}
	}
	return boxes, nil
}
