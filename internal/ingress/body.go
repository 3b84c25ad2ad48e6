package ingress

import (
	"io"
	"math"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"
)

// Errors of ReadBody. Nothing of the request was done.
var (
	// ErrTooLarge means that the body exceeds its limit.
	ErrTooLarge = errors.New("ingress: the body is too large")
	// ErrBusy means that there is no memory for the body now.
	ErrBusy = errors.New("ingress: too many requests are being handled")
	// ErrTooSlow means that the body did not arrive in time.
	ErrTooSlow = errors.New("ingress: the body did not arrive in time")
	// ErrBroken means that the body ended early or is malformed.
	ErrBroken = errors.New("ingress: the body could not be read")
)

// Status returns the HTTP status for an error of ReadBody, and 0 for any other error. A client whose request is refused
// with 503 can send it again.
func Status(err error) int {
	switch {
	case errors.Is(err, ErrTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, ErrBusy):
		return http.StatusServiceUnavailable
	case errors.Is(err, ErrTooSlow):
		return http.StatusRequestTimeout
	case errors.Is(err, ErrBroken):
		return http.StatusBadRequest
	}
	return 0
}

// initialBody is the first size of the buffer for a body, in bytes. A declared length alone reserves no memory.
const initialBody = 4 << 10

const (
	// smallBody is the length of a body that is decoded at once, in bytes. Larger ones are decoded one after the other, so
	// that they leave memory and processor time to others. Decoding a small one is over before the next one begins, mostly,
	// and its memory is not counted.
	smallBody = 16 << 10
	// maxDecodeWait is how long a large body waits for others. A client that waits 3 s still has time to try another box.
	maxDecodeWait = time.Second
)

// ReadBody returns the body of a request, which has at most limit bytes. Its memory counts against the server's limit
// until the response is complete: expansion times its length, which is what decoding it may take, until Decoded is
// called. Large bodies with an expansion above 1 are decoded one after the other.
func ReadBody(w http.ResponseWriter, r *http.Request, limit, expansion int64) ([]byte, error) {
	c := connOf(r)
	if r.ContentLength > limit {
		return nil, c.refuseBody(reasonBody, ErrTooLarge)
	}
	raw, err := readAll(c, http.MaxBytesReader(w, r.Body, limit), r.ContentLength)
	if err != nil {
		return nil, err
	}
	if c == nil {
		return raw, nil
	}
	_ = c.Conn.SetReadDeadline(time.Time{}) // The time limit of the body must not end the wait for the response.
	if !c.pool.protect(c) {
		return nil, ErrBroken
	}
	if len(raw) <= smallBody || expansion <= 1 {
		return raw, nil
	}
	if !c.startDecoding() {
		return nil, c.refuseBody(reasonBusy, ErrBusy)
	}
	if !c.pool.charge(c, expansion*int64(len(raw))) {
		return nil, ErrBusy
	}
	return raw, nil
}

// readAll reads a body of a declared length, or of one that is not known if that is negative.
func readAll(c *conn, body io.Reader, length int64) ([]byte, error) {
	most := int64(math.MaxInt64)
	if length >= 0 {
		most = length + 1 // One byte more is room for the read that finds the end.
	}
	raw := make([]byte, 0, min(initialBody, most))
	for {
		if len(raw) == cap(raw) {
			size := min(2*int64(cap(raw)), most)
			if c != nil && !c.pool.charge(c, int64(cap(raw))+size) {
				return nil, ErrBusy
			}
			raw = append(make([]byte, 0, size), raw...)
		}
		n, err := body.Read(raw[len(raw):cap(raw)])
		raw = raw[:len(raw)+n]
		if int64(len(raw)) == most {
			return nil, ErrBroken
		}
		if err == io.EOF {
			return raw, nil
		}
		if err != nil {
			return nil, c.bodyError(err)
		}
	}
}

// bodyError returns the error of this package for an error of a read.
func (c *conn) bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return c.refuseBody(reasonBody, ErrTooLarge)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return c.refuseBody(reasonSlowBody, ErrTooSlow)
	}
	return ErrBroken
}

func (c *conn) refuseBody(reason string, err error) error {
	if c != nil {
		c.pool.count(reason)
	}
	return err
}

// Decoded tells that the body of a request is no longer in use, and that what was decoded from it holds this many
// bytes until the response is complete.
func Decoded(r *http.Request, bytes int) {
	if c := connOf(r); c != nil {
		c.endDecoding()
		c.pool.charge(c, int64(bytes)) // It is less than before, so that there is room.
	}
}
