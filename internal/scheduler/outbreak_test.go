package scheduler

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

func TestProofsCountInTheirOutbreakAfterTheLastFailure(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	var o outbreak
	var p proofs
	o.failed(at(10), at(10))
	p.take(&o, at(9))
	quicktest.Check(t, p.count, quicktest.Equals, 0, quicktest.Commentf("it began before"))
	p.take(&o, at(11))
	p.take(&o, at(12))
	quicktest.Check(t, p.count, quicktest.Equals, 2)
	p.failedAtOnce(at(13))
	p.take(&o, at(12))
	quicktest.Check(t, p.count, quicktest.Equals, 0, quicktest.Commentf("the worker has failed a run since"))
	p.take(&o, at(14))
	quicktest.Check(t, p.count, quicktest.Equals, 1)
	o.failed(at(40), at(40))
	p.take(&o, at(41))
	quicktest.Check(t, p.count, quicktest.Equals, 1, quicktest.Commentf("another outbreak begins with none"))
}
