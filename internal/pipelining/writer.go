package pipelining

import (
	"context"
	"maps"
	"net/http"
	"sync"
)

// heldWriter holds an answer until the server has come to its request; from then
// on it passes everything on.
type heldWriter struct {
	context context.Context
	header  http.Header
	// attached is closed when there is a server's writer.
	attached chan struct{}

	mu     sync.Mutex // guards all below
	status int
	// sent is the header as it was when the status was set.
	sent   http.Header
	held   []byte
	server http.ResponseWriter
}

func newHeldWriter(ctx context.Context) *heldWriter {
	return &heldWriter{context: ctx, header: http.Header{}, attached: make(chan struct{})}
}

// Header implements http.ResponseWriter.
func (w *heldWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter. Interim answers are dropped.
func (w *heldWriter) WriteHeader(status int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.setStatus(status)
}

func (w *heldWriter) setStatus(status int) {
	if status < http.StatusOK || w.status != 0 {
		return
	}
	w.status = status
	w.sent = w.header.Clone()
	if w.server != nil {
		w.passHeader()
	}
}

// Write implements http.ResponseWriter. What is beyond the bound waits for the
// turn of the request.
func (w *heldWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.setStatus(http.StatusOK)
	if w.server == nil && len(w.held)+len(p) <= heldBytes {
		w.held = append(w.held, p...)
		return len(p), nil
	}
	if w.server == nil {
		w.mu.Unlock()
		err := w.await()
		w.mu.Lock()
		if err != nil {
			return 0, err
		}
	}
	return w.server.Write(p)
}

func (w *heldWriter) await() error {
	select {
	case <-w.attached:
		return nil
	case <-w.context.Done():
		return context.Cause(w.context)
	}
}

// FlushError is what http.ResponseController calls.
func (w *heldWriter) FlushError() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.server == nil {
		return nil
	}
	return http.NewResponseController(w.server).Flush()
}

// Unwrap lets http.ResponseController find the server's writer.
func (w *heldWriter) Unwrap() http.ResponseWriter {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.server
}

// attach passes on what is held, and whatever follows.
func (w *heldWriter) attach(server http.ResponseWriter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.server = server
	close(w.attached)
	if w.status == 0 {
		return
	}
	w.passHeader()
	if len(w.held) > 0 {
		_, _ = server.Write(w.held)
		w.held = nil
	}
}

func (w *heldWriter) passHeader() {
	maps.Copy(w.server.Header(), w.sent)
	w.server.WriteHeader(w.status)
}

// finish passes on the trailers, once the handler is through.
func (w *heldWriter) finish() { maps.Copy(w.server.Header(), w.header) }

// keepingWriter keeps the connection open after an answer while requests behind
// it are under way.
type keepingWriter struct {
	http.ResponseWriter
	connection *connection
	begun      bool
}

// WriteHeader implements http.ResponseWriter.
func (w *keepingWriter) WriteHeader(status int) {
	if status >= http.StatusOK && !w.begun {
		w.begun = true
		if w.connection.followed() {
			w.Header().Del("Connection")
		}
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *keepingWriter) Write(p []byte) (int, error) {
	if !w.begun {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p)
}

// Unwrap lets http.ResponseController find the server's writer.
func (w *keepingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
