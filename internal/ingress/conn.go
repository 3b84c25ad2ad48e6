package ingress

import (
	"bytes"
	"errors"
	"net"
	"os"
	"runtime"
	"time"

	"github.com/pulleyring/pulleyring/internal/interval"
)

// phase is the part of a request that a connection carries next.
type phase int

const (
	inHead   phase = iota // The head of a request, or nothing.
	received              // Nothing until the response: the request is whole, or its body is not asked for yet.
	inBody                // The rest of a body of a declared length.
	inChunks              // A body of chunks.
)

// errRefused is the error of a read after the client was refused.
var errRefused = errors.New("ingress: the client was refused")

// conn is a connection of a client. The server reads the head of a request only once it was received whole and is within
// the limits: its lines take far more memory when they are parsed than as they are received.
type conn struct {
	net.Conn
	pool  *pool
	state state

	// Read and the server's handling of one request use these, never at the same time.
	phase    phase
	buffer   []byte    // Bytes that were received and that the server has not read.
	scanned  int       // Bytes of buffer that belong to lines that were checked.
	searched int       // Bytes of buffer that were searched for the end of a line.
	lines    int       // Lines of the head so far.
	head     int       // Bytes of buffer that belong to a whole head, which the server may read.
	bodyLeft int64     // Bytes of the body that the server has not read.
	refused  bool      // The client was refused, and gets nothing more.
	decoding time.Time // Since when a large body has been decoded; zero while none is.
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	switch c.phase {
	case inHead:
		return c.readHead(p)
	case inBody:
		n, err := c.read(p[:min(int64(len(p)), c.bodyLeft)])
		c.bodyLeft -= int64(n)
		if c.bodyLeft == 0 {
			c.pool.protect(c)
		}
		if c.bodyLeft == 0 || err != nil { // The server now waits for the end of the connection in the background.
			c.phase = received
		}
		return n, err
	}
	return c.read(p)
}

// read reads received bytes first, then from the network.
func (c *conn) read(p []byte) (int, error) {
	if len(c.buffer) > 0 {
		return c.take(p), nil
	}
	return c.Conn.Read(p)
}

// take moves received bytes to p.
func (c *conn) take(p []byte) int {
	n := copy(p, c.buffer)
	if c.buffer = c.buffer[n:]; len(c.buffer) == 0 {
		c.buffer = nil
	}
	return n
}

// readHead reads a part of the head of a request, once that was received whole.
func (c *conn) readHead(p []byte) (int, error) {
	if c.head == 0 {
		if err := c.receiveHead(p); err != nil {
			return 0, err
		}
	}
	n := c.take(p[:min(len(p), c.head)])
	if c.head -= n; c.head == 0 {
		c.phase, c.scanned, c.searched, c.lines = received, 0, 0, 0
	}
	return n, nil
}

// receiveHead receives the head of a request into the buffer. It uses scratch for the first read, so that an idle
// connection needs no buffer.
func (c *conn) receiveHead(scratch []byte) error {
	if len(c.buffer) == 0 {
		n, err := c.Conn.Read(scratch)
		if err != nil {
			return err
		}
		c.buffer = append(c.buffer, scratch[:n]...)
	}
	c.pool.begin(c)
	if d := c.pool.HeaderTime; d > 0 {
		_ = c.Conn.SetReadDeadline(time.Now().Add(d)) // Fails only if the connection is closed, as reading does then.
	}
	for {
		whole, ok := c.scanHead()
		if !ok || !whole && len(c.buffer) >= c.pool.HeaderBytes {
			return c.refuse(reasonHeader, "431 Request Header Fields Too Large")
		}
		if whole {
			if !c.pool.charge(c, int64(c.head+c.lines*lineBytes)) {
				return c.refuse("", "503 Service Unavailable\r\nRetry-After: 1")
			}
			return nil
		}
		if err := c.receiveMore(); err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				c.pool.count(reasonSlowHeader)
			}
			return err
		}
	}
}

// receiveMore receives further bytes of a head.
func (c *conn) receiveMore() error {
	if len(c.buffer) == cap(c.buffer) {
		grown := make([]byte, len(c.buffer), min(max(2*cap(c.buffer), 1024), c.pool.HeaderBytes))
		copy(grown, c.buffer)
		c.buffer = grown
		if !c.pool.charge(c, int64(cap(grown))) {
			return c.refuse("", "503 Service Unavailable\r\nRetry-After: 1")
		}
	}
	n, err := c.Conn.Read(c.buffer[len(c.buffer):cap(c.buffer)])
	c.buffer = c.buffer[:len(c.buffer)+n]
	return err
}

