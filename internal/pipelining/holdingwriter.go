package pipelining

import (
	"context"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// heldChunkBytes is the size of the buffers of held answers.
	heldChunkBytes = 16 << 10
	// heldWriteTimeout bounds the writing of a held answer whose handler has returned.
	heldWriteTimeout = 30 * time.Second
)

var heldChunks = sync.Pool{New: func() any { return new([heldChunkBytes]byte) }}

// holdingWriter writes the answer of the request that the server is serving. While
// later requests of the connection have started early, it holds the answer until it
// is whole or longer than maxHeldBytes, so that an answer that breaks off can be
// replaced and the later ones are still delivered.
type holdingWriter struct {
	http.ResponseWriter
	connection *connection
	request    *http.Request
	// status is that of the answer, zero before its header is written. length is that of
	// its body, -1 if unknown.
	status int
	length int64
	// finished: the handler has returned.
	finished bool
	// written counts the bytes of the body, held ones included.
	written int64
	// sentHeader is a copy of the header from when the status was set.
	sentHeader http.Header
	// held is the body so far, in chunks of which all but the last one are full; heldBytes
	// is its length.
	held      []*[heldChunkBytes]byte
	heldBytes int

	mu sync.Mutex // guards all below
	// holding: the server has not been given any part of the answer. It is written under mu by the
	// handler, which reads it without.
	holding bool
	// writeDeadline is the write deadline set while holding.
	writeDeadline time.Time
}

// Discard drops what was written to w, the writer of a request's answer, and reports
// whether that was possible. Afterwards another answer can be written.
func Discard(w http.ResponseWriter) bool {
	for {
		switch writer := w.(type) {
		case interface{ discard() bool }:
			return writer.discard()
		case interface{ Unwrap() http.ResponseWriter }:
			w = writer.Unwrap()
		default:
			return false
		}
	}
}

// WriteHeader implements http.ResponseWriter. It removes "Connection: close" if
// later requests of the connection have started early.
func (w *holdingWriter) WriteHeader(status int) {
	if w.holding {
		return
	}
	if status < http.StatusOK || w.status != 0 {
		w.ResponseWriter.WriteHeader(status)
		return
	}
	w.status, w.length = status, bodyLength(w.request.Method, status, w.Header())
	if w.length > maxHeldBytes {
		w.connection.pipeline.options.onExceedsHold(w.request)
	}
	if !w.connection.beginAnswer() {
		w.ResponseWriter.WriteHeader(status)
		return
	}
	w.Header().Del("Connection")
	if w.length > maxHeldBytes {
		w.ResponseWriter.WriteHeader(status)
		return
	}
	w.sentHeader = w.Header().Clone()
	w.setHolding(true)
}

// bodyLength returns the length of an answer's body, -1 if unknown. Content-Length is
// also set on answers that have none.
func bodyLength(method string, status int, header http.Header) int64 {
	if method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified {
		return 0
	}
	length, err := strconv.ParseInt(header.Get("Content-Length"), 10, 64)
	if err != nil {
		return -1
	}
	return length
}

// Write implements http.ResponseWriter.
func (w *holdingWriter) Write(p []byte) (int, error) {
	if w.status == 0 {
		w.WriteHeader(http.StatusOK)
	}
	w.count(len(p))
	if w.holding && w.hold(p) {
		return len(p), nil
	}
	if err := w.releaseHeld(); err != nil {
		return 0, err
	}
	return w.ResponseWriter.Write(p)
}

// count counts a part of the body.
func (w *holdingWriter) count(size int) {
	before := w.written
	w.written += int64(size)
	if w.length < 0 && before <= maxHeldBytes && w.written > maxHeldBytes {
		w.connection.pipeline.options.onExceedsHold(w.request)
	}
}

// hold appends to the held body. It reports whether there was room.
func (w *holdingWriter) hold(p []byte) bool {
	if !w.grow(w.heldBytes + len(p)) {
		return false
	}
	for len(p) > 0 {
		n := copy(w.held[w.heldBytes/heldChunkBytes][w.heldBytes%heldChunkBytes:], p)
		w.heldBytes += n
		p = p[n:]
	}
	return true
}

