package basilstandin

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
)

// memoryAnswer is the answer of a handler on a Network.
type memoryAnswer struct {
	header  http.Header // as the handler sees it
	sent    http.Header // as it was when the answer started; nil before
	status  int
	body    bytes.Buffer
	flushed bool
	cut     bool
	done    chan struct{}
}

func newMemoryAnswer() *memoryAnswer {
	return &memoryAnswer{header: make(http.Header), done: make(chan struct{})}
}

// serve runs the handler, which may cut the connection.
func (m *memoryAnswer) serve(h http.Handler, r *http.Request) {
	defer close(m.done)
	defer func() {
		p := recover()
		if p != nil && p != http.ErrAbortHandler {
			panic(p)
		}
		m.cut = p != nil
	}()
	h.ServeHTTP(m, r)
	m.WriteHeader(http.StatusOK)
}

// Header returns the headers to be sent.
func (m *memoryAnswer) Header() http.Header { return m.header }

// WriteHeader starts the answer; only the first call counts.
func (m *memoryAnswer) WriteHeader(status int) {
	if m.sent == nil {
		m.status = status
		m.sent = m.header.Clone()
	}
}

// Write adds to the body.
func (m *memoryAnswer) Write(b []byte) (int, error) {
	m.WriteHeader(http.StatusOK)
	return m.body.Write(b)
}

// Flush sends what was written so far.
func (m *memoryAnswer) Flush() { m.flushed = true }

// response returns what the client sees, or the error of a connection cut before the answer.
func (m *memoryAnswer) response(r *http.Request) (*http.Response, error) {
	if m.cut && !m.flushed {
		return nil, io.EOF
	}
	a := &http.Response{
		Status:     strconv.Itoa(m.status) + " " + http.StatusText(m.status),
		StatusCode: m.status,
		Proto:      "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header:        m.sent,
		ContentLength: int64(m.body.Len()),
		Request:       r,
	}
	var body io.Reader = &m.body
	if m.cut {
		body = io.MultiReader(body, cutReader{})
		a.ContentLength = -1
	}
	if n, err := strconv.ParseInt(m.sent.Get("Content-Length"), 10, 64); err == nil {
		a.ContentLength = n
	}
	a.Body = io.NopCloser(body)
	return a, nil
}

// cutReader fails as the rest of a body does whose connection was cut.
type cutReader struct{}

func (cutReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
