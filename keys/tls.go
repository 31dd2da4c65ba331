package keys

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"time"

	"banyanrun.example/banyanrun/core"
)

// maxTeams bounds the teams of a certificate. An identity with so many names of
// 64 bytes, the limit of X.509, fits the headers of a forwarded request.
const maxTeams = 128

// Server returns the configuration of a listener. Each handshake uses the pair
// in use at that time and requires a verified certificate of the client.
func (s *Store) ServerConfig() *tls.Config { return s.listenerConfig(nil) }

// PeerServer returns the configuration of a listener for entry hosts alone. The
// client's certificate must have the role of a host.
func (s *Store) PeerServerConfig() *tls.Config { return s.listenerConfig(verifyHost) }

// server returns the configuration of a listener with a further check of the
// client, or nil.
func (s *Store) listenerConfig(verify func(tls.ConnectionState) error) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			p := s.current.Load()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{p.cert},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    p.pool,
				// A resumed session would keep authorities that were
				// removed from the bundle.
				SessionTicketsDisabled: true,
				VerifyConnection:       verify,
			}, nil
		},
	}
}

// Client returns the configuration of a connection to an entry host. The server
// must hold a verified certificate with the role of a host, so that no caller
// can pose as one.
func (s *Store) ClientConfig() *tls.Config {
	p := s.current.Load()
	return &tls.Config{
		MinVersion:       tls.VersionTLS13,
		Certificates:     []tls.Certificate{p.cert},
		RootCAs:          p.pool,
		VerifyConnection: verifyHost,
	}
}

// verifyHost demands that the other side is an entry host.
func verifyHost(state tls.ConnectionState) error {
	id, err := IdentityOf(state.PeerCertificates[0], time.Now())
	if err != nil {
		return err
	}
	if id.Role != core.RoleHost {
		return fmt.Errorf("certificate of the other side has role %q, not %q", id.Role, core.RoleHost)
	}
	return nil
}

// Dialer returns a function that dials with the pair in use at that time. The
// error of a failed handshake is one of dialling: no request was sent.
func (s *Store) Dialer(timeout time.Duration) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		dialer := tls.Dialer{Config: s.ClientConfig()}
		conn, err := dialer.DialContext(ctx, network, address)
		var op *net.OpError
		if err != nil && !(errors.As(err, &op) && op.Op == "dial") {
			err = &net.OpError{Op: "dial", Net: network, Err: err}
		}
		return conn, err
	}
}

// Alerts of RFC 8446, section 6, with which a server refuses the certificate of
// a client.
const (
	alertBadCertificate      = tls.AlertError(42)
	alertCertificateRequired = tls.AlertError(116)
	alertUnknownCA           = tls.AlertError(48)
	alertCertificateExpired  = tls.AlertError(45)
)

// Refused reports whether err says that the server refused the certificate in
// the handshake. With TLS 1.3 the client learns this only from the answer to its
// request, which the server has then not read.
func CertificateRefused(err error) bool {
	var op *net.OpError
	if !errors.As(err, &op) || op.Op != "remote error" {
		return false
	}
	for _, alert := range []tls.AlertError{
		alertBadCertificate, alertCertificateRequired, alertUnknownCA, alertCertificateExpired,
	} {
		// The type of the alert in op is not exported.
		if op.Err.Error() == alert.Error() {
			return true
		}
	}
	return false
}

// IdentityOf reads the identity from a verified certificate's subject: the
// organizational unit is the role, the organizations are the teams, and the
// common name is the name.
func IdentityOf(cert *x509.Certificate, now time.Time) (core.Identity, error) {
	subject := cert.Subject
	if now.Before(cert.NotBefore) || now.After(cert.NotAfter) {
		return core.Identity{}, fmt.Errorf("certificate of %q is valid from %s to %s only",
			subject.CommonName, cert.NotBefore.Format(time.RFC3339), cert.NotAfter.Format(time.RFC3339))
	}
	if subject.CommonName == "" {
		return core.Identity{}, errors.New("certificate has no common name")
	}
	if len(subject.OrganizationalUnit) != 1 {
		return core.Identity{}, fmt.Errorf("certificate of %q has %d organizational units; exactly one, the role, is expected",
			subject.CommonName, len(subject.OrganizationalUnit))
	}
	if len(subject.Organization) > maxTeams {
		return core.Identity{}, fmt.Errorf("certificate of %q names %d teams; at most %d are allowed",
			subject.CommonName, len(subject.Organization), maxTeams)
	}
	id := core.Identity{Name: subject.CommonName, Role: core.Role(subject.OrganizationalUnit[0])}
	switch id.Role {
	case core.RoleHost, core.RoleOperator, core.RoleCaller:
	default:
		return core.Identity{}, fmt.Errorf("certificate of %q has role %q; allowed: %s, %s, %s",
			id.Name, id.Role, core.RoleHost, core.RoleOperator, core.RoleCaller)
	}
	for _, team := range subject.Organization {
		id.Teams = append(id.Teams, core.TeamName(team))
	}
	return id, nil
}
