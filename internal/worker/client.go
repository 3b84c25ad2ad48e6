package worker

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/wire"
	"github.com/pulleyring/pulleyring/pkg/contract"
)

// Client speaks to workers over HTTP.
type Client struct {
	HTTP *http.Client
}

// Hold implements Service.
func (c *Client) Hold(ctx context.Context, w contract.Worker, order Order) error {
	return refusal(wire.Post(ctx, c.HTTP, base(w)+"/hold", order, nil))
}

// Step implements Service.
func (c *Client) Step(ctx context.Context, w contract.Worker, verb Verb, attempt string, lease time.Duration) (Task, error) {
	body := struct {
		Attempt string `json:"attempt"`
		LeaseMS int64  `json:"lease_ms"`
	}{attempt, lease.Milliseconds()}
	var task Task
	err := wire.Post(ctx, c.HTTP, base(w)+"/"+string(verb), body, &task)
	return task, refusal(err)
}

// Renew implements Service.
func (c *Client) Renew(ctx context.Context, w contract.Worker, renewal Renewal) (Report, error) {
	var report Report
	err := wire.Post(ctx, c.HTTP, base(w)+"/renew", renewal, &report)
	return report, refusal(err)
}

func base(w contract.Worker) string { return w.Address + "/workers/" + w.Name }

// refusal turns the status that means "surely not done" into ErrRefused.
func refusal(err error) error {
	var status *wire.StatusError
	if errors.As(err, &status) && status.Status == http.StatusConflict {
		return errors.Wrap(ErrRefused, status.Text)
	}
	return err
}
