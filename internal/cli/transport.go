package cli

import (
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/pulleyring/pulleyring/internal/identity"
)

// Sizes and timeouts of the connection pools.
const (
	idleConns        = 4096
	idleConnsPerHost = 1024
	dialTimeout      = time.Second
	idleTimeout      = 90 * time.Second
)

// transportFor returns an HTTP transport that trusts only the authority in a PEM file. If the file name is empty, it
// keeps Go's default TLS settings.
func transportFor(authority string) (*http.Transport, error) {
	t := &http.Transport{
		MaxIdleConns: idleConns, MaxIdleConnsPerHost: idleConnsPerHost, IdleConnTimeout: idleTimeout,
		DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext,
	}
	if authority == "" {
		return t, nil
	}
	pool, err := identity.LoadPool(authority)
	if err != nil {
		return nil, err
	}
	t.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}
	return t, nil
}
