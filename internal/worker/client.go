package worker

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/wire"
	"github.com/pulleyring/pulleyring/pkg/contract"
)

// Client sends commands to workers over HTTP.
type Client struct {
	HTTP *http.Client
}

// Hold implements Service.
func (c *Client) Hold(ctx context.Context, w contract.Worker, order Order) error {
	return mapRefusal(wire.Post(ctx, c.HTTP, baseURL(w)+"/hold", order, nil))
}

// Step implements Service.
func (c *Client) Step(ctx context.Context, w contract.Worker, verb Verb, attempt string, lease time.Duration) (Task, error) {
	body := struct {
		Attempt string `json:"attempt"`
		LeaseMS int64  `json:"lease_ms"`
	}{attempt, lease.Milliseconds()}
	var task Task
	err := wire.Post(ctx, c.HTTP, baseURL(w)+"/"+string(verb), body, &task)
	return task, mapRefusal(err)
}

// Renew implements Service.
func (c *Client) Renew(ctx context.Context, w contract.Worker, renewal Renewal) (Report, error) {
	var report Report
	err := wire.Post(ctx, c.HTTP, baseURL(w)+"/renew", renewal, &report)
	return report, mapRefusal(err)
}

func baseURL(w contract.Worker) string { return w.Address + "/workers/" + w.Name }

// mapRefusal maps HTTP status 409, by which a worker refuses a command, to ErrRefused.
func mapRefusal(err error) error {
	var statusErr *wire.StatusError
	if errors.As(err, &statusErr) && statusErr.Status == http.StatusConflict {
		return errors.Wrap(ErrRefused, statusErr.Text)
	}
	return err
}
