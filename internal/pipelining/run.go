package pipelining

import (
	"context"
	"net/http"
)

// earlyRequest is a request that was begun before its turn.
type earlyRequest struct {
	request *http.Request
	cancel  context.CancelFunc
	writer  *bufferedWriter
	// ended is closed when the handler is through.
	ended chan struct{}
	// panicked is what the handler panicked with, its way to break an answer off;
	// read after ended.
	panicked any
	// released is closed when the answer was given.
	released chan struct{}
}

// startEarly starts the handler for a request.
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

// handle runs the handler.
func (r *earlyRequest) handle(handler http.Handler) {
	defer close(r.ended)
	defer func() { r.panicked = recover() }()
	handler.ServeHTTP(r.writer, r.request)
}

// answer gives the run's answer to the server, which has come to the request.
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
