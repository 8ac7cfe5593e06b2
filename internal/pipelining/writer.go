package pipelining

import (
	"context"
	"maps"
	"net/http"
	"sync"
)

// bufferedWriter holds an answer until the server has come to its request; from then
// on it passes everything on.
type bufferedWriter struct {
	context context.Context
	header  http.Header
	// attached is closed when there is a server's writer.
	attached chan struct{}

	mu     sync.Mutex // guards all below
	status int
	// sentHeader is the header as it was when the status was set.
	sentHeader http.Header
	buffered   []byte
	server     http.ResponseWriter
}

func newBufferedWriter(ctx context.Context) *bufferedWriter {
	return &bufferedWriter{context: ctx, header: http.Header{}, attached: make(chan struct{})}
}

// Header implements http.ResponseWriter.
func (w *bufferedWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter. Interim answers are dropped.
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

// Write implements http.ResponseWriter. What is beyond the bound waits for the
// turn of the request.
func (w *bufferedWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.setStatus(http.StatusOK)
	if w.server == nil && len(w.buffered)+len(p) <= maxBufferedBytes {
		w.buffered = append(w.buffered, p...)
		return len(p), nil
	}
	if w.server == nil {
		w.mu.Unlock()
		err := w.awaitTurn()
		w.mu.Lock()
		if err != nil {
			return 0, err
		}
	}
	return w.server.Write(p)
}

func (w *bufferedWriter) awaitTurn() error {
	select {
	case <-w.attached:
		return nil
	case <-w.context.Done():
		return context.Cause(w.context)
	}
}

// FlushError is what http.ResponseController calls.
func (w *bufferedWriter) FlushError() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.server == nil {
		return nil
	}
	return http.NewResponseController(w.server).Flush()
}

// Unwrap lets http.ResponseController find the server's writer.
func (w *bufferedWriter) Unwrap() http.ResponseWriter {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.server
}

// attach passes on what is held, and whatever follows.
func (w *bufferedWriter) attach(server http.ResponseWriter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.server = server
	close(w.attached)
	if w.status == 0 {
		return
	}
	w.passHeader()
	if len(w.buffered) > 0 {
		_, _ = server.Write(w.buffered)
		w.buffered = nil
	}
}

func (w *bufferedWriter) passHeader() {
	maps.Copy(w.server.Header(), w.sentHeader)
	w.server.WriteHeader(w.status)
}

// finish passes on the trailers, once the handler is through.
func (w *bufferedWriter) finish() { maps.Copy(w.server.Header(), w.header) }

// keepAliveWriter keeps the connection open after an answer while requests behind
// it are under way.
type keepAliveWriter struct {
	http.ResponseWriter
	connection  *connection
	wroteHeader bool
}

// WriteHeader implements http.ResponseWriter.
func (w *keepAliveWriter) WriteHeader(status int) {
	if status >= http.StatusOK && !w.wroteHeader {
		w.wroteHeader = true
		if w.connection.hasEarlyRequests() {
			w.Header().Del("Connection")
		}
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *keepAliveWriter) Write(p []byte) (int, error) {
	if !w.wroteHeader {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p)
}

// Unwrap lets http.ResponseController find the server's writer.
func (w *keepAliveWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
