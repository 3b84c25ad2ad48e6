package table

import (
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

// TestRefusalWithoutTransactionID guards against reporting a committed gang as not run. A proxy in front of the table
// answers with the same statuses as the table, even after it has forwarded the transaction. Only a refusal that names
// the transaction proves that nothing was written.
func TestRefusalWithoutTransactionID(t *testing.T) {
	for _, c := range []struct {
		name   string
		status int
		body   string
		want   error
	}{
		{"a proxy is busy", http.StatusServiceUnavailable, "no healthy upstream", ErrUnknown},
		{"a proxy limits", http.StatusTooManyRequests, "slow down", ErrUnknown},
		{"late, for another transaction", http.StatusServiceUnavailable, `{"txn":"u"}`, ErrUnknown},
		{"the table is out", http.StatusServiceUnavailable, `{"txn":"t"}`, ErrUnavailable},
		{"the table limits", http.StatusTooManyRequests, `{"txn":"t","problem":"over budget"}`, ErrUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(c.body))
			}))
			defer server.Close()
			client := &Client{Base: server.URL, HTTP: server.Client()}
			_, err := client.Commit(t.Context(), Txn{ID: "t"})
			qt.Assert(t, errors.Is(err, c.want), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}
