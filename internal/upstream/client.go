package upstream

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/wire"
	"github.com/pulleyring/pulleyring/pkg/contract"
)

// Client sends calls to executors over HTTP.
type Client struct {
	HTTP *http.Client
}

// Run implements Service.
func (c *Client) Run(ctx context.Context, u contract.Upstream, call Call) (Answer, error) {
	var answer Answer
	err := wire.Post(ctx, c.HTTP, baseURL(u)+"/run", call, &answer)
	return answer, classify(err, call.Attempt)
}

// Fence implements Service.
func (c *Client) Fence(ctx context.Context, u contract.Upstream, attempt string, age time.Duration) (Fate, Answer, error) {
	body := struct {
		Attempt string `json:"attempt"`
		AgeMS   int64  `json:"age_ms"`
	}{attempt, age.Milliseconds()}
	var reply struct {
		Fate   Fate   `json:"fate"`
		Answer Answer `json:"answer"`
	}
	err := wire.Post(ctx, c.HTTP, baseURL(u)+"/fence", body, &reply)
	return reply.Fate, reply.Answer, err
}

func baseURL(u contract.Upstream) string { return u.Address + "/upstreams/" + u.Name }

// classify maps an error to ErrNotRun if no connection was established or the executor refused the call, and to
// ErrFailed if the executor reports that the call failed. After any other error the call may have run.
func classify(err error, attempt string) error {
	if err == nil {
		return nil
	}
	var statusErr *wire.StatusError
	if errors.As(err, &statusErr) {
		return classifyStatus(statusErr, attempt)
	}
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return errors.Wrap(ErrNotRun, "no connection")
	}
	return err
}

// classifyStatus maps an HTTP status to ErrNotRun or ErrFailed only if the body names the attempt. Any other body may
// come from a proxy, which sends the same statuses, even after it has forwarded the call to the executor.
func classifyStatus(statusErr *wire.StatusError, attempt string) error {
	var reply struct {
		Attempt string `json:"attempt"`
		Problem string `json:"problem"`
	}
	if json.Unmarshal([]byte(statusErr.Text), &reply) != nil || reply.Attempt != attempt {
		return statusErr
	}
	switch statusErr.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return errors.Wrap(ErrNotRun, reply.Problem)
	case http.StatusInternalServerError:
		return errors.Wrap(ErrFailed, reply.Problem)
	}
	return statusErr
}
