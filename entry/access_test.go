package entry_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/ctl"
	"banyanrun.example/banyanrun/embedded"
	"banyanrun.example/banyanrun/entry"
	"banyanrun.example/banyanrun/keys"
	"banyanrun.example/banyanrun/wire"
)

// conditionTimeout bounds the wait for a condition that is expected to become true.
const conditionTimeout = time.Minute

// eventually waits until a condition holds, and fails the test at the timeout.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), conditionTimeout)
	defer cancel()
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for !holds() {
		select {
		case <-tick.C:
		case <-ctx.Done():
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// parseSettings parses flags, so that defaults apply.
func parseSettings(t *testing.T, args ...string) entry.Settings {
	t.Helper()
	var set entry.Settings
	if _, err := flags.NewParser(&set, flags.None).ParseArgs(args); err != nil {
		t.Fatal(err)
	}
	return set
}

// startDaemon runs a daemon with an embedded platform until the test ends, and
// returns its address.
func startDaemon(t *testing.T, args ...string) string {
	t.Helper()
	set := parseSettings(t, append(args, "--listen=127.0.0.1:0", "--keys-check=10ms")...)
	platform, err := embedded.Start(&set, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d, err := entry.New(set, zerolog.Nop())
	if err != nil {
		platform.Close()
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
		platform.Close()
	})
	return d.Address()
}

// startSecureDaemon runs a daemon whose certificate files are in dir.
func startSecureDaemon(t *testing.T, dir string) string {
	t.Helper()
	name := func(file string) string { return filepath.Join(dir, file) }
	return startDaemon(t, "--cert="+name("cert"), "--key="+name("key"), "--ca="+name("ca"))
}

// response is the part of an HTTP response that the tests check.
type response struct {
	status          int
	reason, verdict string
	body            string
}

// sendRequest sends one request. header alternates names and values.
func sendRequest(t *testing.T, c *http.Client, method, url, body string, header ...string) (response, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := c.Do(req)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, resp.Header.Get(wire.HeaderReason), resp.Header.Get(wire.HeaderVerdict), string(data)}, err
}

// waitReady waits until the daemon is ready.
func waitReady(t *testing.T, c *http.Client, base string) {
	t.Helper()
	eventually(t, "readiness", func() bool {
		r, err := sendRequest(t, c, "GET", base+"/readyz", "")
		return err == nil && r.status == http.StatusOK
	})
}

const documentJSON = `{"schema": 1, "team": "alpha", "service": "s", "weight": 1,
"quota": {"cpus": 8, "memory_mb": 4096, "accelerators": 0, "slots": 8, "connections": 8},
"kinds": [{"name": "index", "urgency": "normal", "idempotent": true,
"request": {"cpus": 1, "memory_mb": 64, "slots": 1}, "run_time": "1h", "deadline": "4h",
"max_attempts": 2, "queue_limit": 10}]}`

// TestAccessOverTLS guards against requests that reach the reducer although the
// caller's role or team does not permit them. It uses a real TLS listener.
func TestAccessOverTLS(t *testing.T) {
	ca, dir := newAuthority(t), t.TempDir()
	ca.write(t, dir, ca.issue(t, "entry-1", "host", valid))
	base := "https://" + startSecureDaemon(t, dir)
	clients := map[string]*http.Client{
		"host":            ca.client(ca.issue(t, "entry-2", "host", valid)),
		"operator":        ca.client(ca.issue(t, "ada", "operator", valid, "alpha")),
		"foreignOperator": ca.client(ca.issue(t, "bob", "operator", valid, "beta")),
		"caller":          ca.client(ca.issue(t, "cal", "caller", valid, "alpha")),
		"foreignCaller":   ca.client(ca.issue(t, "dan", "caller", valid, "beta")),
	}
	waitReady(t, clients["caller"], base)
	const doc, job, jobs = "/v1/documents/alpha", "/v1/jobs/j1", "/v1/jobs"
	// The payload makes the stand-in run the job for an hour, so that it is
	// still running when it is cancelled.
	const jobBody = `{"id": "j1", "team": "alpha", "kind": "index", "payload": "eyJydW5fbXMiOjM2MDAwMDB9"}`
	const ownIdentity, foreignIdentity = `{"name":"cal","role":"caller","teams":["alpha"]}`, `{"name":"dan","role":"caller","teams":["beta"]}`
	const hostIdentity = `{"name":"entry-3","role":"host"}`
	forwarded := func(identity string) []string {
		return []string{wire.HeaderForwarded, "entry-2", wire.HeaderForwardedFor, identity}
	}
	edit := []string{wire.HeaderIfMatch, "0"}
	forbidden := 0
	for _, c := range []struct {
		name, client, method, path, body string
		header                           []string
		status                           int
	}{
		{"caller cannot edit a document", "caller", "PUT", doc, documentJSON, edit, 403},
		{"operator of another team cannot edit the document", "foreignOperator", "PUT", doc, documentJSON, edit, 403},
		{"operator cannot edit under another author's name", "operator", "PUT", doc, documentJSON, append([]string{wire.HeaderAuthor, "bob"}, edit...), 403},
		{"operator edits the document of its team", "operator", "PUT", doc, documentJSON, edit, 200},
		{"caller of another team cannot read the document", "foreignCaller", "GET", doc, "", nil, 403},
		{"caller of another team cannot read the history", "foreignCaller", "GET", doc + "/history", "", nil, 403},
		{"caller of another team cannot submit a job", "foreignCaller", "POST", jobs, jobBody, nil, 403},
		{"operator cannot submit a job", "operator", "POST", jobs, jobBody, nil, 403},
		{"caller submits a job for its team", "caller", "POST", jobs, jobBody, nil, 202},
		{"caller of another team cannot make a call", "foreignCaller", "POST", "/v1/call/alpha/index", "", nil, 403},
		{"caller of another team cannot read the status", "foreignCaller", "GET", job, "", nil, 403},
		{"caller of another team cannot read the explanation", "foreignCaller", "GET", job + "/explain", "", nil, 403},
		{"caller of another team cannot wait for the job", "foreignCaller", "GET", job + "/wait?timeout_ms=1", "", nil, 403},
		{"caller of another team cannot cancel the job", "foreignCaller", "DELETE", job, "", nil, 403},
		{"operator of another team cannot cancel the job", "foreignOperator", "DELETE", job, "", nil, 403},
		{"caller reads its own team", "caller", "GET", "/v1/teams?team=alpha", "", nil, 200},
		{"caller cannot read all teams", "caller", "GET", "/v1/teams", "", nil, 403},
		{"caller cannot read another team", "foreignCaller", "GET", "/v1/teams?team=alpha", "", nil, 403},
		{"caller cannot read the workers", "caller", "GET", "/v1/workers", "", nil, 403},
		{"operator reads the workers", "operator", "GET", "/v1/workers", "", nil, 200},
		{"caller cannot send a peer message", "caller", "POST", "/peer/v1/documents", "{}", nil, 403},
		{"operator cannot send a summary", "operator", "POST", "/peer/v1/summary", "{}", nil, 403},
		{"operator cannot send a heartbeat", "operator", "POST", "/peer/v1/heartbeat", "{}", nil, 403},
		{"caller cannot forward a request", "caller", "GET", job, "", forwarded(ownIdentity), 403},
		{"host cannot read a job for itself", "host", "GET", job, "", nil, 403},
		{"host forwards for a caller of the job's team", "host", "GET", job, "", forwarded(ownIdentity), 200},
		{"host cannot forward for a caller of another team", "host", "GET", job, "", forwarded(foreignIdentity), 403},
		{"host cannot forward for another host", "host", "POST", "/peer/v1/documents", "{}", forwarded(hostIdentity), 403},
		{"host cannot forward without an identity", "host", "GET", job, "", forwarded(""), 403},
		{"caller still finds its job", "caller", "GET", job, "", nil, 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			r, err := sendRequest(t, clients[c.client], c.method, base+c.path, c.body, c.header...)
			if err != nil || r.status != c.status {
				t.Fatalf("got %+v, %v, want status %d", r, err, c.status)
			}
			if c.status == 403 {
				forbidden++
				if r.reason != "forbidden" || r.verdict != "not_run" {
					t.Errorf("got %+v, want forbidden and not_run", r)
				}
			}
			if strings.Contains(r.body, `"cancelled"`) {
				t.Errorf("job was cancelled: %s", r.body)
			}
			if c.method == "PUT" && c.status == 200 && !strings.Contains(r.body, `"author":"ada"`) {
				t.Errorf("author is not the certificate's common name: %s", r.body)
			}
		})
	}
	metrics, err := sendRequest(t, clients["caller"], "GET", base+"/metrics", "")
	if want := `banyanrun_refusals_total{reason="forbidden"} ` + itoa(forbidden) + "\n"; err != nil || !strings.Contains(metrics.body, want) {
		t.Errorf("metrics lack %q: %v", want, err)
	}
	batch, err := sendRequest(t, clients["foreignCaller"], "POST", base+"/v1/jobs/batch", `{"jobs": [`+jobBody+`]}`)
	var batchResponse wire.BatchResponse
	if err == nil {
		err = json.Unmarshal([]byte(batch.body), &batchResponse)
	}
	if err != nil || len(batchResponse.Jobs) != 1 || batchResponse.Jobs[0].Error == nil || batchResponse.Jobs[0].Error.Reason != "forbidden" {
		t.Errorf("batch gave %+v, %v, want forbidden", batch, err)
	}
	cancelled, err := sendRequest(t, clients["caller"], "DELETE", base+job, "")
	if err != nil || cancelled.status != 200 || !strings.Contains(cancelled.body, `"cancelled"`) {
		t.Errorf("cancel by the team gave %+v, %v", cancelled, err)
	}
}

