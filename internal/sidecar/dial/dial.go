// Package dial is a node's network: its listeners, and TCP connections that notice a silent peer.
// One without power, or behind a cut, acknowledges nothing.
package dial

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// PeerTimeouts bounds how long a connection waits for a peer that acknowledges
// nothing.
type PeerTimeouts struct {
	// Unacknowledged bounds data that was sent.
	Unacknowledged time.Duration
	// Idle is the time without traffic after which probes begin, and the time
	// between two of them. The system counts it in whole seconds.
	Idle time.Duration
}

// keepAliveProbes is how many unanswered keepAliveProbes end a connection.
const keepAliveProbes = 3

// Network is what a node listens at and opens connections by.
type Network interface {
	// Listen listens at a TCP address.
	Listen(address string) (net.Listener, error)
	// Dialer returns a dialer with these bounds; a timeout of zero is none, a zero Silence the system's.
	Dialer(timeout time.Duration, timeouts PeerTimeouts) func(ctx context.Context, network, address string) (net.Conn, error)
}

// System is the machine's network.
type System struct{}

// Listen implements Network.
func (System) Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// Dialer implements Network.
func (System) Dialer(timeout time.Duration, timeouts PeerTimeouts) func(ctx context.Context, network, address string) (net.Conn, error) {
	if timeouts == (PeerTimeouts{}) {
		return (&net.Dialer{Timeout: timeout}).DialContext
	}
	dialer := &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: timeouts.Idle, Interval: timeouts.Idle, Count: keepAliveProbes},
		Control:         timeouts.setUserTimeout,
	}
	return dialer.DialContext
}

func (s PeerTimeouts) setUserTimeout(_, _ string, connection syscall.RawConn) error {
	var failed error
	err := connection.Control(func(descriptor uintptr) {
		failed = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(s.Unacknowledged.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
