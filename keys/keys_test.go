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

// TestIdentityOf guards against an identity with rights that the certificate's
// subject does not state.
func TestIdentityOf(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	tooManyTeams := make([]string, maxTeams+1)
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
		{"two roles are rejected", subject("x", []string{"caller", "host"}, nil), 0, core.Identity{}, "2 organizational units"},
		{"no role is rejected", subject("x", nil, []string{"host"}), 0, core.Identity{}, "0 organizational units"},
		{"an unknown role is rejected", subject("x", []string{"Host"}, nil), 0, core.Identity{}, `role "Host"`},
		{"a missing name is rejected", subject("", []string{"host"}, nil), 0, core.Identity{}, "no common name"},
		{"too many teams are rejected", subject("x", []string{"host"}, tooManyTeams), 0, core.Identity{}, "at most 128"},
		{"an expired certificate is rejected", subject("x", []string{"host"}, nil), 2 * time.Hour, core.Identity{}, "valid from"},
		{"a certificate that is not yet valid is rejected", subject("x", []string{"host"}, nil), -2 * time.Hour, core.Identity{}, "valid from"},
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

// TestCertificateRejected guards against treating a rejected certificate as a
// request in doubt, and any other failure as a rejected certificate.
func TestCertificateRejected(t *testing.T) {
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
		{"a missing certificate is rejected", nil, tls.RequireAndVerifyClientCert, true},
		{"a certificate of an unknown CA is rejected", []tls.Certificate{pair}, tls.RequireAndVerifyClientCert, true},
		{"a closed connection is not a rejection", nil, tls.NoClientCert, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			near, far := net.Pipe()
			server := tls.Server(far, &tls.Config{
				Certificates: []tls.Certificate{pair}, ClientAuth: c.auth,
				ClientCAs: x509.NewCertPool(), SessionTicketsDisabled: true,
			})
			go func() {
				_ = server.Handshake() // the client checks the error
				far.Close()
			}()
			// The test covers only the verification by the server.
			client := tls.Client(near, &tls.Config{InsecureSkipVerify: true, Certificates: c.client})
			_, err := client.Read(make([]byte, 1))
			if err == nil || CertificateRejected(err) != c.want {
				t.Errorf("error %v, rejected %v, want %v", err, CertificateRejected(err), c.want)
			}
		})
	}
}
