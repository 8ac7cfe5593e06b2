package pipelining

import (
	"context"
	"net/http"
)

// earlyRequest is a request whose handler was started before the server serves
// the request.
type earlyRequest struct {
	request *http.Request
	cancel  context.CancelFunc
	writer  *bufferedWriter
	// ended is closed when the handler has returned.
	ended chan struct{}
	// panicked is the value that the handler panicked with, usually
	// http.ErrAbortHandler. It may be read after ended is closed.
	panicked any
	// released is closed when the answer has been written.
	released chan struct{}
}

// startEarly starts the handler for a request in a new goroutine.
func startEarly(c *connection, r *http.Request) *earlyRequest {
	ctx, cancel := context.WithCancel(c.context)
	r = r.WithContext(ctx)
	r.RemoteAddr = c.RemoteAddr().String()
	created := &earlyRequest{
		request: r, cancel: cancel, writer: newBufferedWriter(ctx),
		ended: make(chan struct{}), released: make(chan struct{}),
	}
	finished := c.pipeline.options.Begun()
	go func() {
		defer finished()
		defer cancel()
		created.handle(c.pipeline.handler)
		select {
		case <-created.released:
		case <-ctx.Done():
		}
	}()
	return created
}

// handle runs the handler and records its panic.
func (r *earlyRequest) handle(handler http.Handler) {
	defer close(r.ended)
	defer func() { r.panicked = recover() }()
	handler.ServeHTTP(r.writer, r.request)
}

// answer writes the answer to the server's writer and waits for the handler. A
// panic of the handler is repeated in the server's goroutine.
func (r *earlyRequest) answer(w http.ResponseWriter, received *http.Request) {
	defer close(r.released)
	r.writer.attach(w)
	select {
	case <-r.ended:
	case <-received.Context().Done():
		r.cancel()
		<-r.ended
	}
	if r.panicked != nil {
		panic(r.panicked)
	}
	r.writer.finish()
}
