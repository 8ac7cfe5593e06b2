package stream_test

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/distribution"
	"github.com/kestrelstream/kestrelstream/internal/distribution/stream"
)

// pipeListener is a listener for in-memory connections. Unlike socket I/O, reads
// and writes on them block durably in a synctest bubble.
type pipeListener struct {
	connections chan net.Conn
	closed      chan struct{}
	once        sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{connections: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case connection := <-l.connections:
		return connection, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe"} }

func (l *pipeListener) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	clientEnd, serverEnd := net.Pipe()
	select {
	case l.connections <- serverEnd:
		return clientEnd, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// fakeHost admits every child, unless refusal is set, and lets the test send
// messages to its sessions.
type fakeHost struct {
	mutex    sync.Mutex
	sessions map[string]*fakeSession
	hellos   []distribution.Hello
	reports  []distribution.Report
	refusal  error
	attached chan *fakeSession
	// gate, when set, blocks each report until the test receives from it.
	gate chan struct{}
}

func newFakeHost() *fakeHost {
	return &fakeHost{sessions: map[string]*fakeSession{}, attached: make(chan *fakeSession, 8)}
}

func (h *fakeHost) Attach(_ context.Context, hello distribution.Hello) (stream.Session, error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.refusal != nil {
		return nil, h.refusal
	}
	session := &fakeSession{id: hello.Node.Name, messages: make(chan *stream.EncodedMessage, 1), sent: make(chan struct{}, 64), detached: make(chan struct{})}
	h.sessions[session.id] = session
	h.hellos = append(h.hellos, hello)
	h.attached <- session
	return session, nil
}

func (h *fakeHost) Report(_ context.Context, session string, report distribution.Report) ([]stream.Parent, error) {
	if h.gate != nil {
		h.gate <- struct{}{}
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.sessions[session] == nil {
		return nil, &stream.RefusedError{Status: http.StatusGone, Reason: "no such session"}
	}
	h.reports = append(h.reports, report)
	return h.sessions[session].Parents(), nil
}

type fakeSession struct {
	id       string
	messages chan *stream.EncodedMessage
	sent     chan struct{}
	detached chan struct{}
	once     sync.Once
}

func (s *fakeSession) ID() string { return s.id }
func (s *fakeSession) Parents() []stream.Parent {
	return []stream.Parent{{Node: "other", Address: "10.0.0.2:1"}}
}
func (s *fakeSession) Messages() <-chan *stream.EncodedMessage { return s.messages }
func (s *fakeSession) Sent()                                   { s.sent <- struct{}{} }
func (s *fakeSession) Detach()                                 { s.once.Do(func() { close(s.detached) }) }

// testServer is a parent's server with a client connected to it in memory.
type testServer struct {
	host          *fakeHost
	listener      *pipeListener
	server        *http.Server
	serverTraffic *stream.Traffic
	clientTraffic *stream.Traffic
	transport     *http.Transport
	client        *stream.Client
}

func startTestServer(t testing.TB) *testServer {
	t.Helper()
	p := &testServer{host: newFakeHost(), listener: newPipeListener(), serverTraffic: &stream.Traffic{}, clientTraffic: &stream.Traffic{}}
	handler := stream.NewServer(p.host, stream.PermissiveAuthorizer{}, p.serverTraffic, zap.NewNop()).Handler()
	p.server = &http.Server{Handler: handler}
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = p.server.Serve(p.serverTraffic.Listener(p.listener))
	}()
	p.transport = stream.NewTransport(p.clientTraffic, p.listener.dial)
	p.client = stream.NewClient(p.transport, "http", p.clientTraffic)
	t.Cleanup(func() {
		p.transport.CloseIdleConnections()
		_ = p.server.Close()
		<-served
		// Let the server's connections finish closing, in virtual time.
		time.Sleep(time.Second)
	})
	return p
}

func hello(name string) distribution.Hello {
	return distribution.Hello{
		Node: distribution.Node{Name: name, Incarnation: 1, Zone: "north"},
		Kind: distribution.ChildControl,
	}
}
