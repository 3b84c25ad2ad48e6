package ledger

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/internal/store"
)

// requestPartCount is the number of parts over which requests are spread. A part executes one transaction at a
// time, and when the store is slow only three or four a second.
const requestPartCount = 8

// Single parts can be unavailable. A job's request or cancellation is then written to another part: partsPerJob in
// all, fallbackStride apart.
const (
	partsPerJob    = 3
	fallbackStride = 3
)

// primaryPart returns the part that holds a job's request and cancellation unless it was unavailable when they
// were written.
func (l *Ledger) primaryPart(id job.ID) string { return l.partsFor(id)[0] }

// partsFor returns the parts that may hold a job's request and cancellation, the primary part first.
func (l *Ledger) partsFor(id job.ID) [partsPerJob]string {
	primary := int(xxhash.Sum64String(string(id)) % requestPartCount)
	var parts [partsPerJob]string
	for n := range parts {
		parts[n] = l.partOf((primary + n*fallbackStride) % requestPartCount)
	}
	return parts
}

func (l *Ledger) partOf(n int) string { return l.Shard + "/" + strconv.Itoa(n) }

func requestKey(part string, id job.ID) store.Key {
	return store.Key{Table: tableJobs, Part: part, Name: string(id)}
}

func cancelKey(part string, id job.ID) store.Key {
	return store.Key{Table: tableJobs, Part: part, Name: string(id) + cancelSuffix}
}

// tryParts tries a write in each of a job's parts until one succeeds, or fails with an error for which other parts
// need not be tried. If all fail, the error is store.ErrUnknown if the outcome of any attempt is unknown, as the
// write may have taken effect; otherwise it is store.ErrRefused.
func (l *Ledger) tryParts(id job.ID, write func(part string) (unavailable bool, err error)) error {
	failed := store.ErrRefused
	for _, part := range l.partsFor(id) {
		unavailable, err := write(part)
		if err == nil || !isOutcomeUnknown(err) && !errors.Is(err, store.ErrRefused) {
			return err
		}
		if isOutcomeUnknown(err) {
			failed = err
		}
		if !unavailable {
			break
		}
	}
	return failed
}

func isOutcomeUnknown(err error) bool { return errors.Is(err, store.ErrUnknown) }

// fallbackPart returns part unless it is the job's primary part; then it returns an empty string.
func (l *Ledger) fallbackPart(id job.ID, part string) string {
	if part == l.primaryPart(id) {
		return ""
	}
	return part
}
