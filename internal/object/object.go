// Package object accesses the platform's object store, which holds large answers and checkpoints.
package object

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/wire"
)

// ErrNotFound is returned for an object that does not exist.
var ErrNotFound = errors.New("object: absent")

// maxObjectBytes is the maximum number of bytes that Get reads of an object; the rest is cut off.
const maxObjectBytes = 64 << 20

// Store is an object store. Client implements it over HTTP; the stand-in platform implements it for tests.
type Store interface {
	// Put writes a whole object. Writing the same bytes again has no effect.
	Put(ctx context.Context, key string, raw []byte) error
	// Get returns an object, or ErrNotFound if it does not exist.
	Get(ctx context.Context, key string) ([]byte, error)
}

// PutLarge stores an answer of more than maxRowBytes bytes and returns its key. It returns an empty key for a smaller
// answer, which the caller keeps in the table row.
func PutLarge(ctx context.Context, s Store, owner string, answer []byte, maxRowBytes int) (key string, err error) {
	if len(answer) <= maxRowBytes {
		return "", nil
	}
	key = "answer/" + owner
	return key, s.Put(ctx, key, answer)
}

// Client is a Store that accesses the object store over HTTP.
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
		return nil, ErrNotFound
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("object: status %d", resp.StatusCode)
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxObjectBytes))
	return raw, errors.Wrap(err, "object: unable to read")
}
