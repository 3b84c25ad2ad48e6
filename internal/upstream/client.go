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

// Client speaks to executors over HTTP.
type Client struct {
	HTTP *http.Client
}

// Run implements Service.
func (c *Client) Run(ctx context.Context, u contract.Upstream, call Call) (Answer, error) {
	var answer Answer
	err := wire.Post(ctx, c.HTTP, base(u)+"/run", call, &answer)
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
	err := wire.Post(ctx, c.HTTP, base(u)+"/fence", body, &reply)
	return reply.Fate, reply.Answer, err
}

func base(u contract.Upstream) string { return u.Address + "/upstreams/" + u.Name }

// classify tells apart what surely did not run, or ran and failed: no connection was had, or the executor says so.
func classify(err error, attempt string) error {
	if err == nil {
		return nil
	}
	var status *wire.StatusError
	if errors.As(err, &status) {
		return classifyStatus(status, attempt)
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errors.Wrap(ErrNotRun, "no connection")
	}
	return err
}

// classifyStatus takes a status for the executor's word only where it comes with the name of the attempt: a proxy answers with the same
// ones, also after it has handed a call on.
func classifyStatus(status *wire.StatusError, attempt string) error {
	var reply struct {
		Attempt string `json:"attempt"`
		Problem string `json:"problem"`
	}
	if json.Unmarshal([]byte(status.Text), &reply) != nil || reply.Attempt != attempt {
		return status
	}
	switch status.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return errors.Wrap(ErrNotRun, reply.Problem)
	case http.StatusInternalServerError:
		return errors.Wrap(ErrFailed, reply.Problem)
	}
	return status
}
