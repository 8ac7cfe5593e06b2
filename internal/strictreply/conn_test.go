package strictreply_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/strictreply"
)

// earlyReply is a reply that its end delimits.
const earlyReply = "HTTP/1.1 200 OK\r\n\r\npart"

// uploadConn is a connection whose peer replies while the client writes, and then ends the connection:
// with a reset, which the write in progress gets, or by closing only its own direction.
type uploadConn struct {
	net.Conn
	reset bool

	mu       sync.Mutex // guards replied
	replied  bool
	ended    chan struct{}
	deadline chan struct{}
	once     sync.Once
}

func newUploadConn(reset bool) *uploadConn {
	return &uploadConn{reset: reset, ended: make(chan struct{}), deadline: make(chan struct{})}
}

// returnDelay is the time between the moment at which a write gets an error and its return.
const returnDelay = 10 * time.Millisecond

func (c *uploadConn) Write([]byte) (int, error) {
	time.Sleep(time.Millisecond)
	close(c.ended)
	if c.reset {
		time.Sleep(returnDelay)
		return 0, os.NewSyscallError("write", syscall.ECONNRESET)
	}
	<-c.deadline
	return 0, os.ErrDeadlineExceeded
}

func (c *uploadConn) Read(data []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.replied {
		c.replied = true
		return copy(data, earlyReply), nil
	}
	<-c.ended
	return 0, io.EOF
}

func (c *uploadConn) SetWriteDeadline(time.Time) error {
	c.once.Do(func() { close(c.deadline) })
	return nil
}

func (c *uploadConn) LocalAddr() net.Addr  { return &net.TCPAddr{} }
func (c *uploadConn) RemoteAddr() net.Addr { return &net.TCPAddr{} }

// TestResetThatAWriteGetsIsNoEnd guards against a part of a reply that looks whole because the write of an upload
// got the reset, so that the read ended without an error.
func TestResetThatAWriteGetsIsNoEnd(t *testing.T) {
	for _, reset := range []bool{true, false} {
		t.Run(map[bool]string{true: "reset", false: "closed by the peer"}[reset], func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				conn := strictreply.NewConn(newUploadConn(reset))
				written := make(chan error, 1)
				go func() {
					_, err := conn.Write([]byte("body"))
					written <- err
				}()
				content, err := io.ReadAll(conn)
				g.Expect(string(content)).To(Equal(earlyReply))
				if reset {
					g.Expect(errors.Is(err, syscall.ECONNRESET)).To(BeTrue(), "%v", err)
				} else {
					g.Expect(err).NotTo(HaveOccurred())
				}
				g.Expect(<-written).To(HaveOccurred())
			})
		})
	}
}

// TestResetUploadsAreNeverWhole sends uploads to a server that replies at once and resets the connection while
// they are written.
func TestResetUploadsAreNeverWhole(t *testing.T) {
	const uploads, bodyBytes = 60, 1 << 20
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	go func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			go replyAndReset(accepted)
		}
	}()
	transport := strictreply.NewTransport(&http.Transport{DisableKeepAlives: true})
	for range uploads {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+listener.Addr().String(), strings.NewReader(strings.Repeat("x", bodyBytes)))
		g.Expect(err).NotTo(HaveOccurred())
		response, err := transport.RoundTrip(request)
		if err != nil {
			continue
		}
		_, err = io.Copy(io.Discard, response.Body)
		g.Expect(err).To(HaveOccurred(), "a reset is no end")
		_ = response.Body.Close()
	}
}

func replyAndReset(accepted net.Conn) {
	_, _ = accepted.Read(make([]byte, 1<<10))
	_, _ = io.WriteString(accepted, earlyReply)
	_ = accepted.(*net.TCPConn).SetLinger(0) // a close without a reset fails the test
	_ = accepted.Close()
}
