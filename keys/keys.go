// Package keys loads a certificate, its key and a bundle of certificate
// authorities from files, keeps them current while the files change, and derives
// mutual TLS configurations and identities from them.
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

// maxFileBytes bounds each file. A bundle of a hundred authorities has about
// 200 KB.
const maxFileBytes = 1 << 20

// Files names the files, all in PEM form.
type Files struct {
	Cert string
	Key  string
	CA   string
}

// Given reports whether any file is named.
func (f Files) AnySet() bool { return f != Files{} }

// Complete reports whether every file is named.
func (f Files) AllSet() bool { return f.Cert != "" && f.Key != "" && f.CA != "" }

// pair is one loaded set of files.
type credentials struct {
	cert       tls.Certificate
	pool       *x509.CertPool
	identity   core.Identity
	generation uint64
}

// Store holds the pair in use.
type Store struct {
	files   Files
	role    core.Role
	current atomic.Pointer[credentials]

	mu             sync.Mutex
	loadedContents []byte // contents of the files of the pair in use
	lastError      string // last error that was reported
}

// Load reads the files. They must be usable, and the certificate must have the
// role, unless role is empty. The same holds for files that replace them.
func Load(files Files, role core.Role) (*Store, error) {
	s := &Store{files: files, role: role}
	if _, err := s.Reload(time.Now()); err != nil {
		return nil, err
	}
	return s, nil
}

// Check reads the files and takes them into use if they have changed. After an
// error the pair before stays in use. The same error is reported once, and the
// files are tried again at the next check, since a certificate may become valid
// with time.
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

// load reads and parses the files. It returns no pair if they are those in use.
func (s *Store) load(now time.Time) (*credentials, []byte, error) {
	contents, err := s.readFiles()
	if err != nil {
		return nil, nil, err
	}
	joined := bytes.Join(contents, []byte{0})
	if s.loadedContents != nil && bytes.Equal(joined, s.loadedContents) {
		return nil, nil, nil
	}
	next, err := parse(contents, now)
	if err == nil && s.role != "" && next.identity.Role != s.role {
		err = fmt.Errorf("certificate has role %q, not %q", next.identity.Role, s.role)
	}
	if err != nil {
		return nil, nil, fmt.Errorf("certificate %s, key %s and authorities %s: %w", s.files.Cert, s.files.Key, s.files.CA, err)
	}
	return next, joined, nil
}

// read returns the contents of the three files.
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

// parse decodes certificate, key and authorities.
func parse(contents [][]byte, now time.Time) (*credentials, error) {
	cert, err := tls.X509KeyPair(contents[0], contents[1])
	if err != nil {
		return nil, err
	}
	if cert.Leaf == nil {
		return nil, errors.New("certificate was not decoded")
	}
	identity, err := IdentityOf(cert.Leaf, now)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(contents[2]) {
		return nil, errors.New("the bundle contains no certificate of an authority")
	}
	return &credentials{cert: cert, pool: pool, identity: identity}, nil
}

// Watch checks the files every period until ctx ends. It reports each change
// and each new error.
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

// Identity returns the identity of the certificate in use.
func (s *Store) Identity() core.Identity { return s.current.Load().identity }

// Generation counts the changes of the pair in use.
func (s *Store) Generation() uint64 { return s.current.Load().generation }

// NotAfter returns the end of validity of the certificate in use.
func (s *Store) NotAfter() time.Time { return s.current.Load().cert.Leaf.NotAfter }
