// Package pipelining serves requests that a client sent ahead of the answers to
// earlier ones side by side. The server of net/http reads, frames and answers
// the requests of a connection one after the other; this package looks at what it
// reads, begins requests that wait for their turn, and gives the server their
// answers when it comes to them.
package pipelining

import (
	"context"
	"net"
	"net/http"
)

// Options say what may be served before its turn.
type Options struct {
	// Ahead reports whether a request may be begun before those sent earlier are
	// answered, and may be dropped: it is safe to repeat.
	Ahead func(*http.Request) bool
	// Begun is told that a request is begun before its turn. What it returns is
	// called when the answer was given or dropped.
	Begun func() (ended func())
}

const (
	// maxEarlyPerConnection bounds the requests of a connection that are begun
	// before their turn.
	maxEarlyPerConnection = 8
	// maxReadAheadBytes bounds what is read of a connection ahead of the server.
	maxReadAheadBytes = 16 << 10
	// maxBufferedBytes is how much of an answer is held until its turn; its sender waits
	// with what is beyond.
	maxBufferedBytes = 64 << 10
)

// Pipeline connects the listener, the connections' contexts and the handler of
// one server.
type Pipeline struct {
	options Options
	handler http.Handler
}

// New returns a pipeline before a handler.
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

// Context is the server's ConnContext: requests of a connection end with it.
func (p *Pipeline) Context(ctx context.Context, accepted net.Conn) context.Context {
	conn, ok := accepted.(*connection)
	if !ok {
		return ctx
	}
	ctx, conn.end = context.WithCancel(context.WithValue(ctx, connectionKey{}, conn))
	conn.context = ctx
	return ctx
}

// ServeHTTP implements http.Handler. The server calls it for the requests of a
// connection in order.
func (p *Pipeline) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, ok := r.Context().Value(connectionKey{}).(*connection)
	if !ok {
		p.handler.ServeHTTP(w, r)
		return
	}
	begun := conn.startTurn(r)
	defer conn.finishTurn()
	writer := &keepAliveWriter{ResponseWriter: w, connection: conn}
	if begun == nil {
		p.handler.ServeHTTP(writer, r)
		return
	}
	begun.answer(writer, r)
}
