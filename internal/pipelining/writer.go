package pipelining

import (
	"context"
	"maps"
	"net/http"
	"sync"
)

// bufferedWriter buffers an answer until the server serves the request. After that
// it writes through to the server's writer.
type bufferedWriter struct {
	context context.Context
	header  http.Header
	// attached is closed when server is set.
	attached chan struct{}

	// writing is held while the server's writer is used, which may block. It is locked
	// before mu.
	writing sync.Mutex

	mu     sync.Mutex // guards all below
	status int
	// sentHeader is a copy of the header from when the status was set.
	sentHeader http.Header
	buffered   []byte
	server     http.ResponseWriter
}

func newBufferedWriter(ctx context.Context) *bufferedWriter {
	return &bufferedWriter{context: ctx, header: http.Header{}, attached: make(chan struct{})}
}

// Header implements http.ResponseWriter.
func (w *bufferedWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter. 1xx answers are dropped.
func (w *bufferedWriter) WriteHeader(status int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.setStatus(status)
}

func (w *bufferedWriter) setStatus(status int) {
	if status < http.StatusOK || w.status != 0 {
		return
	}
	w.status = status
	w.sentHeader = w.header.Clone()
	if w.server != nil {
		w.passHeader()
	}
}

// Write implements http.ResponseWriter. Beyond maxBufferedBytes it blocks until
// the server serves the request.
func (w *bufferedWriter) Write(p []byte) (int, error) {
	if w.buffer(p) {
		return len(p), nil
	}
	if err := w.awaitTurn(); err != nil {
		return 0, err
	}
	w.writing.Lock()
	defer w.writing.Unlock()
	return w.server.Write(p)
}

// buffer buffers a part of the body. It reports false if the part has to be written
// to the server's writer.
func (w *bufferedWriter) buffer(p []byte) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.setStatus(http.StatusOK)
	if w.server != nil || len(w.buffered)+len(p) > maxBufferedBytes {
		return false
	}
	w.buffered = append(w.buffered, p...)
	return true
}

func (w *bufferedWriter) awaitTurn() error {
	select {
	case <-w.attached:
		return nil
	case <-w.context.Done():
		return context.Cause(w.context)
	}
}

// discard drops the answer if none of it was passed to the client.
func (w *bufferedWriter) discard() bool {
	w.writing.Lock()
	defer w.writing.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.server != nil && w.status != 0 && !Discard(w.server) {
		return false
	}
	clearHeader(w.header)
	w.status, w.sentHeader, w.buffered = 0, nil, nil
	return true
}

// FlushError is called by http.ResponseController.Flush.
func (w *bufferedWriter) FlushError() error {
	w.writing.Lock()
	defer w.writing.Unlock()
	server := w.Unwrap()
	if server == nil {
		return nil
	}
	return http.NewResponseController(server).Flush()
}

// Unwrap returns the server's writer to http.ResponseController.
func (w *bufferedWriter) Unwrap() http.ResponseWriter {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.server
}

// attach sets the server's writer and writes the buffered answer to it.
func (w *bufferedWriter) attach(server http.ResponseWriter) {
	w.writing.Lock()
	defer w.writing.Unlock()
	buffered := w.setServer(server)
	if len(buffered) > 0 {
		_, _ = server.Write(buffered)
	}
}

// setServer sets the server's writer, passes the header if it is known, and returns
// the buffered part of the body.
func (w *bufferedWriter) setServer(server http.ResponseWriter) (buffered []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.server = server
	close(w.attached)
	if w.status != 0 {
		w.passHeader()
	}
	buffered, w.buffered = w.buffered, nil
	return buffered
}

func (w *bufferedWriter) passHeader() {
	maps.Copy(w.server.Header(), w.sentHeader)
	w.server.WriteHeader(w.status)
}

// finish copies the trailers to the server's writer. It is called after the
// handler has returned.
func (w *bufferedWriter) finish() { maps.Copy(w.server.Header(), w.header) }