// TestClientsWithoutValidCertificateAreRejected guards against a listener that
// serves clients without a valid certificate.
func TestClientsWithoutValidCertificateAreRejected(t *testing.T) {
	ca, other, dir := newAuthority(t), newAuthority(t), t.TempDir()
	ca.write(t, dir, ca.issue(t, "entry-1", "host", valid))
	base := "https://" + startSecureDaemon(t, dir)
	waitReady(t, ca.client(ca.issue(t, "cal", "caller", valid)), base)
	foreign := other.issue(t, "cal", "caller", valid)
	for name, c := range map[string]*http.Client{
		"no certificate":                     ca.client(nil),
		"an expired certificate":             ca.client(ca.issue(t, "cal", "caller", expired)),
		"a certificate of another authority": ca.client(foreign),
	} {
		if r, err := sendRequest(t, c, "GET", base+"/healthz", ""); err == nil {
			t.Errorf("%s was served: %+v", name, r)
		}
	}
	unknown, err := sendRequest(t, ca.client(ca.issue(t, "x", "admin", valid)), "GET", base+"/healthz", "")
	if err != nil || unknown.reason != "forbidden" {
		t.Errorf("unknown role got %+v, %v, want forbidden", unknown, err)
	}
	if r, err := sendRequest(t, http.DefaultClient, "GET", "http"+strings.TrimPrefix(base, "https")+"/healthz", ""); err == nil && r.status == 200 {
		t.Errorf("plain HTTP was served: %+v", r)
	}
}

