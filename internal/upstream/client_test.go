package upstream

import (
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/pkg/contract"
)

// TestProxyStatusTakenForExecutorStatus guards against calls that run twice, or are reported as failed while they
// run. A proxy in front of an executor sends the same statuses as the executor, even after it has forwarded the
// call. Only an answer that names the attempt comes from the executor.
func TestProxyStatusTakenForExecutorStatus(t *testing.T) {
	for _, c := range []struct {
		name           string
		status         int
		body           string
		notRun, failed bool
	}{
		{"a proxy is busy", http.StatusServiceUnavailable, "no healthy upstream", false, false},
		{"a proxy limits", http.StatusTooManyRequests, "slow down", false, false},
		{"a proxy breaks", http.StatusInternalServerError, "internal error", false, false},
		{"late, for another call", http.StatusServiceUnavailable, `{"attempt":"b"}`, false, false},
		{"late, for another call that failed", http.StatusInternalServerError, `{"attempt":"b"}`, false, false},
		{"the executor refuses", http.StatusServiceUnavailable, `{"attempt":"a","problem":"full"}`, true, false},
		{"the executor limits", http.StatusTooManyRequests, `{"attempt":"a"}`, true, false},
		{"the executor failed", http.StatusInternalServerError, `{"attempt":"a"}`, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(c.body))
			}))
			defer server.Close()
			client := &Client{HTTP: server.Client()}
			_, err := client.Run(t.Context(), contract.Upstream{Name: "u", Address: server.URL}, Call{Attempt: "a"})
			qt.Assert(t, err, qt.IsNotNil)
			qt.Check(t, errors.Is(err, ErrNotRun), qt.Equals, c.notRun)
			qt.Check(t, errors.Is(err, ErrFailed), qt.Equals, c.failed)
		})
	}
}
