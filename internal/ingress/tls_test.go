package ingress_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/ingress"
	"go.uber.org/zap"
)

// envTLS holds the address on which the test binary serves over TLS in place of the tests.
const envTLS = "PULLEYRING_INGRESS_TLS"

// serveTLS serves clients over TLS with the limits of smallMachine until the process is killed.
func serveTLS(address string) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour)}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return err
	}
	listener, err := ingress.Listen(address)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(ingress.RuntimeLimit(smallMachine.memoryMB))
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := ingress.ReadBody(w, r, 1<<20, 4)
		if err != nil {
			w.WriteHeader(ingress.Status(err))
			return
		}
		ingress.Decoded(r, len(body))
	})
	s := ingress.NewServer("tls", ingress.OverTLS(ingress.MachineLimits(smallMachine.memoryMB, smallMachine.files)), handler, zap.NewNop(), nil)
	return s.Serve(tls.NewListener(listener, &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{raw}, PrivateKey: key}}, MinVersion: tls.VersionTLS13,
	}))
}

// ordinaryTime is how long an ordinary client waits for an answer.
const ordinaryTime = 3500 * time.Millisecond

// A server and its clients may take this part of a machine's memory, for what the Go runtime may use and the buffers of the
// kernel, and the program itself, by docs/design/clients.md.
const (
	serverShare  = 0.6 + 0.17
	programBytes = 12 * mebibyte
)

// TestTLSCrowds guards against processes that exceed the memory of their machine beside crowds that come over TLS, whose
// connections take more memory than others, and against ordinary clients that are not served.
func TestTLSCrowds(t *testing.T) {
	if os.Getenv(envCrowds) == "none" {
		t.Skip("crowds are played by themselves")
	}
	body := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n" + strings.Repeat("x", 900000)
	// The record of a ClientHello of 60,000 bytes, of which most is missing.
	hello := "\x16\x03\x01\x40\x00\x01\x00\xea\x60" + strings.Repeat("\x00", 10000)
	for name, play := range map[string]func(c net.Conn){
		"idle":   func(c net.Conn) { _ = tlsClient(c).Handshake() },
		"bodies": func(c net.Conn) { _, _ = io.WriteString(tlsClient(c), body) },
		"heads": func(c net.Conn) {
			_, _ = io.WriteString(tlsClient(c), "GET / HTTP/1.1\r\nX: "+strings.Repeat("x", 15000))
		},
		"hellos": func(c net.Conn) { _, _ = io.WriteString(c, hello) },
	} {
		t.Run(name, func(t *testing.T) { playTLS(t, play) })
	}
}

func tlsClient(c net.Conn) *tls.Conn { return tls.Client(c, &tls.Config{InsecureSkipVerify: true}) }

// playTLS lets clients play on more connections than the server takes for crowdTime.
func playTLS(t *testing.T, play func(c net.Conn)) {
	s := emptySite(t)
	s.addBoxes(1, smallMachine, func(*box) []byte { return nil })
	b := s.boxes[0]
	t.Setenv(envTLS, b.front)
	s.start(b)
	s.group.Go(s.watchMemory)
	client := &http.Client{Timeout: ordinaryTime, Transport: &http.Transport{DisableKeepAlives: true, TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}}
	get := func() error {
		resp, err := client.Get("https://" + b.front)
		if err == nil {
			_ = resp.Body.Close()
		}
		return err
	}
	s.await(func() bool { return get() == nil })
	var group sync.WaitGroup
	deadline := time.Now().Add(crowdTime)
	for range 2000 {
		group.Go(func() {
			for time.Now().Before(deadline) {
				c, err := net.DialTimeout("tcp", b.front, time.Second)
				if err != nil {
					time.Sleep(100 * time.Millisecond)
					continue
				}
				_ = c.SetDeadline(deadline)
				play(c)
				_, _ = c.Read(make([]byte, 1)) // Until the server or the deadline ends the connection.
				_ = c.Close()
			}
		})
	}
	served, tries := 0, 0
	for ; time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		tries++
		if get() == nil {
			served++
		}
	}
	group.Wait()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, fault := range b.faults {
		t.Error(fault)
	}
	if b.peak > int64(serverShare*float64(b.memoryMB)*mebibyte)+programBytes {
		t.Errorf("peak %d MB leave too little for the scheduler", b.peak/mebibyte)
	}
	t.Logf("peak %d MB, %d of %d ordinary requests served", b.peak/mebibyte, served, tries)
	quicktest.Check(t, served > 0, quicktest.IsTrue, quicktest.Commentf("%d requests", served))
}
