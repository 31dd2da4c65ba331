package entry_test

import (
	"net"
	"net/http"
	"testing"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/internal/testaddr"
	"banyanrun.example/banyanrun/wire"
)

// Guards against callers that use up the connections peers need, in which case the
// data centre would lose its owner, and against callers that are served on the
// peers' address, where they could do the same.
func TestPeersConnectWhileCallersUseAllConnections(t *testing.T) {
	ca, dir := newAuthority(t), t.TempDir()
	ca.write(t, dir, ca.issue(t, "entry-1", "host", valid))
	host, caller := ca.client(ca.issue(t, "entry-2", "host", valid)), ca.client(ca.issue(t, "cal", "caller", valid, "alpha"))
	for _, c := range []struct {
		name, scheme string
		args         []string
		peer, caller *http.Client
		// reason is empty if the caller's handshake must fail.
		reason core.Reason
	}{
		{"without keys", "http://", nil, &http.Client{}, &http.Client{}, core.ReasonForbidden},
		{"with keys", "https://", []string{"--cert=" + dir + "/cert", "--key=" + dir + "/key", "--ca=" + dir + "/ca"}, host, caller, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			peerAddress := testaddr.Free(t)
			callerAddress := startDaemon(t, append(c.args, "--max-connections=1", "--peer-listen="+peerAddress)...)
			accepted, err := net.Dial("tcp", callerAddress)
			if err != nil {
				t.Fatal(err)
			}
			defer accepted.Close()
			further, err := net.Dial("tcp", callerAddress)
			if err != nil {
				t.Fatal(err)
			}
			defer further.Close()
			waitOneClosed(t, accepted, further)
			for range 4 {
				r, err := sendRequest(t, c.peer, "POST", c.scheme+peerAddress+"/peer/v1/heartbeat", `{"From":"entry-2","Address":"127.0.0.1:1"}`)
				if err != nil || r.status != http.StatusNoContent {
					t.Fatalf("heartbeat got %+v, %v", r, err)
				}
			}
			r, err := sendRequest(t, c.caller, "GET", c.scheme+peerAddress+wire.PathTeams, "")
			if (err != nil) != (c.reason == "") || r.reason != string(c.reason) {
				t.Errorf("caller on the peers' address got %+v, %v; want reason %q", r, err, c.reason)
			}
		})
	}
}
