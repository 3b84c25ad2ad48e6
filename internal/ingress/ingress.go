// Package ingress serves HTTP to clients that nobody controls. It bounds the connections, the memory and the time that
// they take, so that a crowd of clients that misbehave neither ends the process nor keeps others from being served.
package ingress

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"runtime"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/measure"
	"go.uber.org/zap"
)

// Server is an HTTP server for clients. Create it with NewServer.
type Server struct {
	http.Server
	pool pool
}

// NewServer returns a server with limits. The names of its metrics begin with name; the metrics may be nil.
func NewServer(name string, l Limits, handler http.Handler, log *zap.Logger, m *measure.Metrics) *Server {
	l.HeaderBytes, l.HeaderLines = cmp.Or(l.HeaderBytes, defaultHeaderBytes), cmp.Or(l.HeaderLines, defaultHeaderLines)
	s := &Server{pool: pool{Limits: l, name: name, log: log, metrics: m, decoding: make(chan struct{}, 1)}}
	s.Handler = &limiter{handler}
	s.ErrorLog = zap.NewStdLog(log)
	s.ReadHeaderTimeout, s.IdleTimeout, s.MaxHeaderBytes = l.HeaderTime, l.IdleTime, l.HeaderBytes
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if state == http.StateIdle {
			c.(*conn).finish()
		}
	}
	return s
}

// Serve accepts the connections of a listener until the server is shut down.
func (s *Server) Serve(l net.Listener) error {
	return s.Server.Serve(&listener{Listener: l, pool: &s.pool})
}

// tcpDeferAccept is the Linux socket option TCP_DEFER_ACCEPT.
const tcpDeferAccept = 9

// Listen returns a TCP listener for clients, whose connections have small buffers in the kernel. On Linux it accepts
// connections once their first bytes have arrived, so that clients that send nothing take no processor time.
func Listen(address string) (net.Listener, error) {
	c := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			// A system that refuses an option keeps its own way.
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, sendBuffer)
			if runtime.GOOS == "linux" {
				_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpDeferAccept, int(defaultHeaderTime/time.Second))
			}
		})
	}}
	l, err := c.Listen(context.Background(), "tcp", address)
	return l, errors.Wrap(err, "ingress: unable to listen")
}

// acceptsPerTurn is the number of connections that are accepted before those that are open take their turns.
const acceptsPerTurn = 8

// listener adds accepted connections to a pool.
type listener struct {
	net.Listener
	pool     *pool
	accepted int
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: inner, pool: l.pool}
		if l.pool.add(c) {
			if l.accepted++; l.accepted%acceptsPerTurn == 0 {
				runtime.Gosched() // Lets these connections run, whose requests have mostly arrived, before more are accepted.
			}
			return c, nil
		}
		c.abort()
	}
}

// connKey is the context key of a request's connection.
type connKey struct{}

// connOf returns the connection of a request, or nil if another server received it.
func connOf(r *http.Request) *conn {
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c
}

// limiter begins requests on their connections.
type limiter struct {
	handler http.Handler
}

// ServeHTTP implements http.Handler.
func (l *limiter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if c := connOf(r); c != nil {
		if !c.startBody(r.ContentLength) {
			panic(http.ErrAbortHandler)
		}
		if r.ContentLength < 0 {
			// Where the chunks end is not known to the connection, and so neither is where the next head begins.
			w.Header().Set("Connection", "close")
		}
		if r.ContentLength != 0 {
			w = &bodyWriter{w, c}
			defer c.endDecoding()
		}
	}
	l.handler.ServeHTTP(w, r)
}

// bodyWriter writes the response to a request with a body. If the request is refused before its body was received, the
// response is sent at once and the connection is closed after it.
type bodyWriter struct {
	http.ResponseWriter
	conn *conn
}

// WriteHeader implements http.ResponseWriter.
func (w *bodyWriter) WriteHeader(status int) {
	if w.conn.phase == inBody && int64(len(w.conn.buffer)) < w.conn.bodyLeft {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap serves http.ResponseController.
func (w *bodyWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
