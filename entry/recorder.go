package entry

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/wire"
)

// recorder writes every step of the reducer to a file for banyanrun-replay. A nil
// recorder records nothing. Steps are written by the control goroutine only.
type recorder struct {
	file *os.File
	out  *bufio.Writer
}

// newRecorder creates the file and writes the header. It returns nil if path is
// empty.
func newRecorder(path string, cfg core.Config) (*recorder, error) {
	if path == "" {
		return nil, nil
	}
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("create recording: %w", err)
	}
	r := &recorder{file: file, out: bufio.NewWriter(file)}
	header, err := json.Marshal(wire.RecordingHeader{Version: wire.RecordingVersion, Config: cfg})
	if err != nil {
		return nil, fmt.Errorf("encode recording header: %w", err)
	}
	return r, r.writeLine(header)
}

func (r *recorder) writeLine(data []byte) error {
	if _, err := r.out.Write(data); err != nil {
		return err
	}
	return r.out.WriteByte('\n')
}

// write records one step.
func (r *recorder) write(e core.Event, effects []core.Effect) error {
	if r == nil {
		return nil
	}
	data, err := wire.EncodeStep(e, effects)
	if err != nil {
		return err
	}
	return r.writeLine(data)
}

// close flushes and closes the file.
func (r *recorder) close() error {
	if r == nil {
		return nil
	}
	if err := r.out.Flush(); err != nil {
		return fmt.Errorf("flush recording: %w", err)
	}
	return r.file.Close()
}
