package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"fmt"
	"math/big"
	"net"
	"reflect"
	"strings"
	"testing"
	"time"

	"banyanrun.example/banyanrun/core"
)

// TestIdentityOf guards against a subject that gives rights it does not state.
func TestIdentityOf(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	many := make([]string, maxTeams+1)
	subject := func(name string, units, teams []string) pkix.Name {
		return pkix.Name{CommonName: name, OrganizationalUnit: units, Organization: teams}
	}
	for _, c := range []struct {
		name    string
		subject pkix.Name
		age     time.Duration
		want    core.Identity
		err     string
	}{
		{"a caller of two teams", subject("c", []string{"caller"}, []string{"a", "b"}), 0,
			core.Identity{Name: "c", Role: core.RoleCaller, Teams: []core.TeamName{"a", "b"}}, ""},
		{"a host without teams", subject("h", []string{"host"}, nil), 0, core.Identity{Name: "h", Role: core.RoleHost}, ""},
		{"two roles are refused", subject("x", []string{"caller", "host"}, nil), 0, core.Identity{}, "2 organizational units"},
		{"no role is refused", subject("x", nil, []string{"host"}), 0, core.Identity{}, "0 organizational units"},
		{"an unknown role is refused", subject("x", []string{"Host"}, nil), 0, core.Identity{}, `role "Host"`},
		{"a missing name is refused", subject("", []string{"host"}, nil), 0, core.Identity{}, "no common name"},
		{"too many teams are refused", subject("x", []string{"host"}, many), 0, core.Identity{}, "at most 128"},
		{"an expired certificate is refused", subject("x", []string{"host"}, nil), 2 * time.Hour, core.Identity{}, "valid from"},
		{"a certificate of the future is refused", subject("x", []string{"host"}, nil), -2 * time.Hour, core.Identity{}, "valid from"},
	} {
		t.Run(c.name, func(t *testing.T) {
			cert := &x509.Certificate{Subject: c.subject, NotBefore: now.Add(-time.Hour), NotAfter: now.Add(time.Hour)}
			id, err := IdentityOf(cert, now.Add(c.age))
			if !reflect.DeepEqual(id, c.want) || !strings.Contains(fmt.Sprint(err), c.err) || (err == nil) != (c.err == "") {
				t.Errorf("got %+v, %v", id, err)
			}
		})
	}
}

// TestRefused guards against a refused certificate that counts as a request in
// doubt, and against another failure that counts as a refused certificate.
func TestCertificateRefused(t *testing.T) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	pair := tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
	for _, c := range []struct {
		name   string
		client []tls.Certificate
		auth   tls.ClientAuthType
		want   bool
	}{
		{"no certificate is refused", nil, tls.RequireAndVerifyClientCert, true},
		{"a certificate of an unknown authority is refused", []tls.Certificate{pair}, tls.RequireAndVerifyClientCert, true},
		{"a connection that ends is not a refusal", nil, tls.NoClientCert, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			near, far := net.Pipe()
			server := tls.Server(far, &tls.Config{
				Certificates: []tls.Certificate{pair}, ClientAuth: c.auth,
				ClientCAs: x509.NewCertPool(), SessionTicketsDisabled: true,
			})
			go func() {
				_ = server.Handshake() // Its failure is seen by the client.
				far.Close()
			}()
			// Only the server's verification is under test.
			client := tls.Client(near, &tls.Config{InsecureSkipVerify: true, Certificates: c.client})
			_, err := client.Read(make([]byte, 1))
			if err == nil || CertificateRefused(err) != c.want {
				t.Errorf("error %v, refused %v, want %v", err, CertificateRefused(err), c.want)
			}
		})
	}
}
