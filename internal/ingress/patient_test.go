package ingress

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/measure"
	"go.uber.org/zap"
)

// TestWaitingRequestsLeave fails if requests that wait for an outcome keep new clients out, if the one that has waited
// for the longest time is not answered, or if more are than new clients need.
func TestWaitingRequestsLeave(t *testing.T) {
	var m measure.Metrics
	l := testLimits
	l.Connections = 4
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			ctx, leave := context.WithTimeout(r.Context(), time.Minute)
			defer leave()
			done := Patient(w, r, leave)
			<-ctx.Done()
			done()
		}
	})
	listener, err := Listen("127.0.0.1:0")
	quicktest.Assert(t, err, quicktest.IsNil)
	s := NewServer("test", l, handler, zap.NewNop(), &m)
	go func() { _ = s.Serve(listener) }()
	t.Cleanup(func() { _ = s.Close() })
	address := listener.Addr().String()
	answered := make(chan int, l.Connections)
	for n := range l.Connections {
		c := dial(t, address)
		_, err := c.Write([]byte("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n"))
		quicktest.Assert(t, err, quicktest.IsNil)
		go func() {
			one := make([]byte, 1)
			if _, err := c.Read(one); err == nil {
				answered <- n
			}
		}()
		time.Sleep(50 * time.Millisecond)
	}
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for range 2 {
		resp, err := client.Get("http://" + address + "/")
		quicktest.Assert(t, err, quicktest.IsNil)
		_ = resp.Body.Close()
		time.Sleep(50 * time.Millisecond)
	}
	quicktest.Check(t, <-answered, quicktest.Equals, 0)
	time.Sleep(100 * time.Millisecond)
	quicktest.Check(t, len(answered) <= 1, quicktest.IsTrue)
	quicktest.Check(t, m.CounterValue("test_"+reasonBusy), quicktest.Equals, int64(0))
}
