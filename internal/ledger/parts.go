package ledger

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/internal/store"
)

// requestParts is the number of parts that requests are spread over: a part works off one transaction after the other,
// and when the store is slow one part takes only three or four a second.
const requestParts = 8

// Parts can be out one by one. A job's request and cancellation then go to another part: partsTried in all, partStep apart.
const (
	partsTried = 3
	partStep   = 3
)

// homePart is the part of the store with a job's request and cancellation, unless that part was out.
func (l *Ledger) homePart(id job.ID) string { return l.partsFor(id)[0] }

// partsFor are the parts that may have a job's request and cancellation, the first one usually.
func (l *Ledger) partsFor(id job.ID) [partsTried]string {
	home := int(xxhash.Sum64String(string(id)) % requestParts)
	var parts [partsTried]string
	for n := range parts {
		parts[n] = l.partOf((home + n*partStep) % requestParts)
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

// inParts tries a write in one part after the other until one takes it. Where none does it may have taken effect only if
// some try got no answer.
func (l *Ledger) inParts(id job.ID, write func(part string) (out bool, err error)) error {
	failed := store.ErrRefused
	for _, part := range l.partsFor(id) {
		out, err := write(part)
		if err == nil || !isNoAnswer(err) && !errors.Is(err, store.ErrRefused) {
			return err
		}
		if isNoAnswer(err) {
			failed = err
		}
		if !out {
			break
		}
	}
	return failed
}

func isNoAnswer(err error) bool { return errors.Is(err, store.ErrUnknown) }

// away returns a part if it is not the first one of a job.
func (l *Ledger) away(id job.ID, part string) string {
	if part == l.homePart(id) {
		return ""
	}
	return part
}
