package integration

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/json"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/integration/cluster"
	"banyanrun.example/banyanrun/standin"
	"banyanrun.example/banyanrun/wire"
)

// tlsTeam is the team in the client certificates.
const tlsTeam = "blue"

// tlsHost is an entry host with a certificate.
type tlsHost struct {
	id, address, logPath string
	cmd                  *exec.Cmd
}

// tlsCluster is two entry hosts of one data centre that use mutual TLS.
type tlsCluster struct {
	t                *testing.T
	standin          *standin.Server
	hosts            [2]*tlsHost
	operator, caller *http.Client
}

// certificate is a certificate with its private key.
type certificate struct {
	leaf *x509.Certificate
	key  *ecdsa.PrivateKey
}

// issueCertificate issues a certificate, which is a self-signed authority if issuer
// is nil.
func issueCertificate(t *testing.T, subject pkix.Name, ip net.IP, issuer *certificate) *certificate {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	serial, err := rand.Int(rand.Reader, big.NewInt(1<<62))
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: serial, Subject: subject, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(24 * time.Hour),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	signer := &certificate{template, key}
	if issuer != nil {
		signer = issuer
		if ip != nil {
			template.IPAddresses = []net.IP{ip}
		}
	} else {
		template.IsCA, template.BasicConstraintsValid, template.KeyUsage, template.ExtKeyUsage = true, true, x509.KeyUsageCertSign, nil
	}
	der, err := x509.CreateCertificate(rand.Reader, template, signer.leaf, &key.PublicKey, signer.key)
	if err != nil {
		t.Fatal(err)
	}
	leaf, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return &certificate{leaf, key}
}

// writeFiles writes the certificate, its key and the authority's certificate to
// files, and returns the flags that name them.
func (c *certificate) writeFiles(t *testing.T, authority *certificate) []string {
	t.Helper()
	der, err := x509.MarshalPKCS8PrivateKey(c.key)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	var args []string
	for _, f := range []struct {
		flag, kind string
		data       []byte
	}{{"ca", "CERTIFICATE", authority.leaf.Raw}, {"cert", "CERTIFICATE", c.leaf.Raw}, {"key", "PRIVATE KEY", der}} {
		name := filepath.Join(dir, f.flag)
		if err := os.WriteFile(name, pem.EncodeToMemory(&pem.Block{Type: f.kind, Bytes: f.data}), 0o600); err != nil {
			t.Fatal(err)
		}
		args = append(args, "--"+f.flag, name)
	}
	return args
}

// newClient returns an HTTP client that authenticates with the certificate.
func (c *certificate) newClient(authority *certificate) *http.Client {
	pool := x509.NewCertPool()
	pool.AddCert(authority.leaf)
	pair := tls.Certificate{Certificate: [][]byte{c.leaf.Raw}, PrivateKey: c.key}
	return &http.Client{Timeout: cluster.WaitTimeout, Transport: &http.Transport{
		DisableKeepAlives: true, TLSClientConfig: &tls.Config{RootCAs: pool, Certificates: []tls.Certificate{pair}},
	}}
}

