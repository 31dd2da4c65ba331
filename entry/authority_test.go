package entry_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"banyanrun.example/banyanrun/internal/testaddr"
)

// Remaining validity of test certificates.
const (
	valid   = time.Hour
	expired = -time.Minute
)

func itoa(n int) string { return strconv.Itoa(n) }

// issuedCert is a certificate with its private key.
type issuedCert struct {
	leaf *x509.Certificate
	key  *ecdsa.PrivateKey
}

// authority is a certificate authority for tests.
type authority struct{ issuedCert }

func sign(t *testing.T, template *x509.Certificate, issuer *issuedCert) *issuedCert {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	if template.SerialNumber, err = rand.Int(rand.Reader, big.NewInt(1<<62)); err != nil {
		t.Fatal(err)
	}
	template.NotBefore = time.Now().Add(-time.Hour)
	parent, signer := template, key
	if issuer != nil {
		parent, signer = issuer.leaf, issuer.key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		t.Fatal(err)
	}
	leaf, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return &issuedCert{leaf, key}
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	return &authority{*sign(t, &x509.Certificate{
		Subject: pkix.Name{CommonName: "test authority"}, NotAfter: time.Now().Add(valid),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}, nil)}
}

// issue returns a certificate for the loopback and test addresses.
func (a *authority) issue(t *testing.T, name, role string, validFor time.Duration, teams ...string) *issuedCert {
	t.Helper()
	return sign(t, &x509.Certificate{
		Subject:     pkix.Name{CommonName: name, OrganizationalUnit: []string{role}, Organization: teams},
		NotAfter:    time.Now().Add(validFor),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1), testaddr.IP()},
	}, &a.issuedCert)
}

// replace replaces a file atomically, so that no check reads a partial file.
func replace(t *testing.T, dir, name string, data []byte) {
	t.Helper()
	file := filepath.Join(dir, name)
	if err := os.WriteFile(file+".new", data, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(file+".new", file); err != nil {
		t.Fatal(err)
	}
}

// write writes a certificate, its key and the authority's certificate to dir.
func (a *authority) write(t *testing.T, dir string, c *issuedCert) {
	t.Helper()
	der, err := x509.MarshalPKCS8PrivateKey(c.key)
	if err != nil {
		t.Fatal(err)
	}
	encode := func(kind string, data []byte) []byte {
		return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data})
	}
	replace(t, dir, "ca", encode("CERTIFICATE", a.leaf.Raw))
	replace(t, dir, "cert", encode("CERTIFICATE", c.leaf.Raw))
	replace(t, dir, "key", encode("PRIVATE KEY", der))
}

// config returns a client's TLS configuration. The client presents its certificate
// even if the server does not accept the authority that issued it.
func (a *authority) config(c *issuedCert) *tls.Config {
	pool := x509.NewCertPool()
	pool.AddCert(a.leaf)
	return &tls.Config{
		RootCAs: pool,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			if c == nil {
				return &tls.Certificate{}, nil
			}
			return &tls.Certificate{Certificate: [][]byte{c.leaf.Raw}, PrivateKey: c.key}, nil
		},
	}
}

// client returns an HTTP client with a certificate, or without one if c is nil.
func (a *authority) client(c *issuedCert) *http.Client {
	return &http.Client{Transport: &http.Transport{TLSClientConfig: a.config(c), DisableKeepAlives: true}}
}

// servedSerial returns the serial number of the certificate that the server at an
// address presents.
func (a *authority) servedSerial(address string, c *issuedCert) (*big.Int, error) {
	conn, err := tls.Dial("tcp", address, a.config(c))
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	return conn.ConnectionState().PeerCertificates[0].SerialNumber, nil
}

// counterValue returns the value of a counter in the text of /metrics, or 0 if it
// is missing.
func counterValue(text, name string) int {
	for line := range strings.Lines(text) {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), name+" "); ok {
			n, err := strconv.Atoi(value)
			if err == nil {
				return n
			}
		}
	}
	return 0
}