// TestClientsOverTLS guards against a command-line client that cannot use its
// certificate, and against a client that accepts a caller's certificate from a
// server.
func TestClientsOverTLS(t *testing.T) {
	ca, dir, clientDir := newAuthority(t), t.TempDir(), t.TempDir()
	ca.write(t, dir, ca.issue(t, "entry-1", "host", valid))
	address := startSecureDaemon(t, dir)
	waitReady(t, ca.client(ca.issue(t, "cal", "caller", valid)), "https://"+address)
	operator := ca.issue(t, "ada", "operator", valid, "alpha")
	ca.write(t, clientDir, operator)
	name := func(file string) string { return filepath.Join(clientDir, file) }
	args := []string{"--entry", address, "--cert", name("cert"), "--key", name("key"), "--ca", name("ca"), "apply", "-"}
	var stdout, stderr bytes.Buffer
	if exit := ctl.Main(t.Context(), args, strings.NewReader(documentJSON), &stdout, &stderr); exit != ctl.ExitOK {
		t.Errorf("apply ended with %d: %s%s", exit, &stdout, &stderr)
	}

	store, err := keys.Load(keys.Files{Cert: name("cert"), Key: name("key"), CA: name("ca")}, "")
	if err != nil {
		t.Fatal(err)
	}
	impostor := httptest.NewUnstartedServer(http.NotFoundHandler())
	caller := ca.issue(t, "cal", "caller", valid)
	impostor.TLS = &tls.Config{Certificates: []tls.Certificate{{Certificate: [][]byte{caller.leaf.Raw}, PrivateKey: caller.key}}}
	impostor.Config.ErrorLog = log.New(io.Discard, "", 0) // The handshake fails on purpose.
	impostor.StartTLS()
	defer impostor.Close()
	conn, err := store.Dialer(conditionTimeout)(t.Context(), "tcp", impostor.Listener.Addr().String())
	var op *net.OpError
	if !errors.As(err, &op) || op.Op != "dial" || !strings.Contains(err.Error(), `role "caller"`) {
		t.Errorf("dial gave %v, %v, want a dial error about the role", conn, err)
	}
}

