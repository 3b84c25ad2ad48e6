// Package caller sends requests to boxes. If a box does not answer, it tries the next one. Each repeated submission
// of a request has a higher number: only a higher number may replace an outcome that is recorded as not run.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/interval"
	"github.com/pulleyring/pulleyring/pkg/request"
)

// Client sends requests to the boxes of a site as one caller or operator. Set the exported fields before use.
type Client struct {
	Boxes []string // Base URLs of the boxes, used in turn.
	Key   string   // Secret key, sent as a bearer token.
	HTTP  *http.Client

	next atomic.Uint64
}

// Limits of a client: the size of a reply, and the delay before a request is sent again.
const (
	maxReplyBytes = 64 << 20
	retryDelay    = 200 * time.Millisecond
)

// Failure is the error for a reply that refuses the request or can't be understood.
type Failure struct {
	Status  int
	Problem request.Problem
}

// Error returns the title and the findings of the problem.
func (f *Failure) Error() string { return f.Problem.Error() }

// Submit sends a request and returns the reply. The box may delay the reply by up to wait for the outcome of a gang.
// If a box does not answer, Submit tries the next one with a higher submission number.
// If ctx ends before a box answers, the outcome is request.Unresolved.
func (c *Client) Submit(ctx context.Context, id string, s request.Submission, wait time.Duration) (request.Reply, error) {
	reply, _, err := c.submit(ctx, id, s, wait, 1)
	return reply, err
}

// submit does the work of Submit, starting at submission number first. It also returns the last number used.
func (c *Client) submit(ctx context.Context, id string, s request.Submission, wait time.Duration, first int) (request.Reply, int, error) {
	raw, err := json.Marshal(s)
	if err != nil {
		return request.Reply{}, first, errors.Wrap(err, "caller: unable to encode")
	}
	for number := first; ; number++ {
		header := http.Header{}
		header.Set("Idempotency-Key", id)
		header.Set("Pulleyring-Submission", strconv.Itoa(number))
		setWait(header, wait)
		reply, err := c.sendForOutcome(ctx, http.MethodPost, "/v1/requests", header, raw)
		if err == nil || !unanswered(err) {
			return reply, number, err
		}
		if !waitToRetry(ctx) {
			return request.Reply{ID: id, Outcome: request.Unresolved, Reason: "no box answered"}, number, nil
		}
	}
}

// Ask returns the state of a request. The box may delay the reply by up to wait for a final outcome.
// If ctx ends before a box answers, the outcome is request.Unresolved.
func (c *Client) Ask(ctx context.Context, id string, wait time.Duration) (request.Reply, error) {
	for {
		header := http.Header{}
		setWait(header, wait)
		reply, err := c.sendForOutcome(ctx, http.MethodGet, "/v1/requests/"+url.PathEscape(id), header, nil)
		if err == nil || !unanswered(err) {
			return reply, err
		}
		if !waitToRetry(ctx) {
			return request.Reply{ID: id, Outcome: request.Unresolved, Reason: "no box answered"}, nil
		}
	}
}

// Settle submits a request and polls until its outcome is final or ctx ends. If the boxes don't know the request when
// polled, Settle submits it again with a higher submission number. It does not repeat a refused submission.
func (c *Client) Settle(ctx context.Context, id string, s request.Submission, wait time.Duration) (request.Reply, error) {
	reply, number, err := c.submit(ctx, id, s, wait, 1)
	for err == nil && !reply.Outcome.Final() {
		if !waitToRetry(ctx) {
			return reply, nil
		}
		next, askErr := c.Ask(ctx, id, wait)
		var failure *Failure
		if errors.As(askErr, &failure) && failure.Status == http.StatusNotFound {
			next, number, askErr = c.submit(ctx, id, s, wait, number+1)
		}
		reply, err = next, askErr
	}
	return reply, err
}

// Operate sends a request to a path for operators and returns the body of the reply.
// The error is a *Failure if the status is not 200.
func (c *Client) Operate(ctx context.Context, method, path string, header http.Header, body []byte) ([]byte, error) {
	status, raw, err := c.send(ctx, method, path, header, body)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, newFailure(status, raw)
	}
	return raw, nil
}

// setWait sets the Prefer header, which says how long the box may delay its reply.
func setWait(h http.Header, wait time.Duration) {
	if wait > 0 {
		h.Set("Prefer", "wait="+strconv.FormatFloat(wait.Seconds(), 'f', -1, 64))
	}
}

// waitToRetry waits for the retry delay and reports false if ctx ended first.
func waitToRetry(ctx context.Context) bool { return interval.Sleep(ctx, retryDelay) }

// unanswered reports whether err leaves the state of the request open, so that another box should be tried.
// Status 503 counts as unanswered: a box sends it, for example, while it has no configuration to identify callers with.
func unanswered(err error) bool {
	var f *Failure
	return !errors.As(err, &f) || f.Status == http.StatusServiceUnavailable
}

// sendForOutcome sends a request and decodes the reply. The error is a *Failure if the reply has no outcome.
func (c *Client) sendForOutcome(ctx context.Context, method, path string, header http.Header, body []byte) (request.Reply, error) {
	status, raw, err := c.send(ctx, method, path, header, body)
	if err != nil {
		return request.Reply{}, err
	}
	var reply request.Reply
	if err := json.Unmarshal(raw, &reply); err == nil && reply.Outcome != "" {
		return reply, nil
	}
	return request.Reply{}, newFailure(status, raw)
}

// newFailure returns a *Failure for a reply; its title names the status if the reply is not a problem document.
func newFailure(status int, raw []byte) error {
	f := &Failure{Status: status}
	if json.Unmarshal(raw, &f.Problem) != nil || f.Problem.Title == "" {
		f.Problem.Title = "the box answered with status " + strconv.Itoa(status)
	}
	return f
}

// send sends a request to the next box and returns the status and body of the reply.
func (c *Client) send(ctx context.Context, method, path string, header http.Header, body []byte) (int, []byte, error) {
	base := c.Boxes[int(c.next.Add(1))%len(c.Boxes)]
	req, err := http.NewRequestWithContext(ctx, method, base+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, errors.Wrap(err, "caller: unable to build a request")
	}
	for k, v := range header {
		req.Header[k] = v
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return 0, nil, errors.Wrap(err, "caller: the box did not answer")
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	return resp.StatusCode, raw, errors.Wrap(err, "caller: unable to read the reply")
}
