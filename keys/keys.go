// Package keys loads a certificate, its private key and a CA bundle from files,
// reloads them when the files change, and provides configurations for mutual TLS
// and the identities of certificates.
package keys

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"banyanrun.example/banyanrun/core"
)

// maxFileBytes limits the size of each file. A bundle of 100 CA certificates is
// about 200 KB.
const maxFileBytes = 1 << 20

// Files holds the names of the files, all in PEM format.
type Files struct {
	Cert string
	Key  string
	CA   string
}

// AnySet reports whether any file name is set.
func (f Files) AnySet() bool { return f != Files{} }

// AllSet reports whether all file names are set.
func (f Files) AllSet() bool { return f.Cert != "" && f.Key != "" && f.CA != "" }

// credentials holds what was loaded from one version of the files.
type credentials struct {
	cert       tls.Certificate
	caPool     *x509.CertPool
	identity   core.Identity
	generation uint64
}

// Store holds the current credentials.
type Store struct {
	files   Files
	role    core.Role
	current atomic.Pointer[credentials]

	mu             sync.Mutex
	loadedContents []byte // file contents of the current credentials
	lastError      string // last error reported, empty after a success
}

// Load reads the files. They must be valid and, unless role is empty, the
// certificate must have that role. Files that are loaded later must meet the same
// conditions.
func Load(files Files, role core.Role) (*Store, error) {
	s := &Store{files: files, role: role}
	if _, err := s.Reload(time.Now()); err != nil {
		return nil, err
	}
	return s, nil
}

// Reload reads the files and replaces the credentials if the files have changed.
// On an error the previous credentials stay in use. The same error is returned
// only once in a row, but the next Reload tries the files again, since a
// certificate may become valid later.
func (s *Store) Reload(now time.Time) (changed bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next, contents, err := s.load(now)
	if err != nil {
		if err.Error() == s.lastError {
			return false, nil
		}
		s.lastError = err.Error()
		return false, err
	}
	s.lastError = ""
	if next == nil {
		return false, nil
	}
	if old := s.current.Load(); old != nil {
		next.generation = old.generation + 1
	}
	s.loadedContents = contents
	s.current.Store(next)
	return true, nil
}

// load reads and parses the files. It returns nil credentials if the files have
// not changed.
func (s *Store) load(now time.Time) (*credentials, []byte, error) {
	contents, err := s.readFiles()
	if err != nil {
		return nil, nil, err
	}
	joined := bytes.Join(contents, []byte{0})
	if s.loadedContents != nil && bytes.Equal(joined, s.loadedContents) {
		return nil, nil, nil
	}
	next, err := parseCredentials(contents, now)
	if err == nil && s.role != "" && next.identity.Role != s.role {
		err = fmt.Errorf("certificate has role %q, not %q", next.identity.Role, s.role)
	}
	if err != nil {
		return nil, nil, fmt.Errorf("certificate %s, key %s and CA bundle %s: %w", s.files.Cert, s.files.Key, s.files.CA, err)
	}
	return next, joined, nil
}

// readFiles returns the contents of the certificate, key and CA files, in this
// order.
func (s *Store) readFiles() ([][]byte, error) {
	var out [][]byte
	for _, name := range []string{s.files.Cert, s.files.Key, s.files.CA} {
		info, err := os.Stat(name)
		if err != nil {
			return nil, err
		}
		if info.Size() > maxFileBytes {
			return nil, fmt.Errorf("%s has more than %d bytes", name, maxFileBytes)
		}
		data, err := os.ReadFile(name)
		if err != nil {
			return nil, err
		}
		out = append(out, data)
	}
	return out, nil
}

// parseCredentials parses the contents that readFiles returns and checks that the
// certificate is valid at time now.
func parseCredentials(contents [][]byte, now time.Time) (*credentials, error) {
	cert, err := tls.X509KeyPair(contents[0], contents[1])
	if err != nil {
		return nil, err
	}
	if cert.Leaf == nil {
		return nil, errors.New("certificate was not parsed")
	}
	identity, err := IdentityOf(cert.Leaf, now)
	if err != nil {
		return nil, err
	}
	caPool := x509.NewCertPool()
	if !caPool.AppendCertsFromPEM(contents[2]) {
		return nil, errors.New("CA bundle contains no certificate of a certificate authority")
	}
	return &credentials{cert: cert, caPool: caPool, identity: identity}, nil
}

// Watch calls Reload every period until ctx ends. It calls report with nil after
// each change and with each new error.
func (s *Store) Watch(ctx context.Context, period time.Duration, report func(error)) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if changed, err := s.Reload(now); changed || err != nil {
				report(err)
			}
		}
	}
}

// Identity returns the identity of the current certificate.
func (s *Store) Identity() core.Identity { return s.current.Load().identity }

// Generation returns how often the credentials have been replaced.
func (s *Store) Generation() uint64 { return s.current.Load().generation }

// NotAfter returns when the current certificate expires.
func (s *Store) NotAfter() time.Time { return s.current.Load().cert.Leaf.NotAfter }
