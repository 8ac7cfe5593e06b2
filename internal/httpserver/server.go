// Package httpserver runs an HTTP server on a bound listener and stops it
// without cutting requests, as long as its bound allows.
package httpserver

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/httpserver/hangup"
	"github.com/kestrelstream/kestrelstream/internal/pipelining"
	"github.com/kestrelstream/kestrelstream/internal/telemetry"
)

// Limits bound what clients may hold of a server.
type Limits struct {
	// HeaderTimeout bounds the reading of a request's header.
	HeaderTimeout time.Duration
	// IdleTimeout bounds an idle connection.
	IdleTimeout time.Duration
	// HeaderBytes bounds a request's header.
	HeaderBytes int
	// Linger is how long a stop leaves idle connections open, so that a
	// request that is on its way is answered; zero closes them at once.
	Linger time.Duration
	// Pipelining says which requests that a client sent ahead of answers are served
	// side by side; nil serves them one after the other.
	Pipelining *pipelining.Options
	// CloseGently says whether a connection that closes now is still read for a
	// moment; nil is never.
	CloseGently func() bool
}

// ControlLimits returns the limits of the control daemon's listeners.
func ControlLimits() Limits {
	return Limits{HeaderTimeout: 5 * time.Second, IdleTimeout: 2 * time.Minute, HeaderBytes: 32 << 10}
}

// Server is an HTTP server with its listener.
type Server struct {
	name     string
	listener net.Listener
	server   *http.Server
	active   atomic.Int64
	linger   time.Duration
	stopping atomic.Bool
	// lingering is the listener when its connections close gently, else nil.
	lingering *lingerListener
	// open counts connections; vacant receives when the last one closes.
	open   atomic.Int64
	vacant chan struct{}
}

// New returns a server that Serve starts. The name appears in errors.
func New(name string, listener net.Listener, handler http.Handler, limits Limits, logger *zap.Logger) *Server {
	created := &Server{name: name, listener: &closeOnce{Listener: listener}, linger: limits.Linger, vacant: make(chan struct{}, 1)}
	if limits.CloseGently != nil {
		created.lingering = &lingerListener{Listener: created.listener, lingers: limits.CloseGently}
		created.listener = created.lingering
	}
	handler = created.counted(handler)
	connected := hangup.Context
	if limits.Pipelining != nil {
		pipeline := pipelining.New(*limits.Pipelining, handler)
		created.listener = pipeline.WrapListener(created.listener)
		handler = pipeline
		connected = func(ctx context.Context, accepted net.Conn) context.Context {
			return pipeline.Context(hangup.Context(ctx, accepted), accepted)
		}
	}
	created.server = &http.Server{
		Handler:           handler,
		ConnContext:       connected,
		ReadHeaderTimeout: limits.HeaderTimeout,
		IdleTimeout:       limits.IdleTimeout,
		MaxHeaderBytes:    limits.HeaderBytes,
		ErrorLog:          telemetry.ServerLog(logger),
		ConnState:         created.count,
	}
	return created
}

func (s *Server) counted(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		s.active.Add(1)
		defer s.active.Add(-1)
		handler.ServeHTTP(writer, request)
	})
}

// count follows the connections that are open.
func (s *Server) count(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		if s.open.Add(-1) == 0 {
			select {
			case s.vacant <- struct{}{}:
			default:
			}
		}
	}
}

// OnStop adds what is to be told when Stop begins, such as an owner of
// requests that last.
func (s *Server) OnStop(tell func()) { s.server.RegisterOnShutdown(tell) }

// Serve serves until Stop is called.
func (s *Server) Serve() error {
	err := s.server.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) || s.stopping.Load() {
		return nil
	}
	return trace.Wrap(err, "serve %s", s.name)
}

// CutError says how many requests a stop cut off.
type CutError struct {
	Server   string
	Requests int
}

// Error names the server and the count.
func (e *CutError) Error() string {
	return fmt.Sprintf("%d requests in flight on the %s listener were cut", e.Requests, e.Server)
}

// Stop takes no new connections, lets clients close theirs for the linger time,
// closes idle ones and waits for requests in flight. When ctx ends first it
// cuts them and returns a *CutError.
func (s *Server) Stop(ctx context.Context) error {
	s.waitForClients(ctx)
	if s.lingering != nil {
		defer s.lingering.wait()
	}
	if s.server.Shutdown(ctx) == nil {
		return nil
	}
	cut := int(s.active.Load())
	_ = s.server.Close()
	if cut == 0 {
		return nil
	}
	return &CutError{Server: s.name, Requests: cut}
}

// waitForClients closes the listener and waits until every connection has gone
// or the linger time is over. A request that arrives meanwhile is answered:
// closing its connection at once would lose it.
func (s *Server) waitForClients(ctx context.Context) {
	if s.linger <= 0 {
		return
	}
	s.stopping.Store(true)
	_ = s.listener.Close()
	ctx, cancel := context.WithTimeout(ctx, s.linger)
	defer cancel()
	for s.open.Load() > 0 {
		select {
		case <-s.vacant:
		case <-ctx.Done():
			return
		}
	}
}

// closeOnce is a listener that may be closed twice.
type closeOnce struct {
	net.Listener
	once sync.Once
	err  error
}

// Close implements net.Listener.
func (c *closeOnce) Close() error {
	c.once.Do(func() { c.err = c.Listener.Close() })
	return c.err
}
