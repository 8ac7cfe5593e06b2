package stream_test

import (
	"net"
	"testing"

	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"github.com/kestrelstream/kestrelstream/internal/distribution/stream"
)

// TestAcceptedConnectionsHaveATCPUserTimeout checks the option that makes a
// connection fail soon after the peer's machine vanished.
func TestAcceptedConnectionsHaveATCPUserTimeout(t *testing.T) {
	g := NewWithT(t)
	bound, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	listener := stream.DetectDeadPeers(bound)
	defer listener.Close()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer dialed.Close()
	accepted, err := listener.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	defer accepted.Close()

	raw, err := accepted.(*net.TCPConn).SyscallConn()
	g.Expect(err).NotTo(HaveOccurred())
	var milliseconds int
	var optionError error
	g.Expect(raw.Control(func(descriptor uintptr) {
		milliseconds, optionError = unix.GetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	})).To(Succeed())
	g.Expect(optionError).NotTo(HaveOccurred())
	g.Expect(milliseconds).To(Equal(5000))
}
