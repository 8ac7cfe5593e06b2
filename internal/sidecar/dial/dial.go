// Package dial provides a node's listeners and TCP connections that detect an unresponsive peer:
// one that lost power or is cut off by a network partition acknowledges nothing.
package dial

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// PeerTimeouts bound how long a connection waits for a peer that acknowledges
// nothing.
type PeerTimeouts struct {
	// Unacknowledged is the maximum time for which sent data may remain unacknowledged
	// (TCP_USER_TIMEOUT).
	Unacknowledged time.Duration
	// Idle is the time without traffic after which keep-alive probes begin, and
	// the interval between them. The system counts it in whole seconds.
	Idle time.Duration
}

// keepAliveProbes is the number of unanswered probes that ends a connection.
const keepAliveProbes = 3

// Network opens a node's listeners and connections. Tests replace it by one in memory.
type Network interface {
	// Listen listens on a TCP address.
	Listen(address string) (net.Listener, error)
	// Dialer returns a dial function. A connectTimeout of zero means none; zero PeerTimeouts mean the system's defaults.
	Dialer(connectTimeout time.Duration, timeouts PeerTimeouts) func(ctx context.Context, network, address string) (net.Conn, error)
}

// System is the network of the operating system.
type System struct{}

// Listen implements Network.
func (System) Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// Dialer implements Network.
func (System) Dialer(connectTimeout time.Duration, timeouts PeerTimeouts) func(ctx context.Context, network, address string) (net.Conn, error) {
	if timeouts == (PeerTimeouts{}) {
		return (&net.Dialer{Timeout: connectTimeout}).DialContext
	}
	dialer := &net.Dialer{
		Timeout:         connectTimeout,
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
