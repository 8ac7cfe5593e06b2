// Package pipelining serves pipelined HTTP/1.1 requests concurrently. The
// net/http server reads and answers the requests of a connection one at a time;
// this package parses what the server reads, starts the handlers of pipelined
// requests early, and buffers their answers until the server serves the requests.
package pipelining

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// Options configure which requests may start early.
type Options struct {
	// Ahead reports whether a request may start before earlier ones are answered.
	// Its answer may be dropped, so the request must be safe to repeat.
	Ahead func(*http.Request) bool
	// Begun is called when a request starts early. The returned function is called
	// once the answer was written or dropped.
	Begun func() (ended func())
	// ExceedsHold reports whether the answer to a request may be too long to be held. Later
	// requests start only once it was written. A nil function means no request.
	ExceedsHold func(*http.Request) bool
	// OnExceedsHold is called when the answer to a request is too long to be held. It may be
	// nil.
	OnExceedsHold func(*http.Request)
}

func (o *Options) exceedsHold(r *http.Request) bool { return o.ExceedsHold != nil && o.ExceedsHold(r) }

func (o *Options) onExceedsHold(r *http.Request) {
	if o.OnExceedsHold != nil {
		o.OnExceedsHold(r)
	}
}

const (
	// maxEarlyPerConnection bounds the requests of a connection that are started
	// early.
	maxEarlyPerConnection = 8
	// maxReadAheadBytes is the amount of data read ahead of the server beyond which
	// reading pauses.
	maxReadAheadBytes = 16 << 10
	// maxBufferedBytes bounds the buffered part of an answer; a handler that writes
	// more blocks until the server serves its request.
	maxBufferedBytes = 64 << 10
	// maxHeldBytes bounds the answer that a connection holds until it is whole.
	maxHeldBytes = 1 << 20
	// maxTotalHeldBytes bounds what all connections of a Pipeline hold.
	maxTotalHeldBytes = 32 << 20
)

// Pipeline provides the listener, the ConnContext hook and the handler of a
// server.
type Pipeline struct {
	options Options
	handler http.Handler
	// held is the number of bytes allocated for held answers.
	held atomic.Int64
}

// New returns a Pipeline that serves requests with the handler.
func New(options Options, handler http.Handler) *Pipeline {
	return &Pipeline{options: options, handler: handler}
}

// WrapListener wraps the server's listener.
func (p *Pipeline) WrapListener(listener net.Listener) net.Listener {
	return &pipelinedListener{Listener: listener, pipeline: p}
}

type pipelinedListener struct {
	net.Listener
	pipeline *Pipeline
}

// Accept implements net.Listener.
func (l *pipelinedListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newConnection(accepted, l.pipeline), nil
}

type connectionKey struct{}

// Context is the ConnContext hook of http.Server. The context is cancelled when
// the connection closes.
func (p *Pipeline) Context(ctx context.Context, accepted net.Conn) context.Context {
	conn, ok := accepted.(*connection)
	if !ok {
		return ctx
	}
	ctx, conn.end = context.WithCancel(context.WithValue(ctx, connectionKey{}, conn))
	conn.context = ctx
	return ctx
}

// ServeHTTP implements http.Handler. The server calls it once per request of a
// connection, in order.
func (p *Pipeline) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, ok := r.Context().Value(connectionKey{}).(*connection)
	if !ok {
		p.handler.ServeHTTP(w, r)
		return
	}
	begun := conn.startTurn(r)
	defer conn.finishTurn()
	writer := &holdingWriter{ResponseWriter: w, connection: conn, request: r}
	defer writer.replaceAborted(r.Context())
	if begun == nil {
		p.handler.ServeHTTP(writer, r)
	} else {
		begun.answer(writer, r)
	}
	writer.finish()
}

// reserve reserves memory for held answers and reports whether there was enough.
func (p *Pipeline) reserve(bytes int) bool {
	if p.held.Add(int64(bytes)) <= maxTotalHeldBytes {
		return true
	}
	p.release(bytes)
	return false
}

// mayHold reports whether there is memory left for answers that begin later.
func (p *Pipeline) mayHold() bool { return p.held.Load() <= maxTotalHeldBytes/2 }

// release returns reserved memory.
func (p *Pipeline) release(bytes int) { p.held.Add(-int64(bytes)) }