// scanHead scans the lines that were received since the last call. whole reports whether the head has ended, and ok
// whether it is within the limits. Empty lines before the request line do not end the head.
func (c *conn) scanHead() (whole, ok bool) {
	for {
		end := bytes.IndexByte(c.buffer[c.searched:], '\n')
		if end < 0 {
			c.searched = len(c.buffer)
			return false, true
		}
		line := bytes.TrimSuffix(c.buffer[c.scanned:c.searched+end], []byte{'\r'})
		c.searched += end + 1
		c.scanned = c.searched
		if len(line) == 0 && c.lines > 0 {
			c.head = c.scanned
			return true, c.head <= c.pool.HeaderBytes
		}
		// The server takes a line of blanks for the end of the head.
		if len(line) > 0 && len(bytes.TrimLeft(line, " \t")) == 0 {
			return false, false
		}
		if len(line) > 0 {
			c.lines++
		}
		if c.lines > c.pool.HeaderLines {
			return false, false
		}
	}
}

// refuse answers a request that the server has not read and returns errRefused.
func (c *conn) refuse(reason, status string) error {
	if reason != "" {
		c.pool.count(reason)
	}
	// The client may be gone; the connection is closed anyway.
	_, _ = c.Write([]byte("HTTP/1.1 " + status + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"))
	c.refused = true
	return errRefused
}

// startBody prepares the connection for the body of a request, of a length that is -1 if it is not declared. It reports
// false if the connection has been closed, so that the request must not be handled.
func (c *conn) startBody(length int64) bool {
	switch {
	case length == 0:
		return c.pool.protect(c)
	case length > 0:
		c.phase, c.bodyLeft = inBody, length
	default:
		c.phase = inChunks
	}
	if length < 0 || length > smallBody {
		c.pool.setLargeBody(c)
	}
	if d := c.pool.BodyTime; d > 0 {
		_ = c.Conn.SetReadDeadline(time.Now().Add(d))
	}
	return true
}

// finish prepares the connection for the next request.
func (c *conn) finish() {
	c.phase, c.bodyLeft = inHead, 0
	c.pool.finish(c)
	runtime.Gosched() // A client that sends many requests ahead takes turns with others.
}

// startDecoding waits for leave to decode a large body. It reports false if that takes too long.
func (c *conn) startDecoding() bool {
	elapsed, stop := interval.After(maxDecodeWait)
	defer stop()
	select {
	case c.pool.decoding <- struct{}{}:
		runtime.Gosched() // Lets the requests run that became ready while the last body was decoded.
		c.decoding = time.Now()
		return true
	case <-elapsed:
		return false
	}
}

// endDecoding lets the next large body be decoded, after a pause as long as decoding this one took: large bodies take at
// most half of a core.
func (c *conn) endDecoding() {
	if !c.decoding.IsZero() {
		time.AfterFunc(time.Since(c.decoding), func() { <-c.pool.decoding })
		c.decoding = time.Time{}
	}
}

// maxWrite is the number of bytes that a client must take within WriteTime.
const maxWrite = 16 << 10

// Write implements net.Conn. It fails if the client takes nothing for WriteTime.
func (c *conn) Write(p []byte) (written int, err error) {
	if c.refused {
		return 0, errRefused // The server would answer the end of the connection as a malformed request.
	}
	for len(p) > 0 && err == nil {
		if d := c.pool.WriteTime; d > 0 {
			_ = c.Conn.SetWriteDeadline(time.Now().Add(d))
		}
		n := 0
		n, err = c.Conn.Write(p[:min(len(p), maxWrite)])
		written, p = written+n, p[n:]
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.pool.count(reasonSlowReader)
	}
	return written, err
}

// CloseWrite closes the sending side, so that the client gets a response although it still sends.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.pool.remove(c)
	return c.Conn.Close()
}

// abort closes the connection without waiting for anything, unlike Close of a TLS connection.
func (c *conn) abort() {
	inner := c.Conn
	if t, ok := inner.(interface{ NetConn() net.Conn }); ok {
		inner = t.NetConn()
	}
	_ = inner.Close() // The connection may have ended by itself.
}
