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

// Limits of the links that are no settings.
const (
	protocol        = "pulleyring/1"
	maxMessageBytes = 16 << 20
	idleTimeout     = 2 * time.Second
	dialTimeout     = time.Second
	closedCode      = 0
)

// QUIC is the network of a box: it listens for other boxes and keeps one connection to each that it sends to.
type QUIC struct {
	Certificate tls.Certificate
	Authority   *x509.CertPool
	Handle      Handler
	Delay       time.Duration // Added to each message.

	transport *quic.Transport
	listener  *quic.Listener
	mu        sync.Mutex
	conns     map[string]*quic.Conn // By name of the other box.
}

// Listen opens the UDP address; Serve answers on it.
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

// Serve answers messages until ctx ends.
func (q *QUIC) Serve(ctx context.Context) {
	for {
		conn, err := q.listener.Accept(ctx)
		if err != nil {
			return
		}
		go q.serveConn(ctx, conn)
	}
}

// Close ends every connection at once.
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

// serveDatagrams takes in heartbeats, which need no answer.
func (q *QUIC) serveDatagrams(ctx context.Context, from string, conn *quic.Conn) {
	for {
		raw, err := conn.ReceiveDatagram(ctx)
		if err != nil {
			return
		}
		var m Message
		if cbor.Unmarshal(raw, &m) == nil {
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
	raw, err := cbor.Marshal(reply)
	if err != nil {
		stream.CancelWrite(closedCode)
		return
	}
	_, _ = stream.Write(raw) // The other box is gone where this fails.
}

func read(r io.Reader, into any) error {
	raw, err := io.ReadAll(io.LimitReader(r, maxMessageBytes))
	if err != nil {
		return errors.Wrap(err, "link: unable to read")
	}
	return errors.Wrap(cbor.Unmarshal(raw, into), "link: unable to decode")
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
	raw, err := cbor.Marshal(m)
	if err != nil {
		return nil, errors.Wrap(err, "link: unable to encode")
	}
	if m.Heartbeat != nil && conn.SendDatagram(raw) == nil {
		return &Reply{Stamp: m.Stamp}, nil // The next one comes soon; one too large for a datagram goes as a stream.
	}
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "link: unable to open a stream")
	}
	if deadline, ok := ctx.Deadline(); ok {
		_ = stream.SetDeadline(deadline)
	}
	if _, err := stream.Write(raw); err != nil {
		return nil, errors.Wrap(err, "link: unable to send")
	}
	_ = stream.Close() // Ends our side; the reply is still read.
	var reply Reply
	if err := read(stream, &reply); err != nil {
		stream.CancelRead(closedCode)
		return nil, err
	}
	return &reply, nil
}

// conn returns the connection to a box and dials it where there is none.
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
	fresh, err := q.transport.Dial(ctx, address, config, q.config())
	if err != nil {
		return nil, errors.Wrapf(err, "link: unable to reach %s", to.Name)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.conns == nil {
		q.conns = map[string]*quic.Conn{}
	}
	q.conns[to.Name] = fresh
	return fresh, nil
}

func (q *QUIC) drop(name string, conn *quic.Conn) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.conns[name] == conn {
		delete(q.conns, name)
	}
}

// Address returns the UDP address that is listened on.
func (q *QUIC) Address() string { return q.listener.Addr().String() }