// TestCertificateReload guards against a daemon that needs a restart for a new
// certificate or authority, and against one that stops serving because of a broken
// file.
func TestCertificateReload(t *testing.T) {
	old, dir := newAuthority(t), t.TempDir()
	first := old.issue(t, "entry-1", "host", valid)
	old.write(t, dir, first)
	address := startSecureDaemon(t, dir)
	caller := old.issue(t, "cal", "caller", valid)
	waitReady(t, old.client(caller), "https://"+address)

	replace(t, dir, "cert", []byte("not a certificate"))
	eventually(t, "the count of failed reloads", func() bool {
		r, err := sendRequest(t, old.client(caller), "GET", "https://"+address+"/metrics", "")
		return err == nil && counterValue(r.body, `banyanrun_key_reloads_total{result="failed"}`) == 1
	})
	if serial, err := old.servedSerial(address, caller); err != nil || serial.Cmp(first.leaf.SerialNumber) != 0 {
		t.Fatalf("with a broken file, certificate %v is served, error %v", serial, err)
	}

	renewed := newAuthority(t)
	second := renewed.issue(t, "entry-1", "host", valid)
	renewed.write(t, dir, second)
	newCaller := renewed.issue(t, "cal", "caller", valid)
	eventually(t, "the new certificate", func() bool {
		serial, err := renewed.servedSerial(address, newCaller)
		return err == nil && serial.Cmp(second.leaf.SerialNumber) == 0
	})
	// The client trusts the new authority, but its own certificate was issued by
	// the one that was removed.
	if r, err := sendRequest(t, renewed.client(caller), "GET", "https://"+address+"/healthz", ""); err == nil {
		t.Errorf("certificate of a removed authority was served: %+v", r)
	}
}

