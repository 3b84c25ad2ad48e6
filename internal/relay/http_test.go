package relay

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/store"
)

// fakeStore answers every call with the same data or error, and records the arguments of the last call.
type fakeStore struct {
	err   error
	page  store.Page
	tx    *store.Transaction
	asked store.Range
	since int64
	query store.Query
	copy  store.Copy
}

func (f *fakeStore) Commit(_ context.Context, tx *store.Transaction) (int64, error) {
	f.tx = tx
	return 7, f.err
}

func (f *fakeStore) Read(_ context.Context, r store.Range) (store.Page, error) {
	f.asked = r
	return f.page, f.err
}

func (f *fakeStore) Watch(_ context.Context, table string, since int64, _ time.Duration) (store.Page, error) {
	f.asked, f.since = store.Range{Table: table}, since
	return f.page, f.err
}

func (f *fakeStore) Copy(_ context.Context, q store.Query) (store.Copy, error) {
	f.query = q
	return f.copy, f.err
}

// overHTTP returns a client of a box that forwards calls to f over HTTP.
func overHTTP(t *testing.T, f *fakeStore) store.Peer {
	server := httptest.NewServer(Handler(f))
	t.Cleanup(server.Close)
	return (&HTTP{Client: server.Client()}).Peer(strings.TrimPrefix(server.URL, "http://"))
}

func TestCallsArriveUnchanged(t *testing.T) {
	key := store.Key{Table: "t", Part: "p", Name: "n"}
	f := &fakeStore{page: store.Page{Rows: []store.Row{{Key: key, Value: []byte{0, 255}, Version: 3, Deleted: true}}, More: true, Version: 9}}
	s := overHTTP(t, f)
	tx := &store.Transaction{
		Conditions: []store.Condition{{Key: key, Version: 2}}, Writes: []store.Row{{Key: key, Value: []byte{1}}}, Deletes: []store.Key{key},
	}
	version, err := s.Commit(context.Background(), tx)
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, version, quicktest.Equals, int64(7))
	quicktest.Assert(t, f.tx, quicktest.DeepEquals, tx)

	r := store.Range{Table: "t", Part: "p", From: "a", To: "b", Limit: 5}
	page, err := s.Read(context.Background(), r)
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, page, quicktest.DeepEquals, f.page)
	quicktest.Assert(t, f.asked, quicktest.Equals, r)

	page, err = s.Watch(context.Background(), "w", 4, time.Second)
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, page, quicktest.DeepEquals, f.page)
	quicktest.Assert(t, f.asked.Table, quicktest.Equals, "w")
	quicktest.Assert(t, f.since, quicktest.Equals, int64(4))

	f.copy = store.Copy{Page: f.page, Digest: 1<<63 | 5, Age: time.Second, Waited: time.Millisecond}
	q := store.Query{Range: r, Known: 1 << 63, Wait: time.Second, MaxAge: time.Minute}
	found, err := s.Copy(context.Background(), q)
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, found, quicktest.DeepEquals, f.copy)
	quicktest.Assert(t, f.query, quicktest.Equals, q)
}

func TestErrorsKeepTheirKind(t *testing.T) {
	for _, want := range []error{store.ErrRefused, store.ErrUnreachable, store.ErrUnknown, store.ErrHistoryGone} {
		s := overHTTP(t, &fakeStore{err: errors.WithMessage(want, "why")})
		_, err := s.Commit(context.Background(), &store.Transaction{})
		quicktest.Check(t, err, quicktest.ErrorIs, want)
		_, err = s.Read(context.Background(), store.Range{})
		quicktest.Check(t, err, quicktest.ErrorIs, want)
		quicktest.Check(t, errors.Is(err, store.ErrUnreachable), quicktest.Equals, errors.Is(want, store.ErrUnreachable))
		_, err = s.Watch(context.Background(), "t", 0, 0)
		quicktest.Check(t, err, quicktest.ErrorIs, want)
	}
	rows := []store.Row{{Key: store.Key{Name: "n"}, Value: []byte("v"), Version: 5}}
	s := overHTTP(t, &fakeStore{err: &store.Conflict{Rows: rows}})
	_, err := s.Commit(context.Background(), &store.Transaction{})
	var conflict *store.Conflict
	quicktest.Assert(t, errors.As(err, &conflict), quicktest.IsTrue)
	quicktest.Assert(t, conflict.Rows, quicktest.DeepEquals, rows)
}

// TestRefusedOnlyIfNothingDone guards against a call that is repeated on another path although it may have taken
// effect. Only an error after which the call surely did nothing may be store.ErrRefused.
func TestRefusedOnlyIfNothingDone(t *testing.T) {
	for status, want := range map[int]error{
		http.StatusBadRequest: store.ErrRefused, http.StatusServiceUnavailable: store.ErrRefused,
		http.StatusInternalServerError: store.ErrUnknown, http.StatusGatewayTimeout: store.ErrUnknown, http.StatusNotFound: store.ErrUnknown,
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
		_, err := (&HTTP{Client: server.Client()}).Peer(strings.TrimPrefix(server.URL, "http://")).Commit(context.Background(), &store.Transaction{})
		server.Close()
		quicktest.Check(t, err, quicktest.ErrorIs, want, quicktest.Commentf("status %d", status))
	}
	cut := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer cut.Close()
	_, err := (&HTTP{Client: cut.Client()}).Peer(strings.TrimPrefix(cut.URL, "http://")).Commit(context.Background(), &store.Transaction{})
	quicktest.Check(t, err, quicktest.ErrorIs, store.ErrUnknown)
}

func TestUnreadableMessageIsRefused(t *testing.T) {
	w := httptest.NewRecorder()
	Handler(&fakeStore{}).ServeHTTP(w, httptest.NewRequest(http.MethodPost, pathCommit, strings.NewReader("no cbor")))
	quicktest.Assert(t, w.Code, quicktest.Equals, http.StatusBadRequest)
}