// startTLSCluster starts the stand-in and the hosts.
func startTLSCluster(t *testing.T) *tlsCluster {
	t.Helper()
	t.Parallel()
	clusterSlots <- struct{}{}
	t.Cleanup(func() { <-clusterSlots })
	// Outgoing connections use another address, so the ports stay free.
	ip := fmt.Sprintf("127.%d.%d.1", 220+os.Getpid()%30, os.Getpid()/30%250)
	authority := issueCertificate(t, pkix.Name{CommonName: "test authority"}, nil, nil)
	newClient := func(name, role string) *http.Client {
		subject := pkix.Name{CommonName: name, OrganizationalUnit: []string{role}, Organization: []string{tlsTeam}}
		return issueCertificate(t, subject, nil, authority).newClient(authority)
	}
	c := &tlsCluster{t: t, operator: newClient("ada", "operator"), caller: newClient("cal", "caller")}
	for i := range c.hosts {
		c.hosts[i] = &tlsHost{id: fmt.Sprintf("host-%d", i), address: net.JoinHostPort(ip, fmt.Sprint(7600+i))}
	}
	var err error
	c.standin, err = standin.Start(standin.Config{
		Topology: standin.Topology{DataCentres: []standin.DataCentre{{Name: "a", Region: cluster.Region, Racks: []standin.Rack{
			{Name: "rack", Workers: []standin.WorkerGroup{{ID: "worker", Count: 2, Capacity: cluster.WorkerCapacity}}},
		}}}},
		Hosts: []wire.ListedHost{c.hosts[0].listedHost(), c.hosts[1].listedHost()},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.standin.Close)
	for _, h := range c.hosts {
		subject := pkix.Name{CommonName: h.id, OrganizationalUnit: []string{"host"}}
		c.startHost(h, issueCertificate(t, subject, net.ParseIP(ip), authority).writeFiles(t, authority))
	}
	for _, h := range c.hosts {
		c.waitUntil(h.id+" is ready", func() bool { return c.get(h, "/readyz", nil) == http.StatusOK })
	}
	return c
}

func (h *tlsHost) listedHost() wire.ListedHost {
	return wire.ListedHost{ID: h.id, Address: h.address, DataCentre: "a", Region: cluster.Region}
}

// startHost starts a host, which is killed at the end of the test.
func (c *tlsCluster) startHost(h *tlsHost, keys []string) {
	c.t.Helper()
	h.logPath = filepath.Join(c.t.TempDir(), "log")
	log, err := os.Create(h.logPath)
	if err != nil {
		c.t.Fatal(err)
	}
	defer log.Close()
	h.cmd = exec.Command(binary, append(keys, "--host", h.id, "--listen", h.address, "--data-centre", "a",
		"--region", cluster.Region, "--platform", c.standin.StoreAddress(), "--owner-lease", "2s",
		"--sync-wait", "1s", "--journal-rate", "20", "--seed", "1")...)
	h.cmd.Stderr = log
	if err := h.cmd.Start(); err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() {
		h.kill()
		data, err := os.ReadFile(h.logPath)
		if err != nil || bytes.Contains(data, []byte("DATA RACE")) || c.t.Failed() {
			c.t.Errorf("log of %s: %s, %v", h.id, data, err)
		}
	})
}

// kill kills the process and waits until it has exited.
func (h *tlsHost) kill() {
	_ = h.cmd.Process.Kill() // An error means that it has exited.
	_ = h.cmd.Wait()         // The error says that it was killed or already waited for.
}

// waitUntil waits for a condition and fails the test after cluster.WaitTimeout.
func (c *tlsCluster) waitUntil(description string, condition func() bool) {
	c.t.Helper()
	for start := time.Now(); time.Since(start) < cluster.WaitTimeout; time.Sleep(50 * time.Millisecond) {
		if condition() {
			return
		}
	}
	c.t.Fatalf("timed out after %s waiting until %s", cluster.WaitTimeout, description)
}

// send sends a request and decodes a successful response into out. It returns the
// status, or 0 if there is no complete response.
func (c *tlsCluster) send(client *http.Client, h *tlsHost, method, path, body string, out any, header ...string) int {
	req, err := http.NewRequestWithContext(context.Background(), method, "https://"+h.address+path, strings.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		return 0
	case resp.StatusCode >= http.StatusBadRequest:
		c.t.Logf("%s %s at %s: %d %s", method, path, h.id, resp.StatusCode, data)
	case out != nil:
		if text, ok := out.(*string); ok {
			*text = string(data)
		} else if err := json.Unmarshal(data, out); err != nil {
			c.t.Fatalf("%s %s: %v in %s", method, path, err, data)
		}
	}
	return resp.StatusCode
}

// get sends a GET request as the operator.
func (c *tlsCluster) get(h *tlsHost, path string, out any) int {
	return c.send(c.operator, h, http.MethodGet, path, "", out)
}

