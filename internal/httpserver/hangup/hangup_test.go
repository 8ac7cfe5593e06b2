package hangup_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/httpserver/hangup"
)

// wrapper hides the socket of a connection except by NetConn.
type wrapper struct{ net.Conn }

func (w wrapper) NetConn() net.Conn { return w.Conn }

// opaque hides the socket of a connection.
type opaque struct{ net.Conn }

// testTimeout bounds the wait for an event of the kernel.
const testTimeout = 10 * time.Second

// connect returns both ends of a TCP connection.
func connect(t testing.TB) (client, server *net.TCPConn) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	accepted, err := listener.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() {
		_ = dialed.Close()
		_ = accepted.Close()
	})
	return dialed.(*net.TCPConn), accepted.(*net.TCPConn)
}

func TestDetected(t *testing.T) {
	cases := []struct {
		name     string
		act      func(client, server *net.TCPConn) error
		wrap     func(net.Conn) net.Conn
		detected bool
	}{
		{name: "open", act: func(_, _ *net.TCPConn) error { return nil }},
		{name: "closed", act: func(client, _ *net.TCPConn) error { return client.Close() }, detected: true},
		{name: "half closed", act: func(client, _ *net.TCPConn) error { return client.CloseWrite() }, detected: true},
		{name: "reset", act: func(client, _ *net.TCPConn) error {
			if err := client.SetLinger(0); err != nil {
				return err
			}
			return client.Close()
		}, detected: true},
		{name: "closed by the server", act: func(_, server *net.TCPConn) error { return server.Close() }, detected: true},
		{name: "closed behind unread bytes", act: func(client, _ *net.TCPConn) error {
			if _, err := io.WriteString(client, "next"); err != nil {
				return err
			}
			return client.Close()
		}},
		{
			name: "closed, wrapped twice", act: func(client, _ *net.TCPConn) error { return client.Close() },
			wrap: func(conn net.Conn) net.Conn { return wrapper{wrapper{conn}} }, detected: true,
		},
		{
			name: "closed, without a socket", act: func(client, _ *net.TCPConn) error { return client.Close() },
			wrap: func(conn net.Conn) net.Conn { return opaque{conn} },
		},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			client, server := connect(t)
			var accepted net.Conn = server
			if test.wrap != nil {
				accepted = test.wrap(server)
			}
			ctx := hangup.Context(t.Context(), accepted)
			g.Expect(hangup.Detected(ctx)).To(BeFalse(), "before")
			g.Expect(test.act(client, server)).To(Succeed())
			if test.detected {
				g.Eventually(func() bool { return hangup.Detected(ctx) }).WithTimeout(testTimeout).Should(BeTrue())
				return
			}
			g.Expect(hangup.Detected(ctx)).To(BeFalse())
		})
	}
}

func TestDetectedWithoutConnection(t *testing.T) {
	NewWithT(t).Expect(hangup.Detected(context.Background())).To(BeFalse())
}

// BenchmarkDetected measures what each request pays.
func BenchmarkDetected(b *testing.B) {
	_, server := connect(b)
	ctx := hangup.Context(b.Context(), server)
	b.ReportAllocs()
	for b.Loop() {
		hangup.Detected(ctx)
	}
}
