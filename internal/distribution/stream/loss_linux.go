package stream

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// userTimeout is how long what was written to a child may stay unacknowledged
// by the child's machine before its connection is lost. Heartbeats are written
// far more often, so that a machine which vanished is noticed within it.
const userTimeout = 5 * time.Second

// DetectDeadPeers returns a listener whose connections fail soon after the other
// machine vanished, though nothing was read from them meanwhile.
func DetectDeadPeers(listener net.Listener) net.Listener { return &deadPeerListener{listener} }

type deadPeerListener struct{ net.Listener }

// Accept returns the next connection.
func (l *deadPeerListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	// A connection without the option is noticed later, by its silence.
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