// grow adds chunks until the held body may be size bytes long.
func (w *holdingWriter) grow(size int) bool {
	if size > maxHeldBytes {
		return false
	}
	missing := (size+heldChunkBytes-1)/heldChunkBytes - len(w.held)
	if missing > 0 && !w.connection.pipeline.reserve(missing*heldChunkBytes) {
		return false
	}
	for range missing {
		w.held = append(w.held, heldChunks.Get().(*[heldChunkBytes]byte))
	}
	return true
}

// dropHeld frees the held body.
func (w *holdingWriter) dropHeld() {
	w.connection.pipeline.release(len(w.held) * heldChunkBytes)
	for _, chunk := range w.held {
		heldChunks.Put(chunk)
	}
	w.held, w.heldBytes = nil, 0
}

// setHolding starts or ends holding. The last write deadline set meanwhile is applied
// at the end.
func (w *holdingWriter) setHolding(holding bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.holding = holding
	if !holding && !w.writeDeadline.IsZero() {
		_ = http.NewResponseController(w.ResponseWriter).SetWriteDeadline(w.writeDeadline)
	}
	w.writeDeadline = time.Time{}
}

// releaseHeld passes the held part of the answer to the server.
func (w *holdingWriter) releaseHeld() error {
	if !w.holding {
		return nil
	}
	w.setHolding(false)
	defer w.dropHeld()
	header := w.Header()
	later := maps.Clone(header)
	clear(header)
	maps.Copy(header, w.sentHeader)
	w.ResponseWriter.WriteHeader(w.status)
	// Trailers are set after the header was written.
	maps.Copy(header, later)
	for start := 0; start < w.heldBytes; start += heldChunkBytes {
		chunk := w.held[start/heldChunkBytes][:min(heldChunkBytes, w.heldBytes-start)]
		if _, err := w.ResponseWriter.Write(chunk); err != nil {
			return err
		}
	}
	return nil
}

// finish releases the answer after the handler has returned. A write deadline that
// the handler has set does not apply: the answer is whole, and a failed write would
// lose the later ones.
func (w *holdingWriter) finish() {
	w.finished = true
	if !w.holding {
		return
	}
	w.connection.completeAnswer()
	_ = w.SetWriteDeadline(time.Now().Add(heldWriteTimeout))
	if err := w.releaseHeld(); err != nil {
		panic(http.ErrAbortHandler)
	}
	_ = w.SetWriteDeadline(time.Time{})
}

// discard drops a held answer.
func (w *holdingWriter) discard() bool {
	if w.status != 0 && !w.holding {
		return false
	}
	w.mu.Lock()
	w.holding, w.writeDeadline = false, time.Time{}
	w.mu.Unlock()
	w.dropHeld()
	clearHeader(w.Header())
	w.status, w.written, w.sentHeader = 0, 0, nil
	return true
}

// clearHeader removes everything but the Connection header, which does not depend on
// the answer.
func clearHeader(header http.Header) {
	maps.DeleteFunc(header, func(name string, _ []string) bool { return name != "Connection" })
}

// replaceAborted answers 502 in place of a held answer that its handler has aborted,
// unless the client has left. It must be the deferred call itself, since it recovers.
func (w *holdingWriter) replaceAborted(client context.Context) {
	if !w.holding {
		w.resetIfAborted()
		return
	}
	cause := recover()
	if cause != nil && (cause != http.ErrAbortHandler || client.Err() != nil) {
		w.dropHeld()
		panic(cause)
	}
	if cause == nil {
		return
	}
	w.discard()
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusBadGateway)
	w.finish()
}

// resetIfAborted makes the connection close with a reset if an answer whose end is
// the end of the connection was aborted: it would look whole.
func (w *holdingWriter) resetIfAborted() {
	if !w.finished && w.status != 0 && w.length < 0 && !w.request.ProtoAtLeast(1, 1) {
		w.connection.reset()
	}
}

// FlushError is called by http.ResponseController.Flush.
func (w *holdingWriter) FlushError() error {
	if w.status == 0 {
		w.WriteHeader(http.StatusOK)
	}
	if w.holding {
		return nil
	}
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// SetWriteDeadline is called by http.ResponseController.SetWriteDeadline. A deadline
// that is set while the answer is held applies once it is released.
func (w *holdingWriter) SetWriteDeadline(deadline time.Time) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.holding {
		w.writeDeadline = deadline
		return nil
	}
	return http.NewResponseController(w.ResponseWriter).SetWriteDeadline(deadline)
}

// Unwrap returns the server's writer to http.ResponseController.
func (w *holdingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
