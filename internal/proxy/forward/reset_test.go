package forward

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// TestCancelledUploadResetsConnection verifies that cancelling an upload to a slow peer resets the
// connection and drops the unsent body. Without the reset, a full link delivers the whole send
// buffer before the FIN, so that uploads went on for 0.7 s after their callers had disconnected.
func TestCancelledUploadResetsConnection(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	begun, cancelled := make(chan struct{}), make(chan struct{})
	type readResult struct {
		bytes int64
		err   error
	}
	read := make(chan readResult, 1)
	go func() {
		connection, err := listener.Accept()
		if err != nil {
			read <- readResult{err: err}
			return
		}
		defer connection.Close()
		first := make([]byte, 1)
		_, _ = connection.Read(first)
		close(begun)
		<-cancelled
		bytes, err := io.Copy(io.Discard, connection)
		read <- readResult{bytes, err}
	}()

	pool := NewPool(listener.Addr().String(), Limits{Connections: 1, DialTimeout: time.Second}, dialSmallBuffer)
	ctx, cancel := context.WithCancel(t.Context())
	const bodyBytes = 1 << 20
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://peer/", strings.NewReader(strings.Repeat("x", bodyBytes)))
	g.Expect(err).NotTo(HaveOccurred())
	ended := make(chan error, 1)
	go func() {
		_, err := pool.RoundTrip(request)
		ended <- err
	}()
	<-begun
	cancel()
	g.Expect(<-ended).To(HaveOccurred())
	close(cancelled)
	got := <-read
	g.Expect(errors.Is(got.err, syscall.ECONNRESET)).To(BeTrue(), "%d bytes, then %v", got.bytes, got.err)
	g.Expect(got.bytes).To(BeNumerically("<", bodyBytes))
}

// dialSmallBuffer opens connections with a send buffer smaller than the uploaded body.
func dialSmallBuffer(ctx context.Context, network, address string) (net.Conn, error) {
	connection, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err == nil {
		err = connection.(*net.TCPConn).SetWriteBuffer(1 << 16)
	}
	return connection, err
}

// TestCompletedExchangeClosesWithoutReset verifies that an idle connection is closed without a
// reset, even if the context of its last exchange has ended since.
func TestCompletedExchangeClosesWithoutReset(t *testing.T) {
	g := NewWithT(t)
	connection := &lingerConn{}
	tracked := &trackedConn{Conn: connection}
	ctx, cancel := context.WithCancel(t.Context())
	tracked.begin(ctx)
	tracked.finish()
	cancel()
	g.Expect(tracked.Close()).To(Succeed())
	g.Expect(connection.reset).To(BeFalse())

	for _, cancelled := range []bool{false, true} {
		ctx, cancel := context.WithCancel(t.Context())
		tracked.begin(ctx)
		if cancelled {
			cancel()
		}
		g.Expect(tracked.Close()).To(Succeed())
		g.Expect(connection.reset).To(Equal(cancelled))
		cancel()
	}
}

// earlyReplyConn is a connection whose peer replies while the body of a request is written, and resets the
// connection: the write gets the error, and the read ends as after an orderly close.
type earlyReplyConn struct {
	net.Conn
	writes  int
	reset   chan struct{}
	replied bool
	closed  chan struct{}
}

func (c *earlyReplyConn) Write(data []byte) (int, error) {
	if c.writes++; c.writes == 1 {
		return len(data), nil
	}
	close(c.reset)
	time.Sleep(time.Millisecond) // the read ends before the write returns
	return 0, os.NewSyscallError("write", syscall.ECONNRESET)
}

func (c *earlyReplyConn) Read(data []byte) (int, error) {
	select {
	case <-c.reset:
	case <-c.closed:
		return 0, net.ErrClosed
	}
	if !c.replied {
		c.replied = true
		return copy(data, "HTTP/1.1 200 OK\r\n\r\npart"), nil
	}
	return 0, io.EOF
}

func (c *earlyReplyConn) Close() error {
	close(c.closed)
	return nil
}

func (c *earlyReplyConn) SetReadDeadline(time.Time) error  { return nil }
func (c *earlyReplyConn) SetWriteDeadline(time.Time) error { return nil }
func (c *earlyReplyConn) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (c *earlyReplyConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }

// TestEarlyReplyThatIsResetIsBroken guards against a part of a reply to an upload that looks whole because the
// write of the upload got the reset.
func TestEarlyReplyThatIsResetIsBroken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		conn := &earlyReplyConn{reset: make(chan struct{}), closed: make(chan struct{})}
		pool := NewPool("peer:80", Limits{Connections: 1, DialTimeout: time.Second, AllowUnframed: true},
			func(context.Context, string, string) (net.Conn, error) { return conn, nil })
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://peer/", strings.NewReader(strings.Repeat("x", 1<<20)))
		g.Expect(err).NotTo(HaveOccurred())
		reply, err := pool.RoundTrip(request)
		if err == nil {
			_, err = io.ReadAll(reply.Body)
			g.Expect(reply.Body.Close()).To(Succeed())
		}
		g.Expect(err).To(HaveOccurred())
		synctest.Wait()
	})
}

// lingerConn records whether SO_LINGER was set to 0, which makes Close send a reset.
type lingerConn struct {
	net.Conn
	reset bool
}

func (l *lingerConn) SetLinger(seconds int) error {
	l.reset = seconds == 0
	return nil
}

func (l *lingerConn) Close() error { return nil }
