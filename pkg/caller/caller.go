// Package caller sends requests to boxes: it turns to another box where one does not answer, and counts submissions up
// so that what it is told stays true.
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

// Client speaks to the boxes of a site as one caller or operator. Fill in the exported fields before use.
type Client struct {
	Boxes []string // Base URLs; each call begins at the next one.
	Key   string
	HTTP  *http.Client

	next atomic.Uint64
}

// Limits of the client.
const (
	maxReplyBytes = 64 << 20
	pauseBetween  = 200 * time.Millisecond
)

// Failure is a reply that is neither an outcome nor an answer to a command.
type Failure struct {
	Status  int
	Problem request.Problem
}

// Error returns the title and the findings.
func (f *Failure) Error() string { return f.Problem.Error() }

// Submit sends a request and returns what its caller is told; wait is how long the box may hold the reply back for a
// gang's outcome. Where a box does not answer, the next one is asked under a higher submission number until ctx ends.
func (c *Client) Submit(ctx context.Context, id string, s request.Submission, wait time.Duration) (request.Reply, error) {
	reply, _, err := c.submit(ctx, id, s, wait, 1)
	return reply, err
}

// submit begins with a submission number and returns the last one that it used.
func (c *Client) submit(ctx context.Context, id string, s request.Submission, wait time.Duration, first int) (request.Reply, int, error) {
	raw, err := json.Marshal(s)
	if err != nil {
		return request.Reply{}, first, errors.Wrap(err, "caller: unable to encode")
	}
	for round := first; ; round++ {
		header := http.Header{}
		header.Set("Idempotency-Key", id)
		header.Set("Pulleyring-Submission", strconv.Itoa(round))
		setWait(header, wait)
		reply, err := c.outcome(ctx, http.MethodPost, "/v1/requests", header, raw)
		if err == nil || !unanswered(err) {
			return reply, round, err
		}
		if !pause(ctx) {
			return request.Reply{ID: id, Outcome: request.Unresolved, Reason: "no box answered"}, round, nil
		}
	}
}

// Ask returns what is known of a request, waiting up to wait for its outcome.
func (c *Client) Ask(ctx context.Context, id string, wait time.Duration) (request.Reply, error) {
	for {
		header := http.Header{}
		setWait(header, wait)
		reply, err := c.outcome(ctx, http.MethodGet, "/v1/requests/"+url.PathEscape(id), header, nil)
		if err == nil || !unanswered(err) {
			return reply, err
		}
		if !pause(ctx) {
			return request.Reply{ID: id, Outcome: request.Unresolved, Reason: "no box answered"}, nil
		}
	}
}

// Settle submits a request and asks until its outcome is final or ctx ends. Where the boxes know nothing of it after
// all, it is submitted again under a higher number; a refused submission is not.
func (c *Client) Settle(ctx context.Context, id string, s request.Submission, wait time.Duration) (request.Reply, error) {
	reply, round, err := c.submit(ctx, id, s, wait, 1)
	for err == nil && !reply.Outcome.Final() {
		if !pause(ctx) {
			return reply, nil
		}
		next, askErr := c.Ask(ctx, id, wait)
		var failure *Failure
		if errors.As(askErr, &failure) && failure.Status == http.StatusNotFound {
			next, round, askErr = c.submit(ctx, id, s, wait, round+1)
		}
		reply, err = next, askErr
	}
	return reply, err
}

// Operate sends a body to an operators' path and returns the raw reply.
func (c *Client) Operate(ctx context.Context, method, path string, header http.Header, body []byte) ([]byte, error) {
	status, raw, err := c.send(ctx, method, path, header, body)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, failure(status, raw)
	}
	return raw, nil
}

func setWait(h http.Header, wait time.Duration) {
	if wait > 0 {
		h.Set("Prefer", "wait="+strconv.FormatFloat(wait.Seconds(), 'f', -1, 64))
	}
}

func pause(ctx context.Context) bool { return interval.Sleep(ctx, pauseBetween) }

// unanswered reports whether no box said anything about the request; a box that can't tell callers apart yet has not.
func unanswered(err error) bool {
	var f *Failure
	return !errors.As(err, &f) || f.Status == http.StatusServiceUnavailable
}

func (c *Client) outcome(ctx context.Context, method, path string, header http.Header, body []byte) (request.Reply, error) {
	status, raw, err := c.send(ctx, method, path, header, body)
	if err != nil {
		return request.Reply{}, err
	}
	var reply request.Reply
	if err := json.Unmarshal(raw, &reply); err == nil && reply.Outcome != "" {
		return reply, nil
	}
	return request.Reply{}, failure(status, raw)
}

func failure(status int, raw []byte) error {
	f := &Failure{Status: status}
	if json.Unmarshal(raw, &f.Problem) != nil || f.Problem.Title == "" {
		f.Problem.Title = "the box answered with status " + strconv.Itoa(status)
	}
	return f
}

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
		return 0, nil, errors.Wrap(err, "caller: no answer")
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	return resp.StatusCode, raw, errors.Wrap(err, "caller: the answer broke off")
}
