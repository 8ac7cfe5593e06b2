package forward

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestCancelledUploadResetsConnection: a peer that reads slowly does not get the rest of a body
// whose caller has left, and learns so at once. Users saw uploads run 0.7 s after their
// callers had gone: the whole body lay in the send buffer of a full link, and the end of the
// connection behind it.
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

// dialSmallBuffer opens connections that send little ahead of what the peer has taken.
func dialSmallBuffer(ctx context.Context, network, address string) (net.Conn, error) {
	connection, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err == nil {
		err = connection.(*net.TCPConn).SetWriteBuffer(1 << 16)
	}
	return connection, err
}

// TestCompletedExchangeClosesWithoutReset: a connection that rests is closed, not reset, also when the
// context of its last exchange has ended.
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

// lingerConn notes whether its close is a reset.
type lingerConn struct {
	net.Conn
	reset bool
}

func (l *lingerConn) SetLinger(seconds int) error {
	l.reset = seconds == 0
	return nil
}

func (l *lingerConn) Close() error { return nil }
