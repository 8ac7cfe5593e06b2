package stream

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// userTimeout is how long data written to a child may stay unacknowledged by the
// child's machine before the kernel closes the connection. Heartbeats are written
// far more often, so a machine that vanished is detected within about this time.
const userTimeout = 5 * time.Second

// DetectDeadPeers returns a listener that sets TCP_USER_TIMEOUT on its
// connections, so that they fail soon after the peer's machine vanished even if
// nothing is read from them.
func DetectDeadPeers(listener net.Listener) net.Listener { return &deadPeerListener{listener} }

// deadPeerListener sets TCP_USER_TIMEOUT on accepted connections.
type deadPeerListener struct{ net.Listener }

// Accept returns the next connection, with the timeout set if possible.
func (l *deadPeerListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	// The error is ignored: without the option a dead peer is still detected,
	// though later, because it is silent.
	_ = setUserTimeout(connection)
	return connection, nil
}

func setUserTimeout(connection net.Conn) error {
	syscallConnection, ok := connection.(syscall.Conn)
	if !ok {
		return syscall.ENOTSOCK
	}
	raw, err := syscallConnection.SyscallConn()
	if err != nil {
		return err
	}
	var optionError error
	err = raw.Control(func(descriptor uintptr) {
		optionError = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout/time.Millisecond))
	})
	if err != nil {
		return err
	}
	return optionError
}
