package host

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"banyanrun.example/banyanrun/platform"
)

// Guards against clients that fill the log with refused requests.
func TestLinesAboutRefusedRequestsAreBounded(t *testing.T) {
	cfg, err := platform.ParseConfiguration([]byte(`{"version":1,"routes":[{"name":"q","host":"jobs","prefix":"/q/","service":"s"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name, method, url, body string
		config                  *platform.Configuration
		peer                    bool
	}{
		{name: "without a configuration", method: http.MethodGet, url: "http://jobs/q/"},
		{name: "for an unknown queue", method: http.MethodGet, url: "http://jobs/unknown/", config: cfg},
		{name: "with an invalid id", method: http.MethodPost, url: "http://jobs/q/x", config: cfg},
		{name: "with a long number in a job", method: http.MethodPost, url: "http://jobs/q/00000000000000aa", body: `{"spec":1` + strings.Repeat("0", 4<<10) + `}`, config: cfg},
		{name: "with an invalid job", method: http.MethodPost, url: "http://jobs/q/00000000000000aa", body: "x", config: cfg},
		{name: "with an invalid message of a host", method: http.MethodPost, url: "http://peer" + pathOrders, body: "x", peer: true},
		{name: "with results for another process", method: http.MethodPost, url: "http://peer" + pathResults, body: `{"process":"x"}`, peer: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out bytes.Buffer
			d := New(&platform.Settings{Host: "host"}, &out, Options{})
			d.config.Store(c.config)
			gates, err := d.newGates()
			if err != nil {
				t.Fatal(err)
			}
			var handler http.Handler = http.HandlerFunc(d.serveCaller)
			if c.peer {
				handler = d.peerRoutes(gates.peers)
			}
			const requests = 10 * maxClientLogLines
			began := time.Now()
			for i := range requests {
				handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(c.method, c.url, strings.NewReader(c.body)))
				if i%maxClientLogLines == 0 {
					// The writer keeps up, so that it drops no lines itself.
					time.Sleep(time.Millisecond)
				}
			}
			periods := int(time.Since(began)/time.Second) + 2
			d.writer.Close()
			lines := strings.Count(out.String(), "\n")
			if lines == 0 || lines > periods*maxClientLogLines {
				t.Errorf("%d requests caused %d lines, want at most %d a second", requests, lines, maxClientLogLines)
			}
			if length := out.Len() / max(1, lines); length > 4*maxLoggedText {
				t.Errorf("a line has %d bytes", length)
			}
			if want := fmt.Sprintf("banyanrun_log_lines_left_out_total %d\n", requests-lines); !strings.Contains(metricsText(d), want) {
				t.Errorf("%d of %d lines were written, and the others are not counted", lines, requests)
			}
		})
	}
}

func metricsText(d *Daemon) string {
	w := httptest.NewRecorder()
	d.metrics.ServeHTTP(w, httptest.NewRequest(http.MethodGet, metricsPath, nil))
	return w.Body.String()
}
