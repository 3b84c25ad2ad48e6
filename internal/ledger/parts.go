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

// primaryPart returns the part to which a job's request and cancellation are written first. They are in another
// part only if this one was unavailable then.
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

// tryParts calls write for a job's parts, one after the other. It stops when a call succeeds, does not report
// its part as unavailable, or returns an error other than store.ErrUnknown and store.ErrRefused. If no call
// succeeded, the error is store.ErrUnknown if the outcome of any attempt is unknown, because its write may have
// taken effect. It is store.ErrRefused if all attempts were refused.
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
