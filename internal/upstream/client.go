package upstream

import (
	"context"
	"net"
	"net/http"

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
	return answer, classify(err)
}

// Fence implements Service.
func (c *Client) Fence(ctx context.Context, u contract.Upstream, attempt string) (Fate, Answer, error) {
	body := struct {
		Attempt string `json:"attempt"`
	}{attempt}
	var reply struct {
		Fate   Fate   `json:"fate"`
		Answer Answer `json:"answer"`
	}
	err := wire.Post(ctx, c.HTTP, base(u)+"/fence", body, &reply)
	return reply.Fate, reply.Answer, err
}

func base(u contract.Upstream) string { return u.Address + "/upstreams/" + u.Name }

// classify tells apart what surely did not run: a refused connection, or a status that says so.
func classify(err error) error {
	if err == nil {
		return nil
	}
	var status *wire.StatusError
	if errors.As(err, &status) {
		switch status.Status {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			return errors.Wrap(ErrNotRun, status.Text)
		case http.StatusInternalServerError:
			return errors.Wrap(ErrFailed, status.Text)
		}
		return err
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errors.Wrap(ErrNotRun, "no connection")
	}
	return err
}