// TestInvalidKeyFilesAreNotLoaded guards against unusable files that replace a
// usable key pair, and against an error that is reported again at each check.
func TestInvalidKeyFilesAreNotLoaded(t *testing.T) {
	ca := newAuthority(t)
	for _, c := range []struct {
		name string
		edit func(dir string)
		err  string
	}{
		{"a file that is not a certificate", func(dir string) { replace(t, dir, "cert", []byte("x")) }, "PEM"},
		{"a certificate without its key", func(dir string) {
			other := t.TempDir()
			ca.write(t, other, ca.issue(t, "entry-2", "host", valid))
			data, err := os.ReadFile(filepath.Join(other, "cert"))
			if err != nil {
				t.Fatal(err)
			}
			replace(t, dir, "cert", data)
		}, "private key"},
		{"an expired certificate", func(dir string) { ca.write(t, dir, ca.issue(t, "entry-2", "host", expired)) }, "valid from"},
		{"a certificate of another role", func(dir string) { ca.write(t, dir, ca.issue(t, "c", "caller", valid)) }, `role "caller"`},
		{"a bundle without authorities", func(dir string) { replace(t, dir, "ca", nil) }, "authority"},
		{"a file that is missing", func(dir string) { _ = os.Remove(filepath.Join(dir, "key")) }, "key"},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir, now := t.TempDir(), time.Now()
			ca.write(t, dir, ca.issue(t, "entry-1", "host", valid))
			name := func(file string) string { return filepath.Join(dir, file) }
			store, err := keys.Load(keys.Files{Cert: name("cert"), Key: name("key"), CA: name("ca")}, core.RoleHost)
			if err != nil {
				t.Fatal(err)
			}
			c.edit(dir)
			if changed, err := store.Reload(now); changed || err == nil || !strings.Contains(err.Error(), c.err) {
				t.Fatalf("changed %v, error %v, want one with %q", changed, err, c.err)
			}
			if changed, err := store.Reload(now); changed || err != nil {
				t.Errorf("second check: changed %v, error %v reported again", changed, err)
			}
			if store.Identity().Name != "entry-1" || store.Generation() != 0 {
				t.Errorf("key pair of %q, generation %d, is in use", store.Identity().Name, store.Generation())
			}
			ca.write(t, dir, ca.issue(t, "entry-3", "host", valid))
			if changed, err := store.Reload(now); !changed || err != nil || store.Identity().Name != "entry-3" {
				t.Errorf("after the repair: changed %v, error %v, %q in use", changed, err, store.Identity().Name)
			}
		})
	}
}

// TestSettingsRequireKeys guards against a daemon that serves without TLS although
// --insecure was not given.
func TestSettingsRequireKeys(t *testing.T) {
	for _, c := range []struct {
		name string
		args []string
		err  string
	}{
		{"the daemon does not start without certificate files", nil, "--cert, --key, --ca"},
		{"one file of three is not enough", []string{"--cert=x"}, "BANYANRUN_INSECURE"},
		{"insecure and certificate files exclude each other", []string{"--insecure", "--cert=x", "--key=y", "--ca=z"}, "--insecure"},
		{"the error names a missing file", []string{"--cert=nowhere", "--key=y", "--ca=z"}, "nowhere"},
	} {
		t.Run(c.name, func(t *testing.T) {
			set := parseSettings(t, append(c.args, "--host=h", "--data-centre=d", "--platform=127.0.0.1:1", "--listen=127.0.0.1:0")...)
			if _, err := entry.New(set, zerolog.Nop()); err == nil || !strings.Contains(err.Error(), c.err) {
				t.Errorf("error %v, want one with %s", err, c.err)
			}
		})
	}
	for listen, insecure := range map[string]bool{"127.0.0.1:0": true, "[::1]:0": true, "0.0.0.0:0": false} {
		set := parseSettings(t, "--listen="+listen)
		platform, err := embedded.Start(&set, "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		platform.Close()
		if set.Insecure != insecure {
			t.Errorf("embedded on %s: insecure is %v, want %v", listen, set.Insecure, insecure)
		}
	}
}

// waitOneClosed waits until the daemon closes one of two connections.
func waitOneClosed(t *testing.T, first, second net.Conn) {
	t.Helper()
	closed := make(chan error, 2)
	for _, conn := range []net.Conn{first, second} {
		go func() {
			// The read returns only when the connection is closed.
			n, err := conn.Read(make([]byte, 1))
			if err == nil {
				err = fmt.Errorf("read %d bytes, want a closed connection", n)
			} else {
				err = nil
			}
			closed <- err
		}()
	}
	if err := <-closed; err != nil {
		t.Fatal(err)
	}
}

// TestConnectionsAreBounded guards against clients that exhaust the host with open
// connections, and against connection slots that are not released.
func TestConnectionsAreBounded(t *testing.T) {
	address := startDaemon(t, "--max-connections=1")
	first, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	second, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	waitOneClosed(t, first, second)
	first.Close()
	second.Close()
	waitReady(t, &http.Client{}, "http://"+address)
}
