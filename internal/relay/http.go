package relay

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/store"
)

// URL paths of the calls between boxes.
const (
	pathCommit = "/v1/store/commit"
	pathRead   = "/v1/store/read"
	pathWatch  = "/v1/store/watch"
	pathCopy   = "/v1/store/copy"
)

const (
	// peerTimeout limits a call through another box. That box ends its own call to the store after 1.2 s.
	peerTimeout = 1400 * time.Millisecond
	// maxMessageBytes limits a request or a response. The store's transactions and pages have 1 MB at most.
	maxMessageBytes = 2 << 20
)

// watchRequest is the body of a call of Watch.
type watchRequest struct {
	Table string
	Since int64
	Wait  time.Duration
}

// commitReply is the answer to a call of Commit.
type commitReply struct {
	Version  int64
	Conflict *store.Conflict // Set if the conditions did not hold.
}

// HTTP calls other boxes over HTTP; it implements Network. Set Client before use.
type HTTP struct {
	Client *http.Client
}

// Peer implements Network.
func (h *HTTP) Peer(address string) store.Peer { return &peerClient{address, h.Client} }

// peerClient calls the store through another box; it implements store.Peer.
type peerClient struct {
	address string
	client  *http.Client
}

// Commit implements store.Store.
func (r *peerClient) Commit(ctx context.Context, tx *store.Transaction) (int64, error) {
	var answer commitReply
	if err := r.call(ctx, pathCommit, tx, &answer, 0); err != nil {
		return 0, err
	}
	if answer.Conflict != nil {
		return 0, answer.Conflict
	}
	return answer.Version, nil
}

// Read implements store.Store.
func (r *peerClient) Read(ctx context.Context, in store.Range) (page store.Page, err error) {
	err = r.call(ctx, pathRead, in, &page, 0)
	return page, err
}

// Watch implements store.Store.
func (r *peerClient) Watch(ctx context.Context, table string, since int64, wait time.Duration) (page store.Page, err error) {
	err = r.call(ctx, pathWatch, watchRequest{table, since, wait}, &page, wait)
	return page, err
}

// Copy implements store.Replica.
func (r *peerClient) Copy(ctx context.Context, q store.Query) (found store.Copy, err error) {
	err = r.call(ctx, pathCopy, q, &found, q.Wait)
	return found, err
}

// call sends a message and decodes the response into answer. It waits for at most wait plus peerTimeout. Errors of the
// network and of the other box are returned as those of package store.
func (r *peerClient) call(ctx context.Context, path string, message, answer any, wait time.Duration) error {
	raw, err := cbor.Marshal(message)
	if err != nil {
		return errors.Wrap(err, "relay: unable to encode the request")
	}
	ctx, cancel := context.WithTimeout(ctx, wait+peerTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.address+path, bytes.NewReader(raw))
	if err != nil {
		return errors.Wrap(err, "relay: unable to build the request")
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return transportError(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxMessageBytes))
	if err != nil {
		return errors.WithMessage(store.ErrUnknown, err.Error())
	}
	switch resp.StatusCode {
	case http.StatusOK:
		if err := cbor.Unmarshal(body, answer); err != nil {
			return errors.WithMessage(store.ErrUnknown, "relay: unable to decode the response of another box")
		}
		return nil
	case http.StatusServiceUnavailable:
		return store.ErrUnreachable
	case http.StatusBadRequest:
		return errors.WithMessage(store.ErrInvalid, "relay: the other box or the store refused the call")
	case http.StatusTooManyRequests:
		return errors.WithMessage(store.ErrRefused, "relay: the other box or the store refused the call")
	case http.StatusGone:
		return store.ErrHistoryGone
	}
	return errors.WithMessagef(store.ErrUnknown, "relay: another box answered with status %d", resp.StatusCode)
}

// transportError returns the error for a call without a response: store.ErrUnreachable if no connection was made, so
// that the call did nothing, and store.ErrUnknown otherwise.
func transportError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errors.WithMessage(store.ErrUnreachable, err.Error())
	}
	return errors.WithMessage(store.ErrUnknown, err.Error())
}

// Handler returns an HTTP handler through which other boxes call s.
func Handler(s store.Peer) http.Handler {
	mux := chi.NewRouter()
	mux.Post(pathCommit, func(w http.ResponseWriter, r *http.Request) {
		var tx store.Transaction
		if !decodeRequest(w, r, &tx) {
			return
		}
		version, err := s.Commit(r.Context(), &tx)
		var conflict *store.Conflict
		if errors.As(err, &conflict) {
			err = nil
		}
		writeReply(w, commitReply{version, conflict}, err)
	})
	mux.Post(pathRead, func(w http.ResponseWriter, r *http.Request) {
		var in store.Range
		if !decodeRequest(w, r, &in) {
			return
		}
		page, err := s.Read(r.Context(), in)
		writeReply(w, page, err)
	})
	mux.Post(pathWatch, func(w http.ResponseWriter, r *http.Request) {
		var in watchRequest
		if !decodeRequest(w, r, &in) {
			return
		}
		page, err := s.Watch(r.Context(), in.Table, in.Since, in.Wait)
		writeReply(w, page, err)
	})
	mux.Post(pathCopy, func(w http.ResponseWriter, r *http.Request) {
		var q store.Query
		if !decodeRequest(w, r, &q) {
			return
		}
		found, err := s.Copy(r.Context(), q)
		writeReply(w, found, err)
	})
	return mux
}

// decodeRequest decodes the body of a request. It reports whether that succeeded; otherwise it answers with status 400.
func decodeRequest(w http.ResponseWriter, r *http.Request, into any) bool {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxMessageBytes))
	if err == nil {
		err = cbor.Unmarshal(raw, into)
	}
	if err != nil {
		http.Error(w, "relay: the message can't be read", http.StatusBadRequest)
	}
	return err == nil
}

// writeReply sends an answer, or the HTTP status that stands for an error of package store.
func writeReply(w http.ResponseWriter, answer any, err error) {
	switch {
	case errors.Is(err, store.ErrUnreachable):
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	case errors.Is(err, store.ErrInvalid):
		http.Error(w, err.Error(), http.StatusBadRequest)
	case errors.Is(err, store.ErrRefused):
		http.Error(w, err.Error(), http.StatusTooManyRequests)
	case errors.Is(err, store.ErrHistoryGone):
		http.Error(w, err.Error(), http.StatusGone)
	case err != nil:
		http.Error(w, err.Error(), http.StatusGatewayTimeout)
	default:
		raw, err := cbor.Marshal(answer)
		if err != nil {
			http.Error(w, "relay: unable to encode an answer", http.StatusInternalServerError)
			return
		}
		_, _ = w.Write(raw) // The caller may have closed the connection.
	}
}
