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

// Paths of the calls between boxes.
const (
	pathCommit = "/v1/store/commit"
	pathRead   = "/v1/store/read"
	pathWatch  = "/v1/store/watch"
	pathCopy   = "/v1/store/copy"
)

const (
	// peerTimeout bounds a call through another box: that box gives up its own call to the store after 1.2 s.
	peerTimeout = 1400 * time.Millisecond
	// maxMessageBytes bounds a message; the store's transactions and pages are of 1 MB at most.
	maxMessageBytes = 2 << 20
)

// watch is a wait for changes as it is sent between boxes.
type watch struct {
	Table string
	Since int64
	Wait  time.Duration
}

// committed is the answer to a transaction.
type committed struct {
	Version  int64
	Conflict *store.Conflict // Set where the conditions did not hold.
}

// HTTP reaches other boxes over HTTP; it implements Network. Fill in the client before use.
type HTTP struct {
	Client *http.Client
}

// Peer implements Network.
func (h *HTTP) Peer(address string) store.Peer { return &remote{address, h.Client} }

// remote is the store behind another box.
type remote struct {
	address string
	client  *http.Client
}

// Commit implements store.Store.
func (r *remote) Commit(ctx context.Context, tx *store.Transaction) (int64, error) {
	var answer committed
	if err := r.call(ctx, pathCommit, tx, &answer, 0); err != nil {
		return 0, err
	}
	if answer.Conflict != nil {
		return 0, answer.Conflict
	}
	return answer.Version, nil
}

// Read implements store.Store.
func (r *remote) Read(ctx context.Context, in store.Range) (page store.Page, err error) {
	err = r.call(ctx, pathRead, in, &page, 0)
	return page, err
}

// Watch implements store.Store.
func (r *remote) Watch(ctx context.Context, table string, since int64, wait time.Duration) (page store.Page, err error) {
	err = r.call(ctx, pathWatch, watch{table, since, wait}, &page, wait)
	return page, err
}

// Copy implements store.Replica.
func (r *remote) Copy(ctx context.Context, q store.Query) (found store.Copy, err error) {
	err = r.call(ctx, pathCopy, q, &found, q.Wait)
	return found, err
}

// call sends a message and decodes the answer; its errors are those of package store.
func (r *remote) call(ctx context.Context, path string, message, answer any, wait time.Duration) error {
	raw, err := cbor.Marshal(message)
	if err != nil {
		return errors.Wrap(err, "relay: unable to encode a call")
	}
	ctx, cancel := context.WithTimeout(ctx, wait+peerTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.address+path, bytes.NewReader(raw))
	if err != nil {
		return errors.Wrap(err, "relay: unable to build a call")
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return callError(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxMessageBytes))
	if err != nil {
		return errors.WithMessage(store.ErrUnknown, err.Error())
	}
	switch resp.StatusCode {
	case http.StatusOK:
		if err := cbor.Unmarshal(body, answer); err != nil {
			return errors.WithMessage(store.ErrUnknown, "relay: unable to decode an answer")
		}
		return nil
	case http.StatusServiceUnavailable:
		return store.ErrUnreachable
	case http.StatusTooManyRequests, http.StatusBadRequest:
		return errors.WithMessage(store.ErrRefused, "relay: the store refused another box")
	case http.StatusGone:
		return store.ErrHistoryGone
	}
	return errors.WithMessagef(store.ErrUnknown, "relay: status %d", resp.StatusCode)
}

// callError is the error of a call that got no answer; one for which no connection came about surely did nothing.
func callError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errors.WithMessage(store.ErrUnreachable, err.Error())
	}
	return errors.WithMessage(store.ErrUnknown, err.Error())
}

// Handler serves a store to other boxes.
func Handler(s store.Peer) http.Handler {
	mux := chi.NewRouter()
	mux.Post(pathCommit, func(w http.ResponseWriter, r *http.Request) {
		var tx store.Transaction
		if !receive(w, r, &tx) {
			return
		}
		version, err := s.Commit(r.Context(), &tx)
		var conflict *store.Conflict
		if errors.As(err, &conflict) {
			err = nil
		}
		reply(w, committed{version, conflict}, err)
	})
	mux.Post(pathRead, func(w http.ResponseWriter, r *http.Request) {
		var in store.Range
		if !receive(w, r, &in) {
			return
		}
		page, err := s.Read(r.Context(), in)
		reply(w, page, err)
	})
	mux.Post(pathWatch, func(w http.ResponseWriter, r *http.Request) {
		var in watch
		if !receive(w, r, &in) {
			return
		}
		page, err := s.Watch(r.Context(), in.Table, in.Since, in.Wait)
		reply(w, page, err)
	})
	mux.Post(pathCopy, func(w http.ResponseWriter, r *http.Request) {
		var q store.Query
		if !receive(w, r, &q) {
			return
		}
		found, err := s.Copy(r.Context(), q)
		reply(w, found, err)
	})
	return mux
}

// receive decodes a message; one that can't be read is refused.
func receive(w http.ResponseWriter, r *http.Request, into any) bool {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxMessageBytes))
	if err == nil {
		err = cbor.Unmarshal(raw, into)
	}
	if err != nil {
		http.Error(w, "relay: the message can't be read", http.StatusBadRequest)
	}
	return err == nil
}

// reply sends an answer, or the status of an error of package store.
func reply(w http.ResponseWriter, answer any, err error) {
	switch {
	case errors.Is(err, store.ErrUnreachable):
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
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
		_, _ = w.Write(raw) // A box that left reads nothing.
	}
}
