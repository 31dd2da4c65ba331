package ingress

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"

	"banyanrun.example/banyanrun/internal/ingress/budget"
)

const (
	// firstBufferBytes is the first size of the buffer for a body. It doubles while
	// the body is read.
	firstBufferBytes = 4 << 10
	// RetryAfter is when a client that was refused for lack of memory may return. The
	// requests that hold the memory are answered within about this time.
	RetryAfter = time.Second
)

// Memory of a decoded JSON value, in bytes: for each object, including the growth of
// the slice that holds it, and for each other value.
const (
	objectBytes = 640
	valueBytes  = 32
)

// RefusedError reports that there is no memory for a request. It was not passed on.
type RefusedError struct {
	// TooLarge means that the request would not be served alone either.
	TooLarge bool
}

// Error implements error.
func (e *RefusedError) Error() string {
	if e.TooLarge {
		return "the request takes more memory than clients may hold together"
	}
	return "the clients' requests in progress hold all memory for them; nothing was stored"
}

// ReadBody reads a request body of at most limit bytes. It returns *http.MaxBytesError
// if the body is longer and *RefusedError if there is no memory for it.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	c := connOf(r)
	if c == nil {
		return io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	}
	if r.ContentLength > limit {
		// The connection is closed instead of reading the body.
		w.Header().Set("Connection", "close")
		return nil, &http.MaxBytesError{Limit: limit}
	}
	b := bodyReader{conn: c, controller: http.NewResponseController(w)}
	body, err := b.readAll(http.MaxBytesReader(w, r.Body, limit), r.ContentLength, limit)
	if err == nil {
		return body, nil
	}
	w.Header().Set("Connection", "close")
	if c.isAborted() {
		return nil, &RefusedError{}
	}
	return nil, err
}

// bodyReader reads the body of a request into memory that the gate has granted.
type bodyReader struct {
	conn       *conn
	controller *http.ResponseController
}

// readAll reads a body of the given length, which is negative if it is unknown.
func (b *bodyReader) readAll(body io.Reader, length, limit int64) ([]byte, error) {
	var buf []byte
	for {
		if len(buf) == cap(buf) {
			var err error
			if buf, err = b.grow(buf, length, limit); err != nil {
				return nil, err
			}
		}
		if err := b.extendDeadline(); err != nil {
			return nil, err
		}
		n, err := body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if errors.Is(err, io.EOF) {
			return buf, errors.Join(b.clearDeadline(), b.conn.resizeBody(int64(cap(buf))))
		}
		if err != nil {
			return nil, err
		}
	}
}

// grow returns a larger copy of buf. A buffer for a body of known length has one byte
// more, so that the end of the body is read without a further copy.
func (b *bodyReader) grow(buf []byte, length, limit int64) ([]byte, error) {
	size := min(max(firstBufferBytes, 2*int64(cap(buf))), limit+1)
	if length >= 0 {
		size = min(size, length+1)
	}
	if err := b.conn.resizeBody(int64(cap(buf)) + size); err != nil {
		return nil, err
	}
	grown := make([]byte, len(buf), size)
	copy(grown, buf)
	return grown, nil
}

// extendDeadline bounds the wait for the next byte of the body.
func (b *bodyReader) extendDeadline() error {
	if b.conn.gate.cfg.BodyTimeout <= 0 {
		return nil
	}
	return b.controller.SetReadDeadline(time.Now().Add(b.conn.gate.cfg.BodyTimeout))
}

func (b *bodyReader) clearDeadline() error {
	if b.conn.gate.cfg.BodyTimeout <= 0 {
		return nil
	}
	return b.controller.SetReadDeadline(time.Time{})
}

// Decode runs decode, which turns the JSON text of a request into values, with enough
// memory for them. Large bodies wait for their turn. Afterwards the request holds the
// memory that kept returns, or all of it if kept is nil. Decode returns *RefusedError or
// the error of decode.
func Decode(r *http.Request, body []byte, decode func() error, kept func() int64) error {
	c := connOf(r)
	if c == nil {
		return decode()
	}
	if err := c.resizeBody(int64(cap(body)) + decodedBytes(body)); err != nil {
		return err
	}
	if len(body) > smallBodyBytes {
		select {
		case c.gate.decodes <- struct{}{}:
			defer func() { <-c.gate.decodes }()
		case <-c.aborted:
			return &RefusedError{}
		}
	}
	if err := decode(); err != nil || kept == nil {
		return err
	}
	return c.resizeBody(kept())
}

// decodedBytes returns an upper bound of the memory of a JSON text's values.
func decodedBytes(text []byte) int64 {
	objects := bytes.Count(text, []byte("{"))
	values := bytes.Count(text, []byte(",")) + bytes.Count(text, []byte("["))
	return int64(len(text)) + int64(objects)*objectBytes + int64(values)*valueBytes
}

// PassOn reports that the request may take effect from now on. Its connection is not
// closed to make room until the response is written.
func PassOn(r *http.Request) {
	if c := connOf(r); c != nil {
		c.gate.report(budget.PassedOn{ID: c.id})
	}
}

// Hold charges memory for a request in addition to what its connection holds. The
// returned function releases it.
func Hold(r *http.Request, bytes int64) (release func(), err error) {
	if c := connOf(r); c != nil {
		return c.gate.Hold(bytes)
	}
	return func() {}, nil
}

// Resize changes the memory that the current request holds besides its header.
func Resize(r *http.Request, bytes int64) error {
	c := connOf(r)
	if c == nil {
		return nil
	}
	return c.resizeBody(bytes)
}
