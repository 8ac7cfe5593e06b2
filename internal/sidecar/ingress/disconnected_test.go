package ingress_test

import (
	"fmt"
	"net"
	"net/http"
	"runtime"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/kestrelstream/kestrelstream/internal/httpserver"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/hop"
)

// closedListener hands out connections that their clients have closed.
type closedListener struct {
	net.Listener
	// release delays the background reads of the server until it is closed; nil for no delay.
	release chan struct{}
}

func (l *closedListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	raw, err := accepted.(syscall.Conn).SyscallConn()
	if err != nil {
		return nil, err
	}
	err = raw.Read(func(fd uintptr) bool {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(polled, 0)
		return n > 0 || err != nil && err != unix.EINTR
	})
	return &delayedConn{Conn: accepted, release: l.release}, err
}

// delayedConn delays reads of a single byte, which are the server's background reads.
type delayedConn struct {
	net.Conn
	release chan struct{}
}

func (c *delayedConn) NetConn() net.Conn { return c.Conn }

func (c *delayedConn) Read(p []byte) (int, error) {
	if len(p) == 1 && c.release != nil {
		<-c.release
	}
	return c.Conn.Read(p)
}

// serveDisconnected serves requests whose callers closed their connections before the node read them, and
// returns how many the back end received. The server's background reads wait for a request's end if delayed.
func serveDisconnected(t *testing.T, callers int, delayed bool) int64 {
	g := NewWithT(t)
	f := newFixture(t)
	arrived := f.countRequests()
	// An earlier request leaves an idle connection to the back end.
	f.send(t, t.Context())
	before := arrived.Load()
	bound, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	reported := hop.Request{Service: "one", Caller: "two", Remaining: time.Minute, MaximumWait: time.Second}
	for range callers {
		connection, err := net.Dial("tcp", bound.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		_, err = fmt.Fprintf(connection, "GET /a/ HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\n%s: %s\r\n\r\n", hop.HeaderHop, reported.Format())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(connection.Close()).To(Succeed())
	}
	listener := &closedListener{Listener: bound}
	if delayed {
		listener.release = make(chan struct{})
	}
	ended := make(chan struct{}, callers)
	server := httpserver.New("inbound", listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() { ended <- struct{}{} }()
		f.handler.ServeHTTP(w, r)
	}), httpserver.Limits{}, zap.NewNop())
	go func() { _ = server.Serve() }()
	for range callers {
		<-ended
	}
	if delayed {
		close(listener.release)
	}
	g.Expect(server.Stop(t.Context())).To(Succeed())
	return arrived.Load() - before
}

// TestRequestOfDisconnectedCaller checks that a request is not forwarded if its caller closed the
// connection before the node read it (finding 0009).
func TestRequestOfDisconnectedCaller(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	NewWithT(t).Expect(serveDisconnected(t, 20, false)).To(BeZero())
}

// TestRequestOfDisconnectedCallerBeforeBackgroundRead guards against reliance on the server's background read.
func TestRequestOfDisconnectedCallerBeforeBackgroundRead(t *testing.T) {
	NewWithT(t).Expect(serveDisconnected(t, 20, true)).To(BeZero())
}
