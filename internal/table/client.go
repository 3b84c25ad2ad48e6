package table

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/wire"
)

// Client calls the table service over HTTP.
type Client struct {
	Base string // Base URL, http://IP:port.
	HTTP *http.Client
}

// Commit implements Service.
func (c *Client) Commit(ctx context.Context, txn Txn) (int64, error) {
	var reply struct {
		Revision int64 `json:"revision"`
	}
	err := c.call(ctx, http.MethodPost, "/table/commit", txn, &reply)
	if errors.Is(err, ErrUnavailable) && !namesTransaction(err, txn.ID) {
		return 0, errors.Wrap(ErrUnknown, err.Error())
	}
	return reply.Revision, err
}

// Read implements Service.
func (c *Client) Read(ctx context.Context, keys []string) ([]Row, error) {
	var reply struct {
		Rows []Row `json:"rows"`
	}
	body := struct {
		Keys []string `json:"keys"`
	}{keys}
	err := c.call(ctx, http.MethodPost, "/table/read", body, &reply)
	return reply.Rows, err
}

// Changes implements Service.
func (c *Client) Changes(ctx context.Context, prefix string, after int64, limit int) ([]Row, int64, error) {
	var reply struct {
		Rows     []Row `json:"rows"`
		Revision int64 `json:"revision"`
	}
	path := fmt.Sprintf("/table/changes?prefix=%s&after=%d&limit=%d", url.QueryEscape(prefix), after, limit)
	err := c.call(ctx, http.MethodGet, path, nil, &reply)
	return reply.Rows, reply.Revision, err
}

func (c *Client) call(ctx context.Context, method, path string, body, reply any) error {
	var err error
	if method == http.MethodGet {
		err = wire.Get(ctx, c.HTTP, c.Base+path, reply)
	} else {
		err = wire.Post(ctx, c.HTTP, c.Base+path, body, reply)
	}
	return classify(err)
}

// refusal is a response status (429 or 503) with which the service, or a proxy in front of it, refuses a request.
type refusal struct{ *wire.StatusError }

// Is reports that a refusal matches ErrUnavailable.
func (refusal) Is(target error) bool { return target == ErrUnavailable }

// namesTransaction reports whether err is a refusal whose body names the transaction. Only such a refusal comes from
// the table itself and proves that nothing was written: a proxy answers with the same statuses, even after it has
// forwarded the transaction.
func namesTransaction(err error, txn string) bool {
	var r refusal
	if !errors.As(err, &r) {
		return false
	}
	var body struct {
		Txn string `json:"txn"`
	}
	return json.Unmarshal([]byte(r.Text), &body) == nil && body.Txn == txn
}

// classify converts an HTTP error: status 409 to a *Conflict, 429 and 503 to a refusal (which matches
// ErrUnavailable). After any other error the request may have been applied, so it becomes ErrUnknown.
func classify(err error) error {
	if err == nil {
		return nil
	}
	var status *wire.StatusError
	if !errors.As(err, &status) {
		return errors.Wrap(ErrUnknown, err.Error())
	}
	switch status.Status {
	case http.StatusConflict:
		conflict := &Conflict{}
		if err := json.Unmarshal([]byte(status.Text), conflict); err != nil {
			return errors.Wrap(ErrUnknown, "conflict without keys")
		}
		return conflict
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return refusal{status}
	}
	return errors.Wrap(ErrUnknown, err.Error())
}
