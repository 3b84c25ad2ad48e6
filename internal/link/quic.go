package link

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
)

// Parameters of the connections that can't be configured.
const (
	protocol        = "pulleyring/1"
	maxMessageBytes = 16 << 20
	idleTimeout     = 2 * time.Second
	dialTimeout     = time.Second
	closedCode      = 0
)

// QUIC implements Network over QUIC. It accepts connections of other boxes and keeps one open connection to each box
// to which it sends.
type QUIC struct {
	Certificate tls.Certificate
	Authority   *x509.CertPool
	Handle      Handler
	Delay       time.Duration // Delay before each message is sent, to simulate a slow network.

	transport *quic.Transport
	listener  *quic.Listener
	mu        sync.Mutex
	conns     map[string]*quic.Conn // Outgoing connections by name of the other box.
}

// Listen opens the UDP address. Call Serve to accept connections on it.
func (q *QUIC) Listen(address string) error {
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return errors.Wrap(err, "link: unable to read the address")
	}
	conn, err := net.ListenUDP("udp", udp)
	if err != nil {
		return errors.Wrap(err, "link: unable to listen")
	}
	q.transport = &quic.Transport{Conn: conn}
	config := &tls.Config{
		Certificates: []tls.Certificate{q.Certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    q.Authority,
		NextProtos:   []string{protocol},
		MinVersion:   tls.VersionTLS13,
	}
	q.listener, err = q.transport.Listen(config, q.config())
	return errors.Wrap(err, "link: unable to listen")
}

func (q *QUIC) config() *quic.Config {
	return &quic.Config{MaxIdleTimeout: idleTimeout, HandshakeIdleTimeout: dialTimeout, MaxIncomingStreams: 1 << 16, EnableDatagrams: true}
}

// Serve accepts connections and answers their messages until ctx ends.
func (q *QUIC) Serve(ctx context.Context) {
	for {
		conn, err := q.listener.Accept(ctx)
		if err != nil {
			return
		}
		go q.serveConn(ctx, conn)
	}
}

// Close closes the listener and all connections immediately.
func (q *QUIC) Close() {
	if q.listener != nil {
		_ = q.listener.Close()
		_ = q.transport.Close()
		_ = q.transport.Conn.Close()
	}
}

func (q *QUIC) serveConn(ctx context.Context, conn *quic.Conn) {
	certs := conn.ConnectionState().TLS.PeerCertificates
	if len(certs) == 0 {
		return
	}
	name := certs[0].Subject.CommonName
	go q.serveDatagrams(ctx, name, conn)
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		go q.serveStream(ctx, name, stream)
	}
}

// serveDatagrams handles messages that need no reply. Heartbeats are sent this way.
func (q *QUIC) serveDatagrams(ctx context.Context, from string, conn *quic.Conn) {
	for {
		encoded, err := conn.ReceiveDatagram(ctx)
		if err != nil {
			return
		}
		var m Message
		if cbor.Unmarshal(encoded, &m) == nil {
			q.Handle(ctx, from, &m)
		}
	}
}

func (q *QUIC) serveStream(ctx context.Context, from string, stream *quic.Stream) {
	defer stream.Close()
	var m Message
	if err := read(stream, &m); err != nil {
		stream.CancelWrite(closedCode)
		return
	}
	reply := q.Handle(ctx, from, &m)
	encoded, err := cbor.Marshal(reply)
	if err != nil {
		stream.CancelWrite(closedCode)
		return
	}
	_, _ = stream.Write(encoded) // If this fails, the other box is gone and needs no reply.
}

func read(r io.Reader, into any) error {
	encoded, err := io.ReadAll(io.LimitReader(r, maxMessageBytes))
	if err != nil {
		return errors.Wrap(err, "link: unable to read")
	}
	return errors.Wrap(cbor.Unmarshal(encoded, into), "link: unable to decode")
}

// Send implements Network.
func (q *QUIC) Send(ctx context.Context, to Entry, m *Message) (*Reply, error) {
	if q.Delay > 0 {
		time.Sleep(q.Delay)
	}
	conn, err := q.conn(ctx, to)
	if err != nil {
		return nil, err
	}
	reply, err := exchange(ctx, conn, m)
	if err != nil && conn.Context().Err() != nil {
		q.drop(to.Name, conn)
	}
	return reply, err
}

func exchange(ctx context.Context, conn *quic.Conn, m *Message) (*Reply, error) {
	encoded, err := cbor.Marshal(m)
	if err != nil {
		return nil, errors.Wrap(err, "link: unable to encode")
	}
	if m.Heartbeat != nil && conn.SendDatagram(encoded) == nil {
		return &Reply{Stamp: m.Stamp}, nil // Loss is harmless: the next heartbeat follows soon.
	}
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "link: unable to open a stream")
	}
	if deadline, ok := ctx.Deadline(); ok {
		_ = stream.SetDeadline(deadline)
	}
	if _, err := stream.Write(encoded); err != nil {
		return nil, errors.Wrap(err, "link: unable to send")
	}
	_ = stream.Close() // Closes only the sending side; the reply can still be read.
	var reply Reply
	if err := read(stream, &reply); err != nil {
		stream.CancelRead(closedCode)
		return nil, err
	}
	return &reply, nil
}

// conn returns the open connection to a box at its current address, or dials a new one.
func (q *QUIC) conn(ctx context.Context, to Entry) (*quic.Conn, error) {
	q.mu.Lock()
	conn := q.conns[to.Name]
	q.mu.Unlock()
	if conn != nil && conn.Context().Err() == nil && conn.RemoteAddr().String() == to.Link {
		return conn, nil
	}
	address, err := net.ResolveUDPAddr("udp", to.Link)
	if err != nil {
		return nil, errors.Wrap(err, "link: unable to read the address")
	}
	config := &tls.Config{
		Certificates: []tls.Certificate{q.Certificate},
		RootCAs:      q.Authority,
		ServerName:   to.Name,
		NextProtos:   []string{protocol},
		MinVersion:   tls.VersionTLS13,
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	newConn, err := q.transport.Dial(ctx, address, config, q.config())
	if err != nil {
		return nil, errors.Wrapf(err, "link: unable to reach %s", to.Name)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.conns == nil {
		q.conns = map[string]*quic.Conn{}
	}
	q.conns[to.Name] = newConn
	return newConn, nil
}

func (q *QUIC) drop(name string, conn *quic.Conn) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.conns[name] == conn {
		delete(q.conns, name)
	}
}

// Address returns the UDP address on which the box listens.
func (q *QUIC) Address() string { return q.listener.Addr().String() }
