package identity

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"time"

	"github.com/pkg/errors"
)

// validity is the time from issue to expiry of certificates.
const validity = 825 * 24 * time.Hour

// serialBits is the size of a certificate's random serial number in bits.
const serialBits = 120

// Authority signs the certificates with which boxes authenticate each other.
type Authority struct {
	Certificate *x509.Certificate
	Key         ed25519.PrivateKey
}

// NewAuthority returns a new authority for a site.
func NewAuthority(site string) (*Authority, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "identity: unable to make a key")
	}
	form := template("pulleyring " + site)
	form.IsCA = true
	form.BasicConstraintsValid = true
	form.KeyUsage = x509.KeyUsageCertSign
	raw, err := x509.CreateCertificate(rand.Reader, form, form, public, private)
	if err != nil {
		return nil, errors.Wrap(err, "identity: unable to make an authority")
	}
	cert, err := x509.ParseCertificate(raw)
	return &Authority{Certificate: cert, Key: private}, errors.Wrap(err, "identity: unable to make an authority")
}

// Issue returns a new signed certificate for a box or listener with its IP addresses.
func (a *Authority) Issue(name string, addresses ...net.IP) (tls.Certificate, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return tls.Certificate{}, errors.Wrap(err, "identity: unable to make a key")
	}
	form := template(name)
	form.DNSNames = []string{name}
	form.IPAddresses = addresses
	form.KeyUsage = x509.KeyUsageDigitalSignature
	form.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	raw, err := x509.CreateCertificate(rand.Reader, form, a.Certificate, public, a.Key)
	if err != nil {
		return tls.Certificate{}, errors.Wrap(err, "identity: unable to sign")
	}
	return tls.Certificate{Certificate: [][]byte{raw}, PrivateKey: private}, nil
}

func template(name string) *x509.Certificate {
	limit := new(big.Int).Lsh(big.NewInt(1), serialBits)
	serial, _ := rand.Int(rand.Reader, limit) // crypto/rand never fails.
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-time.Hour),
		NotAfter:     now.Add(validity),
	}
}

// Pool returns a certificate pool with the authority as the only trusted root.
func (a *Authority) Pool() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(a.Certificate)
	return pool
}

// WriteCertificate writes a certificate and its private key as PEM files. Only the file's owner can read the key.
func WriteCertificate(cert tls.Certificate, certFile, keyFile string) error {
	raw, err := x509.MarshalPKCS8PrivateKey(cert.PrivateKey)
	if err != nil {
		return errors.Wrap(err, "identity: unable to encode a key")
	}
	if err := WriteAuthority(cert.Certificate[0], certFile); err != nil {
		return err
	}
	block := pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: raw})
	return errors.Wrap(os.WriteFile(keyFile, block, 0o600), "identity: unable to write a key")
}

// WriteAuthority writes the certificate of an authority as a PEM file.
func WriteAuthority(raw []byte, file string) error {
	block := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: raw})
	return errors.Wrap(os.WriteFile(file, block, 0o600), "identity: unable to write a certificate")
}

// LoadPool returns a certificate pool with the authorities of a PEM file.
func LoadPool(file string) (*x509.CertPool, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "identity: unable to read the authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(raw) {
		return nil, errors.Errorf("identity: %s holds no certificate", file)
	}
	return pool, nil
}
