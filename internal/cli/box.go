package cli

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/box"
	"github.com/pulleyring/pulleyring/internal/identity"
	"github.com/pulleyring/pulleyring/internal/ingress"
	"github.com/pulleyring/pulleyring/internal/link"
	"github.com/pulleyring/pulleyring/internal/settings"
	"github.com/pulleyring/pulleyring/platform"
	"go.uber.org/zap"
)

func runBox(e *env, args []string) int {
	set := e.flags("box")
	file := set.String("settings", "", "settings `file`")
	if code, done := e.parse(set, args); done {
		return code
	}
	if path := os.Getenv(platform.EnvSettings); *file == "" && path != "" && set.NArg() == 0 {
		return runOnPlatform(e, path)
	}
	if *file == "" || set.NArg() > 0 {
		return e.usageError("box", "-settings FILE is required and nothing else")
	}
	raw, err := os.ReadFile(*file)
	if err != nil {
		return e.fail(exitUsage, err)
	}
	raw, err = expandFileValues(*file, raw)
	if err != nil {
		return e.fail(exitUsage, err)
	}
	s, err := settings.Parse(*file, raw)
	if err != nil {
		return e.fail(exitUsage, err)
	}
	planned := make(chan struct{})
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() { <-signals; close(planned) }()
	if err := serveBox(context.Background(), s, planned, newLog(e.err, s.Log.Level)); err != nil {
		return e.fail(exitFailure, err)
	}
	return exitSuccess
}

// serveBox runs a box on the addresses of its settings until planned is closed or ctx ends.
func serveBox(ctx context.Context, s *settings.Box, planned <-chan struct{}, log *zap.Logger) error {
	network, err := newNetwork(s)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(ingress.RuntimeLimit(s.Limits.MemoryMB))
	b, err := newBox(s, network, log)
	if err != nil {
		return err
	}
	listener, err := listen(s)
	if err != nil {
		return err
	}
	if err := network.Listen(s.LinkListen); err != nil {
		return err
	}
	defer network.Close()
	go network.Serve(ctx)
	return b.Run(ctx, planned, listener)
}

// newBox returns a box that reaches the platform over HTTP, and makes it the network's message handler.
func newBox(s *settings.Box, network *link.QUIC, log *zap.Logger) (*box.Box, error) {
	transport, err := transportFor("")
	if err != nil {
		return nil, err
	}
	b := box.New(s, box.OverHTTP(s, &http.Client{Transport: transport}, network), log)
	network.Handle = b.Handle
	return b, nil
}

func newNetwork(s *settings.Box) (*link.QUIC, error) {
	certificate, err := tls.LoadX509KeyPair(s.Keys.LinkCertificate, s.Keys.LinkKey)
	if err != nil {
		return nil, errors.New("unable to read the link's certificate and key")
	}
	pool, err := identity.LoadPool(s.Keys.LinkAuthority)
	if err != nil {
		return nil, err
	}
	return &link.QUIC{Certificate: certificate, Authority: pool, Delay: s.Timing.LinkDelay}, nil
}

// listen opens the listener for callers and operators, with TLS if the settings name a certificate.
func listen(s *settings.Box) (net.Listener, error) {
	listener, err := ingress.Listen(s.Listen)
	if err != nil {
		return nil, err
	}
	if s.Keys.TLSCertificate == "" {
		return listener, nil
	}
	certificate, err := tls.LoadX509KeyPair(s.Keys.TLSCertificate, s.Keys.TLSKey)
	if err != nil {
		_ = listener.Close()
		return nil, errors.New("unable to read the listener's certificate and key")
	}
	return tls.NewListener(listener, &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS13}), nil
}