// waitForOwner waits until one of the hosts owns the data centre and returns it.
func (c *tlsCluster) waitForOwner(candidates ...*tlsHost) *tlsHost {
	c.t.Helper()
	var found *tlsHost
	c.waitUntil("a host owns the data centre", func() bool {
		for _, h := range candidates {
			var view wire.HostsView
			if c.get(h, wire.PathHostsView, &view) != http.StatusOK {
				continue
			}
			for _, v := range view.Hosts {
				if string(v.ID) == h.id && v.Owner {
					found = h
					return true
				}
			}
		}
		return false
	})
	return found
}

// hasSent reports whether a peer has accepted a message that the host sent to path.
func (c *tlsCluster) hasSent(h *tlsHost, path string) bool {
	var text string
	c.get(h, "/metrics", &text)
	return strings.Contains(text, `banyanrun_peer_messages_total{path="`+path+`",result="ok"}`)
}

// waitForSuccess waits until a host reports that a job has succeeded.
func (c *tlsCluster) waitForSuccess(h *tlsHost, id string) {
	c.t.Helper()
	c.waitUntil(id+" has succeeded at "+h.id, func() bool {
		var s wire.JobStatus
		status := c.send(c.caller, h, http.MethodGet, wire.PathJobs+"/"+id, "", &s)
		return status == http.StatusOK && s.State == core.JobSucceeded
	})
}

// submit submits a job with the given run time until it is accepted.
func (c *tlsCluster) submit(h *tlsHost, id string, run time.Duration) {
	c.t.Helper()
	body, err := json.Marshal(wire.JobRequest{
		ID: core.JobID(id), Team: tlsTeam, Kind: cluster.KindBilled, Payload: cluster.JobPayload(id, run),
	})
	if err != nil {
		c.t.Fatal(err)
	}
	c.waitUntil(id+" is accepted at "+h.id, func() bool {
		return c.send(c.caller, h, http.MethodPost, wire.PathJobs, string(body), nil) == http.StatusAccepted
	})
}

// Guards against hosts that cannot communicate with each other once they use
// certificates: heartbeats, documents, forwarded requests and takeovers all depend
// on mutual TLS between peers.
func TestPeersCommunicateOverMutualTLS(t *testing.T) {
	c := startTLSCluster(t)
	owner := c.waitForOwner(c.hosts[:]...)
	other := c.hosts[0]
	if owner == other {
		other = c.hosts[1]
	}
	for _, h := range c.hosts {
		c.waitUntil(h.id+" has exchanged heartbeats with the other host", func() bool {
			var view wire.HostsView
			heartbeats := 0
			if c.get(h, wire.PathHostsView, &view) == http.StatusOK {
				for _, v := range view.Hosts {
					if v.HeartbeatAgeMS >= 0 {
						heartbeats++
					}
				}
			}
			return heartbeats == len(c.hosts) && c.hasSent(h, "/peer/v1/heartbeat")
		})
	}
	var version wire.DocumentVersion
	edit := func() int {
		return c.send(c.operator, other, http.MethodPut, wire.PathDocuments+"/"+tlsTeam, cluster.Document(1), &version, wire.HeaderIfMatch, "0")
	}
	if status := edit(); status != http.StatusOK {
		t.Fatalf("edit: status %d", status)
	}
	c.waitUntil("the edit, sent to the other host, has reached the owner", func() bool {
		var now wire.DocumentVersion
		return c.get(owner, wire.PathDocuments+"/"+tlsTeam, &now) == http.StatusOK &&
			now.Revision == version.Revision && c.hasSent(other, "/peer/v1/documents")
	})
	c.submit(other, "first", 0)
	c.waitForSuccess(owner, "first")
	c.submit(other, "running", 5*time.Second)
	owner.kill()
	c.waitForOwner(other)
	c.submit(other, "after", 0)
	for _, id := range []string{"after", "running", "first"} {
		c.waitForSuccess(other, id)
	}
	ledger, err := c.standin.Ledger(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	starts := map[string]int{}
	for _, w := range ledger.Workers {
		for _, e := range w.Entries {
			starts[e.Job]++
		}
	}
	for _, id := range []string{"first", "running", "after"} {
		if starts[id] != 1 {
			t.Errorf("job %s was started %d times, want once", id, starts[id])
		}
	}
}
