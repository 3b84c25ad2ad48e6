// Package object is the platform's object store as the boxes see it; large answers and checkpoints are kept there.
package object

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/wire"
)

// ErrAbsent says that there is no such object.
var ErrAbsent = errors.New("object: absent")

// maxBytes bounds one object.
const maxBytes = 64 << 20

// Store is the object store; implementations are the HTTP client and the stand-in.
type Store interface {
	// Put writes an object whole; writing the same again changes nothing.
	Put(ctx context.Context, key string, raw []byte) error
	// Get returns an object or ErrAbsent.
	Get(ctx context.Context, key string) ([]byte, error)
}

// PutLarge keeps an answer that is larger than what a row takes in the store and returns its key, or an empty key
// where it stays in the row.
func PutLarge(ctx context.Context, s Store, owner string, answer []byte, inRow int) (key string, err error) {
	if len(answer) <= inRow {
		return "", nil
	}
	key = "answer/" + owner
	return key, s.Put(ctx, key, answer)
}

// Client speaks to the object store over HTTP.
type Client struct {
	Base string // Base URL, http://IP:port.
	HTTP *http.Client
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, key string, raw []byte) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, c.Base+"/objects/"+key, bytes.NewReader(raw))
	if err != nil {
		return errors.Wrap(err, "object: unable to build a request")
	}
	return errors.Wrap(wire.Do(c.HTTP, req, nil), "object: unable to put")
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.Base+"/objects/"+key, nil)
	if err != nil {
		return nil, errors.Wrap(err, "object: unable to build a request")
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "object: unable to get")
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotFound {
		return nil, ErrAbsent
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("object: status %d", resp.StatusCode)
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxBytes))
	return raw, errors.Wrap(err, "object: unable to read")
}
