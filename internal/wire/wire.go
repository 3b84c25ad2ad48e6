// Package wire sends JSON requests to the platform's services over HTTP and writes JSON replies.
// The platform clients of the boxes share it.
package wire

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

// maxReplyBytes is the maximum number of bytes read from a reply.
const maxReplyBytes = 16 << 20

// maxErrorBytes is the maximum number of bytes of an error reply that StatusError.Text keeps.
const maxErrorBytes = 64 << 10

// StatusError is the error for a reply with a status other than 200.
type StatusError struct {
	Status int
	Text   string // Start of the reply's body.
}

// Error returns the status and the text of the reply.
func (e *StatusError) Error() string { return fmt.Sprintf("wire: status %d: %s", e.Status, e.Text) }

// Post sends body as JSON and decodes the JSON reply into reply, unless reply is nil.
// The error is a *StatusError if the server replies with a status other than 200.
func Post(ctx context.Context, client *http.Client, url string, body, reply any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "wire: unable to encode")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(raw))
	if err != nil {
		return errors.Wrap(err, "wire: unable to build a request")
	}
	req.Header.Set("Content-Type", "application/json")
	return Do(client, req, reply)
}

// Get fetches a JSON document and decodes it into reply, unless reply is nil.
// The error is a *StatusError if the server replies with a status other than 200.
func Get(ctx context.Context, client *http.Client, url string, reply any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrap(err, "wire: unable to build a request")
	}
	return Do(client, req, reply)
}

// Do sends a request and decodes the JSON reply into reply, unless reply is nil.
// The error is a *StatusError if the server replies with a status other than 200.
func Do(client *http.Client, req *http.Request, reply any) error {
	resp, err := client.Do(req)
	if err != nil {
		return errors.Wrap(err, "wire: unable to send")
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return errors.Wrap(err, "wire: unable to read the reply")
	}
	if resp.StatusCode != http.StatusOK {
		text := strings.TrimSpace(string(raw[:min(len(raw), maxErrorBytes)]))
		return &StatusError{Status: resp.StatusCode, Text: text}
	}
	if reply == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(raw, reply), "wire: unable to decode")
}

// Reply writes value as a JSON response with the given status.
func Reply(w http.ResponseWriter, status int, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		http.Error(w, "unable to encode the reply", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw) // An error means that the client closed the connection.
}
