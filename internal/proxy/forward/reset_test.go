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
