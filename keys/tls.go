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

// maxTeams limits the teams of a certificate, so that an identity with names of
// 64 bytes, the X.509 limit, fits into the header of a forwarded request.
const maxTeams = 128

// ServerConfig returns the configuration of a listener. Each handshake uses the
// credentials that are current at that time and requires a verified client
// certificate.
func (s *Store) ServerConfig() *tls.Config { return s.listenerConfig(nil) }

// PeerServerConfig returns the configuration of a listener that only accepts
// entry hosts: the client certificate must have the host role.
func (s *Store) PeerServerConfig() *tls.Config { return s.listenerConfig(verifyHost) }

// listenerConfig returns the configuration of a listener. verify, if not nil, is
// an additional check of the connection.
func (s *Store) listenerConfig(verify func(tls.ConnectionState) error) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			p := s.current.Load()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{p.cert},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    p.caPool,
				// A resumed session would still trust CAs that were
				// removed from the bundle.
				SessionTicketsDisabled: true,
				VerifyConnection:       verify,
			}, nil
		},
	}
}

// ClientConfig returns the configuration of a connection to an entry host. The
// server must have a verified certificate with the host role, so that a caller
// cannot impersonate a host.
func (s *Store) ClientConfig() *tls.Config {
	p := s.current.Load()
	return &tls.Config{
		MinVersion:       tls.VersionTLS13,
		Certificates:     []tls.Certificate{p.cert},
		RootCAs:          p.caPool,
		VerifyConnection: verifyHost,
	}
}

// verifyHost returns an error unless the peer is an entry host.
func verifyHost(state tls.ConnectionState) error {
	id, err := IdentityOf(state.PeerCertificates[0], time.Now())
	if err != nil {
		return err
	}
	if id.Role != core.RoleHost {
		return fmt.Errorf("peer certificate has role %q, not %q", id.Role, core.RoleHost)
	}
	return nil
}

// Dialer returns a function that dials with the credentials that are current at
// that time. It reports a failed handshake as a dial error, because no request
// was sent.
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

// TLS alerts (RFC 8446, section 6) with which a server rejects a client
// certificate.
const (
	alertBadCertificate      = tls.AlertError(42)
	alertCertificateRequired = tls.AlertError(116)
	alertUnknownCA           = tls.AlertError(48)
	alertCertificateExpired  = tls.AlertError(45)
)

// CertificateRejected reports whether err means that the server rejected the
// client certificate in the handshake. With TLS 1.3 the client learns this only
// when it reads the response to its first request; the server has not read that
// request.
func CertificateRejected(err error) bool {
	var op *net.OpError
	if !errors.As(err, &op) || op.Op != "remote error" {
		return false
	}
	for _, alert := range []tls.AlertError{
		alertBadCertificate, alertCertificateRequired, alertUnknownCA, alertCertificateExpired,
	} {
		// op.Err has an unexported type, so its text is compared.
		if op.Err.Error() == alert.Error() {
			return true
		}
	}
	return false
}

// IdentityOf returns the identity in the subject of a verified certificate: the
// common name is the name, the organizational unit is the role, and the
// organizations are the teams.
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
