// Package incarnation identifies the incarnations of a worker. A worker's process may restart under the same name; it
// then has none of the runs and none of the state from before.
package incarnation

import (
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"go.uber.org/zap/zapcore"
)

// ID identifies an incarnation of a worker: one start of its process. The zero value identifies none.
type ID struct {
	Worker string // Name of the worker, the same for all of its incarnations.
	Born   int64  // Unix time in milliseconds at which the process started, by the worker's clock; 0 if not reported.
}

// relation is the relation of one incarnation to another.
type relation int

const (
	otherWorker relation = iota // The two are of different workers.
	same                        // The two are the same, or a start time that was not reported leaves it open.
	later
	earlier
)

// compare returns the relation of l to o. All comparisons of incarnations go through it. An incarnation whose
// start time was not reported may be any of its worker's.
func (l ID) compare(o ID) relation {
	switch {
	case l.Worker != o.Worker:
		return otherWorker
	case l.Born == o.Born || l.Born == 0 || o.Born == 0:
		return same
	case l.Born > o.Born:
		return later
	}
	return earlier
}

// Matches reports whether l and o are the same incarnation, or may be because a start time was not reported.
func (l ID) Matches(o ID) bool { return l.compare(o) == same }

// IsLaterThan reports whether l is a later incarnation of the same worker, so that o no longer runs.
func (l ID) IsLaterThan(o ID) bool { return l.compare(o) == later }

// String returns the incarnation for logs; the worker's name alone if the start time was not reported.
func (l ID) String() string {
	if l.Born == 0 {
		return l.Worker
	}
	return l.Worker + "@" + strconv.FormatInt(l.Born, 10)
}

const (
	// startSeparator separates a worker's name from the start time in stored rows. No worker's name contains it.
	startSeparator = "\x00"
	// startBase is the numeric base of the start time in stored rows. It keeps them short: the row of a job holds up
	// to 1,200 incarnations.
	startBase = 36
)

// encodedText returns the incarnation as stored in rows: the worker's name, followed by the start time if there is
// one. Rows written before start times existed hold the name alone.
func (l ID) encodedText() string {
	if l.Born == 0 && !strings.Contains(l.Worker, startSeparator) {
		return l.Worker
	}
	return l.Worker + startSeparator + strconv.FormatInt(l.Born, startBase)
}

// MarshalCBOR implements cbor.Marshaler.
func (l ID) MarshalCBOR() ([]byte, error) {
	raw, err := cbor.Marshal(l.encodedText())
	return raw, errors.Wrap(err, "incarnation: unable to encode an incarnation")
}

// UnmarshalCBOR implements cbor.Unmarshaler.
func (l *ID) UnmarshalCBOR(raw []byte) error {
	var text string
	if err := cbor.Unmarshal(raw, &text); err != nil {
		return errors.Wrap(err, "incarnation: unable to decode an incarnation")
	}
	at := strings.LastIndex(text, startSeparator)
	if at < 0 {
		*l = ID{Worker: text}
		return nil
	}
	born, err := strconv.ParseInt(text[at+len(startSeparator):], startBase, 64)
	*l = ID{Worker: text[:at], Born: born}
	return errors.Wrap(err, "incarnation: unable to decode a worker's start time")
}

// MarshalLogObject implements zapcore.ObjectMarshaler. It adds the worker's name, and the start time if it was
// reported.
func (l ID) MarshalLogObject(e zapcore.ObjectEncoder) error {
	e.AddString("worker", l.Worker)
	if l.Born != 0 {
		e.AddInt64("born", l.Born)
	}
	return nil
}
