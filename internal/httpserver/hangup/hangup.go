// Package hangup detects that a client has closed its connection while its request is served. The
// net/http server learns of it from a background read, which may not have run yet.
package hangup

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

type socketKey struct{}

// Context is a ConnContext hook of http.Server. It makes the connection's socket known to Detected.
func Context(ctx context.Context, accepted net.Conn) context.Context {
	if raw := socket(accepted); raw != nil {
		return context.WithValue(ctx, socketKey{}, raw)
	}
	return ctx
}

// socket returns the socket below wrappers that have a NetConn method, or nil.
func socket(conn net.Conn) syscall.RawConn {
	for {
		switch layer := conn.(type) {
		case syscall.Conn:
			raw, err := layer.SyscallConn()
			if err != nil { // the connection is closed, which ends the request's context
				return nil
			}
			return raw
		case interface{ NetConn() net.Conn }:
			conn = layer.NetConn()
		default:
			return nil
		}
	}
}

// Detected reports whether the client of a request has closed its connection, or the connection
// failed. It is false while bytes of later requests are unread, and for connections without a socket.
func Detected(ctx context.Context) bool {
	raw, ok := ctx.Value(socketKey{}).(syscall.RawConn)
	if !ok {
		return false
	}
	ended := false
	err := raw.Control(func(fd uintptr) { ended = atEnd(int(fd)) })
	return ended || err != nil // Control fails only after a close
}

// atEnd reports whether a read of the socket would return its end or an error.
func atEnd(fd int) bool {
	if !readable(fd) {
		return false
	}
	var next [1]byte
	for {
		n, _, err := unix.Recvfrom(fd, next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch err {
		case nil:
			return n == 0
		case unix.EINTR:
		case unix.EAGAIN:
			return false
		default:
			return true
		}
	}
}

// readable reports whether a read of the socket would return at once. Unlike unix.Recvfrom it
// allocates nothing.
func readable(fd int) bool {
	polled := [1]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
	n, err := unix.Poll(polled[:], 0)
	return n > 0 || err != nil
}
