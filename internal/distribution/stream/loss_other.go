//go:build !linux

package stream

import "net"

// DetectDeadPeers returns the listener unchanged: TCP_USER_TIMEOUT is only
// available on Linux.
func DetectDeadPeers(listener net.Listener) net.Listener { return listener }
