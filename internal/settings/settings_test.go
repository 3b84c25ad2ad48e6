package settings

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/ingress"
)

// TestIngress fails if a limit of clients can't be set, or does not follow from the machine's size where it is not.
func TestIngress(t *testing.T) {
	l := &Limits{}
	quicktest.Check(t, l.Ingress(false), quicktest.Equals, ingress.MachineLimits(0, 0))
	l = &Limits{MemoryMB: 1048, Descriptors: 16384}
	quicktest.Check(t, l.Ingress(false), quicktest.Equals, ingress.MachineLimits(1048, 16384))
	quicktest.Check(t, l.Ingress(true).Connections < l.Ingress(false).Connections, quicktest.IsTrue)
	want := ingress.Limits{
		Connections: 7, Bytes: 3 << 20, HeaderBytes: 5000, HeaderLines: 20, HeaderTime: time.Millisecond,
		BodyTime: 2 * time.Millisecond, WriteTime: 3 * time.Millisecond, IdleTime: 4 * time.Millisecond, MinAge: ingress.MachineLimits(0, 0).MinAge,
	}
	l = &Limits{Clients: want, ClientMemoryMB: 3}
	for _, overTLS := range []bool{false, true} {
		quicktest.Check(t, l.Ingress(overTLS), quicktest.Equals, want)
	}
}
