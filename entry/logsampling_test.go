package entry

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"banyanrun.example/banyanrun/core"
)

// Guards against a repeated message that fills the log or suppresses other
// messages.
func TestRepeatedLinesAreSampledByMessage(t *testing.T) {
	var out bytes.Buffer
	d := newTestDaemon()
	d.log = zerolog.New(&out)
	const flood = 10 * logBurst
	for range flood {
		d.writeLog(core.Log{Level: core.LogError, Message: "flood", Job: "j"})
	}
	d.writeLog(core.Log{Level: core.LogWarn, Message: "other"})
	// If the period ends during the test, a second burst is written.
	written := strings.Count(out.String(), `"message":"flood"`)
	if written < logBurst || written > 2*logBurst {
		t.Errorf("%d of %d lines were written, want %d", written, flood, logBurst)
	}
	if strings.Count(out.String(), `"message":"other"`) != 1 {
		t.Error("the line with another message was dropped")
	}
	if want := fmt.Sprintf("banyanrun_log_lines_dropped_total %d\n", flood-written); !strings.Contains(metricsText(d), want) {
		t.Errorf("metrics lack %q", want)
	}
	for i := range 2 * maxLogMessages {
		d.writeLog(core.Log{Message: fmt.Sprint("message ", i)})
	}
	if n := len(d.logLimiter.byMessage); n > maxLogMessages+1 {
		t.Errorf("%d messages have their own limit, want at most %d", n, maxLogMessages+1)
	}
}
